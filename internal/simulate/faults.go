package simulate

import (
	"fmt"
	"slices"

	"github.com/mountstile/mountstile/internal/consensus"
)

// injectFault starts one fault of the allowed kinds.
func (w *World) injectFault() {
	var kinds []func()
	add := func(allowed bool, kind func()) {
		if allowed {
			kinds = append(kinds, kind)
		}
	}
	add(w.options.Faults.Partition, w.partition)
	add(w.options.Faults.Pause, w.pause)
	add(w.options.Faults.Crash, w.crash)
	add(w.options.Faults.Transfer, w.transfer)
	add(w.options.Faults.Members, w.changeMembers)
	if len(kinds) > 0 {
		kinds[w.random.IntN(len(kinds))]()
	}
}

func (w *World) anyReplica() *replicaNode { return w.replicas[w.random.IntN(len(w.replicas))] }

// partition cuts one replica off from some others, in one direction or both.
func (w *World) partition() {
	w.report.Partitions++
	victim := w.anyReplica()
	until := w.step + 1 + w.random.IntN(longestFault)
	oneWay := w.random.IntN(2) == 0
	for _, other := range w.replicas {
		if other == victim || w.random.IntN(4) == 0 {
			continue
		}
		w.blocked[[2]string{victim.id, other.id}] = until
		if !oneWay {
			w.blocked[[2]string{other.id, victim.id}] = until
		}
	}
}

// pause stops a process without ending it.
func (w *World) pause() {
	w.report.Pauses++
	w.anyReplica().pausedUntil = w.step + 1 + w.random.IntN(longestFault)
}

// crash ends a process; it comes back with what its storage holds.
func (w *World) crash() {
	node := w.anyReplica()
	if w.step < node.downUntil {
		return
	}
	w.report.Crashes++
	node.downUntil = w.step + 1 + w.random.IntN(longestFault)
	for _, waiting := range node.waiters {
		waiting.client.lost(waiting.ticket)
	}
	node.waiters = make(map[uint64]waiter)
	if w.random.IntN(2) == 0 {
		// The others often notice at once, by their broken connections.
		for _, other := range w.replicas {
			other.core.LeaderDown(node.id)
		}
	}
}

func (w *World) transfer() {
	leader := w.leader()
	if leader == nil {
		return
	}
	voters := leader.core.Members().Voters
	target := voters[w.random.IntN(len(voters))]
	if leader.core.TransferLeadership(target) == nil {
		w.report.Transfers++
		w.process(leader)
	}
}

// changeMembers adds a learner, promotes one, or removes a voter.
func (w *World) changeMembers() {
	leader := w.leader()
	if leader == nil {
		return
	}
	next := leader.core.Members().Clone()
	switch {
	case len(next.Learners) > 0:
		id := next.Learners[0]
		if !leader.core.CaughtUp(id) {
			return
		}
		next.Learners = next.Learners[1:]
		next.Voters = append(next.Voters, id)
	case len(next.Voters) > w.options.Nodes:
		index := w.random.IntN(len(next.Voters))
		next.Voters = slices.Delete(next.Voters, index, index+1)
	default:
		node := &replicaNode{id: fmt.Sprintf("r%d", len(w.replicas)+1)}
		w.replicas = append(w.replicas, node)
		w.boot(node)
		next.Learners = append(next.Learners, node.id)
	}
	if _, _, err := leader.core.ProposeMembers(next); err == nil {
		w.report.MemberSteps++
		w.process(leader)
	}
}

// check looks for broken promises of the consensus itself.
func (w *World) check() {
	for _, node := range w.replicas {
		if !w.running(node) || node.core.Role() != consensus.Leader {
			continue
		}
		term := node.core.Term()
		if known, exists := w.leaders[term]; exists && known != node.id {
			w.fail("%s and %s lead term %d", known, node.id, term)
		}
		if w.leaders[term] == "" {
			w.report.Elections++
		}
		w.leaders[term] = node.id
		for _, violation := range checkBudgets(node) {
			w.fail("%s", violation)
		}
	}
}

const settleSteps = 3000

// settle ends all faults, lets every client finish, and compares the replicas.
func (w *World) settle() {
	w.options.Faults = Faults{}
	clear(w.blocked)
	for _, node := range w.replicas {
		node.pausedUntil = min(node.pausedUntil, w.step)
		if node.downUntil > w.step {
			node.downUntil = w.step + 1
		}
	}
	end := w.step + settleSteps
	for ; w.step < end && w.failure == ""; w.step++ {
		w.advance()
		if w.allIdle() && w.step > end-settleSteps/2 {
			break
		}
	}
	if w.failure == "" {
		w.checkOutcome()
	}
}

func (w *World) allIdle() bool {
	for _, item := range w.clients {
		if !item.idle() {
			return false
		}
	}
	return true
}
