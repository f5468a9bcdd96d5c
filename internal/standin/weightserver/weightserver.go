// Package weightserver is a stand-in for the platform's weight store: it serves model weights of a
// stated size at a limited rate that all readers share.
package weightserver

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

const (
	// WeightsPath and a model's name is where its weights are.
	WeightsPath = "/weights/"
	chunkBytes  = 64 << 10
	maxSize     = 1 << 30
)

// Server is the stand-in as an http.Handler.
type Server struct {
	mux     *http.ServeMux
	limiter *rate.Limiter
	size    int64
}

// New returns a Server of models of size bytes, sharing bytesPerSecond.
func New(size, bytesPerSecond int64) *Server {
	server := &Server{mux: http.NewServeMux(), limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes), size: min(size, maxSize)}
	server.mux.HandleFunc("GET "+WeightsPath+"{model}", server.serve)
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.FormatInt(s.size, 10))
	chunk := make([]byte, chunkBytes)
	for left := s.size; left > 0; {
		size := min(left, chunkBytes)
		if s.limiter.WaitN(r.Context(), int(size)) != nil {
			return
		}
		if _, err := w.Write(chunk[:size]); err != nil {
			return
		}
		left -= size
	}
}
