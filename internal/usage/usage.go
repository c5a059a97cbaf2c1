// Package usage counts the requests that upstreams began to run, by client account and window of
// time, and decides what the holder of the duty external.DutyUsageReport reports of them and when.
// docs/design/usage.md describes the protocol.
//
// Clock, Ledger and Row know no network and take the time from their callers. Reporter connects them
// to the store, the duty API and the other instances.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"heatherloom/internal/external"
)

// Process identifies one process of an instance.
type Process struct {
	Instance string
	// Started is the start time of the process in Unix nanoseconds, by its own clock.
	Started int64
}

// Part is what one process counted in one window. Counts are cumulative: of two counts of an account,
// the greater one is the later one.
type Part struct {
	Process
	Window int64
	// Counts holds requests by client account. A part of a message may leave out accounts that the
	// recipient knows.
	Counts map[string]int64
	// Total is the sum of all counts of the process in the window when the part was made.
	Total int64
	// Closed is true if the process counts no more in the window.
	Closed bool
}

// complete reports whether the part holds all that its process counted in the window.
func (p *Part) complete() bool { return p.Closed && sum(p.Counts) >= p.Total }

// merge adds what another part of the same process and window holds. The order of merges does not
// matter, and repeated ones have no effect.
func (p *Part) merge(other *Part) {
	if p.Counts == nil {
		p.Counts = make(map[string]int64, len(other.Counts))
	}
	for account, count := range other.Counts {
		p.Counts[account] = max(p.Counts[account], count)
	}
	p.Total = max(p.Total, other.Total)
	p.Closed = p.Closed || other.Closed
}

// clone returns a copy that shares no map with the part.
func (p *Part) clone() Part {
	c := *p
	c.Counts = maps.Clone(p.Counts)
	return c
}

// accepted returns the report as one that was accepted.
func (r SentReport) accepted() SentReport {
	r.Accepted, r.Recorded, r.Counts = true, true, nil
	return r
}

// sortedReports returns the reports in the order of their windows.
func sortedReports(reports map[int64]SentReport) []SentReport {
	sorted := slices.Collect(maps.Values(reports))
	slices.SortFunc(sorted, func(a, b SentReport) int { return cmp.Compare(a.Window, b.Window) })
	return sorted
}

func sum(counts map[string]int64) (total int64) {
	for _, count := range counts {
		total += count
	}
	return total
}

// SentReport is a report that a holder has decided on.
type SentReport struct {
	external.UsageReport
	// Token is the fencing token under which the report was decided on. Of two reports for a window,
	// the one with the higher token counts.
	Token int64
	// Recorded is true once the store has acknowledged the report. Only recorded reports are sent.
	Recorded bool
	// Accepted is true once the duty API has accepted the report. Counts are empty then, because it need not be
	// sent again.
	Accepted bool
}

// Query asks an instance for what it knows of windows.
type Query struct {
	Windows []int64
	// CopiesOf lists instances whose counts are wanted from copies, and CopiesOnly leaves out the
	// counts of the recipient itself.
	CopiesOf   []string
	CopiesOnly bool
	// Sent asks for the remembered reports and when the recipient held the duty.
	Sent bool
	// SettledThrough is the last window up to which nothing will be asked for again.
	SettledThrough int64
}

// Answer is the response to a Query.
type Answer struct {
	// Process is the one that answers; zero if it is of a release that counts nothing.
	Process Process
	Parts   []Part
	// Ended lists processes that stated that they count no more.
	Ended []Process
	Sent  []SentReport
	// HeldToken is the token under which the process last held the duty, and HeldAgo the time since
	// it last did; 0 if it never did, or did not read the record of the reports of earlier holders then.
	// HolderFloor is the last window up to which it then reported nothing that is not in Sent.
	HeldToken   int64
	HeldAgo     time.Duration
	HolderFloor int64
}

// windowOf returns the number of the window that holds a time.
func windowOf(at time.Time, length time.Duration) int64 {
	n := at.UnixNano()
	w := n / int64(length)
	if n%int64(length) < 0 {
		w--
	}
	return w
}

// windowStart returns the begin of a window. Window k ends where window k+1 begins.
func windowStart(window int64, length time.Duration) time.Time {
	return time.Unix(0, window*int64(length))
}
