package gateway

import "net/http"

// startedWriter remembers whether anything was sent: a failure can be told in an answer of its own only before that.
type startedWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *startedWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *startedWriter) Write(data []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(data)
}

// Unwrap is for http.ResponseController.
func (w *startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// unwrapped is the server's own writer, which http.MaxBytesReader tells to close the connection.
func unwrapped(w http.ResponseWriter) http.ResponseWriter {
	if own, isOwn := w.(*startedWriter); isOwn {
		return own.ResponseWriter
	}
	return w
}
