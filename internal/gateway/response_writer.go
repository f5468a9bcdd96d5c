package gateway

import "net/http"

// trackingWriter records whether the response has started. An error response can be written only before that.
type trackingWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *trackingWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *trackingWriter) Write(data []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *trackingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// unwrapWriter returns the server's own writer, which http.MaxBytesReader needs to close the connection.
func unwrapWriter(w http.ResponseWriter) http.ResponseWriter {
	if tracking, isTracking := w.(*trackingWriter); isTracking {
		return tracking.ResponseWriter
	}
	return w
}
