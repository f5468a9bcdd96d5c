package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/program"
)

// Guards against malformed answers that an earlier build stored: a repeat of their call must learn that it ran and failed.
func TestMalformedStoredAnswerIsFailure(t *testing.T) {
	for name, answer := range map[string]program.Answer{
		"status 000":              {Status: 0},
		"status 099":              {Status: 99},
		"status 101":              {Status: http.StatusSwitchingProtocols},
		"status 600":              {Status: 600},
		"space in a name":         {Status: http.StatusOK, Header: http.Header{"Transfer-Encoding ": {"chunked"}}},
		"space in a trailer name": {Status: http.StatusOK, Trailer: http.Header{"X Mark": {"m"}}},
	} {
		t.Run(name, func(t *testing.T) {
			failure := apierr.From(checkApplicationAnswer(&answer), apierr.OutcomeUnknown)
			assert.Equal(t, failure.Code, apierr.EngineFailed)
			assert.Equal(t, failure.Outcome, apierr.Ran)
		})
	}
	whole := program.Answer{Status: http.StatusCreated, Header: http.Header{"X-Mark": {"m"}}, Body: []byte("ok"), Trailer: http.Header{"X-Sum": {"1"}}}
	assert.NilError(t, checkApplicationAnswer(&whole))
}
