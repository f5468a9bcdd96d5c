package turnstore

import (
	"sync"

	"github.com/mountstile/mountstile/internal/turnlog"
)

// defaultTextBytes is how much text stays in memory by default.
const defaultTextBytes = 16 << 20

// textReadAttempts bounds how often a text is read whose record is moved at the same time.
const textReadAttempts = 3

// texts are the texts of turns. All lie on disk; those that were written last are in memory too, for most
// turns are continued soon.
type texts struct {
	log   *turnlog.Log
	limit int64

	mutex    sync.Mutex
	entries  map[string]*textEntry
	resident int64
	total    int64
	// newest are the IDs of the texts in memory, in the order in which they came.
	newest []string
}

type textEntry struct {
	at       turnlog.Position
	bytes    int64
	text     []byte
	resident bool
}

// errUnknownText means that there is no text of a turn.
type errUnknownText struct{ turn string }

// Error implements error.
func (e errUnknownText) Error() string { return "there is no text of turn " + e.turn }

func newTexts(limit int64) *texts {
	if limit == 0 {
		limit = defaultTextBytes
	}
	return &texts{limit: limit, entries: make(map[string]*textEntry)}
}

func (t *texts) put(turn string, text []byte, at turnlog.Position) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.entries[turn]; known != nil {
		known.at = at
		return
	}
	size := int64(len(text))
	t.entries[turn] = &textEntry{at: at, bytes: size, text: text, resident: true}
	t.total += size
	t.resident += size
	t.newest = append(t.newest, turn)
	for t.resident > t.limit && len(t.newest) > 0 {
		t.release(t.newest[0])
		t.newest = t.newest[1:]
	}
}

// release takes a text out of memory.
func (t *texts) release(turn string) {
	entry := t.entries[turn]
	if entry == nil || !entry.resident {
		return
	}
	t.resident -= entry.bytes
	entry.text = nil
	entry.resident = false
}

func (t *texts) move(turn string, at turnlog.Position) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if entry := t.entries[turn]; entry != nil {
		entry.at = at
	}
}

func (t *texts) drop(turns []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, turn := range turns {
		if entry := t.entries[turn]; entry != nil {
			t.release(turn)
			t.total -= entry.bytes
			delete(t.entries, turn)
		}
	}
}

// clear forgets all texts.
func (t *texts) clear() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.entries = make(map[string]*textEntry)
	t.newest = nil
	t.resident, t.total = 0, 0
}

// size is the bytes of all texts, on disk or in memory.
func (t *texts) size() int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.total
}

// get returns a text from memory or from disk.
func (t *texts) get(turn string) ([]byte, error) {
	var last error
	for range textReadAttempts {
		t.mutex.Lock()
		entry := t.entries[turn]
		if entry == nil {
			t.mutex.Unlock()
			return nil, errUnknownText{turn: turn}
		}
		text, at, resident := entry.text, entry.at, entry.resident
		t.mutex.Unlock()
		if resident {
			return text, nil
		}
		payload, err := t.log.Read(at)
		if err != nil {
			last = err
			continue
		}
		record, valid := decodeRecord(payload)
		if !valid || record.Turn == nil || record.Turn.ID != turn {
			return nil, errUnknownText{turn: turn}
		}
		return record.Turn.Text, nil
	}
	return nil, last
}
