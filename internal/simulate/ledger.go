package simulate

import (
	"fmt"
	"math"
	"strings"

	"github.com/anishathalye/porcupine"

	"github.com/mountstile/mountstile/internal/program"
)

// ledger records the requests that reached the engine and the results that callers got.
type ledger struct {
	operations []*operation
	// attempts counts the requests of each call that reached the engine.
	attempts map[string]int
	// lastSequence is the highest sequence number among the calls that reached the engine, by program.
	lastSequence map[program.Key]uint64
	// notRun holds the calls whose callers got the outcome not_run.
	notRun map[string]bool
	// answered lists the calls of each program whose callers got an answer.
	answered map[program.Key][]string
}

func newLedger() *ledger {
	return &ledger{
		attempts:     make(map[string]int),
		lastSequence: make(map[program.Key]uint64),
		notRun:       make(map[string]bool),
		answered:     make(map[program.Key][]string),
	}
}

// receive records a request that reached the engine and checks it against earlier ones.
func (l *ledger) receive(sim *simulation, key program.Key, call program.Call, attempt int) {
	l.attempts[call.ID]++
	if !call.Repeatable && l.attempts[call.ID] > 1 {
		sim.fail("duplicate execution: call %s is not repeatable and reached the engine twice", call.ID)
	}
	if l.notRun[call.ID] {
		sim.fail("false not_run: call %s reached the engine in attempt %d", call.ID, attempt)
	}
	if call.Sequence < l.lastSequence[key] {
		sim.fail("out of order: call %d of %s reached the engine after call %d", call.Sequence, key.Path, l.lastSequence[key])
	}
	l.lastSequence[key] = max(l.lastSequence[key], call.Sequence)
}

// recordNotRun records that a caller got the outcome not_run.
func (l *ledger) recordNotRun(callID string) { l.notRun[callID] = true }

// recordAnswer records that a caller got its answer.
func (l *ledger) recordAnswer(key program.Key, callID string) {
	l.answered[key] = append(l.answered[key], callID)
}

// checkBudgets reports programs whose used and reserved tokens exceed the budget, or whose reservation is negative.
func checkBudgets(node *replica) []string {
	var violations []string
	for _, summary := range node.machine.Summaries("") {
		if summary.Used+summary.Reserved > tokenBudget {
			violations = append(violations, fmt.Sprintf("over budget: program %s uses or reserves %d tokens of %d", summary.Key.Path, summary.Used+summary.Reserved, tokenBudget))
		}
		if summary.Reserved < 0 {
			violations = append(violations, fmt.Sprintf("program %s has a negative reservation", summary.Key.Path))
		}
	}
	return violations
}

// checkOutcome checks at the end of a run that each answer is in its program's history exactly once, that
// no call with the outcome not_run reached the engine, and that admissions are linearizable.
func (s *simulation) checkOutcome() {
	leader := s.leader()
	if leader == nil {
		s.fail("no leader after all faults ended")
		return
	}
	for callID := range s.engine.notRun {
		if s.engine.attempts[callID] > 0 {
			s.fail("false not_run: call %s reached the engine", callID)
		}
	}
	for key, calls := range s.engine.answered {
		s.checkHistory(leader, key, calls)
	}
	s.checkLinearizable()
}

func (s *simulation) checkHistory(leader *replica, key program.Key, calls []string) {
	var texts []string
	for _, message := range leader.machine.History(key) {
		texts = append(texts, string(message))
	}
	history := strings.Join(texts, "\n")
	for _, callID := range calls {
		if strings.Count(history, `"answer to `+callID+`"`) != 1 {
			s.fail("lost or repeated: the answer to %s is %d times in the history of %s", callID, strings.Count(history, `"answer to `+callID+`"`), key.Path)
		}
	}
	for index, text := range texts {
		if index%2 == 0 && index+1 < len(texts) && !isAnswerTo(text, texts[index+1]) {
			s.fail("wrong answer: %s is followed by %s", text, texts[index+1])
		}
	}
}

// isAnswerTo reports whether the answer belongs to the question.
func isAnswerTo(question, answer string) bool {
	start := strings.Index(question, `"content":"`)
	if start < 0 {
		return false
	}
	callID, _, _ := strings.Cut(question[start+len(`"content":"`):], `"`)
	return strings.Contains(answer, `"answer to `+callID+`"`)
}

// admissionInput and admissionOutput describe an operation of the sequential model, in which a program's
// admissions get consecutive sequence numbers.
type admissionInput struct{ program program.Key }

type admissionOutput struct {
	// sequence is 0 if the admission was rejected.
	sequence uint64
	// known is false if the response did not arrive.
	known bool
}

// checkLinearizable checks with porcupine that the admissions of each program are linearizable with
// respect to a counter.
func (s *simulation) checkLinearizable() {
	model := porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byProgram := make(map[program.Key][]porcupine.Operation)
			for _, op := range history {
				key := op.Input.(admissionInput).program
				byProgram[key] = append(byProgram[key], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byProgram {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return uint64(1) },
		Step: func(state, _, output any) (bool, any) {
			next := state.(uint64)
			result := output.(admissionOutput)
			if !result.known {
				return true, next + 1
			}
			if result.sequence == 0 {
				return true, next
			}
			return result.sequence == next, next + 1
		},
	}
	var history []porcupine.Operation
	for _, op := range s.engine.operations {
		record := porcupine.Operation{
			ClientId: op.client,
			Input:    admissionInput{op.program},
			Call:     int64(op.invoked),
			Output:   admissionOutput{sequence: op.sequence, known: op.returned >= 0},
			Return:   int64(op.returned),
		}
		if op.returned < 0 {
			record.Return = math.MaxInt64
		}
		history = append(history, record)
	}
	if !porcupine.CheckOperations(model, history) {
		s.fail("admissions are not linearizable")
	}
}
