package catalog

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/mountstile/mountstile/internal/transport"
)

const (
	vouchKind = "catalog.vouch"
	// vouchPatience is how long a node waits for the nodes that have begun runs. maxVouchPeers bounds these.
	vouchPatience = 250 * time.Millisecond
	maxVouchPeers = 16
	// ownerSeparator separates a run's name from the address of the node that has begun it.
	ownerSeparator = "@"
)

// vouchRequest asks a node for runs that it has begun.
type vouchRequest struct {
	Content string   `json:"c"`
	Names   []string `json:"n"`
}

// vouchResponse names the runs that have finished, or are in progress.
type vouchResponse struct {
	Names []string `json:"n,omitempty"`
}

// owned returns the name under which other nodes know a run of this one.
func (m *Manager) owned(name string) string {
	if name == "" {
		return ""
	}
	return name + ownerSeparator + m.network.Address()
}

// Unvouched asks the nodes that have begun runs of a content, and returns the names of those that are not known to be in progress or finished: their
// nodes don't answer, or have started again.
func (m *Manager) Unvouched(ctx context.Context, content string, names []string) []string {
	byOwner := make(map[string][]string)
	for _, name := range names {
		_, owner, _ := strings.Cut(name, ownerSeparator)
		byOwner[owner] = append(byOwner[owner], name)
	}
	vouchContext, cancel := context.WithTimeout(ctx, vouchPatience)
	defer cancel()
	answers := make(chan []string, len(byOwner))
	asked := 0
	for owner, runs := range byOwner {
		if owner == "" || asked >= maxVouchPeers {
			continue
		}
		asked++
		go func() { answers <- m.askOwner(vouchContext, owner, vouchRequest{Content: content, Names: runs}) }()
	}
	for range asked {
		vouched := <-answers
		names = slices.DeleteFunc(names, func(name string) bool { return slices.Contains(vouched, name) })
	}
	return names
}

// askOwner returns the runs for which a node vouches; none if it does not answer.
func (m *Manager) askOwner(ctx context.Context, owner string, request vouchRequest) []string {
	if owner == m.network.Address() {
		return m.vouch(request)
	}
	response, err := transport.Call[vouchResponse](ctx, m.network, transport.Peer{Address: owner}, vouchKind, request)
	if err != nil {
		return nil
	}
	return response.Names
}

func (m *Manager) serveVouch(_ context.Context, _ transport.Peer, request vouchRequest) (vouchResponse, error) {
	return vouchResponse{Names: m.vouch(request)}, nil
}

// vouch returns the runs of this node that have finished or are in progress.
func (m *Manager) vouch(request vouchRequest) (vouched []string) {
	_, closed, _ := m.ledger.runs(time.Now(), request.Content)
	for _, name := range request.Names {
		bare, _, _ := strings.Cut(name, ownerSeparator)
		if slices.Contains(closed, name) || (m.options.RunLives != nil && m.options.RunLives(request.Content, bare)) {
			vouched = append(vouched, name)
		}
	}
	return vouched
}
