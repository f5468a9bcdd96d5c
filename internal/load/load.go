// Package load lets gateways know how busy each engine is with the calls of all of them. Each gateway counts its own
// calls in flight; it reports them to the replicas with the openings of turns that it sends anyway, and gets back
// the sum of what the others reported. No message is sent for it alone, and news that stays away only means
// that a gateway counts on its own calls again.
//
// Counts is one set of counts; Aggregator is the side of a replica, View that of a gateway, Pacer bounds the bytes.
//
// Usage:
//
//	board := load.NewAggregator()                       // in a replica
//	others := board.Exchange(now, "gateway-1", reported)
//
//	view := load.NewView()                         // in a gateway
//	view.Take(now, others)
//	busy := own + view.Calls(now, load.KeyOf("engine-1"))
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
	// reportKept is how long a replica counts a report that was not followed by another. A gateway that goes on serving
	// reports several times a second.
	reportKept = 1500 * time.Millisecond
	// newsHalfLife is how fast a gateway stops relying on what it heard last: a call lasts about as long.
	newsHalfLife = 500 * time.Millisecond
	// mostEntries bounds a sheet: of more engines only the busiest are told.
	mostEntries = 64
	// keyBytes is how many bytes of an engine's hash name it. Two engines with one key, which is one pair in 200
	// deployments of 400 engines, are each taken to be as busy as both.
	keyBytes = 3
)

// Key names an engine in a sheet, in four characters: with whole names, what gateways know of one another would be two
// and a half times as old for the same bytes.
type Key string

// KeyOf returns the key of an engine.
func KeyOf(engine string) Key {
	hash := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(engine))
	return Key(base64.RawURLEncoding.EncodeToString(hash[:keyBytes]))
}

// keyCharacters is the length of a Key.
var keyCharacters = base64.RawURLEncoding.EncodedLen(keyBytes)

// Count is how many calls are in flight at one engine.
type Count struct {
	Engine Key
	Calls  int
}

// Counts is a set of counts; engines without calls are left out. On the wire it is one text, each engine's key with its
// calls behind it, separated by commas, for it is sent many times a second.
type Counts []Count

// ErrCounts means that a text is no sheet.
type ErrCounts struct{ Text string }

// Error implements error.
func (e *ErrCounts) Error() string { return "no counts of calls: " + strconv.Quote(e.Text) }

// MarshalText implements encoding.TextMarshaler.
func (s Counts) MarshalText() ([]byte, error) {
	var text []byte
	for _, count := range s {
		if len(text) > 0 {
			text = append(text, ',')
		}
		text = append(text, count.Engine...)
		text = strconv.AppendInt(text, int64(count.Calls), 10)
	}
	return text, nil
}

// UnmarshalText implements encoding.TextUnmarshaler. The error is an ErrCounts.
func (s *Counts) UnmarshalText(text []byte) error {
	*s = nil
	if len(text) == 0 {
		return nil
	}
	for _, part := range strings.Split(string(text), ",") {
		if len(part) <= keyCharacters {
			return errors.WithStack(&ErrCounts{Text: part})
		}
		calls, err := strconv.Atoi(part[keyCharacters:])
		if err != nil || calls < 0 {
			return errors.WithStack(&ErrCounts{Text: part})
		}
		*s = append(*s, Count{Engine: Key(part[:keyCharacters]), Calls: calls})
	}
	return nil
}

// Busiest returns the sheet without all but the busiest engines.
func (s Counts) Busiest() Counts {
	slices.SortFunc(s, func(a, b Count) int {
		if a.Calls != b.Calls {
			return b.Calls - a.Calls
		}
		return cmp.Compare(a.Engine, b.Engine)
	})
	return s[:min(len(s), mostEntries)]
}

// Aggregator adds up the reports of gateways. All methods may be called concurrently.
type Aggregator struct {
	mutex   sync.Mutex
	reports map[string]report
}

type report struct {
	sheet Counts
	at    time.Time
}

// NewAggregator returns a Aggregator without reports.
func NewAggregator() *Aggregator { return &Aggregator{reports: make(map[string]report)} }

// Exchange takes a gateway's report in place of its last one, and returns the sum of all others.
func (b *Aggregator) Exchange(now time.Time, gateway string, reported Counts) Counts {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.reports[gateway] = report{sheet: reported, at: now}
	sums := make(map[Key]int)
	for name, known := range b.reports {
		if now.Sub(known.at) > reportKept {
			delete(b.reports, name)
			continue
		}
		if name == gateway {
			continue
		}
		for _, count := range known.sheet {
			sums[count.Engine] += count.Calls
		}
	}
	others := make(Counts, 0, len(sums))
	for engine, calls := range sums {
		others = append(others, Count{Engine: engine, Calls: calls})
	}
	return others.Busiest()
}

// View is what a gateway knows of the others' calls. All methods may be called concurrently.
type View struct {
	mutex sync.Mutex
	calls map[Key]int
	at    time.Time
}

// NewView returns a View that knows nothing.
func NewView() *View { return &View{calls: make(map[Key]int)} }

// Take replaces what is known by the answer of a replica.
func (v *View) Take(now time.Time, others Counts) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	clear(v.calls)
	for _, count := range others {
		v.calls[count.Engine] = count.Calls
	}
	v.at = now
}

// Others is how many calls of other gateways an engine is expected to have. It fades with the age of the news.
func (v *View) Calls(now time.Time, engine Key) float64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	calls := v.calls[engine]
	if calls == 0 {
		return 0
	}
	return float64(calls) * v.trust(now)
}

// Age is how old the news is; it reports false if there never was any.
func (v *View) Age(now time.Time) (time.Duration, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return now.Sub(v.at), !v.at.IsZero()
}

// trust is 1 for fresh news and falls towards 0. The caller holds the mutex.
func (v *View) trust(now time.Time) float64 {
	halfLives := float64(now.Sub(v.at)) / float64(newsHalfLife)
	if halfLives <= 1 {
		return 1
	}
	return 1 / halfLives / halfLives
}
