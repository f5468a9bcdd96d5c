package ingress

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
)

// A caller gets 503 if and only if its request was not run and may succeed later.
func TestStatusReflectsExecution(t *testing.T) {
	for _, c := range []struct {
		code    apierr.Code
		outcome apierr.Outcome
		status  int
	}{
		{apierr.NoEngine, apierr.NotRun, http.StatusServiceUnavailable},
		{apierr.TurnsUnavailable, apierr.NotRun, http.StatusServiceUnavailable},
		{apierr.DeadlineExceeded, apierr.NotRun, http.StatusServiceUnavailable},
		{apierr.TurnsUnavailable, apierr.Ran, http.StatusBadGateway},
		{apierr.DeadlineExceeded, apierr.OutcomeUnknown, http.StatusGatewayTimeout},
		{apierr.ExecutionUnknown, apierr.OutcomeUnknown, http.StatusBadGateway},
		{apierr.BudgetExceeded, apierr.NotRun, http.StatusPaymentRequired},
	} {
		assert.Equal(t, statusOf(apierr.New(c.code, c.outcome, "x")), c.status, "%s %s", c.code, c.outcome)
	}
}
