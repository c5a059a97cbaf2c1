package routing

import "time"

// RecordLeaving records that the upstream said in a response that it leaves. It gets no more requests from then
// on, whatever its row says, until ClearLeaving. The time is that of package clock.
func (c *Counters) RecordLeaving(now time.Time) { c.leavingAt.Store(now.UnixNano()) }

// ClearLeaving records that the upstream passed a health check, sent at a time, in which it did not say that
// it leaves.
func (c *Counters) ClearLeaving(sent time.Time) {
	if at := c.leavingAt.Load(); at < sent.UnixNano() {
		c.leavingAt.CompareAndSwap(at, 0)
	}
}

// SaysLeaving reports whether the upstream said that it leaves.
func (c *Counters) SaysLeaving() bool { return c.leavingAt.Load() != 0 }
