package catalog

import (
	"context"
	"slices"
	"time"

	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// replicaPatience is how long an exchange waits for most of the replicas before it asks the neighbours, too, and
	// neighbourPatience how long it waits for these.
	replicaPatience   = 40 * time.Millisecond
	neighbourPatience = 40 * time.Millisecond
	// silentReplicasTTL is how long neighbours are asked at once after too few replicas have answered.
	silentReplicasTTL = time.Second
	// maxNeighbours bounds the gateways that are asked, or to which news is passed on.
	maxNeighbours = 16
)

// Evidence is what a node tells others of the runs of a content.
type Evidence struct {
	Content string
	// Entries are those of FatalRequestKind that the node knows.
	Entries []Entry
	// Begun and Finished are the names of runs that the node begins and has finished; empty if there is none.
	Begun    string
	Finished string
	// Lasting are the runs in progress at this node.
	Lasting LastingRuns
}

// Findings are what other nodes tell of the runs of a content: the names of those that they have begun and not finished, and those that
// are in progress.
type Findings struct {
	Open    []string
	Lasting LastingRuns
}

// Exchange tells the replicas of the runs of a content and applies what they know of it. It returns what they tell of runs at other nodes,
// once most replicas have answered. If these are silent, it asks the neighbours, which pass the entries on to
// theirs: gateways also learn of each other's ends without replicas.
func (m *Manager) Exchange(ctx context.Context, replicas []transport.Peer, evidence Evidence) (found Findings) {
	request := publishRequest{Entries: evidence.Entries, Content: evidence.Content, Begun: evidence.Begun, Finished: evidence.Finished, Lasting: evidence.Lasting}
	own, news := m.recordPublished(m.network.NodeID(), request)
	m.Apply(news)
	found = Findings{Open: own.Open, Lasting: own.Lasting}
	patience := replicaPatience
	if m.replicasSilent() {
		patience = 0
	}
	needed := len(replicas)/2 + 1
	answers := m.askAll(ctx, replicas, request, needed, patience)
	if len(answers) < needed {
		m.noteSilence()
		request.Forward = true
		neighbours := m.neighbours()
		answers = append(answers, m.askAll(ctx, neighbours, request, len(neighbours), neighbourPatience)...)
	}
	for _, answer := range answers {
		found.Open = append(found.Open, answer.Open...)
		// Each node reports to all: the largest sum is the most complete one.
		if answer.Lasting.Count > found.Lasting.Count {
			found.Lasting = answer.Lasting
		}
		m.adopt(answer.Entries)
	}
	found.Open = otherRuns(found.Open, evidence)
	return found
}

// AdoptReports takes over what most replicas know of ends of engines, and reports whether they have answered. A node does so when it starts: the
// replica that it follows may not have all of it.
func (m *Manager) AdoptReports(ctx context.Context, replicas []transport.Peer) bool {
	needed := len(replicas)/2 + 1
	answers := m.askAll(ctx, replicas, publishRequest{All: true}, needed, publishTimeout)
	for _, answer := range answers {
		m.adopt(answer.Entries)
	}
	return len(answers) >= needed
}

// otherRuns returns the distinct names of runs, except those that the evidence is about.
func otherRuns(names []string, evidence Evidence) []string {
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return name == evidence.Begun || name == evidence.Finished })
}

// askAll sends a request to peers and returns the responses once as many as needed have come, none is pending, or the time is over.
func (m *Manager) askAll(ctx context.Context, peers []transport.Peer, request publishRequest, needed int, patience time.Duration) (responses []publishResponse) {
	// Peers that answer late still take the entries.
	sendContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), publishTimeout)
	answers := make(chan *publishResponse, len(peers))
	pending := len(peers)
	for _, peer := range peers {
		go func() {
			response, err := transport.CallWithRelays[publishResponse](sendContext, m.network, peer, publishKind, request, publishTimeout/2)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &response
		}()
	}
	time.AfterFunc(publishTimeout, cancel)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for ; pending > 0 && len(responses) < needed; pending-- {
		select {
		case answer := <-answers:
			if answer != nil {
				responses = append(responses, *answer)
			}
		case <-timer.C:
			return responses
		case <-ctx.Done():
			return responses
		}
	}
	return responses
}

// adopt takes over entries that another node holds, if they are valid.
func (m *Manager) adopt(entries []Entry) {
	valid := slices.DeleteFunc(entries, func(entry Entry) bool { return !entry.publishable() })
	_, news := m.recordPublished(m.network.NodeID(), publishRequest{Entries: valid})
	m.Apply(news)
}

// forward passes news on to the neighbours, except the one from which it came.
func (m *Manager) forward(from transport.Peer, entries []Entry) {
	peers := slices.DeleteFunc(m.neighbours(), func(peer transport.Peer) bool { return peer.Address == from.Address })
	m.askAll(context.Background(), peers, publishRequest{Entries: entries, Forward: true}, len(peers), neighbourPatience)
}

// neighbours returns up to maxNeighbours gateways.
func (m *Manager) neighbours() []transport.Peer {
	if m.options.Neighbours == nil {
		return nil
	}
	known := m.options.Neighbours()
	return known[:min(len(known), maxNeighbours)]
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
