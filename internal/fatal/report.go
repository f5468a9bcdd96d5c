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
	// ExposureMicros is how long the run took, Chance the probability that the engine ended by itself meanwhile.
	ExposureMicros int64   `json:"d"`
	Chance         float64 `json:"p"`
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
	// maxExposure is longer than any run.
	maxExposure = 24 * time.Hour
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
	if json.Unmarshal(encoded, &report.body) != nil || report.body.Engine == "" || report.body.ExposureMicros < 0 || report.body.ExposureMicros > maxExposure.Microseconds() {
		return report, errors.WithStack(&ErrReport{Name: name})
	}
	return report, nil
}

// Unshared returns reports of the ends that other gateways have to know and were not told yet: those under requests whose call
// has failed here, which their callers may send again elsewhere, and those under requests that met more than one.
func (t *Tracker) Unshared(now time.Time) []Report {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var reports []Report
	for key, known := range t.requests {
		if known.calls > 0 && known.ends() < 2 {
			continue
		}
		for index := range known.runs {
			ended := &known.runs[index]
			if !ended.ended || ended.report != "" {
				continue
			}
			ended.report = string(key) + nameSeparator + strconv.FormatUint(rand.Uint64()>>(64-nonceBits), 36)
			reports = append(reports, Report{key: key, name: ended.report, body: reportBody{
				Engine: ended.Engine, Service: ended.Service, Software: ended.Software,
				ExposureMicros: ended.BrokenAt.Sub(ended.SentAt).Microseconds(), Chance: t.chance(now, *ended, known.runs),
			}})
		}
	}
	return reports
}

// Apply records a report of another gateway. Reports that are known already, such as this gateway's own, are ignored.
func (t *Tracker) Apply(now time.Time, report Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known := t.requests[report.key]; known != nil && known.shares(report.name) {
		return
	}
	exposure := time.Duration(report.body.ExposureMicros) * time.Microsecond
	t.addRun(now, report.key, run{
		Run: Run{
			Engine: report.body.Engine, Service: report.body.Service, Software: report.body.Software, SentAt: now.Add(-exposure), BrokenAt: now,
		},
		ended: true, report: report.name, chance: report.body.Chance,
	})
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
	if len(kept) == 0 && known.calls == 0 {
		delete(t.requests, Key(key))
	}
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

// ends returns how many engines have ended under the request.
func (r *request) ends() int {
	count := 0
	for _, interrupted := range r.runs {
		if interrupted.ended {
			count++
		}
	}
	return count
}
