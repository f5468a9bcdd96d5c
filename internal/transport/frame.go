// Package transport carries JSON lines between nodes over long-lived TCP connections, with mutual
// TLS if certificates are configured. It does not interpret the payload of messages.
package transport

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/membudget"
)

// frame is one line. A frame with an ID is a request or the reply to it; a frame without one is a one-way message.
type frame struct {
	Kind    string          `json:"k,omitempty"`
	ID      uint64          `json:"i,omitempty"`
	Reply   bool            `json:"r,omitempty"`
	Payload json.RawMessage `json:"p,omitempty"`
	Error   *apierr.Error   `json:"e,omitempty"`
	// To and ClusterID identify the recipient of a request or one-way message; empty if the sender knows that the peer is
	// the recipient, or doesn't know them.
	To        string `json:"t,omitempty"`
	ClusterID string `json:"c,omitempty"`
	// reservation is the memory of a received message; refused is set if there was none, and the payload was discarded.
	reservation *membudget.Reservation
	refused     error
}

// hello is the payload of the first frame of each connection, in both directions.
type hello struct {
	Cluster string `json:"cluster"`
	NodeID  string `json:"node"`
	// Address is where other nodes can dial the sender.
	Address string `json:"address"`
	// Relays is true if the sender forwards requests for other nodes.
	Relays bool `json:"relays,omitempty"`
	// ClusterID is empty while the sender doesn't know it.
	ClusterID string `json:"cluster_id,omitempty"`
}

const (
	helloKind = "hello"
	// MaxLineBytes bounds one line, which may contain a whole conversation history.
	MaxLineBytes = 16 << 20
	// maxHelloBytes bounds the memory that an unauthenticated peer can occupy.
	maxHelloBytes         = 4 << 10
	connectionBufferBytes = 4 << 10
)

// ErrLineTooLong means that a peer sent a line of more than Limit bytes.
type ErrLineTooLong struct{ Limit int }

// Error implements error.
func (e *ErrLineTooLong) Error() string { return "line from a node exceeds the size limit" }

// errMalformedLine means that a peer sent a line that is no message.
type errMalformedLine struct{ cause error }

// Error implements error.
func (e *errMalformedLine) Error() string {
	return "line from a node is no message: " + e.cause.Error()
}

// readLine returns the next line, including its newline. It buffers no more than limit bytes.
func readLine(reader *bufio.Reader, limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, &ErrLineTooLong{Limit: limit}
		}
		line = append(line, part...)
		if err == nil {
			return line, nil
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
}

// payloadField begins the payload in a line. It is in no string, whose quotes are escaped.
var payloadField = []byte(`,"p":`)

// encode returns the line of a frame. The payload, which is valid JSON without a newline, comes last and is copied once.
func (f frame) encode() ([]byte, error) {
	line, err := f.encodeHead()
	if err != nil || len(f.Payload) == 0 {
		return append(line, '\n'), err
	}
	line = slices.Grow(line[:len(line)-1], len(payloadField)+len(f.Payload)+len("}\n"))
	line = append(line, payloadField...)
	line = append(line, f.Payload...)
	return append(line, '}', '\n'), nil
}

// decodeFrame decodes a line. Builds that encode frames as a whole have fields after the payload.
func decodeFrame(line []byte) (frame, error) {
	var decoded frame
	trimmed := bytes.TrimSuffix(line, []byte("}\n"))
	if start := bytes.Index(trimmed, payloadField); start > 0 && len(trimmed) < len(line) {
		payload := trimmed[start+len(payloadField):]
		decoded, err := decodeHeadFields(trimmed[:start])
		if err == nil && json.Valid(payload) {
			decoded.Payload = bytes.Clone(payload)
			return decoded, nil
		}
	}
	err := json.Unmarshal(line, &decoded)
	return decoded, err
}

// decodeHeadFields decodes a head without its closing brace.
func decodeHeadFields(head []byte) (decoded frame, err error) {
	if decoded, plain := decodePlainHead(head); plain {
		return decoded, nil
	}
	err = json.Unmarshal(append(bytes.Clone(head), '}'), &decoded)
	return decoded, err
}
