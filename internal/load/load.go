// Package load shares the number of calls in flight per engine among gateways. Each gateway reports its own calls
// in flight to the replicas, along with its requests to open turns, and receives the sum of the other gateways'
// reports in the response. Without recent reports a gateway relies on its own calls alone.
//
// Counts is the encoding of a report; a replica uses an Aggregator, and a gateway a View and a Pacer.
//
// Usage:
//
//	aggregator := load.NewAggregator()             // in a replica
//	others := aggregator.Exchange(now, "gateway-1", reported)
//
//	view := load.NewView()                         // in a gateway
//	view.Take(now, others)
//	calls := own + view.Calls(now, load.KeyOf("engine-1"))
package load

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// reportExpiry is how long a replica uses a gateway's report without a newer one. Gateways with traffic report
	// several times a second.
	reportExpiry = 1500 * time.Millisecond
	// reportFreshAge is the age up to which a report counts in full; beyond it, the weight falls with the square of the
	// age. After about the duration of a call many of the reported calls have ended.
	reportFreshAge = 500 * time.Millisecond
	// maxEntries bounds the engines in a report; the busiest ones are kept.
	maxEntries = 64
	// keyBytes is how many bytes of the hash of an engine's ID form its key. If two engines have the same key, the
	// calls of both count for each; that is one pair in 200 deployments of 400 engines.
	keyBytes = 3
)

// Key identifies an engine in a report: a short hash of its ID, in base64. Short keys allow more frequent reports
// within the same bandwidth.
type Key string

// KeyOf returns the key of the engine with this ID.
func KeyOf(engine string) Key {
	hash := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(engine))
	return Key(base64.RawURLEncoding.EncodeToString(hash[:keyBytes]))
}

// keyLength is the length of a Key in characters.
var keyLength = base64.RawURLEncoding.EncodedLen(keyBytes)

// Count is the number of calls in flight at one engine.
type Count struct {
	Engine Key
	Calls  int
}

// Counts is a report of the calls in flight; engines without calls are omitted. It is encoded compactly as text: each
// engine's key followed by its number of calls, separated by commas.
type Counts []Count

// ErrCounts means that Text is not a valid part of encoded Counts.
type ErrCounts struct{ Text string }

// Error implements error.
func (e *ErrCounts) Error() string { return "invalid call counts: " + strconv.Quote(e.Text) }

// MarshalText implements encoding.TextMarshaler.
func (c Counts) MarshalText() ([]byte, error) {
	var text []byte
	for _, count := range c {
		if len(text) > 0 {
			text = append(text, ',')
		}
		text = append(text, count.Engine...)
		text = strconv.AppendInt(text, int64(count.Calls), 10)
	}
	return text, nil
}

// UnmarshalText implements encoding.TextUnmarshaler. The error is an ErrCounts.
func (c *Counts) UnmarshalText(text []byte) error {
	*c = nil
	if len(text) == 0 {
		return nil
	}
	for _, part := range strings.Split(string(text), ",") {
		if len(part) <= keyLength {
			return errors.WithStack(&ErrCounts{Text: part})
		}
		calls, err := strconv.Atoi(part[keyLength:])
		if err != nil || calls < 0 {
			return errors.WithStack(&ErrCounts{Text: part})
		}
		*c = append(*c, Count{Engine: Key(part[:keyLength]), Calls: calls})
	}
	return nil
}

// Busiest returns the entries of the busiest engines, at most maxEntries of them. It sorts the receiver.
func (c Counts) Busiest() Counts {
	slices.SortFunc(c, func(a, b Count) int {
		if a.Calls != b.Calls {
			return b.Calls - a.Calls
		}
		return cmp.Compare(a.Engine, b.Engine)
	})
	return c[:min(len(c), maxEntries)]
}

// Aggregator sums up the reports of gateways. All methods may be called concurrently.
type Aggregator struct {
	mutex   sync.Mutex
	reports map[string]report
}

type report struct {
	counts     Counts
	receivedAt time.Time
}

// NewAggregator returns an Aggregator without reports.
func NewAggregator() *Aggregator { return &Aggregator{reports: make(map[string]report)} }

// Exchange replaces a gateway's last report and returns the sum of the other gateways' reports.
func (a *Aggregator) Exchange(now time.Time, gateway string, reported Counts) Counts {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.reports[gateway] = report{counts: reported, receivedAt: now}
	sums := make(map[Key]int)
	for name, stored := range a.reports {
		if now.Sub(stored.receivedAt) > reportExpiry {
			delete(a.reports, name)
			continue
		}
		if name == gateway {
			continue
		}
		for _, count := range stored.counts {
			sums[count.Engine] += count.Calls
		}
	}
	others := make(Counts, 0, len(sums))
	for engine, calls := range sums {
		others = append(others, Count{Engine: engine, Calls: calls})
	}
	return others.Busiest()
}

// View holds the other gateways' calls in flight at each engine. All methods may be called concurrently.
type View struct {
	mutex sync.Mutex
	calls map[Key]int
	// receivedAt is when the counts were received; zero before the first ones.
	receivedAt time.Time
}

// NewView returns a View without a report.
func NewView() *View { return &View{calls: make(map[Key]int)} }

// Take replaces the counts by the counts in a replica's response.
func (v *View) Take(now time.Time, others Counts) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	clear(v.calls)
	for _, count := range others {
		v.calls[count.Engine] = count.Calls
	}
	v.receivedAt = now
}

// Calls returns the estimated number of the other gateways' calls in flight at an engine. It decays with the age of the
// last report.
func (v *View) Calls(now time.Time, engine Key) float64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	calls := v.calls[engine]
	if calls == 0 {
		return 0
	}
	return float64(calls) * v.weight(now)
}

// Age returns the age of the last report, and false if there has been none.
func (v *View) Age(now time.Time) (time.Duration, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return now.Sub(v.receivedAt), !v.receivedAt.IsZero()
}

// weight returns the weight of the last report: 1 while it is recent, then falling towards 0. The caller holds the
// mutex.
func (v *View) weight(now time.Time) float64 {
	relativeAge := float64(now.Sub(v.receivedAt)) / float64(reportFreshAge)
	if relativeAge <= 1 {
		return 1
	}
	return 1 / relativeAge / relativeAge
}
