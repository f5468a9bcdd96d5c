// Package conversation is the state of one replica: the turns of conversations, and what programs
// were charged for their turns. It is pure: it has no clock, goroutine or I/O.
//
// A turn never changes once it is written. A charge changes once, from reserved to settled. So
// records may be applied in any order and any number of times, and replicas that have applied the
// same records are equal.
//
// Usage:
//
//	state := conversation.New()
//	state.Apply(now, record)
//	turns, missing := state.Chain(now, "turn-7")
//	charges := state.Charges("program-1")
package conversation

import (
	"time"
)

const (
	// retentionSlack is how much longer than asked turns are kept: a turn is written a little before its answer
	// ends, and a request that continues it may wait.
	retentionSlack = 10 * time.Second
	// chargeRetention is how long charges are kept after the last change to their program.
	chargeRetention = 10 * time.Minute
	// maximalChain bounds how many turns one conversation may have.
	maximalChain = 10_000
)

// Turn is one turn of a conversation that was answered whole.
type Turn struct {
	ID       string `json:"id"`
	Previous string `json:"previous,omitempty"`
	Program  string `json:"program,omitempty"`
	// Engine generated the answer and is likely to have the prompt in memory.
	Engine string `json:"engine,omitempty"`
	// Text is what this turn adds to the prompt of the next: its input, then its output.
	Text Text `json:"text"`
	// RetentionMillis is how long the turn, and all before it, may be continued.
	RetentionMillis int64 `json:"retention_millis"`
}

// Charge is what a program was charged for one turn, in tokens.
type Charge struct {
	Program string `json:"program"`
	// Turn names the charge among those of its program; it tells the turn apart, and which try of it.
	Turn   string `json:"turn"`
	Tokens int64  `json:"tokens"`
	// Settled charges are final; others are the most that the turn may generate.
	Settled bool `json:"settled,omitempty"`
}

// Record is one change; one of its fields is set.
type Record struct {
	Turn   *Turn   `json:"turn,omitempty"`
	Charge *Charge `json:"charge,omitempty"`
}

// Key names what a record is a version of.
func (r Record) Key() Key {
	if r.Turn != nil {
		return Key{Turn: r.Turn.ID}
	}
	return Key{Turn: r.Charge.Turn, Program: r.Charge.Program, Charge: true, Settled: r.Charge.Settled}
}

// Key identifies a version of a record.
type Key struct {
	Turn    string `json:"t"`
	Program string `json:"p,omitempty"`
	Charge  bool   `json:"c,omitempty"`
	Settled bool   `json:"s,omitempty"`
}

type storedTurn struct {
	turn     Turn
	sequence uint64
	keepTill time.Time
}

type storedCharge struct {
	charge   Charge
	sequence uint64
}

type account struct {
	charges  map[string]*storedCharge
	keepTill time.Time
}

// position is one change in the order in which this replica applied it.
type position struct {
	sequence uint64
	key      Key
}

// State holds turns and charges. It is not safe for concurrent use.
type State struct {
	turns    map[string]*storedTurn
	accounts map[string]*account
	order    []position
	sequence uint64
	bytes    int64
}

// New returns an empty State.
func New() *State {
	return &State{turns: make(map[string]*storedTurn), accounts: make(map[string]*account)}
}

// Knows reports whether the state has this version of a record, or a later one.
func (s *State) Knows(key Key) bool {
	if !key.Charge {
		return s.turns[key.Turn] != nil
	}
	known := s.accounts[key.Program]
	if known == nil || known.charges[key.Turn] == nil {
		return false
	}
	return known.charges[key.Turn].charge.Settled || !key.Settled
}

// Holds reports whether the state has exactly this version of a record.
func (s *State) Holds(key Key) bool {
	if !key.Charge {
		return s.turns[key.Turn] != nil
	}
	known := s.accounts[key.Program]
	return known != nil && known.charges[key.Turn] != nil && known.charges[key.Turn].charge.Settled == key.Settled
}

// Apply takes a record and reports whether it was news.
func (s *State) Apply(now time.Time, record Record) bool {
	key := record.Key()
	if s.Knows(key) {
		return false
	}
	s.sequence++
	if record.Turn != nil {
		s.applyTurn(now, *record.Turn)
	} else {
		s.applyCharge(now, *record.Charge)
	}
	s.order = append(s.order, position{sequence: s.sequence, key: key})
	return true
}

func (s *State) applyTurn(now time.Time, turn Turn) {
	s.turns[turn.ID] = &storedTurn{turn: turn, sequence: s.sequence}
	s.bytes += int64(len(turn.Text))
	s.keepChain(now.Add(time.Duration(turn.RetentionMillis)*time.Millisecond+retentionSlack), turn.ID)
}

// keepChain keeps a turn and all before it, for they are a part of it.
func (s *State) keepChain(till time.Time, id string) {
	for range maximalChain {
		known := s.turns[id]
		if known == nil || !known.keepTill.Before(till) {
			return
		}
		known.keepTill = till
		id = known.turn.Previous
	}
}

func (s *State) applyCharge(now time.Time, charge Charge) {
	known := s.accounts[charge.Program]
	if known == nil {
		known = &account{charges: make(map[string]*storedCharge)}
		s.accounts[charge.Program] = known
	}
	known.charges[charge.Turn] = &storedCharge{charge: charge, sequence: s.sequence}
	known.keepTill = now.Add(chargeRetention)
}

// Chain returns the turns from the first to id as far as they are known, and the ID of the turn
// that is missing; it is empty if the chain is whole.
func (s *State) Chain(id string) (turns []Turn, missing string) {
	for id != "" && len(turns) < maximalChain {
		known := s.turns[id]
		if known == nil {
			missing = id
			break
		}
		turns = append(turns, known.turn)
		id = known.turn.Previous
	}
	for left, right := 0, len(turns)-1; left < right; left, right = left+1, right-1 {
		turns[left], turns[right] = turns[right], turns[left]
	}
	return turns, missing
}

// HasTurn reports whether a turn is known.
func (s *State) HasTurn(id string) bool { return s.turns[id] != nil }

// Charges returns what a program was charged.
func (s *State) Charges(program string) []Charge {
	known := s.accounts[program]
	if known == nil {
		return nil
	}
	charges := make([]Charge, 0, len(known.charges))
	for _, stored := range known.charges {
		charges = append(charges, stored.charge)
	}
	return charges
}

// Sequence is the number of the last change.
func (s *State) Sequence() uint64 { return s.sequence }

// KeysSince returns up to limit keys of changes after a sequence, and the sequence that they reach.
func (s *State) KeysSince(sequence uint64, limit int) ([]Key, uint64) {
	var keys []Key
	for _, entry := range s.order[s.firstAfter(sequence):] {
		if len(keys) == limit {
			return keys, sequence
		}
		sequence = entry.sequence
		if s.current(entry) {
			keys = append(keys, entry.key)
		}
	}
	return keys, max(sequence, s.sequence)
}

func (s *State) firstAfter(sequence uint64) int {
	low, high := 0, len(s.order)
	for low < high {
		middle := (low + high) / 2
		if s.order[middle].sequence <= sequence {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// current reports whether a change is the last one of what it changed.
func (s *State) current(entry position) bool {
	if !entry.key.Charge {
		known := s.turns[entry.key.Turn]
		return known != nil && known.sequence == entry.sequence
	}
	known := s.accounts[entry.key.Program]
	if known == nil {
		return false
	}
	stored := known.charges[entry.key.Turn]
	return stored != nil && stored.sequence == entry.sequence
}

// Record returns the newest version of what a key names.
func (s *State) Record(key Key) (Record, bool) {
	if !key.Charge {
		known := s.turns[key.Turn]
		if known == nil {
			return Record{}, false
		}
		turn := known.turn
		return Record{Turn: &turn}, true
	}
	known := s.accounts[key.Program]
	if known == nil || known.charges[key.Turn] == nil {
		return Record{}, false
	}
	charge := known.charges[key.Turn].charge
	return Record{Charge: &charge}, true
}

// Records returns everything, in the order in which it was applied.
func (s *State) Records() []Record {
	records := make([]Record, 0, len(s.order))
	for _, entry := range s.order {
		if !s.current(entry) {
			continue
		}
		if record, found := s.Record(entry.key); found {
			records = append(records, record)
		}
	}
	return records
}

// Expire drops what need not be kept any longer, and returns the IDs of the turns among it.
func (s *State) Expire(now time.Time) []string {
	var dropped []string
	for id, known := range s.turns {
		if now.After(known.keepTill) {
			s.bytes -= int64(len(known.turn.Text))
			delete(s.turns, id)
			dropped = append(dropped, id)
		}
	}
	for program, known := range s.accounts {
		if now.After(known.keepTill) {
			delete(s.accounts, program)
		}
	}
	if len(s.order) > 0 && !s.current(s.order[0]) {
		s.trimOrder()
	}
	return dropped
}

func (s *State) trimOrder() {
	kept := make([]position, 0, len(s.order))
	for _, entry := range s.order {
		if s.current(entry) {
			kept = append(kept, entry)
		}
	}
	s.order = kept
}

// Size returns how many turns and programs are held, and the bytes of the turns' texts.
func (s *State) Size() (turns, programs int, bytes int64) {
	return len(s.turns), len(s.accounts), s.bytes
}
