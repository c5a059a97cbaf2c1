package standin

import (
	"math/rand/v2"
	"slices"
	"time"
)

// cacheEvent is one event of an engine's prefix cache.
type cacheEvent struct {
	at       time.Time
	sequence int64
	stored   []uint64
	removed  []uint64
	// lost events are never sent; the next event has a gap in the sequence.
	lost bool
}

// maxEvents is the minimum number of events kept for slow subscribers when older ones are
// dropped.
const maxEvents = 4096

// eventLog holds the most recent cache events of an engine.
type eventLog struct {
	rng    *rand.Rand
	loss   float64
	last   int64
	events []cacheEvent
}

func (l *eventLog) add(now time.Time, stored, removed []uint64) {
	if len(stored) == 0 && len(removed) == 0 {
		return
	}
	l.last++
	event := cacheEvent{at: now, sequence: l.last, stored: stored, removed: removed, lost: l.rng.Float64() < l.loss}
	l.events = append(l.events, event)
	if len(l.events) > 2*maxEvents {
		l.events = slices.Delete(l.events, 0, maxEvents)
	}
}

// after returns the events after a sequence number that occurred up to until.
func (l *eventLog) after(sequence int64, until time.Time) []cacheEvent {
	first, _ := slices.BinarySearchFunc(l.events, sequence+1, func(e cacheEvent, s int64) int { return int(e.sequence - s) })
	end := first
	for end < len(l.events) && !l.events[end].at.After(until) {
		end++
	}
	return slices.Clone(l.events[first:end])
}
