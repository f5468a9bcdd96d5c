package turnstore

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mountstile/mountstile/internal/conversation"
)

// Three reservations, each of which reaches one replica early and the next one late, see each other in a circle: the first
// sees the second, the second the third, and the third the first. None may be granted on what it sees then: together they
// would exceed the budget.
func TestReservationsThatSeeEachOtherInACircle(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	const budget, most = 120, 60
	var granted []chan error
	var opens []func(string)
	for _, m := range c.machines {
		client, open := c.newGatedClient(m)
		opens = append(opens, open)
		granted = append(granted, c.reserveAt(client, m, m.name, budget, most))
	}
	for index := range c.machines {
		opens[index](c.machines[(index+1)%len(c.machines)].address)
	}
	spent := 0
	for _, result := range granted {
		if <-result == nil {
			spent += most
		}
	}
	assert.Assert(t, spent <= budget, "%d tokens of a budget of %d were granted", spent, budget)
}

// A reservation counts once all members have stored it, or once a read quorum has listed the charges after a write quorum
// had stored it.
func TestReservationNeedsConfirmation(t *testing.T) {
	members := []Member{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	params := OpenParams{Turn: "t", Program: "p", Budget: 100, Most: 60}
	reply := func(member int, confirming bool, charges ...conversation.Charge) openReply {
		return openReply{member: members[member], reserving: true, confirming: confirming, response: openResponse{Complete: true, Charges: charges}}
	}
	decide := func(replies ...openReply) (done bool, err error) {
		collector := newOpenCollector(ReplicaSet{Epoch: 1, Members: members, Copies: 2})
		for _, one := range replies {
			collector.add(one)
		}
		return collector.decide(params, &OpenedTurn{Reserved: true, chargeID: "own"}, false)
	}
	done, _ := decide(reply(0, false), reply(1, false))
	assert.Assert(t, !done, "granted by a write quorum alone")
	done, err := decide(reply(0, false), reply(1, false), reply(2, false))
	assert.Assert(t, done && err == nil)
	done, _ = decide(reply(0, false), reply(1, false), reply(0, true))
	assert.Assert(t, !done, "confirmed by less than a read quorum")
	done, err = decide(reply(0, false), reply(1, false), reply(0, true), reply(1, true))
	assert.Assert(t, done && err == nil)
	other := conversation.Charge{Program: "p", Turn: "other", Tokens: 60}
	done, err = decide(reply(0, false), reply(1, false), reply(0, true, other), reply(1, true))
	assert.Assert(t, done && err != nil, "granted though the confirmation lists another charge")
}
