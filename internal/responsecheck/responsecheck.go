// Package responsecheck rejects HTTP responses that net/http accepts although they are malformed: it takes any status from 000 to 999.
//
// Usage:
//
//	response, err := http.ReadResponse(reader, request)
//	...
//	err = responsecheck.Head(response)
//
//	client := &http.Client{Transport: responsecheck.NewTransport(http.DefaultTransport)}
package responsecheck

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxStatus is the highest status (RFC 9110, 15).
const maxStatus = 599

// ErrStatus means that a response has a status that HTTP doesn't define, or that its request doesn't allow.
type ErrStatus struct{ Status int }

// Error implements error.
func (e *ErrStatus) Error() string { return fmt.Sprintf("invalid response status %03d", e.Status) }

// Head checks the head of a response, which may be an informational one. The error is an *ErrStatus.
func Head(response *http.Response) error {
	if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
		return errors.WithStack(&ErrStatus{Status: response.StatusCode})
	}
	return nil
}
