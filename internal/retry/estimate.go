package retry

import (
	"sync"
	"time"
)

const (
	// estimateHalf is half of the time over which service times are kept.
	estimateHalf = 5 * time.Second
	// estimateSamples is the number of service times below which nothing is estimated.
	estimateSamples = 5
	// maxEstimates bounds the targets whose service times are kept.
	maxEstimates = 4096
)

type shortest struct {
	start    time.Time
	current  time.Duration
	previous time.Duration
	samples  int
	before   int
}

// Estimates keeps the shortest recent service time of each target. The shortest
// one is used because a longer estimate would refuse short requests wrongly. The
// zero value is ready to use. It is safe for concurrent use.
type Estimates struct {
	mu      sync.Mutex
	targets map[string]*shortest
}

// Observe records that a whole answer of target took the given time.
func (e *Estimates) Observe(now time.Time, target string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.targets == nil || len(e.targets) > maxEstimates {
		e.targets = map[string]*shortest{}
	}
	row, ok := e.targets[target]
	if !ok {
		row = &shortest{start: now}
		e.targets[target] = row
	}
	row.rotate(now)
	if row.samples == 0 || took < row.current {
		row.current = took
	}
	row.samples++
}

// Of returns the shortest recent service time of target, or 0 if too few are known.
func (e *Estimates) Of(now time.Time, target string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	row, ok := e.targets[target]
	if !ok {
		return 0
	}
	row.rotate(now)
	if row.samples+row.before < estimateSamples {
		return 0
	}
	if row.samples == 0 {
		return row.previous
	}
	if row.before == 0 {
		return row.current
	}
	return min(row.current, row.previous)
}

func (s *shortest) rotate(now time.Time) {
	age := now.Sub(s.start)
	if age < estimateHalf {
		return
	}
	s.previous, s.before = s.current, s.samples
	if age >= 2*estimateHalf {
		s.previous, s.before = 0, 0
	}
	s.current, s.samples = 0, 0
	s.start = now
}
