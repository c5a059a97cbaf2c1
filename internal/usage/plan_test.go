package usage

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"heatherloom/internal/external"
)

// Guards against reports with counts that are too low, or that come too late although few counts are missing.
func TestWhenAWindowIsReported(t *testing.T) {
	const due = 10 * time.Second
	for _, c := range []struct {
		sinceEnd      time.Duration
		live, missing int
		want          action
	}{
		{collectAfter - 1, 10, 0, actWait},
		{collectAfter, 10, 0, actReport},
		{due - reserve - 1, 40, 1, actWait},
		{due - reserve, 40, 1, actReportWithout},
		{due - reserve, 39, 1, actWait},
		{due - reserve, 100, 3, actWait},
		{30 * time.Second, 39, 1, actWait},
		{30 * time.Second, 39, 0, actReport},
		{55 * time.Second, 3, 1, actReportWithout},
		{giveUpAfter + 1, 3, 0, actLeaveOut},
	} {
		p := progress{sinceEnd: c.sinceEnd, live: c.live, missing: c.missing}
		if got := p.next(testWindow, due); got != c.want {
			t.Errorf("%+v: action %d, want %d", p, got, c.want)
		}
	}
}

func report(window, token int64, recorded bool, count int64) SentReport {
	return SentReport{UsageReport: external.UsageReport{Window: window, Counts: map[string]int64{"x": count}}, Token: token, Recorded: recorded}
}

// Guards against a second report with other counts after the store was restored from a backup (R1).
func TestWhatIsReportedAfterARestoreOfTheStore(t *testing.T) {
	const era1, era2 = int64(1) << eraShift, int64(2) << eraShift
	row := Row{Era: 1, Floor: 90, Reports: []RowReport{{Window: 95, Token: era1 + 1, Counts: map[string]int64{"x": 5}}}}
	settled := at(101, 2*time.Second)
	last := func(sent ...SentReport) memory { return memory{sent: sent, heldToken: era1 + 7, floor: 90} }
	for _, c := range []struct {
		exists bool
		token  int64
		want   lineage
	}{{true, era1 + 9, lineageSame}, {true, era2 + 9, lineageRestored}, {false, era1 + 9, lineageMissing}} {
		if got := lineageOf(&row, c.exists, c.token); got != c.want {
			t.Errorf("lineage of %+v: %d", c, got)
		}
	}
	for _, c := range []struct {
		name     string
		lineage  lineage
		row      Row
		memories []memory
		floor    int64
		reports  map[int64]int64
	}{
		{"nothing is known: no window that has ended is reported", lineageRestored, row, nil, 100, map[int64]int64{95: 5}},
		{"the fleet starts: nor the window in which it started", lineageMissing, Row{}, nil, 101, nil},
		{"remembered reports are repeated", lineageRestored, row, []memory{{sent: []SentReport{report(97, era1+2, true, 7)}}}, 100, map[int64]int64{95: 5, 97: 7}},
		{"the row has precedence", lineageRestored, row, []memory{{sent: []SentReport{report(95, era1+2, true, 7)}}}, 100, map[int64]int64{95: 5}},
		{"of two remembered ones, the higher token", lineageRestored, row, []memory{{sent: []SentReport{report(97, era1+3, true, 8)}}, {sent: []SentReport{report(97, era1+2, true, 7)}}}, 100, map[int64]int64{95: 5, 97: 8}},
		{"what was only decided on is not repeated", lineageRestored, row, []memory{{sent: []SentReport{report(97, era1+2, false, 7)}}}, 100, map[int64]int64{95: 5}},
		{"the last holder sent nothing after window 95", lineageRestored, row, []memory{last()}, 95, map[int64]int64{95: 5}},
		{"what the last holder decided on may be recorded in a backup", lineageRestored, row, []memory{last(report(97, era1+7, false, 7))}, 97, map[int64]int64{95: 5, 97: 7}},
		{"another holder may have followed", lineageRestored, row, []memory{{heldToken: era1 + 7, heldBeforeClaim: succession + 1}}, 100, map[int64]int64{95: 5}},
		{"a holder of an earlier era was not the last one", lineageRestored, row, []memory{{heldToken: 7}}, 100, map[int64]int64{95: 5}},
	} {
		r := recovery{token: era2 + 9, lineage: c.lineage, row: c.row, settled: settled, length: testWindow, memories: c.memories}
		skewed := r
		skewed.skew = maxSkew
		floor := c.floor
		if r.lastHolder() == nil {
			floor += int64(maxSkew / testWindow)
		}
		if got := skewed.resolve(); got.Floor != floor {
			t.Errorf("%s: floor %d with a clock that was not compared, want %d", c.name, got.Floor, floor)
		}
		got := r.resolve()
		reports := map[int64]int64{}
		for _, report := range got.Reports {
			reports[report.Window] = report.Counts["x"]
		}
		if got.Floor != c.floor || got.Era != 2 || !maps.Equal(reports, c.reports) {
			t.Errorf("%s: floor %d, era %d, reports %v; want floor %d and %v", c.name, got.Floor, got.Era, reports, c.floor, c.reports)
		}
	}
}

// Guards against a row that forgets a report which may still be sent, or that never has room again.
func TestTheRowDropsOnlyWhatIsDecided(t *testing.T) {
	row := Row{}
	for window := int64(1); window <= maxRowReports; window++ {
		row, _ = row.with(RowReport{Window: window, Counts: map[string]int64{"x": 1}}, 0)
	}
	if _, ok := row.with(RowReport{Window: 20}, 0); ok || !row.waits(1) {
		t.Error("a report that was not accepted is dropped for another")
	}
	if next, ok := row.with(RowReport{Window: 20}, 2); !ok || next.Floor != 1 || next.has(1) {
		t.Errorf("a report that is given up is kept: ok %t, floor %d", ok, next.Floor)
	}
	row.accept(func(window int64) bool { return window == 1 })
	next, ok := row.with(RowReport{Window: 20}, 0)
	if !ok || next.Floor != 1 || len(next.Reports) != maxRowReports {
		t.Errorf("ok %t, floor %d, %d reports; want an accepted one to be dropped", ok, next.Floor, len(next.Reports))
	}
	if _, ok := next.with(RowReport{Window: 20}, 0); ok {
		t.Error("a window is recorded twice")
	}
}

// Guards against a row that does not fit into the store, or that is not read back as it was written.
func TestRowsOfManyAccounts(t *testing.T) {
	counts := map[string]int64{}
	for i := range int64(44_000) {
		counts[fmt.Sprintf("huka%05d", i*7%100_000)] = i % 90
	}
	row, _ := (&Row{Era: 3, Floor: 7}).with(RowReport{Window: 9, Token: 5, Counts: counts}, 0)
	value, ok := row.encode()
	t.Logf("a report of %d accounts takes %d bytes in the store", len(counts), len(value))
	got, err := decodeRow(value)
	if !ok || err != nil || got.Era != 3 || got.Floor != 7 || !maps.Equal(got.Reports[0].Counts, counts) {
		t.Fatalf("ok %t, error %v, row of %d reports", ok, err, len(got.Reports))
	}
	for window := int64(10); window < 10+maxRowReports && ok; window++ {
		row, _ = row.with(RowReport{Window: window, Token: 5, Counts: counts}, 0)
		value, ok = row.encode()
	}
	full := row.clone()
	for dropped := int64(9); ; dropped++ {
		if _, fits := full.encode(); fits {
			break
		}
		if !full.dropOldest() || full.Floor != dropped || full.has(dropped) {
			t.Fatalf("window %d is not dropped, floor %d", dropped, full.Floor)
		}
	}
	if ok || len(value) < maxRowBytes {
		t.Errorf("a row of %d bytes and %d reports fits, want a bound of %d", len(value), len(row.Reports), maxRowBytes)
	}
	if windows := []int64{row.newest()}; !slices.Equal(windows, []int64{row.Reports[len(row.Reports)-1].Window}) {
		t.Errorf("newest %v", windows)
	}
}
