package turnstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/mountstile/mountstile/internal/load"
	"github.com/mountstile/mountstile/internal/transport"
)

// addLoadReport lets an opening carry this gateway's calls in flight to all replicas, if it is time for that.
func (c *Client) addLoadReport(set Set, request *openRequest) {
	if c.options.Load == nil || !c.loadPacer.Due(time.Now()) {
		return
	}
	report := c.options.Load.Report()
	request.Load = &report
	c.loadPacer.Spent(len(set.All()) * sheetBytes(report))
}

// takeLoadNews hears the others' calls in flight, if the answer has them.
func (c *Client) takeLoadNews(answer openAnswer) {
	if c.options.Load == nil || answer.Load == nil {
		return
	}
	c.options.Load.Take(time.Now(), *answer.Load)
	c.loadPacer.Spent(sheetBytes(*answer.Load))
}

// sheetBytes is what a sheet takes on the wire.
func sheetBytes(sheet load.Sheet) int {
	encoded, err := json.Marshal(sheet)
	if err != nil {
		return 0
	}
	return len(encoded)
}

// exchangeLoad takes a gateway's report, and answers with those of the others if it asks for them.
func (r *Replica) exchangeLoad(from transport.Peer, request openRequest) *load.Sheet {
	if request.Load == nil {
		return nil
	}
	others := r.board.Exchange(time.Now(), from.NodeID, *request.Load)
	if !request.LoadNews {
		return nil
	}
	return &others
}

// serveOpen answers an opening, and exchanges load along with it.
func (r *Replica) serveOpen(ctx context.Context, from transport.Peer, request openRequest) (openAnswer, error) {
	news := r.exchangeLoad(from, request)
	answer, err := r.open(ctx, request)
	answer.Load = news
	return answer, err
}
