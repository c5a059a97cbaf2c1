package usage

import (
	"time"
)

const (
	// eraShift is the number of bits of a revision below the era of the store, see docs/work-plan.md B.1.
	eraShift = 40

	// collectAfter is the time from the end of a window until its counts are collected. Clocks of instances
	// differ by up to minCorrection, and the last copies are sent up to a second after the end.
	collectAfter = 1500 * time.Millisecond
	// reserve is the time before the due time at which a holder stops waiting for few missing instances. It is
	// enough for the record and two calls.
	reserve = 2 * time.Second
	// maxMissingShare is the inverse of the share of instances that may be missing in a report in time. A
	// fortieth of the instances has about half of the allowed error of a twentieth.
	maxMissingShare = 40
	// maxWait is how long after its end a window is reported at the latest, with what is known.
	maxWait = time.Minute
	// giveUpAfter is the time after its end from which a window is not reported any more.
	giveUpAfter = 2 * time.Minute
	// succession is by how much the permit of a former holder may end before the claim of the next one if no
	// other instance can have acted in between: a holder acts until 2.5 s after its last renewal and
	// from 3 s after its claim. The rest of the 0.5 s allows for clocks that run at different rates.
	succession = 400 * time.Millisecond
	// maxSkew is by how much the clocks of two machines may differ.
	maxSkew = 10 * time.Second
)

func eraOf(token int64) int64 { return token >> eraShift }

// action is what the holder does next about a window.
type action int

const (
	// actWait waits for missing instances.
	actWait action = iota
	// actReport reports counts of all instances.
	actReport
	// actReportWithout reports counts of which some instances' may be missing.
	actReportWithout
	// actLeaveOut never reports the window.
	actLeaveOut
)

// progress is what the holder has of a window.
type progress struct {
	// sinceEnd is the time since the end of the window.
	sinceEnd time.Duration
	// live is the number of instances that ran in the window, and missing that of those whose counts may be
	// incomplete.
	live, missing int
}

// next decides about a window whose counts were collected. due is the time from the end of a window until
// its report is due.
func (p progress) next(length, due time.Duration) action {
	switch {
	case p.sinceEnd > giveUpAfter:
		return actLeaveOut
	case p.sinceEnd < collectAfter:
		return actWait
	case p.missing == 0:
		return actReport
	case p.sinceEnd >= latestReport(length, due):
		return actReportWithout
	case p.sinceEnd >= max(due-reserve, collectAfter) && p.missing*maxMissingShare <= p.live:
		return actReportWithout
	}
	return actWait
}

// latestReport returns when a window is reported whatever is missing. The row must still have room for it.
func latestReport(length, due time.Duration) time.Duration {
	return max(min(maxWait, (maxRowReports-1)*length), due)
}

// lineage is the relation of the row to the term of a holder.
type lineage int

const (
	// lineageSame: the row holds all that was recorded.
	lineageSame lineage = iota
	// lineageRestored: the store was restored from a backup after the row was written, which may lack reports.
	lineageRestored
	// lineageMissing: there is no row. The fleet has just started, or the row was lost.
	lineageMissing
)

func lineageOf(row *Row, exists bool, token int64) lineage {
	switch {
	case !exists:
		return lineageMissing
	case row.Era != eraOf(token):
		return lineageRestored
	}
	return lineageSame
}

// memory is what one instance remembers, as a holder receives it after a restore of the store.
type memory struct {
	sent []SentReport
	// floor is the last window up to which the instance, as a holder, reported nothing that it does not remember.
	floor int64
	// heldToken is the token under which the instance last held the duty; 0 for none. heldBeforeClaim is the time
	// from when it last did until the claim of the new holder, at most; negative if it did so later.
	heldToken       int64
	heldBeforeClaim time.Duration
}

// recovery is the input for the row of a holder that cannot rely on the row of the store.
type recovery struct {
	token   int64
	lineage lineage
	row     Row
	// settled is the end of the settling time, in true time.
	settled time.Time
	// skew is by how much the clock of a former holder may have been ahead of the own one.
	skew     time.Duration
	length   time.Duration
	memories []memory
}

// resolve returns the row with which the holder continues: it holds the reports that are remembered, and
// its floor excludes the other windows that a former holder may have reported.
func (r *recovery) resolve() Row {
	row := r.row.clone()
	row.Era = eraOf(r.token)
	last := r.lastHolder()
	if last != nil {
		for _, s := range last.sent {
			row.Floor = max(row.Floor, s.Window)
		}
		row.Floor = max(row.Floor, r.row.newest(), last.floor)
	} else {
		row.Floor = max(row.Floor, r.excludedThrough())
	}
	best := map[int64]SentReport{}
	for i := range r.memories {
		m := &r.memories[i]
		for _, s := range m.sent {
			if (s.Recorded || m == last) && better(s, best[s.Window]) {
				best[s.Window] = s
			}
		}
	}
	givenUp := windowOf(r.settled.Add(-giveUpAfter), r.length)
	for _, s := range sortedReports(best) {
		report := RowReport{Window: s.Window, Token: s.Token, Accepted: s.Accepted, Counts: s.Counts}
		if s.Window < givenUp || row.has(s.Window) {
			continue
		}
		// Without room for it, an older report is left out.
		if next, ok := row.with(report, givenUp); ok {
			row = next
		}
	}
	return row
}

// better reports whether a remembered report takes precedence over another one for the same window. A recorded one
// may have been sent.
func better(s, other SentReport) bool {
	if s.Recorded != other.Recorded {
		return s.Recorded
	}
	if s.Token != other.Token {
		return s.Token > other.Token
	}
	return s.Accepted && !other.Accepted
}

// lastHolder returns the memory of the instance that held the duty until the store was restored, so that no
// other one can have sent a report that it does not know of; nil if that cannot be proven.
func (r *recovery) lastHolder() *memory {
	for i := range r.memories {
		m := &r.memories[i]
		if m.heldToken != 0 && eraOf(m.heldToken) == eraOf(r.token)-1 && m.heldBeforeClaim <= succession {
			return m
		}
	}
	return nil
}

// excludedThrough returns the last window that is reported only if a report of it is remembered.
func (r *recovery) excludedThrough() int64 {
	settled := r.settled.Add(r.skew)
	ended := lastWindowEndedBy(settled, r.length)
	if r.lineage == lineageMissing && windowStart(ended+1, r.length).Before(settled) {
		// The window in which the fleet started is not reported: some instances ran in a part of it only.
		return ended + 1
	}
	return ended
}
