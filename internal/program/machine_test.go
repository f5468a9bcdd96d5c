package program_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/klauspost/compress/zstd"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/program"
)

var key = program.Key{Tenant: "t", Path: "p"}

func user(text string) program.Message {
	return program.Message(fmt.Sprintf(`{"role":"user","content":%q}`, text))
}

func answerOf(text string) program.Message {
	return program.Message(fmt.Sprintf(`{"role":"assistant","content":%q}`, text))
}

func admit(machine *program.Machine, request program.Admit) program.Result {
	if request.Program == (program.Key{}) {
		request.Program = key
	}
	if request.Limits == (program.Limits{}) {
		request.Limits = program.Limits{TokenBudget: 1000, CallBudget: 10, IdleMillis: 1000, MaxMillis: 5000}
	}
	request.BodyHash += "body"
	return machine.Execute(program.Command{At: 1, Admit: &request})
}

func dispatch(machine *program.Machine, callID string, attempt int) program.Result {
	return machine.Execute(program.Command{At: 1, Dispatch: &program.Dispatch{CallID: callID, Program: key, Attempt: attempt, Engine: "e", Gateway: "g", CacheService: "s"}})
}

func complete(machine *program.Machine, callID string, attempt int, text string) program.Result {
	return machine.Execute(program.Command{At: 1, Complete: &program.Complete{CallID: callID, Program: key, Attempt: attempt,
		Answer: program.Answer{Message: answerOf(text), Usage: program.Usage{Prompt: 10, Completion: 5}}}})
}

func TestCallsRunInSequence(t *testing.T) {
	machine := program.NewMachine()
	assert.Equal(t, admit(machine, program.Admit{CallID: "b", Sequence: 2}).Error.Code, apierr.SequenceGap)
	assert.Assert(t, admit(machine, program.Admit{CallID: "a", Sequence: 1}).Error == nil)
	assert.Assert(t, admit(machine, program.Admit{CallID: "b", Sequence: 2}).Error == nil)
	assert.Equal(t, dispatch(machine, "b", 1).Error.Code, apierr.SequenceGap)
	assert.Assert(t, dispatch(machine, "a", 1).Error == nil)
	assert.Equal(t, dispatch(machine, "b", 1).Error.Code, apierr.SequenceGap)
	complete(machine, "a", 1, "x")
	assert.Assert(t, dispatch(machine, "b", 1).Error == nil)
	assert.Equal(t, admit(machine, program.Admit{CallID: "c", Sequence: 1}).Error.Code, apierr.SequencePassed)
}

func TestBudgetIsReservedOnAllAncestors(t *testing.T) {
	machine := program.NewMachine()
	child := program.Key{Tenant: "t", Path: "p/child"}
	assert.Assert(t, admit(machine, program.Admit{CallID: "a", Reserve: 600}).Error == nil)
	assert.Equal(t, admit(machine, program.Admit{CallID: "b", Program: child, Reserve: 600}).Error.Code, apierr.BudgetExceeded)
	assert.Assert(t, admit(machine, program.Admit{CallID: "b", Program: child, Reserve: 400, OwnTokens: 450}).Error == nil)
	assert.Equal(t, admit(machine, program.Admit{CallID: "c", Program: child, Reserve: 100}).Error.Code, apierr.BudgetExceeded)
	dispatch(machine, "a", 1)
	complete(machine, "a", 1, "x")
	parent, _ := machine.Summary(key)
	assert.Equal(t, parent.Used, int64(15))
	assert.Equal(t, parent.Reserved, int64(400))
}

func TestRefusedCallCreatesNoProgram(t *testing.T) {
	machine := program.NewMachine()
	assert.Equal(t, admit(machine, program.Admit{CallID: "a", Reserve: 5000}).Error.Code, apierr.BudgetExceeded)
	assert.Equal(t, machine.Count(), 0)
}

func TestNonRepeatableCallHasOneAttempt(t *testing.T) {
	machine := program.NewMachine()
	admit(machine, program.Admit{CallID: "a", Reserve: 100})
	dispatch(machine, "a", 1)
	lost := machine.Execute(program.Command{At: 1, Lose: &program.LoseAttempt{CallID: "a", Program: key, Attempt: 1}})
	assert.Equal(t, lost.Error.Outcome, apierr.OutcomeUnknown)
	assert.Equal(t, dispatch(machine, "a", 2).Error.Outcome, apierr.OutcomeUnknown)
	summary, _ := machine.Summary(key)
	assert.Equal(t, summary.Used, int64(100), "the whole reservation is charged for an unknown outcome")
}

// TestUndeliveredCallIsNotRun checks that a call fails with NotRun, and its sequence number and key may be used again, only if
// none of its attempts may have been sent.
func TestUndeliveredCallIsNotRun(t *testing.T) {
	for name, sent := range map[string]bool{"never sent": false, "one attempt may have been sent": true} {
		t.Run(name, func(t *testing.T) {
			machine := program.NewMachine()
			admit(machine, program.Admit{CallID: "a", Sequence: 1, IdempotencyKey: "k", Repeatable: true})
			for attempt := 1; attempt <= 2; attempt++ {
				assert.Assert(t, dispatch(machine, "a", attempt).Error == nil)
				lose := program.LoseAttempt{CallID: "a", Program: key, Attempt: attempt, Undelivered: !sent || attempt == 2}
				assert.Assert(t, machine.Execute(program.Command{At: 1, Lose: &lose}).Error == nil)
			}
			result := machine.Execute(program.Command{At: 1, Fail: &program.Fail{CallID: "a", Program: key, Error: apierr.New(apierr.NoEngine, apierr.NotRun, "no engine")}})
			again := admit(machine, program.Admit{CallID: "b", Sequence: 1, IdempotencyKey: "k", Repeatable: true})
			if sent {
				assert.Equal(t, result.Error.Outcome, apierr.OutcomeUnknown)
				assert.Equal(t, again.Call.ID, "a")
				return
			}
			assert.Equal(t, result.Error.Outcome, apierr.NotRun)
			assert.Assert(t, again.Error == nil, "%v", again.Error)
			assert.Equal(t, again.Call.ID, "b")
		})
	}
}

func TestUndeliveredCallMayBeDispatchedAgain(t *testing.T) {
	machine := program.NewMachine()
	admit(machine, program.Admit{CallID: "a"})
	dispatch(machine, "a", 1)
	machine.Execute(program.Command{At: 1, Lose: &program.LoseAttempt{CallID: "a", Program: key, Attempt: 1, Undelivered: true}})
	assert.Assert(t, dispatch(machine, "a", 2).Error == nil)
}

// TestLostCallCostsWhatWasDelivered checks that a call that ends between two attempts costs the part of the answer that its
// caller has received, and no more than was reserved.
func TestLostCallCostsWhatWasDelivered(t *testing.T) {
	lose := func(machine *program.Machine, attempt int, spent int64) {
		machine.Execute(program.Command{At: 1, Lose: &program.LoseAttempt{CallID: "a", Program: key, Attempt: attempt, Spent: spent}})
	}
	ends := map[string]program.Command{
		"failed":        {At: 1, Fail: &program.Fail{CallID: "a", Program: key, Error: apierr.New(apierr.EngineFailed, apierr.NotRun, "no engine")}},
		"program ended": {At: 1, End: &program.End{Program: key, Reason: program.EndByCaller}},
	}
	for name, end := range ends {
		for _, last := range []int64{0, 40, 5000} {
			t.Run(fmt.Sprint(name, " after ", last), func(t *testing.T) {
				machine := program.NewMachine()
				admit(machine, program.Admit{CallID: "a", Reserve: 600, Repeatable: true})
				dispatch(machine, "a", 1)
				lose(machine, 1, 30)
				dispatch(machine, "a", 2)
				lose(machine, 2, last)
				machine.Execute(end)
				summary, _ := machine.Summary(key)
				assert.Equal(t, summary.Used, min(max(30, last), 600))
				assert.Equal(t, summary.Reserved, int64(0))
				call, _ := machine.Call(key, "a")
				assert.Equal(t, call.Error.Outcome, apierr.OutcomeUnknown)
			})
		}
	}
}

func TestNotRunForbidsDispatch(t *testing.T) {
	machine := program.NewMachine()
	admit(machine, program.Admit{CallID: "a", IdempotencyKey: "k"})
	failure := apierr.New(apierr.Overloaded, apierr.NotRun, "busy")
	result := machine.Execute(program.Command{At: 1, Fail: &program.Fail{CallID: "a", Program: key, Error: failure}})
	assert.Equal(t, result.Error.Outcome, apierr.NotRun)
	assert.Equal(t, dispatch(machine, "a", 1).Error.Outcome, apierr.NotRun)
	// Its sequence number and key may be used again, since nothing was sent.
	assert.Assert(t, admit(machine, program.Admit{CallID: "b", IdempotencyKey: "k", Sequence: 1}).Error == nil)
}

func TestIdempotencyKey(t *testing.T) {
	machine := program.NewMachine()
	admit(machine, program.Admit{CallID: "a", IdempotencyKey: "k"})
	dispatch(machine, "a", 1)
	complete(machine, "a", 1, "whole")
	again := admit(machine, program.Admit{CallID: "b", IdempotencyKey: "k"})
	assert.Assert(t, again.Existing)
	assert.Equal(t, string(again.Call.Answer.Message), string(answerOf("whole")))
	assert.Equal(t, admit(machine, program.Admit{CallID: "c", IdempotencyKey: "k", BodyHash: "other"}).Error.Code, apierr.IdempotencyConflict)
}

func TestHistoryMustContinue(t *testing.T) {
	machine := program.NewMachine()
	admit(machine, program.Admit{CallID: "a", Messages: []program.Message{user("1")}, CheckBase: true})
	dispatch(machine, "a", 1)
	complete(machine, "a", 1, "one")
	// An answer that a client sends back with empty fields added is the same message.
	returned := program.Message(`{"role":"assistant","content":[{"type":"text","text":"one"}],"tool_calls":[],"refusal":null}`)
	mark := program.HistoryMark{}.Extend([]program.Message{user("1"), returned})
	assert.Assert(t, admit(machine, program.Admit{CallID: "b", Base: mark, CheckBase: true}).Error == nil)
	other := program.HistoryMark{}.Extend([]program.Message{user("1"), answerOf("two")})
	machine.Execute(program.Command{At: 1, Fail: &program.Fail{CallID: "b", Program: key, Error: apierr.New(apierr.Cancelled, apierr.NotRun, "")}})
	result := admit(machine, program.Admit{CallID: "c", Base: other, CheckBase: true})
	assert.Equal(t, result.Error.Code, apierr.HistoryConflict)
	assert.Equal(t, result.Mark, mark)
}

func TestEndIncludesSubAgentsAndKeepsCaches(t *testing.T) {
	machine := program.NewMachine()
	child := program.Key{Tenant: "t", Path: "p/c"}
	admit(machine, program.Admit{CallID: "a"})
	dispatch(machine, "a", 1)
	complete(machine, "a", 1, "x")
	admit(machine, program.Admit{CallID: "b", Program: child})
	machine.Execute(program.Command{At: 2, End: &program.End{Program: key, Reason: program.EndByCaller}})
	assert.Equal(t, admit(machine, program.Admit{CallID: "c", Program: child}).Error.Code, apierr.ProgramEnded)
	call, _ := machine.Call(child, "b")
	assert.Equal(t, call.Error.Outcome, apierr.NotRun)
	assert.DeepEqual(t, machine.HeldCaches(), []program.HeldCache{{Program: key, Engine: "e", Service: "s"}})
	later := int64(3 * program.ProgramRetentionMillis)
	machine.Execute(program.Command{At: later, Expire: &program.Expire{}})
	_, kept := machine.Summary(key)
	assert.Assert(t, kept, "the program is kept until every engine has confirmed the release")
	machine.Execute(program.Command{At: later, Release: &program.ReleaseCache{Program: key, Engine: "e"}})
	machine.Execute(program.Command{At: later, Expire: &program.Expire{}})
	assert.Equal(t, machine.Count(), 0)
}

func TestLimitsEndPrograms(t *testing.T) {
	machine := program.NewMachine()
	admit(machine, program.Admit{CallID: "a"})
	assert.Assert(t, !machine.ExpiryDue(2000), "a call has not ended")
	dispatch(machine, "a", 1)
	complete(machine, "a", 1, "x")
	assert.Assert(t, machine.ExpiryDue(2000))
	machine.Execute(program.Command{At: 2000, Expire: &program.Expire{}})
	summary, _ := machine.Summary(key)
	assert.Equal(t, summary.EndReason, program.EndIdle)
}

// TestSnapshotRestoresEverything compares a machine with one that is restored from its snapshot after each of a series of random
// commands. Programs without calls, whose empty maps are omitted from snapshots, are among the states.
func TestSnapshotRestoresEverything(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		machine, replica := program.NewMachine(), program.NewMachine()
		for step := range rapid.IntRange(1, 40).Draw(r, "steps") {
			command := drawCommand(r, step)
			encoded, err := json.Marshal(command)
			assert.NilError(r, err)
			machine.Apply(uint64(step), encoded)
			replica.Apply(uint64(step), encoded)
			snapshot, err := replica.Snapshot()
			assert.NilError(r, err)
			replica = program.NewMachine()
			assert.NilError(r, replica.Restore(snapshot))
			original, err := machine.Snapshot()
			assert.NilError(r, err)
			assert.DeepEqual(r, snapshot, original)
			for _, summary := range machine.Summaries("") {
				assert.Assert(r, summary.Used+summary.Reserved <= 1000)
			}
		}
	})
}

func drawCommand(r *rapid.T, step int) program.Command {
	callID := fmt.Sprintf("c%d", rapid.IntRange(0, 5).Draw(r, "call"))
	at := int64(step) * rapid.Int64Range(0, 400).Draw(r, "at")
	switch rapid.IntRange(0, 5).Draw(r, "kind") {
	case 0, 1:
		return program.Command{At: at, Admit: &program.Admit{CallID: callID, Program: key, Reserve: rapid.Int64Range(0, 400).Draw(r, "reserve"),
			Repeatable: rapid.Bool().Draw(r, "repeatable"), Messages: []program.Message{user(callID)},
			Limits: program.Limits{TokenBudget: 1000, CallBudget: 10, IdleMillis: 1000, MaxMillis: 5000}}}
	case 2:
		return program.Command{At: at, Dispatch: &program.Dispatch{CallID: callID, Program: key, Attempt: rapid.IntRange(1, 3).Draw(r, "attempt"), Engine: "e", Gateway: "g", CacheService: "s"}}
	case 3:
		return program.Command{At: at, Complete: &program.Complete{CallID: callID, Program: key, Attempt: 1, Answer: program.Answer{Message: answerOf("a"), Usage: program.Usage{Prompt: 50}}}}
	case 4:
		return program.Command{At: at, Lose: &program.LoseAttempt{CallID: callID, Program: key, Attempt: 1}}
	default:
		return program.Command{At: at, Expire: &program.Expire{}}
	}
}

// TestLongHistoryIsRestored covers histories with compressed chunks.
func TestLongHistoryIsRestored(t *testing.T) {
	machine := program.NewMachine()
	var expected []program.Message
	for number := range 40 {
		callID := fmt.Sprint(number)
		question := user(fmt.Sprintf("%d %s", number, strings.Repeat("tomato ", 200)))
		admit(machine, program.Admit{CallID: callID, Messages: []program.Message{question}, Limits: program.Limits{TokenBudget: 1 << 40, CallBudget: 100}})
		dispatch(machine, callID, 1)
		complete(machine, callID, 1, callID)
		expected = append(expected, question, answerOf(callID))
	}
	assert.DeepEqual(t, machine.History(key), expected)
	snapshot, err := machine.Snapshot()
	assert.NilError(t, err)
	restored := program.NewMachine()
	assert.NilError(t, restored.Restore(snapshot))
	assert.DeepEqual(t, restored.History(key), expected)
}

// FuzzApply checks that no log entry makes a replica panic, or a budget's use negative.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"at":1,"admit":{"call":"a","program":{"tenant":"t","path":"p"},"reserve":5,"limits":{"tokens":10,"calls":2}}}`), []byte(`{"fail":{"call":"a","program":{"tenant":"t","path":"p"}}}`))
	f.Add([]byte(`{"admit":{"call":"a","program":{"tenant":"t","path":"p"},"reserve":-5}}`), []byte(`{"dispatch":{"call":"a","program":{"tenant":"t","path":"p"},"attempt":1}}`))
	f.Add([]byte(`{"end":{}}`), []byte(`[]`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		machine := program.NewMachine()
		for index, command := range [][]byte{first, second, first, second} {
			machine.Apply(uint64(index), command)
		}
		for _, summary := range machine.Summaries("") {
			if summary.Reserved < 0 || summary.Used < 0 {
				t.Fatalf("negative use or reservation: %+v", summary)
			}
		}
		snapshot, err := machine.Snapshot()
		if err != nil || program.NewMachine().Restore(snapshot) != nil {
			t.Fatal("the state can't be restored")
		}
	})
}

// FuzzRestore checks that any snapshot is either rejected or usable.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"now":5,"programs":[{"key":{"tenant":"t","path":"p"},"limits":{"tokens":9,"calls":9},"next_sequence":1}]}`))
	f.Add([]byte(`{"programs":[null]}`))
	f.Add([]byte(`{"programs":[{"open":{"a":null}}]}`))
	f.Add([]byte(`{"programs":[{"history":{"chunks":["AAAA"]}}]}`))
	encoder, err := zstd.NewWriter(nil)
	assert.NilError(f, err)
	f.Fuzz(func(t *testing.T, plain []byte) {
		machine := program.NewMachine()
		if machine.Restore(encoder.EncodeAll(plain, nil)) != nil {
			return
		}
		for _, summary := range machine.Summaries("") {
			machine.History(program.Key{Tenant: summary.Key.Tenant, Path: summary.Key.Path})
		}
		machine.OpenCalls()
		machine.HeldCaches()
		machine.Execute(program.Command{At: 1, Expire: &program.Expire{}})
	})
}

// TestEphemeralProgramsAreRemoved checks that programs for unnamed calls are not kept for ProgramRetentionMillis.
func TestEphemeralProgramsAreRemoved(t *testing.T) {
	machine := program.NewMachine()
	single := program.Key{Tenant: "t", Path: program.EphemeralPrefix + "x"}
	admit(machine, program.Admit{CallID: "a", Program: single})
	machine.Execute(program.Command{At: 1, Dispatch: &program.Dispatch{CallID: "a", Program: single, Attempt: 1, Engine: "e", Gateway: "g"}})
	machine.Execute(program.Command{At: 1, Complete: &program.Complete{CallID: "a", Program: single, Attempt: 1}})
	later := int64(2 * 60 * 1000)
	for range 2 {
		later += 1000
		machine.Execute(program.Command{At: later, Expire: &program.Expire{}})
	}
	assert.Equal(t, machine.Count(), 0)
}

// TestWarmEngineOfSubAgents checks that a new sub-agent inherits its parent's warm engine only with the same first message, and
// that a call of its own takes precedence.
func TestWarmEngineOfSubAgents(t *testing.T) {
	machine := program.NewMachine()
	key := func(path string) program.Key { return program.Key{Tenant: "t", Path: path} }
	system, other := json.RawMessage(`{"role":"system","content":"`+strings.Repeat("x", 400)+`"}`), json.RawMessage(`{"role":"system","content":"other"}`)
	admit(machine, program.Admit{CallID: "1", Program: key("p"), Messages: []program.Message{system}})
	machine.Execute(program.Command{At: 1, Dispatch: &program.Dispatch{CallID: "1", Program: key("p"), Attempt: 1, Engine: "e1"}})
	admit(machine, program.Admit{CallID: "2", Program: key("p/same"), Messages: []program.Message{system}})
	admit(machine, program.Admit{CallID: "3", Program: key("p/other"), Messages: []program.Message{other}})
	same, _ := machine.Summary(key("p/same"))
	assert.Equal(t, same.WarmEngine, "e1")
	assert.Assert(t, same.WarmTokens > 90 && same.WarmTokens < 120, same.WarmTokens)
	different, _ := machine.Summary(key("p/other"))
	assert.Equal(t, different.WarmEngine, "")
	machine.Execute(program.Command{At: 1, Dispatch: &program.Dispatch{CallID: "2", Program: key("p/same"), Attempt: 1, Engine: "e2"}})
	machine.Execute(program.Command{At: 1, Complete: &program.Complete{CallID: "2", Program: key("p/same"), Attempt: 1, Answer: program.Answer{Usage: program.Usage{Prompt: 100, Completion: 20}}}})
	same, _ = machine.Summary(key("p/same"))
	assert.Equal(t, same.WarmEngine, "e2")
	assert.Equal(t, same.WarmTokens, int64(120))
}
