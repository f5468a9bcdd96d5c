// Package conversation is the in-memory state of one replica: the turns of conversations and the
// token charges of programs. It uses no clock, goroutines or I/O.
//
// A turn is immutable once written, and a charge changes only once, from reserved to settled.
// Applying records is therefore commutative and idempotent: replicas that applied the same set of
// records hold the same state.
//
// Usage:
//
//	state := conversation.New()
//	state.Apply(now, record)
//	turns, missing := state.Chain("turn-7")
//	charges := state.Charges("program-1")
package conversation

import (
	"slices"
	"time"
)

const (
	// retentionSlack extends the requested retention of a turn, which is written shortly before its
	// response ends and may be continued by a request that is still queued.
	retentionSlack = 10 * time.Second
	// chargeRetention is how long a program's charges are kept after the last change to any of them.
	chargeRetention = 10 * time.Minute
	// maxChainTurns bounds the number of turns in one conversation.
	maxChainTurns = 10_000
)

// Turn is one completely answered turn of a conversation.
type Turn struct {
	ID       string `json:"id"`
	Previous string `json:"previous,omitempty"`
	Program  string `json:"program,omitempty"`
	// Engine generated the response and probably has the prompt cached.
	Engine string `json:"engine,omitempty"`
	// Text is this turn's input followed by its output, the part that it adds to the next turn's prompt.
	Text Text `json:"text"`
	// RetentionMillis is how long the turn and its predecessors are retained so that they can be continued.
	RetentionMillis int64 `json:"retention_millis"`
}

// Charge is the number of tokens that a program is charged for one attempt at a turn.
type Charge struct {
	Program string `json:"program"`
	// Turn is the charge's ID, unique within its program. Each attempt at a turn has its own. It may carry an Origin.
	Turn   string `json:"turn"`
	Tokens int64  `json:"tokens"`
	// Settled marks a final charge; a reserved charge is the most that the turn may generate.
	Settled bool `json:"settled,omitempty"`
	// Engine ran the turn and probably has the program's prompts cached. It is a hint, set only on settled
	// charges and not preserved when a charge is pulled from another replica.
	Engine string `json:"engine,omitempty"`
}

// Record is a version of a turn or of a charge; exactly one field is set.
type Record struct {
	Turn   *Turn   `json:"turn,omitempty"`
	Charge *Charge `json:"charge,omitempty"`
}

// Key returns the key that identifies this version of the record.
func (r Record) Key() Key {
	if r.Turn != nil {
		return Key{Turn: r.Turn.ID}
	}
	return Key{Turn: r.Charge.Turn, Program: r.Charge.Program, Charge: true, Settled: r.Charge.Settled}
}

// Key identifies a version of a record. Replicas exchange the keys of everything that they hold, so a key
// is encoded in JSON as one short string.
type Key struct {
	Turn    string
	Program string
	Charge  bool
	Settled bool
}

// A replica holds many charges, since all of a program's are kept until chargeRetention after the last one. To save
// memory, the charges of an account are stored in a slice, equal strings are interned, and the change log holds
// pointers instead of keys.

type storedTurn struct {
	turn      Turn
	sequence  uint64
	expiresAt time.Time
	dropped   bool
}

type storedCharge struct {
	id       string
	sequence uint64
	tokens   int64
	settled  bool
}

// account holds the charges of one program.
type account struct {
	program string
	charges []storedCharge
	// engine is the engine named by the most recently applied charge that names one.
	engine    string
	expiresAt time.Time
	dropped   bool
}

// find returns the index of the charge with an ID, or -1.
func (a *account) find(id string) int {
	return slices.IndexFunc(a.charges, func(stored storedCharge) bool { return stored.id == id })
}

func (a *account) charge(index int) Charge {
	stored := a.charges[index]
	return Charge{Program: a.program, Turn: stored.id, Tokens: stored.tokens, Settled: stored.settled}
}

// change is an entry of the change log: either a turn, or one charge of an account.
type change struct {
	sequence uint64
	turn     *storedTurn
	account  *account
	// charge is an index into account.charges.
	charge int
}

// current reports whether the changed item is still held and has not changed since.
func (c change) current() bool {
	if c.turn != nil {
		return !c.turn.dropped
	}
	return !c.account.dropped && c.account.charges[c.charge].sequence == c.sequence
}

// key returns the key of the changed item. The change must be current.
func (c change) key() Key {
	if c.turn != nil {
		return Key{Turn: c.turn.turn.ID}
	}
	stored := c.account.charges[c.charge]
	return Key{Turn: stored.id, Program: c.account.program, Charge: true, Settled: stored.settled}
}

// record returns the changed item. The change must be current.
func (c change) record() Record {
	if c.turn != nil {
		turn := c.turn.turn
		return Record{Turn: &turn}
	}
	charge := c.account.charge(c.charge)
	return Record{Charge: &charge}
}

const (
	// maxStaleChanges is how many superseded changes the change log may hold in addition to
	// as many as there are current ones.
	maxStaleChanges = 1024
	// maxInternedEngines bounds the interned engine names.
	maxInternedEngines = 4096
)

// State holds the turns and charges of one replica. It is not safe for concurrent use.
type State struct {
	turns    map[string]*storedTurn
	accounts map[string]*account
	// engineNames interns engine names.
	engineNames map[string]string
	// changes is the change log, in ascending order of sequence.
	changes  []change
	sequence uint64
	// charges is the number of charges in all accounts.
	charges int
}

// New returns an empty State.
func New() *State {
	return &State{
		turns: make(map[string]*storedTurn), accounts: make(map[string]*account), engineNames: make(map[string]string),
	}
}

// Has reports whether the state holds this version of a record or a later one.
func (s *State) Has(key Key) bool {
	if !key.Charge {
		return s.turns[key.Turn] != nil
	}
	settled, found := s.chargeState(key)
	return found && (settled || !key.Settled)
}

// IsCurrent reports whether the state holds exactly this version of a record.
func (s *State) IsCurrent(key Key) bool {
	if !key.Charge {
		return s.turns[key.Turn] != nil
	}
	settled, found := s.chargeState(key)
	return found && settled == key.Settled
}

// chargeState reports whether a charge is held and whether it is settled.
func (s *State) chargeState(key Key) (settled, found bool) {
	existing := s.accounts[key.Program]
	if existing == nil {
		return false, false
	}
	index := existing.find(key.Turn)
	if index < 0 {
		return false, false
	}
	return existing.charges[index].settled, true
}

// Apply stores a record unless the state holds this or a later version of it, and reports whether it did.
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
	s.changes = append(s.changes, applied)
	if len(s.changes) > 2*(len(s.turns)+s.charges)+maxStaleChanges {
		s.compactChanges()
	}
	return true
}

func (s *State) applyTurn(now time.Time, turn Turn) *storedTurn {
	s.internStrings(&turn)
	added := &storedTurn{turn: turn, sequence: s.sequence}
	s.turns[turn.ID] = added
	s.extendChain(now.Add(time.Duration(turn.RetentionMillis)*time.Millisecond+retentionSlack), turn.ID)
	return added
}

// internStrings replaces the turn's strings by equal ones that are already in memory.
func (s *State) internStrings(turn *Turn) {
	if previous := s.turns[turn.Previous]; previous != nil {
		turn.Previous = previous.turn.ID
	}
	if existing := s.accounts[turn.Program]; existing != nil {
		turn.Program = existing.program
	}
	turn.Engine = s.internEngineName(turn.Engine)
}

// internEngineName returns the interned copy of an engine name.
func (s *State) internEngineName(engine string) string {
	if name, found := s.engineNames[engine]; found {
		return name
	}
	if len(s.engineNames) >= maxInternedEngines {
		clear(s.engineNames)
	}
	s.engineNames[engine] = engine
	return engine
}

// extendChain extends the retention of a turn and its predecessors, which its prompt consists of.
func (s *State) extendChain(expiry time.Time, id string) {
	for range maxChainTurns {
		stored := s.turns[id]
		if stored == nil || !stored.expiresAt.Before(expiry) {
			return
		}
		stored.expiresAt = expiry
		id = stored.turn.Previous
	}
}

func (s *State) applyCharge(now time.Time, charge Charge) (*account, int) {
	existing := s.accounts[charge.Program]
	if existing == nil {
		existing = &account{program: charge.Program}
		s.accounts[charge.Program] = existing
	}
	existing.expiresAt = now.Add(chargeRetention)
	index := existing.find(charge.Turn)
	if index < 0 {
		index = len(existing.charges)
		existing.charges = append(existing.charges, storedCharge{id: charge.Turn})
		s.charges++
	}
	stored := &existing.charges[index]
	stored.sequence = s.sequence
	stored.tokens = charge.Tokens
	stored.settled = charge.Settled
	if charge.Engine != "" {
		existing.engine = s.internEngineName(charge.Engine)
	}
	return existing, index
}

// Chain returns the turns of a conversation up to id, oldest first. If a turn is not held, the result starts
// after it, and missing is its ID; otherwise missing is empty.
func (s *State) Chain(id string) (turns []Turn, missing string) {
	for id != "" && len(turns) < maxChainTurns {
		stored := s.turns[id]
		if stored == nil {
			missing = id
			break
		}
		turns = append(turns, stored.turn)
		id = stored.turn.Previous
	}
	for left, right := 0, len(turns)-1; left < right; left, right = left+1, right-1 {
		turns[left], turns[right] = turns[right], turns[left]
	}
	return turns, missing
}

// HasTurn reports whether the state holds a turn.
func (s *State) HasTurn(id string) bool { return s.turns[id] != nil }

// Charges returns all charges of a program.
func (s *State) Charges(program string) []Charge {
	existing := s.accounts[program]
	if existing == nil {
		return nil
	}
	charges := make([]Charge, 0, len(existing.charges))
	for index := range existing.charges {
		charges = append(charges, existing.charge(index))
	}
	return charges
}

// Engine returns the engine that last ran a turn of the program, or the empty string if unknown.
func (s *State) Engine(program string) string {
	existing := s.accounts[program]
	if existing == nil {
		return ""
	}
	return existing.engine
}

// Sequence returns the sequence number of the last change.
func (s *State) Sequence() uint64 { return s.sequence }

// KeysSince returns the keys of up to limit records that changed after a sequence number, and the sequence
// number from which to continue.
func (s *State) KeysSince(sequence uint64, limit int) ([]Key, uint64) {
	var keys []Key
	for _, entry := range s.changes[s.firstChangeAfter(sequence):] {
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

func (s *State) firstChangeAfter(sequence uint64) int {
	low, high := 0, len(s.changes)
	for low < high {
		middle := (low + high) / 2
		if s.changes[middle].sequence <= sequence {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// Record returns the newest version of the record that a key identifies.
func (s *State) Record(key Key) (Record, bool) {
	if !key.Charge {
		stored := s.turns[key.Turn]
		if stored == nil {
			return Record{}, false
		}
		turn := stored.turn
		return Record{Turn: &turn}, true
	}
	stored := s.accounts[key.Program]
	if stored == nil {
		return Record{}, false
	}
	index := stored.find(key.Turn)
	if index < 0 {
		return Record{}, false
	}
	charge := stored.charge(index)
	return Record{Charge: &charge}, true
}

// Records returns all records in the order in which they were applied.
func (s *State) Records() []Record {
	records := make([]Record, 0, len(s.changes))
	for _, entry := range s.changes {
		if entry.current() {
			records = append(records, entry.record())
		}
	}
	return records
}

// Expire drops turns and accounts whose retention has ended, and returns the IDs of the dropped turns.
func (s *State) Expire(now time.Time) []string {
	var dropped []string
	for id, stored := range s.turns {
		if now.After(stored.expiresAt) {
			stored.dropped = true
			delete(s.turns, id)
			dropped = append(dropped, id)
		}
	}
	for program, stored := range s.accounts {
		if now.After(stored.expiresAt) {
			s.charges -= len(stored.charges)
			stored.dropped = true
			delete(s.accounts, program)
		}
	}
	if len(s.changes) > 0 && !s.changes[0].current() {
		s.compactChanges()
	}
	return dropped
}

// compactChanges drops superseded changes. It copies the rest into a new slice to release their memory.
func (s *State) compactChanges() {
	kept := make([]change, 0, len(s.turns)+s.charges)
	for _, entry := range s.changes {
		if entry.current() {
			kept = append(kept, entry)
		}
	}
	s.changes = kept
}

// Size returns the number of turns, and of programs that have charges.
func (s *State) Size() (turns, programs int) { return len(s.turns), len(s.accounts) }
