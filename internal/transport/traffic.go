package transport

import (
	"sync"
	"sync/atomic"
)

// KindTraffic holds the message and byte counts of one message kind.
type KindTraffic struct {
	SentMessages     int64 `json:"sent_messages"`
	SentBytes        int64 `json:"sent_bytes"`
	ReceivedMessages int64 `json:"received_messages"`
	ReceivedBytes    int64 `json:"received_bytes"`
}

type kindCounters struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes atomic.Int64
}

// otherKinds is the name of all kinds that this node doesn't know.
const otherKinds = "other"

// Traffic counts messages and payload bytes by kind; TLS and TCP overhead is not included.
type Traffic struct {
	kinds   sync.Map // message kind (string) to *kindCounters
	dropped atomic.Int64
}

func newTraffic() *Traffic { return &Traffic{} }

func (t *Traffic) counters(kind string) *kindCounters {
	if found, ok := t.kinds.Load(kind); ok {
		return found.(*kindCounters)
	}
	created, _ := t.kinds.LoadOrStore(kind, &kindCounters{})
	return created.(*kindCounters)
}

func (t *Traffic) countSent(kind string, bytes int) {
	counters := t.counters(kind)
	counters.sentMessages.Add(1)
	counters.sentBytes.Add(int64(bytes))
}

// countReceived counts a received message. Peers may send any kind: those that this node neither handles nor has sent are
// counted together.
func (t *Traffic) countReceived(kind string, bytes int, handled bool) {
	if _, sent := t.kinds.Load(kind); !sent && !handled {
		kind = otherKinds
	}
	counters := t.counters(kind)
	counters.receivedMessages.Add(1)
	counters.receivedBytes.Add(int64(bytes))
}

func (t *Traffic) countDropped() { t.dropped.Add(1) }

// Dropped returns the number of messages dropped because the connection's queue was full.
func (t *Traffic) Dropped() int64 { return t.dropped.Load() }

// ByKind returns a snapshot of the counters, keyed by message kind.
func (t *Traffic) ByKind() map[string]KindTraffic {
	result := make(map[string]KindTraffic)
	t.kinds.Range(func(key, value any) bool {
		counters := value.(*kindCounters)
		result[key.(string)] = KindTraffic{
			SentMessages:     counters.sentMessages.Load(),
			SentBytes:        counters.sentBytes.Load(),
			ReceivedMessages: counters.receivedMessages.Load(),
			ReceivedBytes:    counters.receivedBytes.Load(),
		}
		return true
	})
	return result
}
