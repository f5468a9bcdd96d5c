package torture

import (
	"context"
	"strings"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/program"
)

// verify compares the outcomes that callers received with the requests that the engines recorded.
func (r *run) verify(ctx context.Context) {
	r.verifyOrder()
	r.verifyMarks()
	r.verifyBudgets(ctx)
	r.verifyCaches(ctx)
}

// verifyOrder checks that each engine received a program's calls in order. A later call has more
// messages; a retry has as many as the call before.
func (r *run) verifyOrder() {
	for name, engine := range r.system.Engines {
		last := make(map[string]emulator.LedgerEntry)
		for _, entry := range engine.Ledger() {
			if entry.Messages < last[entry.Program].Messages {
				r.recordViolation(&r.report.Violations.Reordered, "%s: %s went from %d messages back to %d", name, entry.Program, last[entry.Program].Messages, entry.Messages)
			}
			last[entry.Program] = entry
		}
	}
}

// verifyMarks compares how often each mark was executed with the outcome that its caller received.
func (r *run) verifyMarks() {
	executed := make(map[string]int)
	for _, application := range r.system.Applications {
		for _, entry := range application.Ledger() {
			executed[entry.Body]++
		}
	}
	for body, outcome := range r.markOutcomes {
		count := executed[body]
		switch {
		case count > 1:
			r.recordViolation(&r.report.Violations.Doubled, "mark %s was executed %d times", body, count)
		case outcome == string(apierr.NotRun) && count > 0:
			r.recordViolation(&r.report.Violations.FalseNotRun, "mark %s was reported as not run, but was executed", body)
		case outcome == string(apierr.Ran) && count == 0:
			r.recordViolation(&r.report.Violations.Lost, "mark %s was reported as run, but was not executed", body)
		}
	}
}

// listPrograms returns the programs of all partitions, and the nodes that did not respond. If the request fails, it
// returns the error's text in their place.
func (r *run) listPrograms(ctx context.Context) ([]program.Summary, []string) {
	list, err := r.system.Admin.Programs(ctx, "torture")
	if err != nil {
		return nil, []string{err.Error()}
	}
	return list.Programs, list.Silent
}

func (r *run) verifyBudgets(ctx context.Context) {
	programs, silent := r.listPrograms(ctx)
	if len(silent) > 0 {
		r.addNote("no response from nodes after the run: %s", strings.Join(silent, ", "))
	}
	for _, summary := range programs {
		if summary.Used+summary.Reserved > tokenBudget {
			r.recordViolation(&r.report.Violations.OverBudget, "%s has used and reserved %d tokens of %d", summary.Key.Path, summary.Used+summary.Reserved, tokenBudget)
		}
	}
}

// verifyCaches waits for the engines to release the caches of ended programs, and reports those that remain.
func (r *run) verifyCaches(ctx context.Context) {
	settleContext, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for settleContext.Err() == nil && len(r.leaks(settleContext)) > 0 {
		r.sleep(settleContext, faultInterval)
	}
	for _, leak := range r.leaks(ctx) {
		r.recordViolation(&r.report.Violations.Leaked, "%s", leak)
	}
}

// leaks describes the caches of ended programs that engines still hold.
func (r *run) leaks(ctx context.Context) []string {
	programs, _ := r.listPrograms(ctx)
	var leaks []string
	for _, summary := range programs {
		for name, engine := range r.system.Engines {
			cacheID := summary.Key.Tenant + ":" + summary.Key.Path
			if summary.EndedAt > 0 && engine.Held(cacheID) > 0 {
				leaks = append(leaks, name+" holds cache of "+cacheID)
			}
		}
	}
	return leaks
}
