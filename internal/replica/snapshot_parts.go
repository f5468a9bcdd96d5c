package replica

import (
	"sync"

	"github.com/mountstile/mountstile/internal/consensus"
)

const (
	snapshotPartKind = "snap"
	// snapshotPartBytes keeps an encoded part well below the message size limit of the transport.
	snapshotPartBytes = 4 << 20
	// maxSnapshotParts limits the memory of one incomplete snapshot to 1 GiB.
	maxSnapshotParts = 256
)

// snapshotPart is the wire format of one part of an InstallSnapshot message.
type snapshotPart struct {
	Group uint32 `json:"g"`
	// Message is the InstallSnapshot message; its snapshot data is only this part.
	Message consensus.Message `json:"m"`
	Part    int               `json:"p"`
	Parts   int               `json:"n"`
}

// splitSnapshot splits an InstallSnapshot message into parts. There is at least one.
func splitSnapshot(group uint32, message consensus.Message) []snapshotPart {
	data := message.Snapshot.Data
	count := max(1, (len(data)+snapshotPartBytes-1)/snapshotPartBytes)
	parts := make([]snapshotPart, 0, count)
	for number := range count {
		snapshot := *message.Snapshot
		snapshot.Data = data[number*snapshotPartBytes : min(len(data), (number+1)*snapshotPartBytes)]
		partial := message
		partial.Snapshot = &snapshot
		parts = append(parts, snapshotPart{Group: group, Message: partial, Part: number, Parts: count})
	}
	return parts
}

// incompleteSnapshot is a snapshot with missing parts.
type incompleteSnapshot struct {
	index   uint64
	term    uint64
	parts   [][]byte
	missing int
}

// assembler joins the parts of snapshots. It keeps only the latest snapshot per group and sender.
type assembler struct {
	mutex      sync.Mutex
	incomplete map[assemblyKey]*incompleteSnapshot
}

type assemblyKey struct {
	group uint32
	from  string
}

func newAssembler() *assembler {
	return &assembler{incomplete: make(map[assemblyKey]*incompleteSnapshot)}
}

// add adds a part. It returns the complete message once no part is missing.
func (a *assembler) add(part snapshotPart) (consensus.Message, bool) {
	snapshot := part.Message.Snapshot
	if snapshot == nil || part.Parts < 1 || part.Parts > maxSnapshotParts || part.Part < 0 || part.Part >= part.Parts {
		return consensus.Message{}, false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	key := assemblyKey{part.Group, part.Message.From}
	pending := a.incomplete[key]
	if pending == nil || pending.index != snapshot.Index || pending.term != part.Message.Term || len(pending.parts) != part.Parts {
		pending = &incompleteSnapshot{index: snapshot.Index, term: part.Message.Term, parts: make([][]byte, part.Parts), missing: part.Parts}
		a.incomplete[key] = pending
	}
	if pending.parts[part.Part] == nil {
		// A received part is not nil, even if it is empty.
		pending.parts[part.Part] = append([]byte{}, snapshot.Data...)
		pending.missing--
	}
	if pending.missing > 0 {
		return consensus.Message{}, false
	}
	delete(a.incomplete, key)
	message := part.Message
	complete := *snapshot
	complete.Data = nil
	for _, data := range pending.parts {
		complete.Data = append(complete.Data, data...)
	}
	message.Snapshot = &complete
	return message, true
}
