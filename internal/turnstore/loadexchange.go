package turnstore

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/load"
	"github.com/mountstile/mountstile/internal/transport"
)

// loadTimeout bounds the request of a report that is sent without an open request; after it the counts are stale.
const loadTimeout = 500 * time.Millisecond

// loadReport is the load report attached to one open; the zero value is none.
type loadReport struct {
	gateway string
	counts  *load.Counts
	// targets are the replicas that receive the report: the first of each zone in the first shard's set. Each collects
	// the reports of all gateways.
	targets []Member
	// epoch is the epoch of the first shard's set.
	epoch int64
	// source is the replica that is asked for the other gateways' load.
	source string
}

// loadReport returns a report, or the zero value if none is due.
func (c *Client) loadReport() loadReport {
	if c.options.Load == nil || !c.loadPacer.Allow(time.Now()) {
		return loadReport{}
	}
	set := c.ReplicaSet()
	counts := c.options.Load.Report()
	report := loadReport{gateway: c.network.NodeID(), counts: &counts, epoch: set.Epoch}
	for _, member := range set.All() {
		if set.firstOfZone(member) {
			report.targets = append(report.targets, member)
		}
	}
	report.source = c.loadSource.choose(report.targets, c.options.Zone)
	c.loadPacer.Charge(len(report.targets) * encodedSize(counts))
	return report
}

// attachTo attaches the report to an open request if the member is a target.
func (l loadReport) attachTo(request *openRequest, member Member) {
	if contains(l.targets, member.Name) {
		request.Gateway = l.gateway
		request.Load = l.counts
		request.WantLoad = member.Name == l.source
	}
}

// sendLoad sends a report to the targets that are not in set and so don't get it with an open request.
func (c *Client) sendLoad(report loadReport, set ReplicaSet) {
	for _, target := range report.targets {
		if set.Has(target.Name) {
			continue
		}
		request := openRequest{Epoch: report.epoch}
		report.attachTo(&request, target)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
			defer cancel()
			// A lost report is replaced by the next one.
			if response, err := transport.Call[openResponse](ctx, c.network, target.Peer(), openKind, request); err == nil {
				c.receiveLoad(response)
			}
		}()
	}
}

// loadSourceSelector selects the replica that is asked for the other gateways' load: the replica in the client's zone,
// or the next target if the previous request has not been answered yet, so that a lost replica interrupts the updates
// only briefly.
type loadSourceSelector struct {
	mutex   sync.Mutex
	offset  int
	pending bool
}

func (s *loadSourceSelector) choose(targets []Member, zone string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(targets) == 0 {
		return ""
	}
	if s.pending {
		s.offset++
	}
	s.pending = true
	own := max(slices.IndexFunc(targets, func(member Member) bool { return member.Zone == zone }), 0)
	return targets[(own+s.offset)%len(targets)].Name
}

// responded notes that the request was answered.
func (s *loadSourceSelector) responded() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pending = false
}

// receiveLoad passes on the other gateways' load, if the response has it.
func (c *Client) receiveLoad(response openResponse) {
	if c.options.Load == nil || response.Load == nil {
		return
	}
	c.loadSource.responded()
	c.options.Load.Take(time.Now(), *response.Load)
	c.loadPacer.Charge(encodedSize(*response.Load))
}

// encodedSize returns the size of a report on the wire, in bytes.
func encodedSize(counts load.Counts) int {
	encoded, err := json.Marshal(counts)
	if err != nil {
		return 0
	}
	return len(encoded)
}

// exchangeLoad stores a gateway's report and returns the others' load if the request asks for it.
func (r *Replica) exchangeLoad(request openRequest) *load.Counts {
	if request.Load == nil {
		return nil
	}
	others := r.loadReports.Exchange(time.Now(), request.Gateway, *request.Load)
	if !request.WantLoad {
		return nil
	}
	return &others
}

// serveOpen handles an open request and the load exchange attached to it.
func (r *Replica) serveOpen(ctx context.Context, _ transport.Peer, request openRequest) (openResponse, error) {
	others := r.exchangeLoad(request)
	response, err := r.open(ctx, request)
	response.Load = others
	return response, err
}
