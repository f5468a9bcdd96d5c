package simulate

import (
	"fmt"
	"slices"

	"github.com/mountstile/mountstile/internal/consensus"
)

// injectFault starts one random fault of the enabled kinds.
func (s *simulation) injectFault() {
	var faults []func()
	add := func(enabled bool, fault func()) {
		if enabled {
			faults = append(faults, fault)
		}
	}
	add(s.options.Faults.Partition, s.partition)
	add(s.options.Faults.Pause, s.pause)
	add(s.options.Faults.Crash, s.crash)
	add(s.options.Faults.Transfer, s.transfer)
	add(s.options.Faults.Members, s.changeMembers)
	if len(faults) > 0 {
		faults[s.random.IntN(len(faults))]()
	}
}

func (s *simulation) randomReplica() *replica { return s.replicas[s.random.IntN(len(s.replicas))] }

// partition blocks messages between one replica and some others, in one direction or both.
func (s *simulation) partition() {
	s.report.Partitions++
	victim := s.randomReplica()
	until := s.step + 1 + s.random.IntN(maxFaultSteps)
	oneWay := s.random.IntN(2) == 0
	for _, other := range s.replicas {
		if other == victim || s.random.IntN(4) == 0 {
			continue
		}
		s.blocked[[2]string{victim.id, other.id}] = until
		if !oneWay {
			s.blocked[[2]string{other.id, victim.id}] = until
		}
	}
}

// pause suspends a replica without a restart.
func (s *simulation) pause() {
	s.report.Pauses++
	s.randomReplica().pausedUntil = s.step + 1 + s.random.IntN(maxFaultSteps)
}

// crash stops a replica; it restarts later from its storage.
func (s *simulation) crash() {
	node := s.randomReplica()
	if s.step < node.downUntil {
		return
	}
	s.report.Crashes++
	node.downUntil = s.step + 1 + s.random.IntN(maxFaultSteps)
	for _, pending := range node.waiters {
		pending.client.abandon(pending.proposal)
	}
	node.waiters = make(map[uint64]waiter)
	if s.random.IntN(2) == 0 {
		// Closed connections often report a crash to the other replicas at once.
		for _, other := range s.replicas {
			other.core.LeaderDown(node.id)
		}
	}
}

func (s *simulation) transfer() {
	leader := s.leader()
	if leader == nil {
		return
	}
	voters := leader.core.Members().Voters
	target := voters[s.random.IntN(len(voters))]
	if leader.core.TransferLeadership(target) == nil {
		s.report.Transfers++
		s.process(leader)
	}
}

// changeMembers adds a learner, promotes one, or removes a voter.
func (s *simulation) changeMembers() {
	leader := s.leader()
	if leader == nil {
		return
	}
	members := leader.core.Members().Clone()
	switch {
	case len(members.Learners) > 0:
		id := members.Learners[0]
		if !leader.core.CaughtUp(id) {
			return
		}
		members.Learners = members.Learners[1:]
		members.Voters = append(members.Voters, id)
	case len(members.Voters) > s.options.Nodes:
		index := s.random.IntN(len(members.Voters))
		members.Voters = slices.Delete(members.Voters, index, index+1)
	default:
		node := &replica{id: fmt.Sprintf("r%d", len(s.replicas)+1)}
		s.replicas = append(s.replicas, node)
		s.start(node)
		members.Learners = append(members.Learners, node.id)
	}
	if _, _, err := leader.core.ProposeMembers(members); err == nil {
		s.report.MemberSteps++
		s.process(leader)
	}
}

// check checks the invariants that must hold after each step: at most one leader per term, and all programs within their
// token budgets.
func (s *simulation) check() {
	for _, node := range s.replicas {
		if !s.running(node) || node.core.Role() != consensus.Leader {
			continue
		}
		term := node.core.Term()
		if other, exists := s.leaders[term]; exists && other != node.id {
			s.fail("%s and %s are both leaders of term %d", other, node.id, term)
		}
		if s.leaders[term] == "" {
			s.report.Elections++
		}
		s.leaders[term] = node.id
		for _, violation := range checkBudgets(node) {
			s.fail("%s", violation)
		}
	}
}

// settleSteps is the maximum number of steps that settle runs; the minimum is half of it.
const settleSteps = 3000

// settle ends all faults, lets the clients finish their calls, and checks the outcome.
func (s *simulation) settle() {
	s.options.Faults = Faults{}
	clear(s.blocked)
	for _, node := range s.replicas {
		node.pausedUntil = min(node.pausedUntil, s.step)
		if node.downUntil > s.step {
			node.downUntil = s.step + 1
		}
	}
	end := s.step + settleSteps
	for ; s.step < end && s.failure == ""; s.step++ {
		s.advance()
		if s.allIdle() && s.step > end-settleSteps/2 {
			break
		}
	}
	if s.failure == "" {
		s.checkOutcome()
	}
}

func (s *simulation) allIdle() bool {
	for _, client := range s.clients {
		if !client.idle() {
			return false
		}
	}
	return true
}
