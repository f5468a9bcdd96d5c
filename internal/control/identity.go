package control

import (
	"context"
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
)

const (
	// identityInterval is the interval at which awaitIdentity checks the members.
	identityInterval = 200 * time.Millisecond
	// conflictLogInterval is the interval at which a persistent conflict is logged.
	conflictLogInterval = time.Minute
)

// awaitIdentity waits until this node has synced the member list and no other live member at another address has its replica ID.
// It returns false if the context has ended first. It guards against a copied data folder: two replicas with one ID could vote
// twice in a term. A folder may be moved to another host; its ID can be used there once the former node is known to have failed.
func (p *Plane) awaitIdentity(ctx context.Context) bool {
	ticker := time.NewTicker(identityInterval)
	defer ticker.Stop()
	var loggedAt time.Time
	for {
		conflictingMember, conflict := p.conflictingMember()
		if !conflict && p.membersKnown() {
			p.identityConfirmed.Store(true)
			return true
		}
		if conflict && time.Since(loggedAt) > conflictLogInterval {
			loggedAt = time.Now()
			p.options.Logger.Emit(events.IdentityInUse, events.F("replica", conflictingMember.ReplicaID), events.F("member", conflictingMember.ID), events.F("address", conflictingMember.Address))
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}

// membersKnown reports whether this node would know of another member with its replica ID. A node without a data folder has a
// unique replica ID, and a node without other seeds is the first of its cluster.
func (p *Plane) membersKnown() bool {
	self := p.options.Self
	isSelf := func(seed string) bool { return seed == self.Address }
	isFirstNode := len(slices.DeleteFunc(slices.Clone(p.options.Seeds), isSelf)) == 0
	return self.ReplicaID == self.ID || isFirstNode || p.Membership.Synced()
}

// conflictingMember returns another usable member with this node's replica ID at another address.
func (p *Plane) conflictingMember() (membership.Member, bool) {
	self := p.options.Self
	for _, member := range p.Membership.View().Usable() {
		if member.ReplicaID == self.ReplicaID && member.ID != self.ID && member.Address != self.Address {
			return member, true
		}
	}
	return membership.Member{}, false
}
