package etcdgateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/configstore"
)

// FuzzStoreResponses checks that any response of a store to a read, write or watch gives a result or a typed
// error, and that an unconfirmed write is never reported as successful.
func FuzzStoreResponses(f *testing.F) {
	f.Add(http.StatusOK, []byte(`{"header":{"revision":"7"},"kvs":[{"key":"aw==","value":"dg==","mod_revision":"7"}],"count":"1"}`))
	f.Add(http.StatusOK, []byte(`{"succeeded":false,"responses":[{"response_range":{"kvs":[{"key":"aw==","mod_revision":"9"}]}}]}`))
	f.Add(http.StatusOK, []byte(`{"result":{"created":true}}{"result":{"events":[{"kv":{"value":"dg==","mod_revision":"8"}}]}}{"result":{"canceled":true,"compact_revision":"5"}}`))
	f.Add(http.StatusOK, []byte(`{"kvs":[{"value":"not base64!","mod_revision":"-1"}],"succeeded":"yes"`))
	f.Add(http.StatusOK, []byte(`{"responses":[{}]}`))
	f.Add(http.StatusTooManyRequests, []byte(`slow down`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 200 || status > 599 {
			return
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write(body)
		}))
		defer server.Close()
		store := New(server.URL, time.Minute)
		_, readError := store.Get(t.Context(), "k")
		checkTyped(t, readError)
		writeError := store.CompareAndSwap(t.Context(), "k", 1, []configstore.Write{{Key: "k", Value: []byte("v")}})
		checkTyped(t, writeError)
		if status != http.StatusOK && (readError == nil || writeError == nil) {
			t.Fatalf("status %d was treated as success", status)
		}
		watchError := store.Watch(t.Context(), "k", func(configstore.Event) {})
		if watchError == nil {
			t.Fatal("Watch returned no error after its response ended")
		}
		checkTyped(t, watchError)
	})
}

func checkTyped(t *testing.T, err error) {
	t.Helper()
	var unavailable *configstore.ErrUnavailable
	var conflict *configstore.ErrConflict
	if err != nil && !errors.As(err, &unavailable) && !errors.As(err, &conflict) && !errors.Is(err, context.Canceled) {
		t.Fatalf("%T: %v", err, err)
	}
}
