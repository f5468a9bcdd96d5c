package turnstore

import (
	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
)

// openCollector collects the replicas' responses to one open request until they suffice for a decision. It is not safe
// for concurrent use.
type openCollector struct {
	set       ReplicaSet
	newer     *ReplicaSet
	responded map[string]bool
	complete  map[string]bool
	// reserved holds the replicas that have synced the reservation; reservedComplete holds the complete
	// replicas among them, whose lists of charges can be relied on.
	reserved         map[string]bool
	reservedComplete map[string]bool
	// confirmed holds the complete replicas that listed the charges after a write quorum had stored the reservation.
	confirmed map[string]bool
	// known reports that some replica has the previous turn, though perhaps not its text or its predecessors.
	known    bool
	turns    map[string]conversation.Turn
	charges  map[string]conversation.Charge
	withText map[string]bool
	// engine is the engine that ran the program's last turn, according to some replica.
	engine string
}

func newOpenCollector(set ReplicaSet) *openCollector {
	return &openCollector{
		set:       set,
		responded: make(map[string]bool),
		complete:  make(map[string]bool),
		reserved:  make(map[string]bool),
		turns:     make(map[string]conversation.Turn),
		charges:   make(map[string]conversation.Charge),
		withText:  make(map[string]bool),

		reservedComplete: make(map[string]bool),
		confirmed:        make(map[string]bool),
	}
}

func (c *openCollector) add(reply openReply) {
	if reply.err != nil {
		return
	}
	if newer := reply.response.Newer; newer != nil {
		if newer.Epoch > c.set.Epoch && newer.sameCluster(c.set) {
			c.newer = newer
		}
		return
	}
	c.responded[reply.member.Name] = true
	if reply.response.Complete {
		c.complete[reply.member.Name] = true
	}
	if reply.reserving {
		c.reserved[reply.member.Name] = true
		c.reservedComplete[reply.member.Name] = reply.response.Complete
		c.confirmed[reply.member.Name] = c.confirmed[reply.member.Name] || reply.confirming && reply.response.Complete
	}
	c.known = c.known || reply.response.Known
	if reply.response.Engine != "" {
		c.engine = reply.response.Engine
	}
	if len(reply.response.Chain) > 0 || reply.response.Missing != "" {
		c.withText[reply.member.Name] = true
	}
	for _, turn := range reply.response.Chain {
		c.turns[turn.ID] = turn
	}
	for _, charge := range reply.response.Charges {
		if known, found := c.charges[charge.Turn]; !found || !known.Settled {
			c.charges[charge.Turn] = charge
		}
	}
}

// readable reports whether the responses form a read quorum, so that they show every acknowledged record.
func (c *openCollector) readable() bool { return c.set.HasReadQuorum(c.complete) }

// chain returns the turns up to id, oldest first, or nil if any is missing.
func (c *openCollector) chain(id string) []conversation.Turn {
	var turns []conversation.Turn
	for id != "" {
		turn, found := c.turns[id]
		if !found {
			return nil
		}
		turns = append(turns, turn)
		id = turn.Previous
	}
	for left, right := 0, len(turns)-1; left < right; left, right = left+1, right-1 {
		turns[left], turns[right] = turns[right], turns[left]
	}
	return turns
}

// needsText reports that a replica returned turns or named a missing one, but the chain is not complete.
func (c *openCollector) needsText(previous string) bool {
	return len(c.withText) > 0 && c.chain(previous) == nil
}

// decide reports whether the responses suffice. If so, it returns an error or fills opened, except for its previous
// turns.
func (c *openCollector) decide(params OpenParams, opened *OpenedTurn, wantText bool) (bool, error) {
	if params.charged() && !c.stored() {
		return false, nil
	}
	if opened.Reserved && c.spent(opened.chargeID)+params.Most > params.Budget {
		return true, apierr.New(apierr.BudgetExceeded, apierr.NotRun,
			"the program's budget of %d tokens has no room for %d more", params.Budget, params.Most)
	}
	if opened.Reserved && !c.ordered() {
		return false, nil
	}
	opened.Writer, opened.WriterUnclear = c.writer(params.Stream)
	if opened.Engine == "" {
		opened.Engine = c.engine
	}
	if !wantText {
		return true, nil
	}
	if c.chain(params.Previous) != nil {
		return true, nil
	}
	if c.readable() && !c.known && len(c.turns) == 0 {
		return true, noSuchTurn(params.Previous)
	}
	return false, nil
}

// stored reports whether a write quorum has stored the reservation and a read quorum has listed the charges.
func (c *openCollector) stored() bool {
	return c.set.HasWriteQuorum(c.reserved) && c.set.HasReadQuorum(c.reservedComplete)
}

// ordered reports whether the listed charges can be relied on. Replicas list them when they store the reservation, each at
// another time, so that reservations of concurrent turns may see each other in a circle, and each of them may miss one. If
// all members have stored the reservation, or a read quorum has listed the charges after a write quorum had stored it, then
// of any such reservations the last one sees all others.
func (c *openCollector) ordered() bool {
	all := c.set.All()
	return count(all, c.reservedComplete) == len(all) || c.set.HasReadQuorum(c.confirmed)
}

// writer returns the recorded Writer of a stream that the caller resumes, and whether the records contradict each other.
func (c *openCollector) writer(stream StreamParams) (conversation.Writer, bool) {
	if !stream.Resumed() {
		return 0, false
	}
	lookup := conversation.LookupOrigin(stream.ID)
	for id := range c.charges {
		lookup.Add(id)
	}
	return lookup.Writer(), lookup.Unclear()
}

func noSuchTurn(id string) *apierr.Error {
	return apierr.New(apierr.NoSuchTurn, apierr.NotRun, "there is no turn %q", id)
}

// spent returns the tokens charged to the program by all charges but this open's own.
func (c *openCollector) spent(ownChargeID string) int64 {
	var sum int64
	for id, charge := range c.charges {
		if id != ownChargeID {
			sum += charge.Tokens
		}
	}
	return sum
}
