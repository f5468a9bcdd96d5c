package machinelist

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/standin/machineserver"
)

// fakeLister returns the given lists one after the other, then the last one again; nil means an error.
type fakeLister struct {
	lists [][]Machine
	calls int
}

func (f *fakeLister) List(context.Context) ([]Machine, error) {
	list := f.lists[min(f.calls, len(f.lists)-1)]
	f.calls++
	if list == nil {
		return nil, &ErrUnavailable{Status: 503}
	}
	return list, nil
}

// Watch must survive a failed poll and call onLeaving exactly once.
func TestWatchReportsLeavingOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lister := &fakeLister{lists: [][]Machine{{{"m1", Live}, {"m2", Leaving}}, nil, {{"m1", Leaving}}}}
		started := time.Now()
		calls, failures := 0, 0
		Watch(t.Context(), lister, "m1", func() { calls++ }, func(error) { failures++ })
		assert.Equal(t, calls, 1)
		assert.Equal(t, failures, 1)
		assert.Equal(t, time.Since(started), 2*pollInterval)
	})
}

// A list that is unavailable or lacks the machine must not be taken as a sign that the machine is leaving.
func TestWatchIgnoresMissingMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		lister := &fakeLister{lists: [][]Machine{nil, {}, {{"m2", Leaving}}}}
		Watch(ctx, lister, "m1", func() { t.Fatal("onLeaving was called") }, func(error) {})
	})
}

// The list that the stand-in serves must be readable by Client.
func TestClientWithStandIn(t *testing.T) {
	server := machineserver.New(0)
	server.Set(machineserver.Machine{Address: "m1", State: machineserver.Leaving})
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	machines, err := NewClient(httpServer.URL + machineserver.MachinesPath).List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, machines, []Machine{{"m1", Leaving}})
	_, err = NewClient(httpServer.URL + "/nothing").List(t.Context())
	var unavailable *ErrUnavailable
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
}
