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
	"slices"
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
	// Turn names the charge among those of its program: each try of a turn has one of its own.
	Turn   string `json:"turn"`
	Tokens int64  `json:"tokens"`
	// Settled charges are final; others are the most that the turn may generate.
	Settled bool `json:"settled,omitempty"`
	// Engine ran the turn, and is likely to have the program's prompts in memory. It is a hint in a settled charge, and
	// is lost where the charge is pulled from another replica.
	Engine string `json:"engine,omitempty"`
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

// Key identifies a version of a record. Replicas list the keys of all that they hold to one another, so that in JSON it is
// one short text.
type Key struct {
	Turn    string
	Program string
	Charge  bool
	Settled bool
}

// A replica holds one charge for each turn of the last ten minutes, and has little memory. So charges lie in a row
// in their account, strings that are equal are held once, and the order of changes points to what changed
// instead of naming it.

type storedTurn struct {
	turn     Turn
	sequence uint64
	keepTill time.Time
	dropped  bool
}

type storedCharge struct {
	name     string
	sequence uint64
	tokens   int64
	settled  bool
}

// account is what one program was charged.
type account struct {
	program string
	charges []storedCharge
	// engine ran the turn that was settled last.
	engine   string
	keepTill time.Time
	dropped  bool
}

// find returns the index of a charge, or -1.
func (a *account) find(name string) int {
	return slices.IndexFunc(a.charges, func(stored storedCharge) bool { return stored.name == name })
}

func (a *account) charge(index int) Charge {
	stored := a.charges[index]
	return Charge{Program: a.program, Turn: stored.name, Tokens: stored.tokens, Settled: stored.settled}
}

// change is one change, at its place in the order in which this replica applied them: either of a turn, or of one
// charge of an account.
type change struct {
	sequence uint64
	turn     *storedTurn
	account  *account
	charge   int
}

// current reports whether this is the last change of what it changed, and that is still held.
func (c change) current() bool {
	if c.turn != nil {
		return !c.turn.dropped
	}
	return !c.account.dropped && c.account.charges[c.charge].sequence == c.sequence
}

// key names what the change left; the change must be current.
func (c change) key() Key {
	if c.turn != nil {
		return Key{Turn: c.turn.turn.ID}
	}
	stored := c.account.charges[c.charge]
	return Key{Turn: stored.name, Program: c.account.program, Charge: true, Settled: stored.settled}
}

// record is what the change left; the change must be current.
func (c change) record() Record {
	if c.turn != nil {
		turn := c.turn.turn
		return Record{Turn: &turn}
	}
	charge := c.account.charge(c.charge)
	return Record{Charge: &charge}
}

const (
	// orderSlack is how many overtaken changes may stay in the order, besides as many as there are current ones.
	orderSlack = 1024
	// mostEngineNames bounds the names of engines that are held once for all turns.
	mostEngineNames = 4096
)

// State holds turns and charges. It is not safe for concurrent use.
type State struct {
	turns    map[string]*storedTurn
	accounts map[string]*account
	// engineNames are the names of engines, each held once.
	engineNames map[string]string
	order       []change
	sequence    uint64
	// charges is how many charges are held.
	charges int
}

// New returns an empty State.
func New() *State {
	return &State{
		turns: make(map[string]*storedTurn), accounts: make(map[string]*account), engineNames: make(map[string]string),
	}
}

// Has reports whether the state has this version of a record, or a later one.
func (s *State) Has(key Key) bool {
	if !key.Charge {
		return s.turns[key.Turn] != nil
	}
	settled, found := s.chargeState(key)
	return found && (settled || !key.Settled)
}

// IsCurrent reports whether the state has exactly this version of a record.
func (s *State) IsCurrent(key Key) bool {
	if !key.Charge {
		return s.turns[key.Turn] != nil
	}
	settled, found := s.chargeState(key)
	return found && settled == key.Settled
}

// chargeState tells whether a charge is held, and whether it is settled.
func (s *State) chargeState(key Key) (settled, found bool) {
	known := s.accounts[key.Program]
	if known == nil {
		return false, false
	}
	index := known.find(key.Turn)
	if index < 0 {
		return false, false
	}
	return known.charges[index].settled, true
}

// Apply takes a record and reports whether it was news.
func (s *State) Apply(now time.Time, record Record) bool {
	if s.Has(record.Key()) {
		return false
	}
	s.sequence++
	applied := change{sequence: s.sequence}
	if record.Turn != nil {
		applied.turn = s.applyTurn(now, *record.Turn)
	} else {
		applied.account, applied.charge = s.applyCharge(now, *record.Charge)
	}
	s.order = append(s.order, applied)
	if len(s.order) > 2*(len(s.turns)+s.charges)+orderSlack {
		s.trimOrder()
	}
	return true
}

func (s *State) applyTurn(now time.Time, turn Turn) *storedTurn {
	s.shareStrings(&turn)
	added := &storedTurn{turn: turn, sequence: s.sequence}
	s.turns[turn.ID] = added
	s.keepChain(now.Add(time.Duration(turn.RetentionMillis)*time.Millisecond+retentionSlack), turn.ID)
	return added
}

// shareStrings replaces names that are held already by those that are held.
func (s *State) shareStrings(turn *Turn) {
	if previous := s.turns[turn.Previous]; previous != nil {
		turn.Previous = previous.turn.ID
	}
	if known := s.accounts[turn.Program]; known != nil {
		turn.Program = known.program
	}
	turn.Engine = s.sharedEngineName(turn.Engine)
}

// sharedEngineName is the name as it is held already, or holds it.
func (s *State) sharedEngineName(engine string) string {
	if name, found := s.engineNames[engine]; found {
		return name
	}
	if len(s.engineNames) >= mostEngineNames {
		clear(s.engineNames)
	}
	s.engineNames[engine] = engine
	return engine
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

func (s *State) applyCharge(now time.Time, charge Charge) (*account, int) {
	known := s.accounts[charge.Program]
	if known == nil {
		known = &account{program: charge.Program}
		s.accounts[charge.Program] = known
	}
	known.keepTill = now.Add(chargeRetention)
	index := known.find(charge.Turn)
	if index < 0 {
		index = len(known.charges)
		known.charges = append(known.charges, storedCharge{name: charge.Turn})
		s.charges++
	}
	stored := &known.charges[index]
	stored.sequence = s.sequence
	stored.tokens = charge.Tokens
	stored.settled = charge.Settled
	if charge.Engine != "" {
		known.engine = s.sharedEngineName(charge.Engine)
	}
	return known, index
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
	for index := range known.charges {
		charges = append(charges, known.charge(index))
	}
	return charges
}

// Engine is where a turn of the program ran last, as far as it is known; empty if it isn't.
func (s *State) Engine(program string) string {
	known := s.accounts[program]
	if known == nil {
		return ""
	}
	return known.engine
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
		if entry.current() {
			keys = append(keys, entry.key())
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
	if known == nil {
		return Record{}, false
	}
	index := known.find(key.Turn)
	if index < 0 {
		return Record{}, false
	}
	charge := known.charge(index)
	return Record{Charge: &charge}, true
}

// Records returns everything, in the order in which it was applied.
func (s *State) Records() []Record {
	records := make([]Record, 0, len(s.order))
	for _, entry := range s.order {
		if entry.current() {
			records = append(records, entry.record())
		}
	}
	return records
}

// Expire drops what need not be kept any longer, and returns the IDs of the turns among it.
func (s *State) Expire(now time.Time) []string {
	var dropped []string
	for id, known := range s.turns {
		if now.After(known.keepTill) {
			known.dropped = true
			delete(s.turns, id)
			dropped = append(dropped, id)
		}
	}
	for program, known := range s.accounts {
		if now.After(known.keepTill) {
			s.charges -= len(known.charges)
			known.dropped = true
			delete(s.accounts, program)
		}
	}
	if len(s.order) > 0 && !s.order[0].current() {
		s.trimOrder()
	}
	return dropped
}

// trimOrder drops changes that were overtaken. They are copied, so that the memory of those before is given back.
func (s *State) trimOrder() {
	kept := make([]change, 0, len(s.turns)+s.charges)
	for _, entry := range s.order {
		if entry.current() {
			kept = append(kept, entry)
		}
	}
	s.order = kept
}

// Size returns how many turns and programs are held.
func (s *State) Size() (turns, programs int) { return len(s.turns), len(s.accounts) }
