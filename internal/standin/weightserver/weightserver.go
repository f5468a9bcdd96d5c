// Package weightserver emulates the platform's weight store. It serves model weights of a fixed size at a
// limited rate shared by all clients.
package weightserver

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

const (
	// WeightsPath is the prefix of the path of a model's weights; the model's name follows.
	WeightsPath    = "/weights/"
	chunkBytes     = 64 << 10
	maxWeightBytes = 1 << 30
)

// Server serves weights as an http.Handler.
type Server struct {
	mux     *http.ServeMux
	limiter *rate.Limiter
	size    int64
}

// New returns a Server whose models have the given size in bytes, at most maxWeightBytes.
func New(size, bytesPerSecond int64) *Server {
	server := &Server{mux: http.NewServeMux(), limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes), size: min(size, maxWeightBytes)}
	server.mux.HandleFunc("GET "+WeightsPath+"{model}", server.handleWeights)
	return server
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) handleWeights(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.FormatInt(s.size, 10))
	chunk := make([]byte, chunkBytes)
	for remaining := s.size; remaining > 0; {
		size := min(remaining, chunkBytes)
		if s.limiter.WaitN(r.Context(), int(size)) != nil {
			return
		}
		if _, err := w.Write(chunk[:size]); err != nil {
			return
		}
		remaining -= size
	}
}
