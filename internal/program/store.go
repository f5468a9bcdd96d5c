package program

import (
	"bytes"
	"encoding/json"
)

// chunkBytes is how much of a history's end stays uncompressed; what is older is kept in compressed
// chunks, for it is read only when a caller sends new messages alone.
const chunkBytes = 16 << 10

// History is a program's messages, the older ones compressed.
type History struct {
	// Chunks are zstd of JSON arrays of messages, oldest first.
	Chunks [][]byte  `json:"chunks,omitempty"`
	Tail   []Message `json:"tail,omitempty"`
}

// append adds messages at the end.
func (h *History) append(messages []Message) {
	h.Tail = append(h.Tail, messages...)
	size := 0
	for _, message := range h.Tail {
		size += len(message)
	}
	if size < chunkBytes {
		return
	}
	encoded, err := json.Marshal(h.Tail)
	if err != nil {
		// Messages are valid JSON; if one is not, it stays uncompressed.
		return
	}
	// The encoder's result has room for the uncompressed size; a copy does not keep it.
	h.Chunks = append(h.Chunks, bytes.Clone(snapshotEncoder.EncodeAll(encoded, nil)))
	h.Tail = nil
}

// readable reports whether messages can be called. A history that came from elsewhere is checked
// once, when it comes.
func (h *History) readable() bool {
	for _, chunk := range h.Chunks {
		encoded, err := snapshotDecoder.DecodeAll(chunk, nil)
		var part []Message
		if err != nil || json.Unmarshal(encoded, &part) != nil {
			return false
		}
	}
	return true
}

// messages returns all messages, oldest first.
func (h *History) messages() []Message {
	var all []Message
	for _, chunk := range h.Chunks {
		var part []Message
		encoded, err := snapshotDecoder.DecodeAll(chunk, nil)
		if err != nil || json.Unmarshal(encoded, &part) != nil {
			// A chunk was made by append, or checked by Restore; a damaged one must not pass for a
			// shorter history.
			panic("program: a chunk of history can't be read")
		}
		all = append(all, part...)
	}
	return append(all, h.Tail...)
}
