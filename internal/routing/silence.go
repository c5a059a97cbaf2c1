package routing

import (
	"sync"
	"time"
)

// silence measures how long attempts have waited for a first byte since an upstream last sent anything.
// Time without a waiting attempt does not count, and the end of an attempt does not end the silence: an
// upstream that cannot be reached would otherwise get one request after another.
type silence struct {
	mu sync.Mutex
	// waiting is the number of attempts that wait, since is when it last rose from 0 or a byte last
	// arrived, and before is the silence up to then. Times are in Unix nanoseconds.
	waiting int
	since   int64
	before  int64
	// responded is true once the upstream sent anything.
	responded bool
}

func (s *silence) begin(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == 0 {
		s.since = now
	}
	s.waiting++
}

func (s *silence) end(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if s.waiting == 0 {
		s.before += max(now-s.since, 0)
	}
}

// reset records that the upstream sent something.
func (s *silence) reset(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.before, s.responded = now, 0, true
}

func (s *silence) length(now int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == 0 {
		return time.Duration(s.before)
	}
	return time.Duration(s.before + max(now-s.since, 0))
}

// SilentFor returns how long attempts of this instance have waited for a first byte since the upstream
// last sent anything.
func (c *Counters) SilentFor(now time.Time) time.Duration { return c.silence.length(now.UnixNano()) }

// Responded reports whether the upstream has sent this instance anything since it was listed.
func (c *Counters) Responded() bool {
	c.silence.mu.Lock()
	defer c.silence.mu.Unlock()
	return c.silence.responded
}

// RecordSign records that the upstream sent something.
func (c *Counters) RecordSign(now time.Time) { c.silence.reset(now.UnixNano()) }

// FailuresToPause is the number of consecutive failed attempts that pause an upstream.
const FailuresToPause = 3

// RecordUnreachable records that the upstream cannot be reached, so that it is paused at once.
func (c *Counters) RecordUnreachable() { c.ConsecutiveFailures.Add(FailuresToPause) }
