package control

import (
	"time"

	"heatherloom/internal/routing"
)

const (
	// maxSilence is how long an instance may get no response from others of its region before it counts as cut off
	// from their reports. One heartbeat a second goes to several of them, and one of two may be lost.
	maxSilence = 2500 * time.Millisecond
	// uninformedStep is the time after which an instance that is cut off no longer relies on earlier health checks.
	uninformedStep = 3 * time.Second
)

// reportAccess tells whether the reports of restarts from the other instances of the region reach this one. One that
// starts, did not run for a while, or is cut off from all of them may have missed some.
type reportAccess struct {
	// respondedAt is when the latest heartbeat was sent to which an instance of the region responded.
	respondedAt time.Time
	// since is from when on reports may have been missed; zero if none was. It ends with a response to a heartbeat
	// that was sent after noticedAt: a peer tells with it of the upstreams that are cold.
	since, noticedAt time.Time
	lastTick         time.Time
}

// uninformedSince returns since in Unix nanoseconds; 0 for zero.
func (a *reportAccess) uninformedSince() int64 {
	if a.since.IsZero() {
		return 0
	}
	return a.since.UnixNano()
}

// update is called on each tick. alone is true if the region has no other instance.
func (a *reportAccess) update(now time.Time, alone bool) {
	started := a.lastTick.IsZero()
	paused := now.Sub(a.lastTick) > routing.MaxReportTime
	a.lastTick = now
	cutOff := !alone && now.Sub(latest(a.respondedAt, a.noticedAt)) > maxSilence
	switch {
	case started && alone:
	case started || paused:
		a.since, a.noticedAt = now, now
	case a.since.IsZero():
		if cutOff {
			a.since, a.noticedAt = now, now
		}
	case a.respondedAt.After(a.noticedAt), alone && now.Sub(a.noticedAt) > maxSilence:
		a.since = time.Time{}
	case now.Sub(a.since) > uninformedStep:
		a.since = now.Add(-uninformedStep / 2)
	}
}

func updateReportAccess(t *tables, now time.Time) {
	t.reports.update(now, len(t.regionInstances()) <= 1)
	if t.reports.since.IsZero() {
		return
	}
	// Checks are renewed before they stop counting, so that no request has to wait for one.
	for _, row := range t.sortedUpstreams {
		if t.mayBecomeCold(row) {
			row.counters.RenewCheck(now, now.Add(-uninformedStep/4))
		}
	}
}

// suspectEnded applies what a heartbeat tells of upstreams that ended to an instance that may have missed the report.
func (t *tables) suspectEnded(ended []string, now time.Time) {
	if t.reports.since.IsZero() {
		return
	}
	for _, id := range ended {
		if row, ok := t.upstreams[id]; ok {
			row.counters.SuspectReportedRestart(now)
		}
	}
}
