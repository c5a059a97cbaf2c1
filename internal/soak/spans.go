package soak

import (
	"sync"
	"time"
)

// span is a time during which something was disturbed; a zero end means that it still is.
type span struct{ from, to time.Time }

// overlaps reports whether the span and [from, to] have a moment in common.
func (s span) overlaps(from, to time.Time) bool {
	return !s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
}

// spans are the disturbances of one part. The zero value has none.
type spans struct {
	mu   sync.Mutex
	list []span
}

// begin starts a disturbance and returns how to end it.
func (s *spans) begin() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := len(s.list)
	s.list = append(s.list, span{from: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.list[at].to.IsZero() {
			s.list[at].to = time.Now()
		}
	}
}

// mark records a disturbance of a moment.
func (s *spans) mark() { s.begin()() }

// touched reports whether the part was disturbed at some moment of [from, to].
func (s *spans) touched(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.list {
		if one.overlaps(from, to) {
			return true
		}
	}
	return false
}
