package machinelist

import (
	"maps"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/standin/rawserver"
)

// Guards against malformed responses that are taken for the list, which would stop the node.
func TestMalformedResponseIsNoList(t *testing.T) {
	const list = `[{"address":"m1","state":"leaving"}]`
	responses := rawserver.MalformedHeads("", list)
	maps.Copy(responses, rawserver.UnreadableHeads("", list))
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.Start(func(*http.Request) string { return response })
			assert.NilError(t, err)
			defer server.Close()
			machines, err := NewClient(server.URL()).List(t.Context())
			assert.Assert(t, err != nil, "%v", machines)
		})
	}
}
