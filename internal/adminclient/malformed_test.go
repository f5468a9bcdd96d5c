package adminclient

import (
	"maps"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/standin/rawserver"
)

// Guards against malformed responses that are taken for a node's answer: a change that is reported as applied, or an error that says that it is not.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	for _, body := range []string{`{"revision":7}`, `{"error":{"code":"invalid_request","outcome":"not_run"}}`} {
		responses := rawserver.MalformedHeads("", body)
		maps.Copy(responses, rawserver.UnreadableHeads("", body))
		for name, response := range responses {
			t.Run(name, func(t *testing.T) {
				server, err := rawserver.Start(func(*http.Request) string { return response })
				assert.NilError(t, err)
				defer server.Close()
				_, err = New(server.URL(), "key").Apply(t.Context(), nil, Change{})
				var failure *apierr.Error
				assert.Assert(t, errors.As(err, &failure), "%v", err)
				assert.Equal(t, failure.Outcome, apierr.OutcomeUnknown, "%v", err)
			})
		}
	}
}
