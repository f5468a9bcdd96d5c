package machinelist

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// FuzzList checks that no response makes List panic, and that only status 200 is accepted.
func FuzzList(f *testing.F) {
	f.Add(http.StatusOK, []byte(`[{"address":"m1","state":"leaving"}]`))
	f.Add(http.StatusOK, []byte(`{"address":1}`))
	f.Add(http.StatusServiceUnavailable, []byte(`[]`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 {
			return
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write(body)
		}))
		defer server.Close()
		if _, err := NewClient(server.URL).List(t.Context()); err == nil && status != http.StatusOK {
			t.Fatalf("status %d was accepted", status)
		}
	})
}
