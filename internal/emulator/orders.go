package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/mountstile/mountstile/internal/engine"
	"github.com/mountstile/mountstile/internal/standin/weightserver"
)

// loadRetry is how long an engine waits before it pulls weights again after a failure.
const loadRetry = 200 * time.Millisecond

// modelSlot is what an engine has loaded; Server's mutex guards it. An engine without orders serves
// every model.
type modelSlot struct {
	state engine.ModelState
	// ordered is set with the first order.
	ordered bool
	// cancel ends the load under way.
	cancel context.CancelFunc
}

// serves reports whether a request for the model can be run.
func (m *modelSlot) serves(model string) bool {
	return !m.ordered || m.state.Loading == "" && m.state.Model == model
}

// ModelState returns what the engine has loaded.
func (s *Server) ModelState() engine.ModelState {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.slot.state
}

func (s *Server) handleOrderState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.ModelState())
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&order); err != nil || order.Model == "" {
		http.Error(w, "an order names a token and a model", http.StatusBadRequest)
		return
	}
	state, accepted := s.acceptOrder(order)
	w.Header().Set("Content-Type", "application/json")
	if !accepted {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(state)
}

// acceptOrder fences orders and begins to load. Answers under way go on; new requests are refused
// until the model is there.
func (s *Server) acceptOrder(order engine.Order) (engine.ModelState, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if order.Token <= s.slot.state.Token {
		s.refusedOrders++
		return s.slot.state, false
	}
	s.slot.state.Token = order.Token
	if s.slot.ordered && s.slot.state.Model == order.Model && s.slot.state.Loading == "" {
		return s.slot.state, true
	}
	if s.slot.cancel != nil {
		s.slot.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.slot.ordered, s.slot.cancel = true, cancel
	s.slot.state.Loading = order.Model
	s.loads++
	go s.load(ctx, order)
	return s.slot.state, true
}

// load pulls weights until they are whole or the order is superseded.
func (s *Server) load(ctx context.Context, order engine.Order) {
	for pullWeights(ctx, order.WeightStore+weightserver.WeightsPath+order.Model) != nil {
		timer := time.NewTimer(loadRetry)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if ctx.Err() != nil {
		return
	}
	s.slot.state.Model, s.slot.state.Loading = order.Model, ""
	s.model.cache.clearIdle()
}

func pullWeights(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return &engine.ErrStatus{Status: response.StatusCode}
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
