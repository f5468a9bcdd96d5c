// Package responsecheck rejects HTTP responses that net/http accepts although they are malformed: it takes any status from 000 to
// 999, and field names that hold spaces.
//
// Usage:
//
//	response, err := http.ReadResponse(reader, request)
//	...
//	err = responsecheck.Head(response)
//	...
//	responsecheck.CheckTrailer(response)
//
//	client := &http.Client{Transport: responsecheck.NewTransport(http.DefaultTransport)}
package responsecheck

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// MaxInformationalResponses bounds the number of informational responses before a final one.
	MaxInformationalResponses = 16
	// maxStatus is the highest status (RFC 9110, 15).
	maxStatus = 599
)

// ErrStatus means that a response has a status that HTTP doesn't define, or that its request doesn't allow.
type ErrStatus struct{ Status int }

// Error implements error.
func (e *ErrStatus) Error() string { return fmt.Sprintf("invalid response status %03d", e.Status) }

// ErrFieldName means that the name of a header or trailer field is not a token (RFC 9110, 5.1). A space in it may hide how the body is framed, since
// "Transfer-Encoding " is the name of an unknown field to net/http.
type ErrFieldName struct{ Name string }

// Error implements error.
func (e *ErrFieldName) Error() string { return fmt.Sprintf("invalid field name %.128q", e.Name) }

// ErrInformationalResponses means that a response follows too many informational ones.
type ErrInformationalResponses struct{}

// Error implements error.
func (*ErrInformationalResponses) Error() string {
	return fmt.Sprintf("more than %d informational responses", MaxInformationalResponses)
}

// Head checks the head of a response, which may be an informational one. Errors: *ErrStatus, *ErrFieldName.
func Head(response *http.Response) error {
	if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
		return errors.WithStack(&ErrStatus{Status: response.StatusCode})
	}
	if err := checkNames(response.Header); err != nil {
		return err
	}
	// Before the body is read, Trailer holds the names that the head announces.
	return checkNames(response.Trailer)
}

// FinalHead checks the head of a response that is not informational. net/http returns 101 Switching Protocols as one, for which no request here asks.
// Errors: *ErrStatus, *ErrFieldName.
func FinalHead(response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		return errors.WithStack(&ErrStatus{Status: response.StatusCode})
	}
	return Head(response)
}

func checkNames(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return errors.WithStack(&ErrFieldName{Name: name})
		}
	}
	return nil
}

// tokenPunctuation are the characters of tokens other than letters and digits (RFC 9110, 5.6.2).
const tokenPunctuation = "!#$%&'*+-.^_`|~"

func isToken(name string) bool {
	for _, char := range []byte(name) {
		if !isTokenChar(char) {
			return false
		}
	}
	return name != ""
}

func isTokenChar(char byte) bool {
	switch {
	case 'a' <= char && char <= 'z', 'A' <= char && char <= 'Z', '0' <= char && char <= '9':
		return true
	}
	return strings.IndexByte(tokenPunctuation, char) >= 0
}
