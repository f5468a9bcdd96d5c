package consensus

import "slices"

// Campaign starts a pre-vote, which does not change the term. If this replica wins it, it starts an
// election.
func (c *Core) Campaign() {
	c.resetTimers()
	if !c.members.IsVoter(c.config.ID) {
		c.leader = ""
		return
	}
	c.role, c.leader = PreCandidate, ""
	c.votes = map[string]bool{c.config.ID: true}
	if c.wonVote() {
		c.startElection(false)
		return
	}
	c.requestVotes(PreVote, c.term+1, false)
}

// campaignSpacingTicks separates the campaigns of the followers after LeaderDown, to avoid split votes.
const campaignSpacingTicks = 3

// LeaderDown reports that a leader has failed or left, so that its followers campaign before their election
// timeout. They campaign one after another, in an order that depends on the term.
func (c *Core) LeaderDown(leader string) {
	if c.role != Follower || c.leader != leader {
		return
	}
	c.leader = ""
	rank := c.campaignRank(leader)
	c.electionElapsed = max(c.electionElapsed, c.electionTimeout-1-campaignSpacingTicks*rank)
}

// campaignRank returns this replica's position in the order of campaigns: the remaining voters sorted by ID, rotated by
// the term. A learner is last.
func (c *Core) campaignRank(leader string) int {
	candidates := slices.DeleteFunc(slices.Clone(c.members.Voters), func(id string) bool { return id == leader })
	slices.Sort(candidates)
	position := slices.Index(candidates, c.config.ID)
	if position < 0 {
		return len(candidates)
	}
	return (position + int(c.term)) % len(candidates)
}

func (c *Core) startElection(transfer bool) {
	c.role, c.leader = Candidate, ""
	c.term++
	c.vote = c.config.ID
	c.votes = map[string]bool{c.config.ID: true}
	c.resetTimers()
	if c.wonVote() {
		c.becomeLeader()
		return
	}
	c.requestVotes(Vote, c.term, transfer)
}

func (c *Core) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, id := range c.members.Voters {
		if id == c.config.ID {
			continue
		}
		c.send(Message{Kind: kind, To: id, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Transfer: transfer})
	}
}

func (c *Core) wonVote() bool  { return c.countVotes(true) >= c.members.quorum() }
func (c *Core) lostVote() bool { return c.countVotes(false) >= c.members.quorum() }

func (c *Core) countVotes(granted bool) int {
	count := 0
	for _, id := range c.members.Voters {
		if vote, responded := c.votes[id]; responded && vote == granted {
			count++
		}
	}
	return count
}

// leaderLeaseActive reports whether this replica received a message from its leader within the minimum
// election timeout, and so must not vote for another candidate.
func (c *Core) leaderLeaseActive() bool {
	return c.leader != "" && c.electionElapsed < c.config.ElectionTicks
}

// Step processes one message from another replica.
func (c *Core) Step(message Message) {
	if message.To != c.config.ID {
		return
	}
	isRequest := message.Kind == PreVote || message.Kind == Vote
	if isRequest && message.Term > c.term && !message.Transfer && c.leaderLeaseActive() {
		return
	}
	switch {
	case message.Term < c.term:
		c.respondToStale(message)
		return
	// A pre-vote request and its grant carry the term of the election that would follow, which has not begun.
	case message.Term > c.term && message.Kind != PreVote && !(message.Kind == PreVoteResponse && !message.Reject):
		c.becomeFollower(message.Term, "")
	}
	c.handle(message)
}

// respondToStale sends the current term to a leader or pre-candidate of an earlier term, so that it becomes a
// follower. A Vote of an earlier term gets no response.
func (c *Core) respondToStale(message Message) {
	switch message.Kind {
	case Append, Heartbeat, InstallSnapshot:
		c.send(Message{Kind: AppendResponse, To: message.From, Reject: true, Hint: c.log.lastIndex()})
	case PreVote:
		c.send(Message{Kind: PreVoteResponse, To: message.From, Reject: true})
	}
}

func (c *Core) handle(message Message) {
	switch message.Kind {
	case PreVote, Vote:
		c.handleVoteRequest(message)
	case PreVoteResponse:
		c.handlePreVoteResponse(message)
	case VoteResponse:
		c.handleVoteResponse(message)
	case Append:
		c.acceptLeader(message)
		c.handleAppend(message)
	case Heartbeat:
		c.acceptLeader(message)
		c.handleHeartbeat(message)
	case InstallSnapshot:
		c.acceptLeader(message)
		c.handleSnapshot(message)
	case AppendResponse:
		c.handleAppendResponse(message)
	case HeartbeatResponse:
		c.handleHeartbeatResponse(message)
	case TimeoutNow:
		if c.members.IsVoter(c.config.ID) && c.role != Leader {
			c.startElection(true)
		}
	}
}

func (c *Core) handleVoteRequest(message Message) {
	candidateUpToDate := c.log.upToDate(message.Index, message.LogTerm)
	if message.Kind == PreVote {
		granted := candidateUpToDate && message.Term > c.term
		response := Message{Kind: PreVoteResponse, To: message.From, Reject: !granted}
		if granted {
			response.Term = message.Term
		}
		c.send(response)
		return
	}
	granted := candidateUpToDate && c.role == Follower && (c.vote == "" || c.vote == message.From)
	if granted {
		c.vote = message.From
		c.electionElapsed = 0
	}
	c.send(Message{Kind: VoteResponse, To: message.From, Reject: !granted})
}

func (c *Core) handlePreVoteResponse(message Message) {
	if c.role != PreCandidate || !message.Reject && message.Term != c.term+1 {
		return
	}
	c.votes[message.From] = !message.Reject
	switch {
	case c.wonVote():
		c.startElection(false)
	case c.lostVote():
		c.becomeFollower(c.term, "")
	}
}

func (c *Core) handleVoteResponse(message Message) {
	if c.role != Candidate {
		return
	}
	c.votes[message.From] = !message.Reject
	switch {
	case c.wonVote():
		c.becomeLeader()
	case c.lostVote():
		c.becomeFollower(c.term, "")
	}
}

// acceptLeader makes this replica a follower of the sender and restarts the election timer.
func (c *Core) acceptLeader(message Message) {
	if c.role != Follower || c.leader != message.From {
		c.becomeFollower(c.term, message.From)
	}
	c.electionElapsed = 0
}
