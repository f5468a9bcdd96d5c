package turnstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
)

// An answer to a question for the text alone says nothing of the budget: it neither holds the
// reservation nor shows charges, and must not count for either.
func TestAnswerWithoutReservationDoesNotCountForTheBudget(t *testing.T) {
	members := []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	gathered := newGathering(ReplicaSet{Epoch: 1, Members: members, Copies: 2})
	opening := OpenParams{Turn: "t2", Program: "p", Previous: "t1", Budget: 100, Most: 60}
	opened := &OpenedTurn{Reserved: true}
	text := openAnswer{Complete: true, Known: true, Chain: []conversation.Turn{{ID: "t1", Text: []byte("x")}}}
	gathered.add(replicaAnswer{member: members[0], reserving: true, answer: openAnswer{Complete: true, Known: true}})
	gathered.add(replicaAnswer{member: members[1], answer: text})
	gathered.add(replicaAnswer{member: members[2], answer: text})
	done, _ := gathered.decide(opening, opened, true)
	assert.Assert(t, !done, "one reservation of two that are needed was taken for enough")

	spent := conversation.Charge{Program: "p", Turn: "t1", Tokens: 60}
	gathered.add(replicaAnswer{member: members[1], reserving: true, answer: openAnswer{Complete: true, Known: true, Charges: []conversation.Charge{spent}}})
	done, err := gathered.decide(opening, opened, true)
	assert.Assert(t, done)
	assert.Assert(t, apierr.Is(err, apierr.BudgetExceeded), "%v", err)
}
