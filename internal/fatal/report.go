package fatal

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Report tells other gateways of a run that was interrupted. Reports never change, and are withdrawn if the engine has survived.
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
	// The run was interrupted AgeMicros before the report, ExposureMicros after it was sent to the engine, and at BrokenMillis, a Unix time
	// by the clock of the gateway that reports it; 0 if a build reports it that does not tell.
	AgeMicros      int64 `json:"a,omitempty"`
	ExposureMicros int64 `json:"d"`
	BrokenMillis   int64 `json:"t,omitempty"`
	// EndedMillis is when the end of the engine was proved, by the same clock; 0 if it was not, or if a build reports it that does not tell.
	EndedMillis int64 `json:"x,omitempty"`
	// StartedMillis tells which life of the engine it was; see Run.
	StartedMillis int64 `json:"n,omitempty"`
	// Undecided is set if it was not known yet whether the engine ended. Builds that don't know it take the run for an end.
	Undecided bool `json:"u,omitempty"`
	// Silent is set if nothing came from the engine during the run.
	Silent bool `json:"q,omitempty"`
	// Sound is set if the request was completed lately.
	Sound bool `json:"k,omitempty"`
	// Fatal is set if the request is not sent again. Only builds that judge by chance read it.
	Fatal bool `json:"f,omitempty"`
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
	// maxClockError bounds how far ahead of this gateway's clock that of another one may be.
	maxClockError = time.Minute
	// maxDuration is longer than any call.
	maxDuration = 24 * time.Hour
)

// Name returns the report's name, which is unique.
func (r Report) Name() string { return r.name }

// Key returns the key of the request's content.
func (r Report) Key() Key { return r.key }

// KeyOfReport returns the key of the request's content from the name of a report.
func KeyOfReport(name string) Key {
	key, _, _ := strings.Cut(name, nameSeparator)
	return Key(key)
}

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
	for _, micros := range []int64{b.AgeMicros, b.ExposureMicros} {
		if micros < 0 || micros > maxDuration.Microseconds() {
			return false
		}
	}
	return b.Engine != ""
}

// Unshared returns reports of the interrupted runs that other gateways were not told yet, and the names of reports that have to be withdrawn.
func (t *Tracker) Unshared(now time.Time) (reports []Report, withdrawn []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for key := range t.changed {
		known := t.requests[key]
		for index := range known.runs {
			interrupted := &known.runs[index]
			if interrupted.report != "" {
				continue
			}
			interrupted.report = string(key) + nameSeparator + strconv.FormatUint(rand.Uint64()>>(64-nonceBits), 36)
			reports = append(reports, reportOf(now, key, known, *interrupted))
		}
	}
	clear(t.changed)
	withdrawn, t.retracted = t.retracted, nil
	return reports, withdrawn
}

// Reports returns reports of all runs of a request that were shared, here or by other gateways: those who were told may have forgotten.
func (t *Tracker) Reports(now time.Time, key Key) (reports []Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.requests[key]
	if known == nil {
		return nil
	}
	for _, interrupted := range known.runs {
		if interrupted.report != "" {
			reports = append(reports, reportOf(now, key, known, interrupted))
		}
	}
	return reports
}

func reportOf(now time.Time, key Key, known *request, interrupted run) Report {
	endedMillis := int64(0)
	if interrupted.ended() {
		endedMillis = interrupted.endedAt.UnixMilli()
	}
	return Report{key: key, name: interrupted.report, body: reportBody{
		EndedMillis: endedMillis,
		Engine:      interrupted.Engine, Service: interrupted.Service, Software: interrupted.Software, StartedMillis: interrupted.StartedMillis, Call: interrupted.call,
		AgeMicros: max(now.Sub(interrupted.BrokenAt), 0).Microseconds(), ExposureMicros: max(interrupted.BrokenAt.Sub(interrupted.SentAt), 0).Microseconds(),
		BrokenMillis: interrupted.BrokenAt.UnixMilli(), Undecided: !interrupted.ended(), Silent: interrupted.Silent, Sound: known.sound, Fatal: known.refused,
	}}
}

// Apply records a run that another gateway reported.
func (t *Tracker) Apply(now time.Time, report Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	body := report.body
	if known := t.requests[report.key]; known != nil && known.decideReported(now, report) {
		return
	}
	brokenAt := body.brokenAt(now)
	reported := run{
		Run: Run{
			Engine: body.Engine, Service: body.Service, Software: body.Software, StartedMillis: body.StartedMillis, Silent: body.Silent,
			SentAt: brokenAt.Add(-time.Duration(body.ExposureMicros) * time.Microsecond), BrokenAt: brokenAt,
		},
		call: body.Call, report: report.name, foreign: true,
	}
	if !body.Undecided || t.endedSince(reported.Run) {
		reported.endedAt = body.endedAt(now)
	}
	t.addRun(now, report.key, reported)
	t.requests[report.key].sound = t.requests[report.key].sound || body.Sound
}

// brokenAt returns when the run of a report was interrupted. Reports may arrive long after they were made, and clocks may differ.
func (b reportBody) brokenAt(now time.Time) time.Time {
	if at := time.UnixMilli(b.BrokenMillis); now.Sub(at) < retention && at.Sub(now) < maxClockError {
		return at
	}
	return now.Add(-time.Duration(b.AgeMicros) * time.Microsecond)
}

// endedAt returns when the end of the engine was proved, as far as it is known.
func (b reportBody) endedAt(now time.Time) time.Time {
	if at := time.UnixMilli(b.EndedMillis); now.Sub(at) < retention && at.Sub(now) < maxClockError {
		return at
	}
	return now
}

// decideReported updates the run with a report's name, and reports whether it is known.
func (r *request) decideReported(now time.Time, report Report) bool {
	index := slices.IndexFunc(r.runs, func(known run) bool { return known.report == report.name })
	if index < 0 {
		return false
	}
	if !report.body.Undecided && !r.runs[index].ended() {
		r.runs[index].endedAt = report.body.endedAt(now)
	}
	return true
}

// Withdraw forgets the run that was shared by the report with this name: its engine has survived, or another run of the request was completed.
func (t *Tracker) Withdraw(name string) {
	key := KeyOfReport(name)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.requests[key] != nil {
		t.dropRuns(key, func(interrupted run) bool { return interrupted.report == name })
	}
}
