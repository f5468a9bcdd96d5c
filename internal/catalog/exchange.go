package catalog

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// neighbourPatience is how long an exchange waits for neighbours. lateReplicaPatience is how long it goes on waiting for most of the replicas if no
	// neighbour has run for long.
	neighbourPatience   = 40 * time.Millisecond
	lateReplicaPatience = 400 * time.Millisecond
	// silentReplicasTTL is how long neighbours are asked at once after too few replicas have answered.
	silentReplicasTTL = time.Second
	// maxNeighbours bounds the gateways that are asked for all that they know. In place of replicas, endNeighbours are told of a content with interrupted
	// runs, runNeighbours of another one, and forwardNeighbours by each gateway that passes news on.
	maxNeighbours     = 16
	endNeighbours     = 8
	runNeighbours     = 3
	forwardNeighbours = 2
)

// Evidence is what a node tells others of the runs of a content.
type Evidence struct {
	Content string
	// Entries are those of FatalRequestKind that the node knows.
	Entries []Entry
	// Begun and Finished are the names of runs that the node begins and has finished; empty if there is none. Completed is set if the engine
	// has completed the latter.
	Begun     string
	Finished  string
	Completed bool
}

func (e Evidence) finishedRun() finishedRun {
	return finishedRun{Content: e.Content, Name: e.Finished, Completed: e.Completed}
}

// neighbours returns how many gateways are told if too few replicas answer.
func (e Evidence) neighbours() int {
	if len(e.Entries) == 0 {
		return runNeighbours
	}
	return endNeighbours
}

func (e Evidence) purpose() purpose {
	switch {
	case e.Begun != "":
		return purposeBegin
	case e.Finished != "":
		return purposeFinish
	}
	return purposeLook
}

// Known is what other nodes know of the runs of a content.
type Known struct {
	// Open are the names of other runs that were begun and have not finished. They name the nodes, too.
	Open []string
	// Heard is false if there are other nodes and too few have answered.
	Heard bool
	// Completed is set if a run was completed lately.
	Completed bool
}

// Exchange tells the replicas of the runs of a content, applies the entries that they have of it, and returns what they know of its runs once most
// replicas have answered. If these are silent, it asks neighbours, which pass the entries on to theirs: gateways also learn of each other's ends
// without replicas.
func (m *Manager) Exchange(ctx context.Context, replicas []transport.Peer, evidence Evidence) Known {
	evidence.Begun, evidence.Finished = m.owned(evidence.Begun), m.owned(evidence.Finished)
	request := publishRequest{Entries: evidence.Entries, Content: evidence.Content, Begun: evidence.Begun}
	if evidence.Finished != "" {
		request.Done = []finishedRun{evidence.finishedRun()}
		// Builds that don't know Done read this.
		request.Finished = evidence.Finished
	}
	own, news := m.recordPublished(request, true)
	m.take(news)
	answers, heard := m.askForRuns(ctx, replicas, request, evidence, request.isFirstRun(own))
	known := Known{Heard: heard, Completed: own.Completed}
	open, closed := own.Open, own.Closed
	for _, answer := range answers {
		open = append(open, answer.Open...)
		closed = append(closed, answer.Closed...)
		known.Completed = known.Completed || answer.Completed
		m.adopt(answer.Entries)
	}
	m.notifyOf(evidence.Content)
	m.tellOwners(evidence.Content, slices.Concat(open, closed))
	known.Open = openRuns(open, closed, evidence)
	return known
}

// askForRuns tells the replicas of the runs of a content, and the neighbours unless most of the replicas answer soon and have known of runs for long:
// those that have just started know nothing. heard is false if there are others and too few have answered.
func (m *Manager) askForRuns(ctx context.Context, replicas []transport.Peer, request publishRequest, evidence Evidence, first bool) (answers []publishResponse, heard bool) {
	patience, latePatience := m.responses.patience(), lateReplicaPatience
	silent := m.replicasSilent()
	if silent {
		patience, latePatience = 0, 0
	}
	needed := len(replicas)/2 + 1
	var fromReplicas *inquiry
	if first && !silent {
		fromReplicas, answers = m.askForFirstRun(ctx, replicas, request)
	} else {
		fromReplicas = m.send(ctx, replicas, request)
		m.options.Metrics.countMessages(evidence.purpose(), toReplica, len(replicas))
	}
	settled := countSettled(answers)
	answers = append(answers, fromReplicas.await(ctx, patience, func(answers []publishResponse) bool { return settled+countSettled(answers) >= needed })...)
	if countSettled(answers) >= needed {
		return answers, true
	}
	fromReplicas.useRelays()
	neighbours := m.neighboursOf(evidence.Content, evidence.neighbours())
	m.options.Metrics.countMessages(evidence.purpose(), toNeighbour, len(neighbours))
	fromNeighbours := m.askNeighbours(ctx, neighbours, request, len(answers) < needed)
	answers = append(answers, fromReplicas.await(ctx, 0, atLeast(len(replicas)))...)
	if missing := needed - len(answers); missing > 0 && countSettled(fromNeighbours) == 0 {
		answers = append(answers, fromReplicas.await(ctx, latePatience, atLeast(missing))...)
	}
	heard = len(answers) >= needed
	if !heard {
		m.noteSilence()
	}
	return append(answers, fromNeighbours...), heard || len(fromNeighbours) > 0 || len(neighbours) == 0
}

// askNeighbours tells neighbours of the runs of a content, best ones first, and returns their responses. If passOn is set, the first ones pass entries on.
func (m *Manager) askNeighbours(ctx context.Context, neighbours []transport.Peer, request publishRequest, passOn bool) []publishResponse {
	best := min(len(neighbours), runNeighbours)
	forwarded := request
	forwarded.Forward = passOn
	asked := m.send(ctx, neighbours[:best], forwarded)
	others := m.send(ctx, neighbours[best:], request)
	deadline := time.Now().Add(neighbourPatience)
	responses := asked.await(ctx, neighbourPatience, atLeast(best))
	return append(responses, others.await(ctx, time.Until(deadline), atLeast(len(neighbours)-best))...)
}

// countSettled returns how many of the responses are from nodes that have run for long.
func countSettled(responses []publishResponse) (settled int) {
	for _, response := range responses {
		if response.Settled {
			settled++
		}
	}
	return settled
}

// atLeast returns a condition on a number of responses.
func atLeast(needed int) func([]publishResponse) bool {
	return func(responses []publishResponse) bool { return len(responses) >= needed }
}

// AdoptReports takes over what most replicas know of ends of engines, and reports whether they have answered; otherwise it asks the neighbours. A
// node does so when it starts, since the replica that it follows may not have all of it, and after a pause. It waits for patience for each of the
// two.
func (m *Manager) AdoptReports(ctx context.Context, replicas []transport.Peer, patience time.Duration) bool {
	needed := len(replicas)/2 + 1
	m.options.Metrics.countMessages(purposeAdopt, toReplica, len(replicas))
	asked := m.send(ctx, replicas, publishRequest{All: true})
	answers := asked.await(ctx, patience/2, atLeast(needed))
	if missing := needed - len(answers); missing > 0 {
		asked.useRelays()
		answers = append(answers, asked.await(ctx, patience/2, atLeast(missing))...)
	}
	sufficient := len(answers) >= needed
	if !sufficient {
		neighbours := m.neighbours()
		m.options.Metrics.countMessages(purposeAdopt, toNeighbour, len(neighbours))
		answers = append(answers, m.ask(ctx, neighbours, publishRequest{All: true}, len(neighbours), patience)...)
	}
	for _, answer := range answers {
		m.adopt(answer.Entries)
	}
	return sufficient
}

// openRuns returns the distinct names of runs that no node knows to be finished, except those that the evidence is about.
func openRuns(names, closed []string, evidence Evidence) []string {
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool {
		return name == evidence.Begun || name == evidence.Finished || slices.Contains(closed, name)
	})
}

// ask sends a request to peers, and returns the responses once as many as needed have come, none is pending, or the time is over.
func (m *Manager) ask(ctx context.Context, peers []transport.Peer, request publishRequest, needed int, patience time.Duration) (responses []publishResponse) {
	return m.send(ctx, peers, request).await(ctx, patience, atLeast(needed))
}

// peerAnswer is the response of a peer, or the error.
type peerAnswer struct {
	address  string
	response publishResponse
	err      error
}

// inquiry is a request that was sent to some peers.
type inquiry struct {
	answers chan peerAnswer
	// pending is how many answers have not been taken yet, lastErr the error of the last peer that failed.
	pending int
	lastErr error
	// settled are the addresses of the peers whose answers have been taken and that have run for long.
	settled []string
	// relaysNeeded is closed once too few peers have answered directly.
	relaysNeeded chan struct{}
}

// useRelays sends the request through relays to the peers that don't answer. It must be called once at most.
func (i *inquiry) useRelays() { close(i.relaysNeeded) }

// send sends a request to peers, each with the runs of which it has to be told.
func (m *Manager) send(ctx context.Context, peers []transport.Peer, request publishRequest) *inquiry {
	sent := newInquiry(len(peers))
	m.sendMore(ctx, sent, peers, request)
	return sent
}

// newInquiry returns an inquiry that can be sent to a number of peers.
func newInquiry(peers int) *inquiry {
	return &inquiry{answers: make(chan peerAnswer, peers), relaysNeeded: make(chan struct{})}
}

// sendMore sends the request to more peers.
func (m *Manager) sendMore(ctx context.Context, sent *inquiry, peers []transport.Peer, request publishRequest) {
	// Peers that answer late still take the entries.
	sendContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), publishTimeout)
	for _, peer := range peers {
		request := m.addQueued(peer, request)
		m.network.Go(func() {
			sentAt := time.Now()
			response, err := transport.CallWithSpareRelays[publishResponse](sendContext, m.network, peer, publishKind, request, sent.relaysNeeded)
			if err == nil {
				m.responses.note(time.Since(sentAt))
			}
			sent.answers <- peerAnswer{address: peer.Address, response: response, err: err}
		})
	}
	sent.pending += len(peers)
	time.AfterFunc(publishTimeout, cancel)
}

// unsettled returns the peers that have not answered, or have not run for long.
func (i *inquiry) unsettled(peers []transport.Peer) []transport.Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(peer transport.Peer) bool { return slices.Contains(i.settled, peer.Address) })
}

// await returns further responses once these are enough, none is pending, or the time is over.
func (i *inquiry) await(ctx context.Context, patience time.Duration, enough func([]publishResponse) bool) (responses []publishResponse) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for i.pending > 0 && !enough(responses) {
		select {
		case answer := <-i.answers:
			responses = i.take(answer, responses)
			continue
		default:
		}
		select {
		case answer := <-i.answers:
			responses = i.take(answer, responses)
		case <-timer.C:
			return responses
		case <-ctx.Done():
			return responses
		}
	}
	return responses
}

// take adds an answer to the responses unless its peer failed.
func (i *inquiry) take(answer peerAnswer, responses []publishResponse) []publishResponse {
	i.pending--
	if answer.err != nil {
		i.lastErr = answer.err
		return responses
	}
	if answer.response.Settled {
		i.settled = append(i.settled, answer.address)
	}
	return append(responses, answer.response)
}

// adopt takes over entries that another node holds, if they are valid.
func (m *Manager) adopt(entries []Entry) {
	valid := slices.DeleteFunc(entries, func(entry Entry) bool { return !entry.publishable() })
	_, news := m.recordPublished(publishRequest{Entries: valid}, false)
	m.take(news)
}

// take passes new entries on: those of interrupted runs to OnChange only, since nodes ask for them before they begin runs, others to all followers, too.
func (m *Manager) take(news []Entry) {
	var followed []Entry
	var contents []string
	for _, entry := range news {
		if kind, _ := SplitKey(entry.Key); kind != FatalRequestKind {
			followed = append(followed, entry)
		} else if content := contentOf(entry.Key); !slices.Contains(contents, content) {
			contents = append(contents, content)
		}
	}
	m.Apply(followed)
	for _, content := range contents {
		m.notifyOf(content)
	}
}

// tellOwners tells the nodes that have begun runs with these names of what this node has published of their content: they may have to cancel a run, or
// have left one. Others hear of it when they are about to begin one.
func (m *Manager) tellOwners(content string, names []string) {
	var owners []string
	for _, name := range names {
		if _, owner, found := strings.Cut(name, ownerSeparator); found && owner != "" && owner != m.network.Address() {
			owners = append(owners, owner)
		}
	}
	m.mutex.Lock()
	untold := m.board.untold(content, owners)
	m.mutex.Unlock()
	m.options.Metrics.countMessages(purposeReport, toOwner, len(untold))
	for owner, entries := range untold {
		m.send(context.Background(), []transport.Peer{{Address: owner}}, publishRequest{Entries: entries})
	}
}

// notifyOf calls OnChange for all entries of a content, so that none is missing that another goroutine has recorded and not passed on yet.
func (m *Manager) notifyOf(content string) {
	m.notifyMutex.Lock()
	defer m.notifyMutex.Unlock()
	m.mutex.Lock()
	entries, _ := m.board.entries(content)
	m.mutex.Unlock()
	for _, entry := range entries {
		m.options.OnChange(entry)
	}
}

// forward passes news of a content on to the neighbours that are told of it, except the one from which it came. Each node passes it on to the same few as far
// as it knows them, so that the cost does not grow with the deployment.
func (m *Manager) forward(from transport.Peer, entries []Entry) {
	peers := slices.DeleteFunc(m.neighboursOf(contentOf(entries[0].Key), forwardNeighbours), func(peer transport.Peer) bool { return peer.Address == from.Address })
	m.options.Metrics.countMessages(purposeForward, toNeighbour, len(peers))
	m.ask(context.Background(), peers, publishRequest{Entries: entries, Forward: true}, len(peers), neighbourPatience)
}

// neighbours returns up to maxNeighbours gateways.
func (m *Manager) neighbours() []transport.Peer {
	if m.options.Neighbours == nil {
		return nil
	}
	known := m.options.Neighbours()
	return known[:min(len(known), maxNeighbours)]
}

// neighboursOf returns the gateways that are told of the runs of a content, the same ones at each gateway as far as it knows them.
func (m *Manager) neighboursOf(content string, count int) []transport.Peer {
	if m.options.Neighbours == nil {
		return nil
	}
	known := slices.Clone(m.options.Neighbours())
	rank := func(peer transport.Peer) uint64 { return xxhash.Sum64String(content + peer.Address) }
	slices.SortFunc(known, func(a, b transport.Peer) int { return cmp.Compare(rank(a), rank(b)) })
	return known[:min(len(known), count)]
}

func (m *Manager) replicasSilent() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return time.Now().Before(m.silentUntil)
}

func (m *Manager) noteSilence() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now := time.Now(); now.After(m.silentUntil) {
		m.silentUntil = now.Add(silentReplicasTTL)
	}
}
