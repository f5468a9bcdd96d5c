package consensus

import "slices"

// progress is the leader's view of the log of one replica.
// Invariant: match < next. The replica has stored the entries up to match.
type progress struct {
	match uint64
	next  uint64
	// probing is set until an index at which the logs match is known. Meanwhile one message is sent
	// at a time; probeSent is set while its response is outstanding.
	probing   bool
	probeSent bool
	// pendingSnapshot is the index of the snapshot that is being sent, or 0.
	pendingSnapshot uint64
	// snapshotHeartbeats counts the heartbeat responses while a snapshot is pending.
	snapshotHeartbeats int
	// inflight holds the last index of each unacknowledged message.
	inflight []uint64
	// previousMatch is the value of match at the previous call of probeIfStalled.
	previousMatch uint64
	// active is set by a response and cleared by each quorum check.
	active bool
}

// blocked reports whether no Append may be sent now.
func (p *progress) blocked() bool {
	return p.pendingSnapshot > 0 || p.probing && p.probeSent || len(p.inflight) >= maxInflightAppends
}

func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
}

// probeFrom discards the in-flight messages and probes from next on.
func (p *progress) probeFrom(next uint64) {
	p.next = max(next, p.match+1)
	p.probing, p.probeSent = true, false
	p.inflight = nil
}

func (c *Core) broadcastAppend() {
	for _, id := range c.sortedPeers() {
		c.sendAppend(id)
	}
}

// sortedPeers returns the other replicas in sorted order, so that the order of messages is
// deterministic.
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

// sendAppend sends the next missing entries or a snapshot to a replica, unless it is blocked.
func (c *Core) sendAppend(id string) {
	peer := c.progress[id]
	if peer == nil || peer.blocked() {
		return
	}
	previousTerm, known := c.log.term(peer.next - 1)
	if !known {
		peer.pendingSnapshot = c.log.applied
		c.send(Message{Kind: InstallSnapshot, To: id})
		return
	}
	entries := limitEntries(c.log.slice(peer.next, c.log.lastIndex()))
	if len(entries) == 0 && !peer.probing {
		return
	}
	c.send(Message{Kind: Append, To: id, Index: peer.next - 1, LogTerm: previousTerm, Entries: entries, Commit: c.log.committed})
	if peer.probing {
		peer.probeSent = true
		return
	}
	peer.next += uint64(len(entries))
	peer.inflight = append(peer.inflight, peer.next-1)
}

// limitEntries returns a copy of the first entries, at most maxAppendBytes but at least one.
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

// broadcastHeartbeat sends heartbeats to all other replicas. The commit index is limited to match,
// because later entries in a follower's log may differ from the leader's.
func (c *Core) broadcastHeartbeat() {
	for _, id := range c.sortedPeers() {
		c.send(Message{Kind: Heartbeat, To: id, Commit: min(c.progress[id].match, c.log.committed)})
	}
}

// advanceCommit commits the entries that a majority has stored, if the last of them is of the current
// term (Raft, section 5.4.2).
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
		// Committed entries match the log of every leader.
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
		// The log contains the last entry of the snapshot. Later entries may have been acknowledged and
		// must not be discarded.
		c.log.committed = snapshot.Index
		c.send(Message{Kind: AppendResponse, To: message.From, Index: snapshot.Index})
		return
	}
	c.log.restore(*snapshot)
	c.receivedSnapshot = snapshot
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
	if peer.pendingSnapshot > 0 && message.Index >= peer.pendingSnapshot {
		peer.pendingSnapshot = 0
	}
	peer.probing, peer.probeSent = false, false
	if c.advanceCommit() {
		c.stepDownIfRemoved()
	}
	if c.role != Leader {
		return
	}
	if message.From == c.transferTarget {
		c.continueTransfer(message.From)
		return
	}
	c.sendAppend(message.From)
}

// handleRejection probes again from the index that the follower suggests. A rejection of another message
// than the latest probe is stale; a new probe for each one would let duplicates multiply without end.
func (c *Core) handleRejection(peer *progress, message Message) {
	stale := message.Index <= peer.match || message.Index >= peer.next
	if peer.probing {
		stale = message.Index != peer.next-1 || max(message.Hint, peer.match)+1 == peer.next
	}
	if stale {
		return
	}
	peer.pendingSnapshot = 0
	peer.probeFrom(message.Hint + 1)
	c.sendAppend(message.From)
}

// stepDownIfRemoved makes the leader a follower once its own removal is committed.
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
	peer.probeSent = false
	if peer.match < c.log.lastIndex() {
		// A message may have been lost; resend from the last acknowledged index.
		if peer.pendingSnapshot > 0 && !peer.snapshotTimedOut() {
			return
		}
		if len(peer.inflight) >= maxInflightAppends || !peer.probing {
			c.probeIfStalled(peer)
		}
		c.sendAppend(message.From)
	}
}

// snapshotTimedOut counts a heartbeat response, and abandons the pending snapshot after
// snapshotTimeoutHeartbeats.
func (p *progress) snapshotTimedOut() bool {
	p.snapshotHeartbeats++
	if p.snapshotHeartbeats < snapshotTimeoutHeartbeats {
		return false
	}
	p.pendingSnapshot, p.snapshotHeartbeats = 0, 0
	return true
}

// probeIfStalled resumes probing if match is 0 or has not advanced since the previous call.
func (c *Core) probeIfStalled(peer *progress) {
	if peer.previousMatch == peer.match && peer.previousMatch > 0 || peer.match == 0 {
		peer.probeFrom(peer.match + 1)
	}
	peer.previousMatch = peer.match
}

// CaughtUp reports whether the log of a learner is close enough to the commit index for promotion.
func (c *Core) CaughtUp(id string) bool {
	peer := c.progress[id]
	return c.role == Leader && peer != nil && peer.match+maxPromotionLag >= c.log.committed && peer.match > 0
}

const (
	// maxPromotionLag is the maximum number of committed entries that a learner may lack when it is
	// promoted.
	maxPromotionLag = 64
	// snapshotTimeoutHeartbeats is the number of heartbeat responses after which a pending snapshot is
	// sent again.
	snapshotTimeoutHeartbeats = 25
)
