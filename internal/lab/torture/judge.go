package torture

import (
	"context"
	"strings"

	"github.com/mountstile/mountstile/internal/apierr"
	"github.com/mountstile/mountstile/internal/emulator"
	"github.com/mountstile/mountstile/internal/program"
)

// judge compares what callers were told with what the engines saw.
func (r *run) judge(ctx context.Context) {
	r.judgeOrder()
	r.judgeMarks()
	r.judgeBudgets(ctx)
	r.judgeLeaks(ctx)
}

// judgeOrder looks, at each engine, for a program whose calls came in another order than it made
// them. A later call has more messages; repeats of a lost attempt have as many.
func (r *run) judgeOrder() {
	for name, engine := range r.system.Engines {
		last := make(map[string]emulator.LedgerEntry)
		for _, entry := range engine.Ledger() {
			if entry.Messages < last[entry.Program].Messages {
				r.violate(&r.report.Violations.Reordered, "%s: %s went from %d messages back to %d", name, entry.Program, last[entry.Program].Messages, entry.Messages)
			}
			last[entry.Program] = entry
		}
	}
}

// judgeMarks counts how often each mark was executed.
func (r *run) judgeMarks() {
	executed := make(map[string]int)
	for _, application := range r.system.Applications {
		for _, entry := range application.Ledger() {
			executed[entry.Body]++
		}
	}
	for body, outcome := range r.marks {
		count := executed[body]
		switch {
		case count > 1:
			r.violate(&r.report.Violations.Doubled, "mark %s was executed %d times", body, count)
		case outcome == string(apierr.NotRun) && count > 0:
			r.violate(&r.report.Violations.FalseNotRun, "mark %s was called not run, and was executed", body)
		case outcome == string(apierr.Ran) && count == 0:
			r.violate(&r.report.Violations.Lost, "mark %s was called run, and was not executed", body)
		}
	}
}

// listPrograms reads what the coordinators hold.
func (r *run) listPrograms(ctx context.Context) ([]program.Summary, []string) {
	list, err := r.system.Admin.Programs(ctx, "torture")
	if err != nil {
		return nil, []string{err.Error()}
	}
	return list.Programs, list.Silent
}

func (r *run) judgeBudgets(ctx context.Context) {
	programs, silent := r.listPrograms(ctx)
	if len(silent) > 0 {
		r.note("nodes did not answer at the end: %s", strings.Join(silent, ", "))
	}
	for _, summary := range programs {
		if summary.Used+summary.Reserved > tokenBudget {
			r.violate(&r.report.Violations.OverBudget, "%s holds %d tokens of %d", summary.Key.Path, summary.Used+summary.Reserved, tokenBudget)
		}
	}
}

// judgeLeaks waits until no engine holds cache of an ended program.
func (r *run) judgeLeaks(ctx context.Context) {
	settle, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for settle.Err() == nil && len(r.leaks(settle)) > 0 {
		r.pause(settle, restTime)
	}
	for _, leak := range r.leaks(ctx) {
		r.violate(&r.report.Violations.Leaked, "%s", leak)
	}
}

// leaks lists the ended programs that some engine still holds cache of.
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
