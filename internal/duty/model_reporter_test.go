package duty

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/lease"
)

const (
	usageKey     = "heatherloom/usage"
	usageWindow  = 5 * time.Second
	collectAfter = 1500 * time.Millisecond
	recordedRows = 12
	// maxClockError is by how much the clocks of the model differ from true time.
	maxClockError = 2 * time.Second
)

// modelReporter reports usage with the permits of a holder. The reporter of package usage can take the
// place of minimalReporter.
type modelReporter interface {
	// Step makes at most one report.
	Step(context.Context)
	// Remember takes a report that another holder is about to send; Remembered returns all of them.
	Remember(external.UsageReport)
	Remembered() []external.UsageReport
}

// reporterDeps are what a modelReporter has.
type reporterDeps struct {
	permit  func() (external.Fence, time.Time, bool)
	outcome func(error)
	store   lease.Store
	api     external.DutyAPI
	inform  func(external.UsageReport)
	collect func() []external.UsageReport
	// wall is the time since a start that all instances share, by the wall clock of the instance.
	wall func() time.Duration
	// counts collects the counts of a window. Each call returns others.
	counts func(window int64) map[string]int64
}

// usageRow is the record of the reports that may have been sent.
type usageRow struct {
	// Era is that of the store when the row was written.
	Era int64
	// Fresh is the first window that may be reported with fresh counts. Earlier ones that are not in
	// Reports may have been reported by a holder whose record is lost.
	Fresh   int64
	Reports []usageRecord
}

type usageRecord struct {
	external.UsageReport
	Accepted bool
}

// minimalReporter follows the rules "Recorded before sending" and "Store restored from a backup".
type minimalReporter struct {
	reporterDeps
	remembered map[int64]external.UsageReport
	term       int64
	loaded     bool
	row        usageRow
	revision   int64
}

func newMinimalReporter(d reporterDeps) modelReporter {
	return &minimalReporter{reporterDeps: d, remembered: map[int64]external.UsageReport{}}
}

func (r *minimalReporter) Remember(report external.UsageReport) { r.remembered[report.Window] = report }

func (r *minimalReporter) Remembered() []external.UsageReport {
	return slices.SortedFunc(maps.Values(r.remembered), func(a, b external.UsageReport) int { return int(a.Window - b.Window) })
}

func (r *minimalReporter) Step(ctx context.Context) {
	f, _, ok := r.permit()
	if !ok {
		return
	}
	if f.Token != r.term {
		r.term, r.loaded = f.Token, false
	}
	if !r.loaded {
		r.load(ctx)
		return
	}
	for n := range r.row.Reports {
		if !r.row.Reports[n].Accepted {
			r.send(ctx, &r.row.Reports[n])
			return
		}
	}
	r.recordNext(ctx)
}

// newest returns the last window that must not be reported with fresh counts.
func (r *minimalReporter) newest() int64 {
	newest := r.row.Fresh - 1
	for _, report := range r.row.Reports {
		newest = max(newest, report.Window)
	}
	return newest
}

func (r *minimalReporter) load(ctx context.Context) {
	entry, err := r.store.Get(ctx, usageKey)
	era, _ := external.SplitEra(r.term)
	if entryEra, _ := external.SplitEra(entry.ModRevision); err != nil || (entry.ModRevision != 0 && entryEra != era) {
		return // The store was restored since the claim, so the term is over.
	}
	r.row, r.revision = usageRow{}, entry.ModRevision
	if entry.ModRevision != 0 && json.Unmarshal(entry.Value, &r.row) != nil {
		return
	}
	if entry.ModRevision != 0 && r.row.Era == era {
		r.loaded = true
		return
	}
	r.afterRestore(ctx, era)
}

// afterRestore replaces a row that is missing or of an earlier era. A window that begins before the
// settling time has ended on all clocks is reported only as instances remember it. What the row says of
// windows that are not marked accepted does not count: a write that was sent before the restore may have
// taken effect after it, and another holder may have reported the window with other counts in between.
func (r *minimalReporter) afterRestore(ctx context.Context, era int64) {
	row := usageRow{Era: era, Fresh: max(r.newest()+1, int64((r.wall()+2*maxClockError)/usageWindow)+1)}
	accepted := map[int64]bool{}
	for _, report := range r.row.Reports {
		if report.Accepted {
			accepted[report.Window] = true
			row.Reports = append(row.Reports, report)
		}
	}
	known := map[int64]external.UsageReport{}
	for _, report := range r.collect() {
		known[report.Window] = report
	}
	for window, report := range known {
		if !accepted[window] && window < row.Fresh {
			row.Reports = append(row.Reports, usageRecord{UsageReport: report})
		}
	}
	slices.SortFunc(row.Reports, func(a, b usageRecord) int { return int(a.Window - b.Window) })
	r.loaded = r.write(ctx, row)
}

func (r *minimalReporter) recordNext(ctx context.Context) {
	window := r.newest() + 1
	if r.wall() < time.Duration(window+1)*usageWindow+collectAfter {
		return
	}
	row := r.row
	row.Reports = append(slices.Clone(row.Reports), usageRecord{UsageReport: external.UsageReport{Window: window, Counts: r.counts(window)}})
	r.loaded = r.write(ctx, row)
}

// write records the row if this holder still has the duty and nobody has written the row since.
func (r *minimalReporter) write(ctx context.Context, row usageRow) bool {
	row.Reports = row.Reports[max(0, len(row.Reports)-recordedRows):]
	raw, err := json.Marshal(row)
	if err != nil {
		return false
	}
	conditions := []external.Condition{{Key: usageKey, ModRevision: r.revision}, {Key: Key(external.DutyUsageReport), ModRevision: r.term}}
	ok, revision, err := r.store.Commit(ctx, conditions, []external.Write{{Key: usageKey, Value: raw}})
	if err != nil || !ok {
		return false
	}
	r.row, r.revision = row, revision
	return true
}

func (r *minimalReporter) send(ctx context.Context, record *usageRecord) {
	if _, informed := r.remembered[record.Window]; !informed {
		r.Remember(record.UsageReport)
		r.inform(record.UsageReport)
	}
	f, _, ok := r.permit()
	if !ok || f.Token != r.term {
		return
	}
	err := r.api.ReportUsage(ctx, f, record.UsageReport)
	r.outcome(err)
	record.Accepted = record.Accepted || err == nil
}
