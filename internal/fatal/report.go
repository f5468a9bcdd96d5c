package fatal

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Report tells other gateways of an engine that ended under a request. Reports never change; each end has one.
type Report struct {
	key  Key
	name string
	body reportBody
}

// reportBody is the encoding of a Report. Unknown fields are ignored.
type reportBody struct {
	Engine   string `json:"e"`
	Service  string `json:"s"`
	Software string `json:"v,omitempty"`
	// Call is a hash of the call's ID.
	Call uint32 `json:"c"`
	// The run was interrupted AgeMicros before the report, ExposureMicros after it was sent to the engine and CallMicros after the
	// call began.
	AgeMicros      int64 `json:"a,omitempty"`
	ExposureMicros int64 `json:"d"`
	CallMicros     int64 `json:"b"`
	// Chance is the probability that the engine ended by itself meanwhile.
	Chance float64 `json:"p"`
	// Fatal is set if the request was found to be fatal.
	Fatal bool `json:"f,omitempty"`
	// Open is set if the call was still in progress.
	Open bool `json:"o,omitempty"`
}

// ErrReport means that Name or the value under it is not a valid report.
type ErrReport struct{ Name string }

// Error implements error.
func (e *ErrReport) Error() string {
	return "invalid report of an engine's end: " + strconv.Quote(e.Name)
}

const (
	// nameSeparator separates the request's key from a random number in the name of a report.
	nameSeparator = "/"
	nonceBits     = 40
	// maxNameBytes and maxBodyBytes bound a report.
	maxNameBytes = 64
	maxBodyBytes = 512
	// maxDuration is longer than any call.
	maxDuration = 24 * time.Hour
)

// Name returns the report's name, which is unique.
func (r Report) Name() string { return r.name }

// Engine returns the ID of the engine, Service its service.
func (r Report) Engine() string { return r.body.Engine }

// Service returns the engine's service.
func (r Report) Service() string { return r.body.Service }

// Encode returns the report without its name.
func (r Report) Encode() (json.RawMessage, error) {
	encoded, err := json.Marshal(r.body)
	return encoded, errors.Wrap(err, r.name)
}

// DecodeReport decodes a report. The error is an *ErrReport.
func DecodeReport(name string, encoded json.RawMessage) (Report, error) {
	key, nonce, found := strings.Cut(name, nameSeparator)
	report := Report{key: Key(key), name: name}
	if !found || key == "" || nonce == "" || len(name) > maxNameBytes || len(encoded) > maxBodyBytes {
		return report, errors.WithStack(&ErrReport{Name: name})
	}
	if json.Unmarshal(encoded, &report.body) != nil || !report.body.valid() {
		return report, errors.WithStack(&ErrReport{Name: name})
	}
	return report, nil
}

func (b reportBody) valid() bool {
	for _, micros := range []int64{b.AgeMicros, b.ExposureMicros, b.CallMicros} {
		if micros < 0 || micros > maxDuration.Microseconds() {
			return false
		}
	}
	return b.Engine != ""
}

// Unshared returns reports of the ends that other gateways were not told yet. It also returns the names of earlier reports that these
// replace: builds that count an end only once its call has failed read Open.
func (t *Tracker) Unshared(now time.Time) (reports []Report, replaced []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for key := range t.changed {
		known := t.requests[key]
		for index := range known.runs {
			ended := &known.runs[index]
			if ended.open && ended.callFailed {
				replaced = append(replaced, ended.report)
				ended.report, ended.open = "", false
			}
			if !ended.ended || ended.report != "" {
				continue
			}
			ended.open = !ended.callFailed
			ended.report = string(key) + nameSeparator + strconv.FormatUint(rand.Uint64()>>(64-nonceBits), 36)
			reports = append(reports, t.report(now, key, known, *ended))
		}
	}
	clear(t.changed)
	return reports, replaced
}

// Reports returns reports of all ends under a request that were shared, here or by other gateways: those who were told may have forgotten.
func (t *Tracker) Reports(now time.Time, key Key) (reports []Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[key]
	if known == nil {
		return nil
	}
	for _, ended := range known.runs {
		if ended.ended && ended.report != "" {
			reports = append(reports, t.report(now, key, known, ended))
		}
	}
	return reports
}

// report returns the report of an end. The caller holds the mutex.
func (t *Tracker) report(now time.Time, key Key, known *request, ended run) Report {
	return Report{key: key, name: ended.report, body: reportBody{
		Engine: ended.Engine, Service: ended.Service, Software: ended.Software,
		Call: ended.call, AgeMicros: max(now.Sub(ended.BrokenAt).Microseconds(), 0), ExposureMicros: ended.BrokenAt.Sub(ended.SentAt).Microseconds(),
		CallMicros: ended.BrokenAt.Sub(ended.beganAt).Microseconds(), Chance: t.chance(now, ended, known.runs), Fatal: known.fatal, Open: ended.open,
	}}
}

// Apply records a report of another gateway. Reports that are known already, such as this gateway's own, are ignored.
func (t *Tracker) Apply(now time.Time, report Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.requests[report.key]; known != nil && known.shares(report.name) {
		return
	}
	body := report.body
	brokenAt := now.Add(-time.Duration(body.AgeMicros) * time.Microsecond)
	t.addRun(now, report.key, run{
		Run: Run{
			Engine: body.Engine, Service: body.Service, Software: body.Software,
			SentAt: brokenAt.Add(-time.Duration(body.ExposureMicros) * time.Microsecond), BrokenAt: brokenAt,
		},
		call: body.Call, beganAt: brokenAt.Add(-time.Duration(body.CallMicros) * time.Microsecond),
		callFailed: !body.Open, ended: true, report: report.name, chance: body.Chance,
	})
	if known := t.requests[report.key]; known != nil {
		known.fatal = known.fatal || body.Fatal
	}
}

// Withdraw forgets an end that was shared by the report with this name, since a run of the request was completed.
func (t *Tracker) Withdraw(name string) {
	key, _, _ := strings.Cut(name, nameSeparator)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[Key(key)]
	if known == nil {
		return
	}
	kept := known.runs[:0]
	for _, interrupted := range known.runs {
		if interrupted.report != name {
			kept = append(kept, interrupted)
		}
	}
	known.runs = kept
	t.dropIfIdle(Key(key), known)
}

// shares reports whether the end with this report's name is known.
func (r *request) shares(name string) bool {
	for _, interrupted := range r.runs {
		if interrupted.report == name {
			return true
		}
	}
	return false
}
