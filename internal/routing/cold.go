package routing

import (
	"sync"
	"time"
)

// A cold upstream tolerates a number of requests in a second, over all instances. Each instance has a part of
// it, and counts all that it sends in the period, also before it knows that the upstream is cold: an upstream
// may become cold, or start again under its id and address, some time before its row says so.

const (
	// coldWindowLength is the window in which requests to a cold upstream are counted: one
	// second, the unit of its limit, and the transit time of a request.
	coldWindowLength = 1100 * time.Millisecond
	// MaxReportTime is how long a report of a restart from another instance may take. An instance that did not run
	// for longer may have missed one.
	MaxReportTime = time.Second
	// restartGrace is how long an instance that knows of a restart sends nothing to the upstream. The limit is left for
	// the requests of instances that do not know of it yet, and for those that they sent before they learned of it.
	restartGrace = coldWindowLength + 300*time.Millisecond
	// prunedSends is the number of recorded sends from which old ones are removed on each send.
	prunedSends = 256
)

// coldWindow holds the times of recent requests to an upstream that may become cold.
type coldWindow struct {
	mu    sync.Mutex
	sends []int64
	// reserved is the number of requests that were picked and not sent yet.
	reserved int
	// unchecked is true if the upstream may have started again since the last health check, and suspectedAt is when
	// that was last noticed.
	unchecked   bool
	suspectedAt int64
	// reported is true if another instance reported that since the last health check, and noticed if this one has had a
	// sign of it.
	reported, noticed bool
	// endedAt is when the upstream gave the first sign of its end, in Unix nanoseconds; 0 for none since its row
	// was first read.
	endedAt int64
	// checkedAt is when the latest health check was sent whose result is known, and checkWanted is true if a request
	// was not sent for want of one.
	checkedAt   int64
	checkWanted bool
	// coldUntil is the end of the latest known cold time. The limit holds until a health check that was sent later
	// tells that the upstream is warm: the time may be too short, and this process may not run when it ends.
	coldUntil int64
	// busyAt is when the latest health check was sent that the upstream accepted and did not answer in time.
	busyAt int64
}

// maxCheckLatency is how long after its send a health check is assumed to be answered at most when its cold time
// is counted. A response that is read later makes the cold time end too early, which the health check at its end shows;
// one counted from its arrival would last longer at each instance that runs late.
const maxCheckLatency = 100 * time.Millisecond

// ColdUntil returns when an upstream is warm that told at a time which is not before sent how long it remains cold.
func ColdUntil(sent time.Time, remaining time.Duration) time.Time {
	return sent.Add(maxCheckLatency + remaining)
}

// coldTimeUnconfirmed reports whether no health check has been sent since the end of the cold time. As that may be known
// too early by the time of a message, one that the upstream did not answer counts only if sent later by as much. The mutex
// must be held.
func (w *coldWindow) coldTimeUnconfirmed(now int64) bool {
	return now >= w.coldUntil && max(w.checkedAt, w.busyAt-int64(MaxReportTime)) < w.coldUntil
}

// used returns the number of requests that count at the given time. The mutex must be held.
func (w *coldWindow) used(now int64) int {
	w.prune(now)
	return w.reserved + len(w.sends)
}

// prune removes the sends that do not count any more. The mutex must be held.
func (w *coldWindow) prune(now int64) {
	recent := w.sends[:0]
	for _, at := range w.sends {
		if now-at < int64(coldWindowLength) {
			recent = append(recent, at)
		}
	}
	w.sends = recent
}

func (w *coldWindow) add(now time.Time) {
	if len(w.sends) >= prunedSends {
		w.prune(now.UnixNano())
	}
	w.sends = append(w.sends, now.UnixNano())
}

// limited returns how many requests may be sent within coldWindowLength; ok is false if any number may. The
// mutex must be held.
func (w *coldWindow) limited(u *Upstream, now int64) (limit int, ok bool) {
	limit = u.ColdRateLimit
	if w.restartedLately(u, now) {
		limit = 0
	}
	return limit, u.Cold || (u.MayBecomeCold && (w.unchecked || now < w.coldUntil || w.coldTimeUnconfirmed(now) || w.checkedAt < u.UninformedSince))
}

// CountsAsCold reports whether the upstream gets no more requests than a cold one at a time, according to this snapshot and
// the latest health check.
func (u *Upstream) CountsAsCold(now time.Time) bool {
	w := u.Counters.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	_, limited := w.limited(u, now.UnixNano())
	return limited
}

// restartedLately reports whether the upstream started, or may have started again, within restartGrace. The mutex must be
// held.
func (w *coldWindow) restartedLately(u *Upstream, now int64) bool {
	if !u.MayBecomeCold || u.ColdTime == 0 {
		return false
	}
	started := w.coldUntil - int64(u.ColdTime)
	return (w.unchecked && now-w.suspectedAt < int64(restartGrace)) || (started <= now && now-started < int64(restartGrace))
}

// allowsSend reports whether reserveSend would succeed.
func (u *Upstream) allowsSend(now int64, outdated bool) bool {
	w := u.Counters.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	limit, limited := w.limited(u, now)
	limited = limited || outdated
	allowed := !limited || w.used(now) < limit
	w.checkWanted = w.checkWanted || (!allowed && w.checkedAt < u.UninformedSince)
	return allowed
}

// reserveSend reports whether one more request may go to the upstream, and reserves a place for it if so. outdated is
// true if the snapshot is so old that the process did not run for a while, and may have missed reports.
func (u *Upstream) reserveSend(now int64, outdated bool) bool {
	w := u.Counters.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	if limit, limited := w.limited(u, now); (limited || outdated) && w.used(now) >= limit {
		return false
	}
	w.reserved++
	w.checkWanted = w.checkWanted || w.checkedAt < u.UninformedSince
	return true
}

// coldSends returns the window of the upstream, which is made at the first call.
func (c *Counters) coldSends() *coldWindow {
	if w := c.window.Load(); w != nil {
		return w
	}
	c.window.CompareAndSwap(nil, &coldWindow{})
	return c.window.Load()
}

// Successor returns the counters for another process of the upstream under the same id. What was sent recently
// still counts, because some of it may have reached the new process.
func (c *Counters) Successor() *Counters {
	next := &Counters{}
	next.window.Store(c.coldSends())
	next.service.Store(c.service.Load())
	return next
}

// SuspectRestart records that a connection to the upstream broke, so that it may have started again and be
// cold. Until RecordColdTime, it gets at most ColdRateLimit requests in coldWindowLength if it is one
// that may become cold. It reports whether that was not suspected before.
func (c *Counters) SuspectRestart(now time.Time) bool {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	first := !w.unchecked
	w.suspect(now)
	return first
}

// suspect records that the upstream may have started again. The mutex must be held.
func (w *coldWindow) suspect(now time.Time) {
	w.unchecked, w.noticed, w.suspectedAt = true, true, now.UnixNano()
	w.noticeEnd(now.UnixNano())
}

// RequireCheck has a health check tell whether the upstream started again, of which there is no sign. It gets no more
// requests than after SuspectRestart until then.
func (c *Counters) RequireCheck(now time.Time) {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unchecked, w.suspectedAt = true, now.UnixNano()
}

// RecordColdTime records how long the upstream remains cold, 0 if it is warm, according to a health check that was sent
// at a time. The check tells nothing of what has been suspected since then.
func (c *Counters) RecordColdTime(sent time.Time, remaining time.Duration) {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	if remaining > 0 {
		w.coldUntil = max(w.coldUntil, ColdUntil(sent, remaining).UnixNano())
	}
	w.checkedAt = max(w.checkedAt, sent.UnixNano())
	w.checkWanted = false
	if w.suspectedAt <= sent.UnixNano() {
		w.unchecked, w.reported, w.noticed = false, false, false
	}
}

// RecordBusyCheck records that the upstream accepted a health check that was sent at a time, and did not answer it in
// time. One that is too busy has not just started, unless another instance reported its end.
func (c *Counters) RecordBusyCheck(sent time.Time) {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busyAt = max(w.busyAt, sent.UnixNano())
	if !w.reported && w.suspectedAt <= sent.UnixNano() {
		w.unchecked, w.noticed = false, false
	}
}

// SuspectReportedRestart is SuspectRestart for what another instance noticed at a time. It changes nothing if a health
// check was sent since then.
func (c *Counters) SuspectReportedRestart(noticed time.Time) {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	if at := noticed.UnixNano(); at > w.checkedAt {
		w.unchecked, w.reported, w.suspectedAt = true, true, max(w.suspectedAt, at)
		w.noticeEnd(at)
	}
}

// RecordColdUntil records until when the upstream is cold according to its row or another instance.
func (c *Counters) RecordColdUntil(coldUntil time.Time) {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = max(w.coldUntil, coldUntil.UnixNano())
}

// RestartSuspected reports whether the upstream may have started again since its last health check.
func (c *Counters) RestartSuspected() bool {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unchecked
}

// SignNoticed reports whether this instance itself noticed a sign of a restart since the last health check.
func (c *Counters) SignNoticed() bool {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.noticed
}

// CheckedSince reports whether the result of a health check is known that was sent at a time or later.
func (c *Counters) CheckedSince(sent time.Time) bool {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checkedAt >= sent.UnixNano()
}

// RenewCheck has a health check made if one was made before a time and requests were sent lately.
func (c *Counters) RenewCheck(now, before time.Time) {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkWanted = w.checkWanted || (w.checkedAt < before.UnixNano() && w.used(now.UnixNano()) > 0)
}

// CheckWanted reports whether a health check has to tell if the upstream started again.
func (c *Counters) CheckWanted(now time.Time) bool {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unchecked || w.checkWanted || w.coldTimeUnconfirmed(now.UnixNano())
}

// RecordHealthCheck counts a health check among the requests to the upstream.
func (c *Counters) RecordHealthCheck(now time.Time) {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.add(now)
}

// ColdReservation is the place of one attempt among the requests to an upstream that is or may become
// cold. It counts from the pick until coldWindowLength after the request was sent, however long a connection,
// or this process, took in between. It is safe for concurrent use, and nil does nothing.
type ColdReservation struct {
	upstream *Upstream
	window   *coldWindow
	// pickedAt is when the attempt began, just after the pick.
	pickedAt int64
	// refused is true once MaySend has returned false. The mutex of window protects it.
	refused bool
	once    sync.Once
}

// ColdReservation returns the reservation that a pick made; nil if the pick reserved none.
func (u *Upstream) ColdReservation(choice Choice, pickedAt time.Time) *ColdReservation {
	if !choice.ColdReserved {
		return nil
	}
	return &ColdReservation{upstream: u, window: u.Counters.coldSends(), pickedAt: pickedAt.UnixNano()}
}

// MaySend reports whether the request may be sent on the connection that it has now: between the pick and the send, or
// between two sends, the upstream may have started again. again is true if it was sent before, on a connection
// that broke.
func (r *ColdReservation) MaySend(now time.Time, again bool) bool {
	r.window.mu.Lock()
	defer r.window.mu.Unlock()
	own := 0
	if again {
		r.window.suspect(now)
		own = 1
	}
	limit, limited := r.window.limited(r.upstream, now.UnixNano())
	limited = limited || now.UnixNano()-r.pickedAt > int64(MaxReportTime)
	if !r.refused && (!limited || r.window.used(now.UnixNano())+own <= limit) {
		return true
	}
	r.refused = true
	r.once.Do(func() { r.window.reserved-- })
	return false
}

// Sent records that the request was sent. The transport may send it more than once.
func (r *ColdReservation) Sent(now time.Time) {
	if r == nil {
		return
	}
	r.window.mu.Lock()
	defer r.window.mu.Unlock()
	r.window.add(now)
	r.once.Do(func() { r.window.reserved-- })
}

// End records the end of the attempt. If it is not known that the request was sent, it counts as
// sent now, because a part of it may have left.
func (r *ColdReservation) End(now time.Time) {
	if r == nil {
		return
	}
	r.window.mu.Lock()
	defer r.window.mu.Unlock()
	r.once.Do(func() {
		r.window.reserved--
		r.window.add(now)
	})
}
