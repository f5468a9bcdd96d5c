package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/membudget"
	"github.com/mountstile/mountstile/internal/responsecheck"
)

const (
	// maxHeadBytes bounds the status line and headers of a response together with its informational responses.
	maxHeadBytes = 64 << 10
	// headTimeout is how long a head may take from its first byte to its end.
	headTimeout = time.Second
	// maxStartBytes is the number of bytes in which the announcement is looked for that a response ends with its connection.
	maxStartBytes = 2 << 10
	// headMemoryFactor is the memory of a parsed head in relation to its bytes.
	headMemoryFactor = 4
)

// ErrHeadTooLarge means that the head of a response has more than maxHeadBytes.
type ErrHeadTooLarge struct{}

// Error implements error.
func (*ErrHeadTooLarge) Error() string {
	return fmt.Sprintf("the head of the response exceeds %d bytes", maxHeadBytes)
}

// source reads from a connection. While it reads a head, it bounds its bytes and its time.
type source struct {
	raw net.Conn
	// heardAt is when bytes were received last, in Unix nanoseconds.
	heardAt atomic.Int64
	// inHead is set while a head is read; begun is set once a part of it was received.
	inHead, begun bool
	// timed is set while the connection has a read deadline.
	timed bool
	// headBytes is the number of bytes that were received since the request was sent.
	headBytes int
	budget    *membudget.Budget
	// start are the first bytes that were received since the request was sent.
	start []byte
	// memory is reserved from the budget for a head that exceeds the read buffer; nil for others.
	memory *membudget.Reservation
}

// noteHeard records that bytes were received.
func (s *source) noteHeard(read int) {
	if read > 0 {
		s.heardAt.Store(time.Now().UnixNano())
	}
}

// Read implements io.Reader.
func (s *source) Read(buffer []byte) (int, error) {
	if !s.inHead {
		read, err := s.raw.Read(buffer)
		s.noteHeard(read)
		return read, err
	}
	if s.begun {
		if err := s.continueHead(); err != nil {
			return 0, err
		}
	}
	read, err := s.raw.Read(buffer)
	s.noteHeard(read)
	s.start = append(s.start, buffer[:min(read, maxStartBytes-len(s.start))]...)
	s.begun = s.begun || read > 0
	s.headBytes += read
	return read, err
}

// continueHead prepares to read more of a head of which a part was received.
func (s *source) continueHead() error {
	if s.headBytes >= maxHeadBytes {
		return errors.WithStack(&ErrHeadTooLarge{})
	}
	if s.memory == nil {
		s.memory = s.budget.Open("response head")
	}
	if err := s.memory.Grow(readBufferBytes * headMemoryFactor); err != nil {
		return err
	}
	if s.timed {
		return nil
	}
	s.timed = true
	return s.raw.SetReadDeadline(time.Now().Add(headTimeout))
}

// beginHead prepares to read a head. The buffered bytes are a part of it.
func (s *source) beginHead(buffered int) {
	s.inHead = true
	s.begun = buffered > 0
	s.removeDeadline()
}

// endHead ends the bounds of a head, for the body that follows.
func (s *source) endHead() {
	s.inHead = false
	s.headBytes = 0
	s.start = s.start[:0]
	s.memory.Release()
	s.memory = nil
	s.removeDeadline()
}

// removeDeadline does nothing on a closed connection, whose next read fails.
func (s *source) removeDeadline() {
	if s.timed {
		s.timed = false
		_ = s.raw.SetReadDeadline(time.Time{})
	}
}

// readHead reads the status and headers of the final response and skips informational responses.
func readHead(connection *Connection, method string) (*http.Response, error) {
	source := &connection.source
	defer source.endHead()
	for informational := 0; informational <= responsecheck.MaxInformationalResponses; informational++ {
		source.beginHead(connection.reader.Buffered())
		response, err := http.ReadResponse(connection.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := responsecheck.Head(response); err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			// The request had no Upgrade header, and what follows is not HTTP.
			return nil, errors.WithStack(&ErrProtocolSwitched{})
		}
		if response.StatusCode >= http.StatusOK {
			requireFraming(response, source.start, informational)
			responsecheck.CheckTrailer(response)
			return response, nil
		}
	}
	return nil, errors.WithStack(&responsecheck.ErrInformationalResponses{})
}

// ErrUnframed means that the end of a response can't be told from its truncation: it states no length and has no chunks, and does not say that
// the end of the connection ends it, as one whose head was cut.
type ErrUnframed struct{}

// Error implements error.
func (*ErrUnframed) Error() string {
	return "the response states neither a length nor that its connection ends with it"
}

// Unwrap returns io.ErrUnexpectedEOF.
func (*ErrUnframed) Unwrap() error { return io.ErrUnexpectedEOF }

// requireFraming makes the end of a response's body an error if nothing in the head says how it ends. Servers that end a response with its
// connection announce that (RFC 9112, 9.6); HTTP/1.0 knows nothing else. start are the first bytes that were received, which begin with some
// informational responses.
func requireFraming(response *http.Response, start []byte, informational int) {
	if !endsWithConnection(response) || !response.ProtoAtLeast(1, 1) {
		return
	}
	if !announcesClose(start, informational) {
		response.Body = &unframedBody{ReadCloser: response.Body}
	}
}

// announcesClose reports whether the head that follows some informational responses has the connection option close, which net/http removes
// from the headers.
func announcesClose(start []byte, informational int) bool {
	for line := range bytes.Lines(start) {
		line = bytes.TrimSpace(line)
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0 && informational == 0:
			return false
		case len(line) == 0:
			informational--
		case informational == 0 && bytes.EqualFold(name, []byte("Connection")) && hasOption(value, "close"):
			return true
		}
	}
	return false
}

// hasOption reports whether a list of connection options has one.
func hasOption(options []byte, wanted string) bool {
	for option := range bytes.SplitSeq(options, []byte(",")) {
		if strings.EqualFold(string(bytes.TrimSpace(option)), wanted) {
			return true
		}
	}
	return false
}

// endsWithConnection reports whether only the end of its connection ends a response.
func endsWithConnection(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// ErrReset means that the connection that a response ends with was reset.
type ErrReset struct{}

// Error implements error.
func (*ErrReset) Error() string { return "the connection was reset before the response ended" }

// Unwrap returns syscall.ECONNRESET.
func (*ErrReset) Unwrap() error { return syscall.ECONNRESET }

// closeDelimitedBody is a body that ends with its connection. The kernel reports a reset once, to a read or a write: if the request was still being
// written, the read sees an orderly close.
type closeDelimitedBody struct {
	io.ReadCloser
	exchange *Exchange
}

// Read implements io.Reader. In place of io.EOF it returns an *ErrReset if the write of the request has met a reset.
func (b *closeDelimitedBody) Read(buffer []byte) (int, error) {
	read, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) && b.exchange.writeWasReset() {
		err = errors.WithStack(&ErrReset{})
	}
	return read, err
}

// unframedBody is a body whose end is not its whole end.
type unframedBody struct{ io.ReadCloser }

// Read implements io.Reader. In place of io.EOF it returns an *ErrUnframed.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	read, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = errors.WithStack(&ErrUnframed{})
	}
	return read, err
}
