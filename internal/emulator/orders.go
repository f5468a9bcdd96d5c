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

// loadedModel is the loaded model and the load in progress; Server.mutex guards it. An engine that has never
// received an order serves every model.
type loadedModel struct {
	state engine.ModelState
	// ordered is set by the first order.
	ordered bool
	// cancel stops the current load.
	cancel context.CancelFunc
}

// serves reports whether the engine can run requests for the model.
func (m *loadedModel) serves(model string) bool {
	return !m.ordered || m.state.Loading == "" && m.state.Model == model
}

// ModelState returns the loaded model and the load in progress.
func (s *Server) ModelState() engine.ModelState {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.loaded.state
}

func (s *Server) handleOrderState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.ModelState())
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil || order.Model == "" {
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
	if order.Token <= s.loaded.state.Token {
		s.refusedOrders++
		return s.loaded.state, false
	}
	s.loaded.state.Token = order.Token
	if s.loaded.ordered && s.loaded.state.Model == order.Model && s.loaded.state.Loading == "" {
		return s.loaded.state, true
	}
	if s.loaded.cancel != nil {
		s.loaded.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.loaded.ordered, s.loaded.cancel = true, cancel
	s.loaded.state.Loading = order.Model
	s.loads++
	go s.load(ctx, order)
	return s.loaded.state, true
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
	s.loaded.state.Model, s.loaded.state.Loading = order.Model, ""
	// Blocks of the previous model are of no use to the new one.
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
