package program

import (
	"bytes"
	"encoding/json"
)

// maxTailBytes is the size at which a history's uncompressed tail is compressed to a chunk. The chunks are needed mainly for
// callers that send only their new messages.
const maxTailBytes = 16 << 10

// History is a program's messages, the older ones compressed.
type History struct {
	// Chunks are zstd-compressed JSON arrays of messages, oldest first.
	Chunks [][]byte  `json:"chunks,omitempty"`
	Tail   []Message `json:"tail,omitempty"`
}

// append adds messages, and compresses the tail if it has grown to maxTailBytes.
func (h *History) append(messages []Message) {
	h.Tail = append(h.Tail, messages...)
	size := 0
	for _, message := range h.Tail {
		size += len(message)
	}
	if size < maxTailBytes {
		return
	}
	encoded, err := json.Marshal(h.Tail)
	if err != nil {
		// Messages that are not valid JSON stay uncompressed.
		return
	}
	// The encoder's buffer has the capacity of the uncompressed size; the clone does not retain it.
	h.Chunks = append(h.Chunks, bytes.Clone(zstdEncoder.EncodeAll(encoded, nil)))
	h.Tail = nil
}

// valid reports whether all chunks can be decoded, so that messages does not panic. Restore checks it for snapshots.
func (h *History) valid() bool {
	for _, chunk := range h.Chunks {
		encoded, err := zstdDecoder.DecodeAll(chunk, nil)
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
		encoded, err := zstdDecoder.DecodeAll(chunk, nil)
		if err != nil || json.Unmarshal(encoded, &part) != nil {
			// Chunks come from append or were checked by Restore. A corrupt one must not shorten the history silently.
			panic("program: corrupt history chunk")
		}
		all = append(all, part...)
	}
	return append(all, h.Tail...)
}
