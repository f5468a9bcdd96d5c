package modelload

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/resource"
)

// FuzzApplyChange checks that an arbitrary record neither crashes a View nor changes the state of other engines.
func FuzzApplyChange(f *testing.F) {
	f.Add("model/pool/e2", `{"model":"b"}`)
	f.Add("model/", `{}`)
	f.Add("model/pool/e2", `["b"]`)
	f.Add("partition/7", `{"model":"b"}`)
	f.Fuzz(func(t *testing.T, key, value string) {
		view := &View{models: make(map[string]string), subsets: make(map[subsetKey][]resource.Engine), changed: make(chan struct{})}
		view.applyChange(membership.Change{Record: &membership.Record{Key: recordKey("pool", "e1"), Value: []byte(`{"model":"a"}`)}})
		view.applyChange(membership.Change{Record: &membership.Record{Key: key, Value: []byte(value)}})
		if key != recordKey("pool", "e1") {
			assert.Equal(t, view.Model("pool", "e1"), "a")
		}
		pool := &resource.Pool{Engines: []resource.Engine{{Name: "e1"}, {Name: "e2"}}}
		assert.Assert(t, len(view.Engines("pool", pool, "a")) <= len(pool.Engines))
	})
}
