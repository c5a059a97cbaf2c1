package routing

import "time"

// RecordLeaving records that the upstream said in a response that it leaves. It gets no more requests from then
// on, whatever its row says, until ClearLeaving. The time is that of package clock.
func (c *Counters) RecordLeaving(now time.Time) { c.said().leavingAt.Store(now.UnixNano()) }

// ClearLeaving records that the upstream passed a health check, sent at a time, in which it did not say that
// it leaves.
func (c *Counters) ClearLeaving(sent time.Time) {
	s := c.said()
	if at := s.leavingAt.Load(); at < sent.UnixNano() {
		s.leavingAt.CompareAndSwap(at, 0)
	}
}

// SaysLeaving reports whether the upstream said that it leaves.
func (c *Counters) SaysLeaving() bool {
	s := c.statements.Load()
	return s != nil && s.leavingAt.Load() != 0
}
