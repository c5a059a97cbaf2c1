package routing

import (
	"math"
	"time"
)

// An upstream may be taken away at short notice: it ends at a known time, whatever it runs. Until then it gets only
// requests that end in time by the estimate of this file.

const (
	// goneMargin is subtracted from the remaining time, which counts from when the row was read: rows are read up to 2 s
	// after they were written, and a request and its response need time on their way.
	goneMargin = 2200 * time.Millisecond
	// longAttemptRise and longAttemptFall are the weights of a longer and a shorter attempt in the estimate of long
	// attempts, which is above the mean because a longer one counts ten times as much.
	longAttemptRise = 0.3
	longAttemptFall = 0.03
)

// observeDuration adds a complete attempt to the estimate of long ones.
func (c *Counters) observeDuration(d time.Duration) {
	for {
		old := c.longAttempt.Load()
		next := d.Seconds()
		if long := math.Float64frombits(old); old != 0 && next < long {
			next = long + longAttemptFall*(next-long)
		} else if old != 0 {
			next = long + longAttemptRise*(next-long)
		}
		if c.longAttempt.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// LongAttempt returns how long a long attempt of this instance at the upstream takes from its start to its end; 0 before
// the first one.
func (c *Counters) LongAttempt() time.Duration {
	return time.Duration(math.Float64frombits(c.longAttempt.Load()) * float64(time.Second))
}

// EndIsDue reports whether the upstream has been announced to end by now, given that rows are read late.
func (u *Upstream) EndIsDue(now time.Time) bool {
	return u.GoneAt != 0 && now.UnixNano() >= u.GoneAt-int64(goneMargin)
}

// endsInTime reports whether a request with the given time until its deadline, or 0 for none, would end before the
// upstream does. It always does if the end of the upstream is not known. Without an attempt to tell from, the request is
// expected to take until its deadline.
func (u *Upstream) endsInTime(now int64, deadline time.Duration) bool {
	if u.GoneAt == 0 {
		return true
	}
	left := time.Duration(u.GoneAt-now) - goneMargin
	expected := u.Counters.LongAttempt()
	if expected == 0 || (deadline > 0 && deadline < expected) {
		expected = deadline
	}
	return expected > 0 && expected <= left
}
