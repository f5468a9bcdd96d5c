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

// loadRetryInterval is the delay before weights are downloaded again after a failure.
const loadRetryInterval = 200 * time.Millisecond

// modelSlot is the loaded model; Server.mutex guards it. An engine that has never received an order
// serves every model.
type modelSlot struct {
	state engine.ModelState
	// ordered is set by the first order.
	ordered bool
	// cancel stops the current load.
	cancel context.CancelFunc
}

// serves reports whether the engine can run requests for the model.
func (m *modelSlot) serves(model string) bool {
	return !m.ordered || m.state.Loading == "" && m.state.Model == model
}

// ModelState returns the loaded model and the load in progress.
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
		http.Error(w, "invalid order, or order without a model", http.StatusBadRequest)
		return
	}
	state, accepted := s.acceptOrder(order)
	w.Header().Set("Content-Type", "application/json")
	if !accepted {
		w.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(w).Encode(state)
}

// acceptOrder rejects orders with a stale fencing token and otherwise starts loading the model. Running
// sequences continue; new requests are rejected until the model is loaded.
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

// load retries the download of weights until it succeeds or a newer order cancels it.
func (s *Server) load(ctx context.Context, order engine.Order) {
	for downloadWeights(ctx, order.WeightStore+weightserver.WeightsPath+order.Model) != nil {
		timer := time.NewTimer(loadRetryInterval)
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

func downloadWeights(ctx context.Context, address string) error {
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
