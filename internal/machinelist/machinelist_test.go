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

// script answers with one list after the other; nil means a failure.
type script struct {
	lists [][]Machine
	calls int
}

func (s *script) List(context.Context) ([]Machine, error) {
	list := s.lists[min(s.calls, len(s.lists)-1)]
	s.calls++
	if list == nil {
		return nil, &ErrUnavailable{Status: 503}
	}
	return list, nil
}

// TestLeavingIsHeardOnce in virtual time, with the list away in between.
func TestLeavingIsHeardOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lister := &script{lists: [][]Machine{{{"m1", Live}, {"m2", Leaving}}, nil, {{"m1", Leaving}}}}
		started := time.Now()
		heard, failures := 0, 0
		Watch(t.Context(), lister, "m1", func() { heard++ }, func(error) { failures++ })
		assert.Equal(t, heard, 1)
		assert.Equal(t, failures, 1)
		assert.Equal(t, time.Since(started), 2*pollInterval)
	})
}

// TestListIsAHintOnly: a list that lacks the machine, or is away, changes nothing.
func TestListIsAHintOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		lister := &script{lists: [][]Machine{nil, {}, {{"m2", Leaving}}}}
		Watch(ctx, lister, "m1", func() { t.Fatal("the machine was not to leave") }, func(error) {})
	})
}

func TestStandInSpeaksTheSameForm(t *testing.T) {
	server := machineserver.New(0)
	server.Set(machineserver.Machine{Address: "m1", State: machineserver.Leaving})
	running := httptest.NewServer(server)
	defer running.Close()
	machines, err := NewClient(running.URL + machineserver.MachinesPath).List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, machines, []Machine{{"m1", Leaving}})
	_, err = NewClient(running.URL + "/nothing").List(t.Context())
	var unavailable *ErrUnavailable
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
}
