package simulate

import (
	"fmt"
	"math"
	"strings"

	"github.com/anishathalye/porcupine"

	"github.com/mountstile/mountstile/internal/program"
)

// ledger is what the engine saw and what callers were told; the checks compare both.
type ledger struct {
	operations []*operation
	// attempts counts how often each call reached the engine.
	attempts map[string]int
	// lastSequence is the place of the latest call of each program that reached the engine.
	lastSequence map[program.Key]uint64
	notRun       map[string]bool
	acknowledged map[program.Key][]string
}

func newLedger() *ledger {
	return &ledger{
		attempts:     make(map[string]int),
		lastSequence: make(map[program.Key]uint64),
		notRun:       make(map[string]bool),
		acknowledged: make(map[program.Key][]string),
	}
}

// receive is called when a request reaches the engine.
func (l *ledger) receive(world *World, key program.Key, call program.Call, attempt int) {
	l.attempts[call.ID]++
	if !call.Repeatable && l.attempts[call.ID] > 1 {
		world.fail("doubled: call %s is not repeatable and reached the engine twice", call.ID)
	}
	if l.notRun[call.ID] {
		world.fail("false not_run: call %s reached the engine in attempt %d", call.ID, attempt)
	}
	if call.Sequence < l.lastSequence[key] {
		world.fail("reordered: call %d of %s reached the engine after call %d", call.Sequence, key.Path, l.lastSequence[key])
	}
	l.lastSequence[key] = max(l.lastSequence[key], call.Sequence)
}

// claimNotRun notes that a caller was told that its call was not run.
func (l *ledger) claimNotRun(callID string) { l.notRun[callID] = true }

// acknowledge notes that a caller got its answer.
func (l *ledger) acknowledge(key program.Key, callID string) {
	l.acknowledged[key] = append(l.acknowledged[key], callID)
}

// checkBudgets looks for programs that have spent, or could spend, more than their budget.
func checkBudgets(node *replicaNode) []string {
	var violations []string
	for _, summary := range node.machine.Summaries("") {
		if summary.Used+summary.Reserved > tokenBudget {
			violations = append(violations, fmt.Sprintf("over budget: program %s holds %d tokens of %d", summary.Key.Path, summary.Used+summary.Reserved, tokenBudget))
		}
		if summary.Reserved < 0 {
			violations = append(violations, fmt.Sprintf("program %s has a negative reservation", summary.Key.Path))
		}
	}
	return violations
}

// checkOutcome runs at the end: nothing acknowledged is lost or mixed, nothing claimed "not run"
// ran, and the admissions are linearizable.
func (w *World) checkOutcome() {
	leader := w.leader()
	if leader == nil {
		w.fail("no leader after all faults have ended")
		return
	}
	for callID := range w.engine.notRun {
		if w.engine.attempts[callID] > 0 {
			w.fail("false not_run: call %s reached the engine", callID)
		}
	}
	for key, calls := range w.engine.acknowledged {
		w.checkHistory(leader, key, calls)
	}
	w.checkLinearizable()
}

func (w *World) checkHistory(leader *replicaNode, key program.Key, calls []string) {
	var texts []string
	for _, message := range leader.machine.History(key) {
		texts = append(texts, string(message))
	}
	history := strings.Join(texts, "\n")
	for _, callID := range calls {
		if strings.Count(history, `"answer to `+callID+`"`) != 1 {
			w.fail("lost: the answer to %s stands %d times in the history of %s", callID, strings.Count(history, `"answer to `+callID+`"`), key.Path)
		}
	}
	for position, text := range texts {
		if position%2 == 0 && position+1 < len(texts) && !matching(text, texts[position+1]) {
			w.fail("mixed: %s is followed by %s", text, texts[position+1])
		}
	}
}

// matching reports whether an answer follows its own question.
func matching(question, answer string) bool {
	start := strings.Index(question, `"content":"`)
	if start < 0 {
		return false
	}
	callID, _, _ := strings.Cut(question[start+len(`"content":"`):], `"`)
	return strings.Contains(answer, `"answer to `+callID+`"`)
}

// admissionInput and admissionOutput are one admission of the sequential model: a program's
// admissions number its calls without gaps.
type admissionInput struct{ program program.Key }

type admissionOutput struct {
	sequence uint64
	known    bool
}

// checkLinearizable checks with porcupine that each program's places were given out as if by one
// counter, in an order that fits real time.
func (w *World) checkLinearizable() {
	model := porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byProgram := make(map[program.Key][]porcupine.Operation)
			for _, item := range history {
				key := item.Input.(admissionInput).program
				byProgram[key] = append(byProgram[key], item)
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
	for _, item := range w.engine.operations {
		record := porcupine.Operation{
			ClientId: item.client,
			Input:    admissionInput{item.program},
			Call:     int64(item.invoked),
			Output:   admissionOutput{sequence: item.sequence, known: item.returned >= 0},
			Return:   int64(item.returned),
		}
		if item.returned < 0 {
			record.Return = math.MaxInt64
		}
		history = append(history, record)
	}
	if !porcupine.CheckOperations(model, history) {
		w.fail("the admissions are not linearizable")
	}
}
