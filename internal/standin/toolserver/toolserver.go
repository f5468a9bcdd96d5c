// Package toolserver is a stand-in for the tools that agent programs call: it answers after the
// delay that a request asks for, or not at all.
package toolserver

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"
)

// CallPath takes tool calls; HangPath switches hanging on and off.
const (
	CallPath = "/call"
	HangPath = "/hang"
	maxBody  = 1 << 20
	maxDelay = time.Minute
)

// Request is one tool call.
type Request struct {
	Tool        string `json:"tool"`
	DelayMillis int64  `json:"delay_ms"`
}

// Response is a tool's answer.
type Response struct {
	Tool   string `json:"tool"`
	Number int64  `json:"number"`
}

// Server is the stand-in as an http.Handler.
type Server struct {
	mux   *http.ServeMux
	calls atomic.Int64
	hangs atomic.Bool
}

// New returns a Server.
func New() *Server {
	server := &Server{mux: http.NewServeMux()}
	server.mux.HandleFunc("POST "+CallPath, server.call)
	server.mux.HandleFunc("PUT "+HangPath, func(w http.ResponseWriter, r *http.Request) {
		server.SetHang(r.URL.Query().Get("on") != "false")
		w.WriteHeader(http.StatusNoContent)
	})
	return server
}

// SetHang makes every call hang until its caller gives up.
func (s *Server) SetHang(on bool) { s.hangs.Store(on) }

// Calls returns how many calls came.
func (s *Server) Calls() int64 { return s.calls.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var request Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&request); err != nil {
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
