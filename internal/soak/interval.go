package soak

import (
	"slices"
	"sync"
	"time"
)

// interval is the duration of a fault or an evacuation; a zero end means that it is still in
// progress.
type interval struct{ from, to time.Time }

// overlaps reports whether the interval overlaps [from, to], ends included.
func (s interval) overlaps(from, to time.Time) bool {
	return !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
}

// intervals are the faults of one component. The zero value has none.
type intervals struct {
	mu   sync.Mutex
	list []interval
}

// begin starts an interval and returns a function that ends it.
func (s *intervals) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := len(s.list)
	s.list = append(s.list, interval{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.list[at].to.IsZero() {
			s.list[at].to = time.Now()
		}
	}
}

// mark records a momentary fault.
func (s *intervals) mark() { s.begin()() }

// overlaps reports whether any interval overlaps [from, to].
func (s *intervals) overlaps(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.list {
		if one.overlaps(from, to) {
			return true
		}
	}
	return false
}

// coversBoth reports whether one interval contains both times.
func (s *intervals) coversBoth(a, b time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(i interval) bool { return i.overlaps(a, a) && i.overlaps(b, b) })
}
