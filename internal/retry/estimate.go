package retry

import (
	"sync"
	"time"
)

const (
	// estimateHalfWindow is half of the time for which service times are kept.
	estimateHalfWindow = 5 * time.Second
	// minEstimateSamples is the number of service times needed for an estimate.
	minEstimateSamples = 5
	// maxEstimateKeys is the number of keys above which all service times are discarded.
	maxEstimateKeys = 4096
)

// minServiceTime holds the shortest service times of a key in the current and the
// previous half window, and how many were observed in each.
type minServiceTime struct {
	start           time.Time
	current         time.Duration
	previous        time.Duration
	currentSamples  int
	previousSamples int
}

// Estimates keeps the shortest recent service time of each key. A key stands for requests
// of similar service times, such as "model@v stream". The shortest one is used because a
// longer estimate would wrongly reject short requests. The zero value is ready to use. It is
// safe for concurrent use.
type Estimates struct {
	mu    sync.Mutex
	byKey map[string]*minServiceTime
}

// Observe records the time that a complete response to a request with the key took.
func (e *Estimates) Observe(now time.Time, key string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byKey == nil || len(e.byKey) > maxEstimateKeys {
		e.byKey = map[string]*minServiceTime{}
	}
	m, ok := e.byKey[key]
	if !ok {
		m = &minServiceTime{start: now}
		e.byKey[key] = m
	}
	m.rotate(now)
	if m.currentSamples == 0 || took < m.current {
		m.current = took
	}
	m.currentSamples++
}

// Shortest returns the shortest recent service time for the key, or 0 if too few are known.
func (e *Estimates) Shortest(now time.Time, key string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.byKey[key]
	if !ok {
		return 0
	}
	m.rotate(now)
	if m.currentSamples+m.previousSamples < minEstimateSamples {
		return 0
	}
	if m.currentSamples == 0 {
		return m.previous
	}
	if m.previousSamples == 0 {
		return m.current
	}
	return min(m.current, m.previous)
}

// rotate starts a new half window if the current one has ended.
func (m *minServiceTime) rotate(now time.Time) {
	age := now.Sub(m.start)
	if age < estimateHalfWindow {
		return
	}
	m.previous, m.previousSamples = m.current, m.currentSamples
	if age >= 2*estimateHalfWindow {
		m.previous, m.previousSamples = 0, 0
	}
	m.current, m.currentSamples = 0, 0
	m.start = now
}
