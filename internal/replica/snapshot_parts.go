package replica

import (
	"sync"

	"github.com/mountstile/mountstile/internal/consensus"
)

const (
	partKind = "snap"
	// partBytes keeps a part's line far below the transport's limit, base64 included.
	partBytes = 4 << 20
	// maxParts bounds what a peer can make this node hold: 1 GiB.
	maxParts = 256
)

// snapshotPart is a piece of a snapshot that is too large for one line.
type snapshotPart struct {
	Group uint32 `json:"g"`
	// Message is the consensus message; its snapshot's data is only this part.
	Message consensus.Message `json:"m"`
	Part    int               `json:"p"`
	Parts   int               `json:"n"`
}

// splitSnapshot cuts a message's snapshot into parts; a small one stays whole.
func splitSnapshot(group uint32, message consensus.Message) []snapshotPart {
	data := message.Snapshot.Data
	count := max(1, (len(data)+partBytes-1)/partBytes)
	parts := make([]snapshotPart, 0, count)
	for number := range count {
		snapshot := *message.Snapshot
		snapshot.Data = data[number*partBytes : min(len(data), (number+1)*partBytes)]
		piece := message
		piece.Snapshot = &snapshot
		parts = append(parts, snapshotPart{Group: group, Message: piece, Part: number, Parts: count})
	}
	return parts
}

// partial is a snapshot of which parts are missing.
type partial struct {
	index uint64
	term  uint64
	parts [][]byte
	left  int
}

// assembler puts snapshots together. For each group and sender it holds the latest one only.
type assembler struct {
	mutex    sync.Mutex
	partials map[assemblyKey]*partial
}

type assemblyKey struct {
	group uint32
	from  string
}

func newAssembler() *assembler { return &assembler{partials: make(map[assemblyKey]*partial)} }

// add takes a part; it returns the whole message with the last one.
func (a *assembler) add(piece snapshotPart) (consensus.Message, bool) {
	snapshot := piece.Message.Snapshot
	if snapshot == nil || piece.Parts < 1 || piece.Parts > maxParts || piece.Part < 0 || piece.Part >= piece.Parts {
		return consensus.Message{}, false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	key := assemblyKey{piece.Group, piece.Message.From}
	held := a.partials[key]
	if held == nil || held.index != snapshot.Index || held.term != piece.Message.Term || len(held.parts) != piece.Parts {
		held = &partial{index: snapshot.Index, term: piece.Message.Term, parts: make([][]byte, piece.Parts), left: piece.Parts}
		a.partials[key] = held
	}
	if held.parts[piece.Part] == nil {
		// A part is never nil, also if it is empty.
		held.parts[piece.Part] = append([]byte{}, snapshot.Data...)
		held.left--
	}
	if held.left > 0 {
		return consensus.Message{}, false
	}
	delete(a.partials, key)
	whole := piece.Message
	complete := *snapshot
	complete.Data = nil
	for _, part := range held.parts {
		complete.Data = append(complete.Data, part...)
	}
	whole.Snapshot = &complete
	return whole, true
}
