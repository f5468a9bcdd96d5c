package ingress

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// bodyPauseTimeout is how long a caller may send nothing of a body that has begun. It exceeds the pauses that callers are
// promised to survive.
const bodyPauseTimeout = headerTimeout

// bodyReader reads a request body until the request's deadline, but no longer than bodyPauseTimeout at a time without a byte.
type bodyReader struct {
	body       io.Reader
	connection *http.ResponseController
	deadline   time.Time
	// waiting records whether the connection waits for its caller.
	waiting func(bool)
}

// Read implements io.Reader.
func (r *bodyReader) Read(buffer []byte) (int, error) {
	deadline := time.Now().Add(bodyPauseTimeout)
	if r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	// This fails only if the connection is closed already, or is not one, as in tests.
	_ = r.connection.SetReadDeadline(deadline)
	r.waiting(true)
	read, err := r.body.Read(buffer)
	r.waiting(false)
	if errors.Is(err, io.EOF) {
		// The server now watches the connection for the caller's disconnection.
		_ = r.connection.SetReadDeadline(time.Time{})
	}
	return read, err
}
