package control

import (
	"context"
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
)

const (
	// identityInterval is how often a claimed identity is looked at again.
	identityInterval = 200 * time.Millisecond
	// identityReminder is how often a conflict is reported again.
	identityReminder = time.Minute
)

// awaitIdentity keeps the replicas of a copied data folder from running: two replicas with one identity
// could vote twice in a term. It returns once this node knows the members and no other live one, at
// another address, has claimed the identity; false means that the context has ended. A folder that
// was moved with its disk is free when its former node is known to be dead.
func (p *Plane) awaitIdentity(ctx context.Context) bool {
	ticker := time.NewTicker(identityInterval)
	defer ticker.Stop()
	var reported time.Time
	for {
		rival, claimed := p.rival()
		if !claimed && p.knowsMembers() {
			p.identityHeld.Store(true)
			return true
		}
		if claimed && time.Since(reported) > identityReminder {
			reported = time.Now()
			p.options.Logger.Emit(events.IdentityInUse, events.F("replica", rival.ReplicaID), events.F("member", rival.ID), events.F("address", rival.Address))
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// knowsMembers reports whether a rival would be known. A node without a data folder has an identity
// that nobody else can have; one without seeds is the first.
func (p *Plane) knowsMembers() bool {
	self := p.options.Self
	isSelf := func(seed string) bool { return seed == self.Address }
	alone := len(slices.DeleteFunc(slices.Clone(p.options.Seeds), isSelf)) == 0
	return self.ReplicaID == self.ID || alone || p.Membership.Synced()
}

func (p *Plane) rival() (membership.Member, bool) {
	self := p.options.Self
	for _, member := range p.Membership.View().Usable() {
		if member.ReplicaID == self.ReplicaID && member.ID != self.ID && member.Address != self.Address {
			return member, true
		}
	}
	return membership.Member{}, false
}
