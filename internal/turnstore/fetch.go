package turnstore

import (
	"context"
	"sync"
	"time"

	"github.com/mountstile/mountstile/internal/conversation"
	"github.com/mountstile/mountstile/internal/transport"
)

const (
	// fetchKeys bounds the records in one response. Peers leave out what exceeds it.
	fetchKeys = 64
	// initialFetchKeys is the size of the first batch from a peer, before the size of its records is known.
	initialFetchKeys = 16
	// fetchBytes is the size of a batch's texts, in bytes, at which batches stop growing.
	fetchBytes = 256 << 10
	// fetchConcurrency is how many batches are requested from one peer at a time. Their appends share syncs of the disk.
	fetchConcurrency = 4
)

// fetchClaims records which keys are being fetched, so that no record is fetched from two peers at a time.
type fetchClaims struct {
	mutex   sync.Mutex
	claimed map[conversation.Key]struct{}
	// released is closed, and replaced, when keys are released.
	released chan struct{}
}

func newFetchClaims() *fetchClaims {
	return &fetchClaims{claimed: make(map[conversation.Key]struct{}), released: make(chan struct{})}
}

// claim claims a key unless another fetch has.
func (c *fetchClaims) claim(key conversation.Key) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, taken := c.claimed[key]; taken {
		return false
	}
	c.claimed[key] = struct{}{}
	return true
}

func (c *fetchClaims) release(keys []conversation.Key) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, key := range keys {
		delete(c.claimed, key)
	}
	close(c.released)
	c.released = make(chan struct{})
}

// nextRelease returns a channel that is closed when keys are released next.
func (c *fetchClaims) nextRelease() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.released
}

// fetchPass fetches records from one peer in several batches at a time. A key that another pass has claimed is
// deferred: once it is released, it is held, or this pass fetches it.
type fetchPass struct {
	replica *Replica
	member  Member
	// incarnation is the peer's when it listed the keys.
	incarnation string
	progress    *peerProgress

	mutex    sync.Mutex
	keys     []conversation.Key
	deferred []conversation.Key
	failed   bool
}

// fetch requests records from a peer and reports whether the replica now holds and has synced all of them. A peer
// leaves out records that it no longer holds. If the peer has restarted since it listed the keys, the fetch fails: it may
// have lost its disk, and then leaves out records that it has acknowledged.
func (r *Replica) fetch(ctx context.Context, member Member, incarnation string, progress *peerProgress, keys []conversation.Key) bool {
	if len(keys) == 0 {
		return true
	}
	pass := &fetchPass{replica: r, member: member, incarnation: incarnation, progress: progress, keys: keys}
	var workers sync.WaitGroup
	for range min(fetchConcurrency, len(keys)) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			pass.run(ctx)
		}()
	}
	workers.Wait()
	return !pass.failed
}

// run fetches batches until no keys are left or a batch has failed.
func (p *fetchPass) run(ctx context.Context) {
	for {
		released := p.replica.claims.nextRelease()
		batch, wait := p.next()
		switch {
		case len(batch) > 0:
			ok := p.fetchBatch(ctx, batch)
			p.replica.claims.release(batch)
			if !ok {
				p.fail()
				return
			}
		case !wait:
			return
		default:
			select {
			case <-released:
			case <-ctx.Done():
				p.fail()
				return
			}
		}
	}
}

func (p *fetchPass) fail() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failed = true
}

// next claims the keys of the next batch. If it returns none, wait reports whether other passes are fetching keys that
// this pass needs.
func (p *fetchPass) next() (batch []conversation.Key, wait bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.failed {
		return nil, false
	}
	if len(p.keys) == 0 {
		p.keys, p.deferred = p.replica.missing(p.deferred), nil
	}
	limit := p.replica.fetchLimit(p.progress)
	for len(p.keys) > 0 && len(batch) < limit {
		count := min(len(p.keys), limit-len(batch))
		part := p.replica.missing(p.keys[:count])
		p.keys = p.keys[count:]
		for _, key := range part {
			if p.replica.claims.claim(key) {
				batch = append(batch, key)
			} else {
				p.deferred = append(p.deferred, key)
			}
		}
	}
	return batch, len(p.deferred) > 0
}

// fetchBatch fetches and appends one batch. Batches of one record, whose size is not bounded like that of others, are fetched
// one after the other.
func (p *fetchPass) fetchBatch(ctx context.Context, batch []conversation.Key) bool {
	r := p.replica
	if len(batch) == 1 {
		select {
		case r.largeFetch <- struct{}{}:
			defer func() { <-r.largeFetch }()
		case <-ctx.Done():
			return false
		}
	}
	requestedAt := time.Now()
	callContext, cancel := context.WithTimeout(ctx, pullTimeout)
	response, err := transport.Call[fetchResponse](callContext, r.network, p.member.Peer(), fetchKind, fetchRequest{Keys: batch})
	cancel()
	r.adjustFetchLimit(p.progress, len(batch), response.Records, err)
	if err != nil || response.Incarnation != "" && response.Incarnation != p.incarnation {
		return false
	}
	r.recordResponse(p.progress)
	receivedAt := time.Now()
	err = r.appendPulled(ctx, p.progress, response.Records)
	r.countFetched(len(response.Records), receivedAt.Sub(requestedAt), time.Since(receivedAt))
	return err == nil
}

// fetchLimit returns how many records to request from a peer at once.
func (r *Replica) fetchLimit(progress *peerProgress) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if progress.fetchLimit == 0 {
		return initialFetchKeys
	}
	return progress.fetchLimit
}

// adjustFetchLimit adapts the size of further batches to the size of the records in this one. After a failure it is
// halved: the response may have been longer than a message may be, or too slow.
func (r *Replica) adjustFetchLimit(progress *peerProgress, requested int, records []conversation.Record, err error) {
	size := 0
	for _, record := range records {
		if record.Turn != nil {
			size += len(record.Turn.Text)
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case err != nil:
		progress.fetchLimit = max(requested/2, 1)
	case size == 0:
		progress.fetchLimit = fetchKeys
	default:
		progress.fetchLimit = min(max(len(records)*fetchBytes/size, 1), fetchKeys)
	}
}

// appendPulled writes records from a peer. The peer's silence counts from the end of the write: while its records wait for
// this replica's own disk, it may not be contacted.
func (r *Replica) appendPulled(ctx context.Context, progress *peerProgress, records []conversation.Record) error {
	r.addAppending(progress, 1)
	defer r.addAppending(progress, -1)
	return r.append(ctx, records)
}

func (r *Replica) addAppending(progress *peerProgress, change int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	progress.appending += change
	progress.firstRequestAt = time.Now()
}
