package turnstore

import (
	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
)

// gathering collects the answers of replicas to one opening until they allow a decision. It is
// not safe for concurrent use.
type gathering struct {
	set      ReplicaSet
	newer    *ReplicaSet
	answered map[string]bool
	complete map[string]bool
	// reserved have synced the reservation; reservedComplete of them are complete, so that their charges
	// are all that they may have to show.
	reserved         map[string]bool
	reservedComplete map[string]bool
	// known tells that some replica has the previous turn, though not its text or all before it.
	known    bool
	turns    map[string]conversation.Turn
	charges  map[string]conversation.Charge
	withText map[string]bool
	// engine is where a turn of the program ran last, as some replica says.
	engine string
}

func newGathering(set ReplicaSet) *gathering {
	return &gathering{
		set:      set,
		answered: make(map[string]bool),
		complete: make(map[string]bool),
		reserved: make(map[string]bool),
		turns:    make(map[string]conversation.Turn),
		charges:  make(map[string]conversation.Charge),
		withText: make(map[string]bool),

		reservedComplete: make(map[string]bool),
	}
}

func (g *gathering) add(reply replicaAnswer) {
	if reply.err != nil {
		return
	}
	if reply.answer.Newer != nil {
		g.newer = reply.answer.Newer
		return
	}
	g.answered[reply.member.Name] = true
	if reply.answer.Complete {
		g.complete[reply.member.Name] = true
	}
	if reply.reserving {
		g.reserved[reply.member.Name] = true
		g.reservedComplete[reply.member.Name] = reply.answer.Complete
	}
	g.known = g.known || reply.answer.Known
	if reply.answer.Engine != "" {
		g.engine = reply.answer.Engine
	}
	if len(reply.answer.Chain) > 0 || reply.answer.Missing != "" {
		g.withText[reply.member.Name] = true
	}
	for _, turn := range reply.answer.Chain {
		g.turns[turn.ID] = turn
	}
	for _, charge := range reply.answer.Charges {
		if known, found := g.charges[charge.Turn]; !found || !known.Settled {
			g.charges[charge.Turn] = charge
		}
	}
}

// readable tells whether every record that counts as written was shown by one of the answers.
func (g *gathering) readable() bool { return g.set.Read(g.complete) }

// chain returns the turns up to id, oldest first, or nil if one of them is not here.
func (g *gathering) chain(id string) []conversation.Turn {
	var turns []conversation.Turn
	for id != "" {
		turn, found := g.turns[id]
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

// needsText tells that the turn exists, and that the replica that was asked for its text has it not.
func (g *gathering) needsText(previous string) bool {
	return len(g.withText) > 0 && g.chain(previous) == nil
}

// decide reports whether the answers are enough, and then fills opened but for the turns before, or returns the refusal.
func (g *gathering) decide(opening OpenParams, opened *OpenedTurn, wantText bool) (bool, error) {
	if opened.Reserved && !(g.set.Written(g.reserved) && g.set.Read(g.reservedComplete)) {
		return false, nil
	}
	if opened.Reserved && g.spent(opened.charge)+opening.Most > opening.Budget {
		return true, apierr.New(apierr.BudgetExceeded, apierr.NotRun,
			"the program's budget of %d tokens has no room for %d more", opening.Budget, opening.Most)
	}
	if opened.Engine == "" {
		opened.Engine = g.engine
	}
	if !wantText {
		return true, nil
	}
	if g.chain(opening.Previous) != nil {
		return true, nil
	}
	if g.readable() && !g.known && len(g.turns) == 0 {
		return true, noSuchTurn(opening.Previous)
	}
	return false, nil
}

func noSuchTurn(id string) *apierr.Error {
	return apierr.New(apierr.NoSuchTurn, apierr.NotRun, "there is no turn %q", id)
}

// spent is what the program was charged otherwise than by the charge of this opening.
func (g *gathering) spent(own string) int64 {
	var sum int64
	for id, charge := range g.charges {
		if id != own {
			sum += charge.Tokens
		}
	}
	return sum
}
