package consensus

import "slices"

// Campaign starts an election, with a pre-vote that disturbs nobody.
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

// successionTicks separates the campaigns of a lost leader's followers, so that they do not split
// the vote.
const successionTicks = 3

// LeaderDown makes the followers campaign early, one after the other, because their leader's
// machine is known to be gone. The order changes with the term.
func (c *Core) LeaderDown(leader string) {
	if c.role != Follower || c.leader != leader {
		return
	}
	c.leader = ""
	rank := c.successionRank(leader)
	c.electionElapsed = max(c.electionElapsed, c.electionTimeout-1-successionTicks*rank)
}

func (c *Core) successionRank(leader string) int {
	successors := slices.DeleteFunc(slices.Clone(c.members.Voters), func(id string) bool { return id == leader })
	slices.Sort(successors)
	position := slices.Index(successors, c.config.ID)
	if position < 0 {
		return len(successors)
	}
	return (position + int(c.term)) % len(successors)
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
		if vote, answered := c.votes[id]; answered && vote == granted {
			count++
		}
	}
	return count
}

// leaseHeld reports whether this replica has heard of a live leader so recently that it must not
// help another one.
func (c *Core) leaseHeld() bool {
	return c.leader != "" && c.electionElapsed < c.config.ElectionTicks
}

// Step handles one message.
func (c *Core) Step(message Message) {
	if message.To != c.config.ID {
		return
	}
	isRequest := message.Kind == PreVote || message.Kind == Vote
	if isRequest && message.Term > c.term && !message.Transfer && c.leaseHeld() {
		return
	}
	switch {
	case message.Term < c.term:
		c.answerStale(message)
		return
	case message.Term > c.term && message.Kind != PreVote && !(message.Kind == PreVoteResponse && !message.Reject):
		c.becomeFollower(message.Term, "")
	}
	c.handle(message)
}

// answerStale lets a sender of an earlier term catch up.
func (c *Core) answerStale(message Message) {
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
		c.followLeader(message)
		c.handleAppend(message)
	case Heartbeat:
		c.followLeader(message)
		c.handleHeartbeat(message)
	case InstallSnapshot:
		c.followLeader(message)
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
	complete := c.log.upToDate(message.Index, message.LogTerm)
	if message.Kind == PreVote {
		granted := complete && message.Term > c.term
		response := Message{Kind: PreVoteResponse, To: message.From, Reject: !granted}
		if granted {
			response.Term = message.Term
		}
		c.send(response)
		return
	}
	granted := complete && c.role == Follower && (c.vote == "" || c.vote == message.From)
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

// followLeader accepts the sender as the leader of the current term.
func (c *Core) followLeader(message Message) {
	if c.role != Follower || c.leader != message.From {
		c.becomeFollower(c.term, message.From)
	}
	c.electionElapsed = 0
}
