package consensus

import "slices"

// progress is what the leader knows of one replica.
// Invariant: match < next; entries up to match are on the replica's storage.
type progress struct {
	match uint64
	next  uint64
	// probing sends one message at a time until the logs are known to agree at some index.
	probing bool
	waiting bool
	// snapshot is the index of a snapshot on its way; 0 if none.
	snapshot uint64
	// snapshotBeats counts the heartbeats answered since that snapshot was sent.
	snapshotBeats int
	inflight      []uint64
	// stalledAt is match as of the last heartbeat response that found entries unacknowledged.
	stalledAt uint64
	active    bool
}

func (p *progress) blocked() bool {
	return p.snapshot > 0 || p.probing && p.waiting || len(p.inflight) >= maxInflight
}

func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
}

func (p *progress) probeFrom(next uint64) {
	p.next = max(next, p.match+1)
	p.probing, p.waiting = true, false
	p.inflight = nil
}

func (c *Core) broadcastAppend() {
	for _, id := range c.sortedPeers() {
		c.sendAppend(id)
	}
}

// sortedPeers keeps the order of messages independent of map order.
func (c *Core) sortedPeers() []string {
	peers := make([]string, 0, len(c.progress))
	for id := range c.progress {
		if id != c.config.ID {
			peers = append(peers, id)
		}
	}
	slices.Sort(peers)
	return peers
}

// sendAppend sends what the replica lacks, as far as the pipeline allows.
func (c *Core) sendAppend(id string) {
	peer := c.progress[id]
	if peer == nil || peer.blocked() {
		return
	}
	previousTerm, known := c.log.term(peer.next - 1)
	if !known {
		peer.snapshot = c.log.applied
		c.send(Message{Kind: InstallSnapshot, To: id})
		return
	}
	entries := limitEntries(c.log.slice(peer.next, c.log.lastIndex()))
	if len(entries) == 0 && !peer.probing {
		return
	}
	c.send(Message{Kind: Append, To: id, Index: peer.next - 1, LogTerm: previousTerm, Entries: entries, Commit: c.log.committed})
	if peer.probing {
		peer.waiting = true
		return
	}
	peer.next += uint64(len(entries))
	peer.inflight = append(peer.inflight, peer.next-1)
}

func limitEntries(entries []Entry) []Entry {
	size := 0
	for position, entry := range entries {
		size += len(entry.Data)
		if size > maxAppendBytes && position > 0 {
			return slices.Clone(entries[:position])
		}
	}
	return slices.Clone(entries)
}

// broadcastHeartbeat keeps the followers' leases. It carries no more of the commit index than each
// follower is known to hold.
func (c *Core) broadcastHeartbeat() {
	for _, id := range c.sortedPeers() {
		c.send(Message{Kind: Heartbeat, To: id, Commit: min(c.progress[id].match, c.log.committed)})
	}
}

// advanceCommit commits what a majority holds, if it is of this term (Raft, section 5.4.2).
func (c *Core) advanceCommit() bool {
	matches := make([]uint64, 0, len(c.members.Voters))
	for _, id := range c.members.Voters {
		if peer := c.progress[id]; peer != nil {
			matches = append(matches, peer.match)
		}
	}
	if len(matches) < c.members.quorum() {
		return false
	}
	slices.Sort(matches)
	candidate := matches[len(matches)-c.members.quorum()]
	if term, ok := c.log.term(candidate); !ok || term != c.term || candidate <= c.log.committed {
		return false
	}
	c.log.committed = candidate
	return true
}

func (c *Core) handleAppend(message Message) {
	if message.Index < c.log.committed {
		// What is committed agrees with any leader's log.
		c.send(Message{Kind: AppendResponse, To: message.From, Index: c.log.committed})
		return
	}
	if term, ok := c.log.term(message.Index); !ok || term != message.LogTerm {
		hint := min(message.Index, c.log.lastIndex()+1) - 1
		c.send(Message{Kind: AppendResponse, To: message.From, Index: message.Index, Reject: true, Hint: hint})
		return
	}
	c.log.merge(message.Entries)
	c.refreshMembers()
	last := message.Index + uint64(len(message.Entries))
	c.log.committed = max(c.log.committed, min(message.Commit, last))
	c.send(Message{Kind: AppendResponse, To: message.From, Index: last})
}

func (c *Core) handleHeartbeat(message Message) {
	c.log.committed = max(c.log.committed, min(message.Commit, c.log.lastIndex()))
	c.send(Message{Kind: HeartbeatResponse, To: message.From})
}

func (c *Core) handleSnapshot(message Message) {
	snapshot := message.Snapshot
	if snapshot == nil || snapshot.Index <= c.log.committed {
		c.send(Message{Kind: AppendResponse, To: message.From, Index: c.log.committed})
		return
	}
	if term, ok := c.log.term(snapshot.Index); ok && term == snapshot.Term {
		// The log goes on beyond the snapshot; its acknowledged entries must not be dropped.
		c.log.committed = snapshot.Index
		c.send(Message{Kind: AppendResponse, To: message.From, Index: snapshot.Index})
		return
	}
	c.log.restore(*snapshot)
	c.received = snapshot
	c.refreshMembers()
	c.send(Message{Kind: AppendResponse, To: message.From, Index: snapshot.Index})
}

func (c *Core) handleAppendResponse(message Message) {
	peer := c.progress[message.From]
	if c.role != Leader || peer == nil {
		return
	}
	peer.active = true
	if message.Reject {
		c.handleRejection(peer, message)
		return
	}
	peer.acknowledge(message.Index)
	if peer.snapshot > 0 && message.Index >= peer.snapshot {
		peer.snapshot = 0
	}
	peer.probing, peer.waiting = false, false
	if c.advanceCommit() {
		c.stepDownIfRemoved()
	}
	if c.role != Leader {
		return
	}
	if message.From == c.transferTarget {
		c.finishTransfer(message.From)
		return
	}
	c.sendAppend(message.From)
}

// handleRejection goes back to where the logs may agree. A rejection that answers another message
// than the latest probe is stale; acting on it would let duplicates multiply without end.
func (c *Core) handleRejection(peer *progress, message Message) {
	stale := message.Index <= peer.match || message.Index >= peer.next
	if peer.probing {
		stale = message.Index != peer.next-1 || max(message.Hint, peer.match)+1 == peer.next
	}
	if stale {
		return
	}
	peer.snapshot = 0
	peer.probeFrom(message.Hint + 1)
	c.sendAppend(message.From)
}

// stepDownIfRemoved ends the leadership of a leader whose removal is committed.
func (c *Core) stepDownIfRemoved() {
	if !c.members.IsVoter(c.config.ID) && !c.log.membersPending() {
		c.broadcastHeartbeat()
		c.becomeFollower(c.term, "")
	}
}

func (c *Core) handleHeartbeatResponse(message Message) {
	peer := c.progress[message.From]
	if c.role != Leader || peer == nil {
		return
	}
	peer.active = true
	peer.waiting = false
	if peer.match < c.log.lastIndex() {
		// Something may have been lost on the way: start again from what is acknowledged.
		if peer.snapshot > 0 && !peer.snapshotLost() {
			return
		}
		if len(peer.inflight) >= maxInflight || !peer.probing {
			c.restartIfStalled(peer)
		}
		c.sendAppend(message.From)
	}
}

// snapshotLost counts heartbeats since a snapshot was sent, and gives it up after a while.
func (p *progress) snapshotLost() bool {
	p.snapshotBeats++
	if p.snapshotBeats < snapshotPatience {
		return false
	}
	p.snapshot, p.snapshotBeats = 0, 0
	return true
}

// restartIfStalled resends when two heartbeats were answered without any acknowledgement.
func (c *Core) restartIfStalled(peer *progress) {
	if peer.stalledAt == peer.match && peer.stalledAt > 0 || peer.match == 0 {
		peer.probeFrom(peer.match + 1)
	}
	peer.stalledAt = peer.match
}

// CaughtUp reports whether a learner is so near the commit index that it can vote.
func (c *Core) CaughtUp(id string) bool {
	peer := c.progress[id]
	return c.role == Leader && peer != nil && peer.match+promotionLag >= c.log.committed && peer.match > 0
}

const (
	promotionLag = 64
	// snapshotPatience is how many heartbeats a snapshot may take before it is sent again.
	snapshotPatience = 25
)
