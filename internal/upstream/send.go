package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Request is a request to an engine. No headers are added except Host and Content-Length.
type Request struct {
	Method string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	// BodyPrefix is sent before Body, as a part of it.
	BodyPrefix []byte
	Body       []byte
}

// hopByHopHeaders are never forwarded. They apply to a single connection (RFC 9110, 7.6.1), except for Expect, which
// the HTTP server has already answered.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// EndToEndHeaders returns a copy of header without the hop-by-hop headers, the headers named in Connection, and
// Content-Length.
func EndToEndHeaders(header http.Header) http.Header {
	copied := header.Clone()
	for _, line := range header.Values("Connection") {
		for _, name := range bytes.Split([]byte(line), []byte(",")) {
			copied.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	copied.Del("Content-Length")
	return copied
}

// maxCopiedBodyBytes is the size up to which a body is copied, so that it is sent together with the head.
const maxCopiedBodyBytes = 16 << 10

func (r *Request) bodyBytes() int { return len(r.BodyPrefix) + len(r.Body) }

func (r *Request) isLarge() bool { return r.bodyBytes() > maxCopiedBodyBytes }

// encode returns the encoded request, without the body if it is large.
func (r *Request) encode() []byte {
	var buffer bytes.Buffer
	copied := 0
	if !r.isLarge() {
		copied = r.bodyBytes()
	}
	buffer.Grow(copied + 1024)
	buffer.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&buffer)
	if r.bodyBytes() > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		buffer.WriteString("Content-Length: " + strconv.Itoa(r.bodyBytes()) + "\r\n")
	}
	buffer.WriteString("\r\n")
	if !r.isLarge() {
		buffer.Write(r.BodyPrefix)
		buffer.Write(r.Body)
	}
	return buffer.Bytes()
}

// largeBody returns the parts of a large body, which encode leaves out.
func (r *Request) largeBody() net.Buffers {
	if !r.isLarge() {
		return nil
	}
	return net.Buffers{r.BodyPrefix, r.Body}
}

// Send writes a request and reads the status and headers of its response. The connection is closed when the
// context is done, also after Send has returned. The error is an ErrExchange.
func (p *Pool) Send(ctx context.Context, request *Request) (*Exchange, error) {
	connection, err := p.get(ctx)
	if err != nil {
		return nil, errors.WithStack(&ErrExchange{cause: err})
	}
	exchange := &Exchange{pool: p, connection: connection, written: make(chan error, 1)}
	exchange.cancelCloseOnDone = closeOnDone(ctx, connection)
	connection.writes.Store(0)
	encoded, body := request.encode(), request.largeBody()
	go func() {
		exchange.written <- connection.write(encoded, body)
	}()
	exchange.response, err = readHead(connection, request.Method)
	if err != nil {
		exchange.Abort()
		return nil, errors.WithStack(&ErrExchange{Sent: connection.writes.Load() > 0, cause: err})
	}
	connection.responded.Store(true)
	if endsWithConnection(exchange.response) {
		exchange.response.Body = &closeDelimitedBody{ReadCloser: exchange.response.Body, exchange: exchange}
	}
	return exchange, nil
}
