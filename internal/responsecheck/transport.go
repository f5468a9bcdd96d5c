package responsecheck

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Transport is an http.RoundTripper that returns an error in place of a malformed response, whose connection it closes, and in place of the end of a
// body with a malformed trailer.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a Transport that sends requests with base.
func NewTransport(base http.RoundTripper) *Transport { return &Transport{base: base} }

// RoundTrip implements http.RoundTripper. Errors for malformed responses: those of Head, *ErrInformationalResponses. The body is that of CheckTrailer.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var connection net.Conn
	trace := &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { connection = info.Conn },
		Got1xxResponse: informationalCheck(),
	}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := FinalHead(response); err != nil {
		_ = response.Body.Close()
		// net/http keeps the connection of a response without a body. What follows a malformed head may belong to it.
		if connection != nil {
			_ = connection.Close()
		}
		return nil, err
	}
	CheckTrailer(response)
	return response, nil
}

// informationalCheck returns a hook that checks the heads of informational responses. It bounds their number, since net/http doesn't for requests
// with such a hook.
func informationalCheck() func(status int, header textproto.MIMEHeader) error {
	var responses atomic.Int64
	return func(_ int, header textproto.MIMEHeader) error {
		if responses.Add(1) > MaxInformationalResponses {
			return errors.WithStack(&ErrInformationalResponses{})
		}
		return checkNames(http.Header(header))
	}
}
