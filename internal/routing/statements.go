package routing

import (
	"sync/atomic"
	"time"
)

// statements are what an upstream said of itself in its responses. The counters of one process and of the next one
// at the same address share them, because the next one responds before its row is read.
type statements struct {
	brittle brittleness
	// named is the request rate that the upstream names; nil for none.
	named atomic.Pointer[namedRate]
	rate  rateBucket
	// leavingAt is when the upstream last said that it leaves, in Unix nanoseconds; 0 if it does not leave.
	leavingAt atomic.Int64
	// pausedUntil is the end of the time for which the upstream wants no request, and pausedAt is when it last asked
	// for one, in Unix nanoseconds.
	pausedUntil atomic.Int64
	pausedAt    atomic.Int64
}

// maxRowDelay is the time from the start of a process up to which its row is read, unless the store is away: also by an
// instance that reads every 2 s and loses one call.
const maxRowDelay = 4 * time.Second

// said returns the statements of the upstream, which are made at the first call.
func (c *Counters) said() *statements {
	if s := c.statements.Load(); s != nil {
		return s
	}
	c.statements.CompareAndSwap(nil, &statements{})
	return c.statements.Load()
}

// KeepStatements makes the counters of another process, whose row is read now, share what a former process at the same
// address said. It ends what was said before the sign of the end of the former process or, without a sign, more than
// maxRowDelay ago. What was said since then may be of the new process, which ends it by itself otherwise.
func (c *Counters) KeepStatements(former *Counters, now time.Time) {
	s := former.said()
	c.statements.Store(s)
	s.endUntil(former.coldSends().takeEnd(now))
}

// endUntil ends what was said up to a time.
func (s *statements) endUntil(at int64) {
	s.brittle.endUntil(at)
	if named := s.named.Load(); named != nil && named.at <= at && s.named.CompareAndSwap(named, nil) {
		s.rate.reset()
	}
	if leaving := s.leavingAt.Load(); leaving <= at {
		s.leavingAt.CompareAndSwap(leaving, 0)
	}
	if until := s.pausedUntil.Load(); s.pausedAt.Load() <= at {
		s.pausedUntil.CompareAndSwap(until, 0)
	}
}

// noticeEnd records a sign that the upstream ended. Signs within maxRowDelay are of one end, because connections to
// the former process may break late. The mutex must be held.
func (w *coldWindow) noticeEnd(at int64) {
	if at-w.endedAt > int64(maxRowDelay) {
		w.endedAt = at
	}
}

// takeEnd returns until when the former process of an upstream responded at the latest, given that the row of the next
// one is read now.
func (w *coldWindow) takeEnd(now time.Time) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	end := w.endedAt
	w.endedAt = 0
	if end == 0 {
		return now.Add(-maxRowDelay).UnixNano()
	}
	return end
}

// RecordUnlisted records that the row of the upstream is missing. If the row of another process follows, the former
// one had ended by then.
func (c *Counters) RecordUnlisted(now time.Time) {
	w := c.coldSends()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noticeEnd(now.UnixNano())
}
