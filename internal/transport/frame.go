// Package transport carries JSON lines between nodes over long-lived TCP connections, with mutual
// TLS when it is given certificates. It knows nothing of what the messages mean.
package transport

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mountstile/mountstile/internal/apierr"
)

// frame is one line. A frame with an ID asks for, or is, a reply; one without is one-way.
type frame struct {
	Kind    string          `json:"k,omitempty"`
	ID      uint64          `json:"i,omitempty"`
	Reply   bool            `json:"r,omitempty"`
	Payload json.RawMessage `json:"p,omitempty"`
	Error   *apierr.Error   `json:"e,omitempty"`
}

// hello is the payload of the first frame of each connection.
type hello struct {
	Cluster string `json:"cluster"`
	NodeID  string `json:"node"`
	// Address is where the dialling node can be reached.
	Address string `json:"address"`
	// Relays tells that the dialling node passes requests on for others.
	Relays bool `json:"relays,omitempty"`
}

const (
	helloKind = "hello"
	// MaxLineBytes bounds one line; the history of 160,000 tokens is about 1 MB of JSON.
	MaxLineBytes = 16 << 20
	// maxHelloBytes bounds what an unknown peer can make us hold.
	maxHelloBytes = 4 << 10
	readerBytes   = 4 << 10
)

// ErrLineTooLong means that a peer sent a line over the limit.
type ErrLineTooLong struct{ Limit int }

// Error implements error.
func (e *ErrLineTooLong) Error() string { return "line over the limit between nodes" }

// readLine returns the next line without its end. It never holds more than limit bytes.
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

func decodeFrame(line []byte) (frame, error) {
	var decoded frame
	err := json.Unmarshal(line, &decoded)
	return decoded, err
}
