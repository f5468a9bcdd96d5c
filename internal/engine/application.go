package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ApplicationRequest is one attempt of a call to an application engine.
type ApplicationRequest struct {
	Method string
	// Path is relative to the engine's URL; Query is the raw query string.
	Path    string
	Query   string
	Header  http.Header
	Body    []byte
	Program string
	CallID  string
	Attempt int
}

// ApplicationResponse is a complete response. Hop-by-hop headers are removed.
type ApplicationResponse struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    []byte
}

// ErrResponseTooLarge means that the body of a response is longer than Limit bytes.
type ErrResponseTooLarge struct{ Limit int64 }

// Error implements error.
func (e *ErrResponseTooLarge) Error() string {
	return "the engine's response exceeds " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// MaxResponseBytes bounds the body of an application engine's response, which is held in memory and stored.
const MaxResponseBytes = 4 << 20

// Application sends calls to application engines over HTTP.
type Application struct {
	transport http.RoundTripper
}

// NewApplication returns an Application with its own connection pool.
func NewApplication() *Application { return &Application{transport: newHTTPTransport()} }

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the headers that must not be forwarded, including those listed in Connection.
func StripHopByHop(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// Do sends a request at most once and reads the complete response. Errors: *ErrNotSent, *ErrInterrupted,
// *ErrResponseTooLarge.
func (a *Application) Do(ctx context.Context, target Target, request ApplicationRequest) (*ApplicationResponse, error) {
	httpRequest, err := buildApplicationRequest(ctx, target, request)
	if err != nil {
		return nil, &ErrNotSent{Cause: err}
	}
	response, err := sendOnce(ctx, a.transport, httpRequest)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if isUnframed(response) {
		return nil, &ErrInterrupted{Cause: errors.WithStack(&ErrUnframed{})}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, &ErrInterrupted{Cause: err}
	}
	if len(body) > MaxResponseBytes {
		return nil, &ErrResponseTooLarge{Limit: MaxResponseBytes}
	}
	StripHopByHop(response.Header)
	return &ApplicationResponse{Status: response.StatusCode, Header: response.Header, Trailer: response.Trailer, Body: body}, nil
}

// ErrUnframed means that the end of a response can't be told from its truncation.
type ErrUnframed struct{}

// Error implements error.
func (*ErrUnframed) Error() string { return "the response has neither a length nor chunks" }

// isUnframed reports whether only the end of its connection ends a response.
func isUnframed(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

func buildApplicationRequest(ctx context.Context, target Target, request ApplicationRequest) (*http.Request, error) {
	base, err := url.Parse(target.URL)
	if err != nil {
		return nil, errors.Wrap(err, "parsing the engine's URL")
	}
	address := base.JoinPath(request.Path)
	address.RawQuery = request.Query
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, address.String(), unreplayableBody{bytes.NewReader(request.Body)})
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	httpRequest.ContentLength = int64(len(request.Body))
	if request.Header != nil {
		httpRequest.Header = request.Header.Clone()
	}
	StripHopByHop(httpRequest.Header)
	httpRequest.Header.Set(HeaderProgram, request.Program)
	httpRequest.Header.Set(HeaderCall, request.CallID)
	httpRequest.Header.Set(HeaderAttempt, strconv.Itoa(request.Attempt))
	return httpRequest, nil
}
