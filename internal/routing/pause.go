package routing

import "time"

// askedPause is the reason of exclusionReason for an upstream that asked for no requests for a time.
const askedPause = "waiting for the time that they named when they rejected a request"

// RecordRetryAfter records that the upstream rejected a request and wants none from this instance for a time.
// A later rejection may prolong that time; it does not shorten it. now is that of package clock.
func (c *Counters) RecordRetryAfter(now time.Time, wait time.Duration) {
	s := c.said()
	s.pausedAt.Store(now.UnixNano())
	until := now.Add(wait).UnixNano()
	for {
		old := s.pausedUntil.Load()
		if until <= old || s.pausedUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// PausedFor returns the rest of the time for which the upstream wants no request; 0 if it takes requests.
func (c *Counters) PausedFor(now int64) time.Duration {
	if s := c.statements.Load(); s != nil {
		return time.Duration(max(s.pausedUntil.Load()-now, 0))
	}
	return 0
}

// shortestPause returns the shortest of the pauses that upstreams of the region have asked for, of those that are left
// out for nothing else; ok is false if there is none.
func shortestPause(s *Snapshot, r *Request) (wait time.Duration, ok bool) {
	for _, i := range s.ByTarget[r.Target] {
		u := &s.Upstreams[i]
		if exclusionReason(s, u, r) != askedPause {
			continue
		}
		if pause := u.Counters.PausedFor(r.Now); !ok || pause < wait {
			wait, ok = pause, true
		}
	}
	return wait, ok
}
