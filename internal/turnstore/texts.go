package turnstore

import (
	"sync"

	"github.com/mountstile/mountstile/internal/turnlog"
)

// defaultTextBytes is the default limit of texts in memory.
const defaultTextBytes = 16 << 20

// textReadAttempts bounds the reads of a text whose record is being moved by compaction of the log.
const textReadAttempts = 3

// texts holds the texts of turns. All are on disk; the newest are also in memory, since most turns are continued soon.
type texts struct {
	log   *turnlog.Log
	limit int64

	mutex    sync.Mutex
	entries  map[string]*textEntry
	resident int64
	total    int64
	// residentIDs are the turns whose texts are in memory, oldest first.
	residentIDs []string
}

type textEntry struct {
	at       turnlog.Position
	bytes    int64
	text     []byte
	resident bool
}

// errTextNotFound means that no text of a turn is stored.
type errTextNotFound struct{ turn string }

// Error implements error.
func (e errTextNotFound) Error() string { return "no text is stored for turn " + e.turn }

func newTexts(limit int64) *texts {
	if limit == 0 {
		limit = defaultTextBytes
	}
	return &texts{limit: limit, entries: make(map[string]*textEntry)}
}

func (t *texts) put(turn string, text []byte, at turnlog.Position) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if existing := t.entries[turn]; existing != nil {
		existing.at = at
		return
	}
	size := int64(len(text))
	t.entries[turn] = &textEntry{at: at, bytes: size, text: text, resident: true}
	t.total += size
	t.resident += size
	t.residentIDs = append(t.residentIDs, turn)
	for t.resident > t.limit && len(t.residentIDs) > 0 {
		t.evict(t.residentIDs[0])
		t.residentIDs = t.residentIDs[1:]
	}
}

// evict removes a text from memory.
func (t *texts) evict(turn string) {
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
			t.evict(turn)
			t.total -= entry.bytes
			delete(t.entries, turn)
		}
	}
}

// clear removes all texts.
func (t *texts) clear() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.entries = make(map[string]*textEntry)
	t.residentIDs = nil
	t.resident, t.total = 0, 0
}

// sizeOf returns the size of a turn's text in bytes; 0 if none is stored.
func (t *texts) sizeOf(turn string) int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if entry := t.entries[turn]; entry != nil {
		return entry.bytes
	}
	return 0
}

// size returns the total size of all texts, on disk or in memory, in bytes.
func (t *texts) size() int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.total
}

// get returns a text from memory or from disk.
func (t *texts) get(turn string) ([]byte, error) {
	var lastErr error
	for range textReadAttempts {
		t.mutex.Lock()
		entry := t.entries[turn]
		if entry == nil {
			t.mutex.Unlock()
			return nil, errTextNotFound{turn: turn}
		}
		text, at, resident := entry.text, entry.at, entry.resident
		t.mutex.Unlock()
		if resident {
			return text, nil
		}
		payload, err := t.log.Read(at)
		if err != nil {
			lastErr = err
			continue
		}
		record, valid := decodeRecord(payload)
		if !valid || record.Turn == nil || record.Turn.ID != turn {
			return nil, errTextNotFound{turn: turn}
		}
		return record.Turn.Text, nil
	}
	return nil, lastErr
}
