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

// loadTimeout bounds a report that is sent by itself: news that is older has faded.
const loadTimeout = 500 * time.Millisecond

// loadReport is what openings of this moment tell of the load; the zero value tells nothing.
type loadReport struct {
	gateway string
	sheet   *load.Counts
	// hearers are the replicas that are told: the first of each zone in the first shard, whom the gateways of that zone
	// ask for news. What these hear is what all gateways know.
	hearers []Member
	// epoch is that of the first shard's set.
	epoch int64
	// newsFrom is the replica that is asked for the others' reports.
	newsFrom string
}

// loadReport makes a report if it is time for one.
func (c *Client) loadReport() loadReport {
	if c.options.Load == nil || !c.loadPacer.Allow(time.Now()) {
		return loadReport{}
	}
	set := c.ReplicaSet()
	sheet := c.options.Load.Report()
	report := loadReport{gateway: c.network.NodeID(), sheet: &sheet, epoch: set.Epoch}
	for _, member := range set.All() {
		if set.firstOfZone(member) {
			report.hearers = append(report.hearers, member)
		}
	}
	report.newsFrom = c.news.choose(report.hearers, c.options.Zone)
	c.loadPacer.Charge(len(report.hearers) * sheetBytes(sheet))
	return report
}

// addTo lets an opening for a replica carry the report.
func (l loadReport) addTo(request *openRequest, member Member) {
	if contains(l.hearers, member.Name) {
		request.Gateway = l.gateway
		request.Load = l.sheet
		request.LoadNews = member.Name == l.newsFrom
	}
}

// tellLoad sends a report to the hearers that an opening at the members of a set does not reach.
func (c *Client) tellLoad(report loadReport, set ReplicaSet) {
	for _, hearer := range report.hearers {
		if set.Has(hearer.Name) {
			continue
		}
		request := openRequest{Epoch: report.epoch}
		report.addTo(&request, hearer)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
			defer cancel()
			// A report that does not arrive is replaced by the next one.
			if answer, err := transport.Call[openAnswer](ctx, c.network, hearer.Address, openKind, request); err == nil {
				c.takeLoadNews(answer)
			}
		}()
	}
}

// newsSource chooses the replica that is asked for news of the load: that of the own zone, or the next one after a
// question that had no answer by the time of the next. The news would stay away for seconds if that replica is lost.
type newsSource struct {
	mutex   sync.Mutex
	turn    int
	waiting bool
}

func (n *newsSource) choose(hearers []Member, zone string) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if len(hearers) == 0 {
		return ""
	}
	if n.waiting {
		n.turn++
	}
	n.waiting = true
	own := max(slices.IndexFunc(hearers, func(member Member) bool { return member.Zone == zone }), 0)
	return hearers[(own+n.turn)%len(hearers)].Name
}

// heard notes that the question was answered.
func (n *newsSource) heard() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.waiting = false
}

// takeLoadNews hears the others' calls in flight, if the answer has them.
func (c *Client) takeLoadNews(answer openAnswer) {
	if c.options.Load == nil || answer.Load == nil {
		return
	}
	c.news.heard()
	c.options.Load.Take(time.Now(), *answer.Load)
	c.loadPacer.Charge(sheetBytes(*answer.Load))
}

// sheetBytes is what a sheet takes on the wire.
func sheetBytes(sheet load.Counts) int {
	encoded, err := json.Marshal(sheet)
	if err != nil {
		return 0
	}
	return len(encoded)
}

// exchangeLoad takes a gateway's report, and answers with those of the others if it asks for them.
func (r *Replica) exchangeLoad(request openRequest) *load.Counts {
	if request.Load == nil {
		return nil
	}
	others := r.board.Exchange(time.Now(), request.Gateway, *request.Load)
	if !request.LoadNews {
		return nil
	}
	return &others
}

// serveOpen answers an opening, and exchanges load along with it.
func (r *Replica) serveOpen(ctx context.Context, _ transport.Peer, request openRequest) (openAnswer, error) {
	news := r.exchangeLoad(request)
	answer, err := r.open(ctx, request)
	answer.Load = news
	return answer, err
}
