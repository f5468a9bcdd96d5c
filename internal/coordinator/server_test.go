package coordinator

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
)

// TestOnceAdmittedIsNeverNotRunByRouting: after a call was admitted, a replica that can't commit any
// more must not make the caller believe that it was not run; a refusal from the log stays what it is.
func TestOnceAdmittedIsNeverNotRunByRouting(t *testing.T) {
	outcome := func(code apierr.Code, outcome apierr.Outcome) apierr.Outcome {
		refusal := apierr.New(code, outcome, "x")
		refusal.Leader = "other"
		result := apierr.From(onceAdmitted(refusal), apierr.Ran)
		assert.Equal(t, result.Code, code)
		assert.Equal(t, result.Leader, "other", "the way to the leader is kept")
		assert.Equal(t, refusal.Outcome, outcome, "the refusal itself is not changed")
		return result.Outcome
	}
	assert.NilError(t, onceAdmitted(nil))
	assert.Equal(t, outcome(apierr.NotLeader, apierr.NotRun), apierr.OutcomeUnknown)
	assert.Equal(t, outcome(apierr.PartitionUnavailable, apierr.NotRun), apierr.OutcomeUnknown)
	assert.Equal(t, outcome(apierr.Overloaded, apierr.NotRun), apierr.NotRun)
	assert.Equal(t, outcome(apierr.BudgetExceeded, apierr.NotRun), apierr.NotRun)
}
