package admin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/coordinator"
	"github.com/mountstile/mountstile/internal/events"
	"github.com/mountstile/mountstile/internal/membership"
	"github.com/mountstile/mountstile/internal/partition"
	"github.com/mountstile/mountstile/internal/program"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	statusKind    = "node_status"
	drainKind     = "node_drain"
	statusTimeout = 3 * time.Second
	// maxStatusCalls limits the concurrent status requests to nodes.
	maxStatusCalls = 32
)

// NodeStatus is a node's status, as the node reports it.
type NodeStatus struct {
	ID       string `json:"id"`
	Name     string `json:"name"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Version  string `json:"version"`
	Revision uint64 `json:"revision"`
	Ready    bool   `json:"ready"`
	// Active is the number of calls in progress. Replicas and Leads are the numbers of partitions that the node
	// holds and leads.
	Active   int64 `json:"active"`
	Replicas int   `json:"replicas"`
	Leads    int   `json:"leads"`
	// Unrepaired is the number of partitions led by the node that would not survive the loss of another node,
	// because a voter is lost or its replacement does not vote yet.
	Unrepaired int `json:"unrepaired"`
	Programs   int `json:"programs"`
}

// MemberStatus is a member as known to the node that serves the request, with the status that the member reported or
// the error of the status request.
type MemberStatus struct {
	Member membership.Member `json:"member"`
	Node   *NodeStatus       `json:"node,omitempty"`
	Error  *apierr.Error     `json:"error,omitempty"`
}

// ClusterStatus is the response to GET /status.
type ClusterStatus struct {
	// Revision is the newest revision in force on any node.
	Revision uint64         `json:"revision"`
	Members  []MemberStatus `json:"members"`
	// Lagging lists the IDs of live nodes that have an older revision in force or did not respond.
	Lagging []string `json:"lagging"`
}

type empty struct{}

func (s *Server) registerMessages() {
	transport.Handle(s.options.Transport, statusKind, func(context.Context, transport.Peer, empty) (NodeStatus, error) {
		return s.options.LocalStatus(), nil
	})
	transport.Handle(s.options.Transport, drainKind, func(context.Context, transport.Peer, empty) (empty, error) {
		s.options.Drain()
		return empty{}, nil
	})
}

func (s *Server) getStatus(ctx context.Context, _ identity, _ *http.Request) (any, error) {
	members := s.options.Membership.View().All()
	status := ClusterStatus{Members: make([]MemberStatus, len(members)), Lagging: []string{}}
	var tasks sync.WaitGroup
	slots := make(chan struct{}, maxStatusCalls)
	for index, member := range members {
		status.Members[index].Member = member
		if !member.Usable() {
			continue
		}
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			s.fetchStatus(ctx, &status.Members[index])
		})
	}
	tasks.Wait()
	status.summarize()
	return status, nil
}

func (s *Server) fetchStatus(ctx context.Context, target *MemberStatus) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	node, err := transport.Call[NodeStatus](ctx, s.options.Transport, target.Member.Peer(), statusKind, empty{})
	if err != nil {
		target.Error = apierr.From(err, apierr.NotRun)
		return
	}
	if node.ID != target.Member.ID {
		target.Error = apierr.New(apierr.PeerUnreachable, apierr.NotRun, "the address of the member is now used by node %s", node.ID)
		return
	}
	target.Node = &node
}

func (c *ClusterStatus) summarize() {
	for _, member := range c.Members {
		if member.Node != nil {
			c.Revision = max(c.Revision, member.Node.Revision)
		}
	}
	for _, member := range c.Members {
		if member.Member.Usable() && (member.Node == nil || member.Node.Revision < c.Revision) {
			c.Lagging = append(c.Lagging, member.Member.ID)
		}
	}
}

// PartitionList is the placement of the partitions, which hold program state.
type PartitionList struct {
	Partitions []partition.Placement `json:"partitions"`
}

func (s *Server) getPartitions(context.Context, identity, *http.Request) (any, error) {
	return PartitionList{Partitions: s.options.Partitions.Placements()}, nil
}

func (s *Server) drainNode(ctx context.Context, sender identity, r *http.Request) (any, error) {
	target := r.PathValue("node")
	view := s.options.Membership.View()
	index := slices.IndexFunc(view.Usable(), func(member membership.Member) bool { return member.ID == target || member.Name == target })
	if index < 0 {
		return nil, apierr.New(apierr.NotFound, apierr.NotRun, "there is no live node %q", target)
	}
	member := view.Usable()[index]
	s.options.Logger.Emit(events.DrainRequested, events.F("target", member.ID), events.F("author", sender.name))
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	_, err := transport.Call[empty](ctx, s.options.Transport, member.Peer(), drainKind, empty{})
	return member, err
}

// ProgramList lists the programs of one tenant or of all tenants.
type ProgramList struct {
	Programs []program.Summary `json:"programs"`
	// Silent lists nodes that did not respond; the programs in the partitions that they lead are missing.
	Silent []string `json:"silent"`
}

func (s *Server) listPrograms(ctx context.Context, sender identity, r *http.Request) (any, error) {
	tenant := r.URL.Query().Get("tenant")
	if !sender.platform() {
		tenant = sender.tenant
	}
	programs, silent := s.options.Coordinator.List(ctx, tenant)
	return ProgramList{Programs: programs, Silent: silent}, nil
}

// locateProgram returns the partition and key of a program. Programs of other tenants are reported as not
// found.
func (s *Server) locateProgram(sender identity, r *http.Request) (uint32, program.Key, error) {
	key := program.Key{Tenant: r.PathValue("tenant"), Path: r.PathValue("path")}
	tenant, known := s.options.Config.Current().Set.Tenant(key.Tenant)
	if !known || !sender.platform() && sender.tenant != key.Tenant {
		return 0, key, apierr.New(apierr.NotFound, apierr.NotRun, "there is no program %q of tenant %q", key.Path, key.Tenant)
	}
	root, _, _ := strings.Cut(key.Path, "/")
	id, err := s.options.Coordinator.Locate(tenant.HomeRegion, key.Tenant, root)
	return id, key, err
}

func (s *Server) getProgram(ctx context.Context, sender identity, r *http.Request) (any, error) {
	id, key, err := s.locateProgram(sender, r)
	if err != nil {
		return nil, err
	}
	return s.options.Coordinator.Program(ctx, coordinator.ProgramRequest{Partition: id, Program: key})
}

func (s *Server) endProgram(ctx context.Context, sender identity, r *http.Request) (any, error) {
	id, key, err := s.locateProgram(sender, r)
	if err != nil {
		return nil, err
	}
	return empty{}, s.options.Coordinator.End(ctx, coordinator.EndRequest{Partition: id, End: program.End{Program: key, Reason: program.EndByOperator}})
}

func (s *Server) getDecision(ctx context.Context, _ identity, r *http.Request) (any, error) {
	response, err := s.options.Coordinator.Explain(ctx, r.PathValue("call"))
	return response.Decision, err
}

// NodesBehind returns the IDs of live nodes on which the revision, or a newer one, is not known to be in force.
func (c ClusterStatus) NodesBehind(revision uint64) []string {
	var behind []string
	for _, member := range c.Members {
		if member.Member.Usable() && (member.Node == nil || member.Node.Revision < revision) {
			behind = append(behind, member.Member.ID)
		}
	}
	return behind
}
