// Package toolserver emulates the tools that agent programs call. It responds after the delay in the
// request, or never.
package toolserver

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// CallPath accepts tool calls.
	CallPath = "/call"
	// HangPath makes calls hang; its query parameter on=false ends that.
	HangPath     = "/hang"
	maxBodyBytes = 1 << 20
	// maxDelay limits the delay that a request can ask for.
	maxDelay = time.Minute
)

// Request is one tool call.
type Request struct {
	Tool        string `json:"tool"`
	DelayMillis int64  `json:"delay_ms"`
}

// Response is the response to a tool call.
type Response struct {
	Tool   string `json:"tool"`
	Number int64  `json:"number"`
}

// Server serves tool calls as an http.Handler.
type Server struct {
	mux   *http.ServeMux
	calls atomic.Int64
	hangs atomic.Bool
}

// New returns a Server that doesn't hang.
func New() *Server {
	server := &Server{mux: http.NewServeMux()}
	server.mux.HandleFunc("POST "+CallPath, server.handleCall)
	server.mux.HandleFunc("PUT "+HangPath, func(w http.ResponseWriter, r *http.Request) {
		server.SetHang(r.URL.Query().Get("on") != "false")
		w.WriteHeader(http.StatusNoContent)
	})
	return server
}

// SetHang sets whether new calls hang until their client disconnects.
func (s *Server) SetHang(on bool) { s.hangs.Store(on) }

// Calls returns the number of calls received.
func (s *Server) Calls() int64 { return s.calls.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	var request Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	number := s.calls.Add(1)
	if s.hangs.Load() {
		<-r.Context().Done()
		return
	}
	timer := time.NewTimer(min(time.Duration(request.DelayMillis)*time.Millisecond, maxDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Response{Tool: request.Tool, Number: number})
}
