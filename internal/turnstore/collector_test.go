package turnstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/conversation"
)

// A response to a request for the text alone neither holds the reservation nor lists charges, so it must not count for
// the budget.
func TestTextResponseDoesNotCountForBudget(t *testing.T) {
	members := []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	collector := newOpenCollector(ReplicaSet{Epoch: 1, Members: members, Copies: 2})
	params := OpenParams{Turn: "t2", Program: "p", Previous: "t1", Budget: 100, Most: 60}
	opened := &OpenedTurn{Reserved: true}
	text := openResponse{Complete: true, Known: true, Chain: []conversation.Turn{{ID: "t1", Text: []byte("x")}}}
	collector.add(openReply{member: members[0], reserving: true, response: openResponse{Complete: true, Known: true}})
	collector.add(openReply{member: members[1], response: text})
	collector.add(openReply{member: members[2], response: text})
	done, _ := collector.decide(params, opened, true)
	assert.Assert(t, !done, "one of two required reservations was accepted")

	spent := conversation.Charge{Program: "p", Turn: "t1", Tokens: 60}
	collector.add(openReply{member: members[1], reserving: true, response: openResponse{Complete: true, Known: true, Charges: []conversation.Charge{spent}}})
	done, err := collector.decide(params, opened, true)
	assert.Assert(t, done)
	assert.Assert(t, apierr.Is(err, apierr.BudgetExceeded), "%v", err)
}
