package routing

import (
	"sync"
	"time"

	"heatherloom/internal/external"
)

// A brittle upstream ends if it has to turn away more than a number of requests in a second for want of
// room. All instances of the region together send it no more than it runs at once, so that none of
// their requests depends on the room in its queue: each has an equal part of its places. A part may be
// exceeded while the upstream reports free places, by an equal part of those.

const (
	// fullPause is how long an instance sends nothing to a brittle upstream that turned one of its
	// requests away, the period in which the upstream counts such requests.
	fullPause = 1100 * time.Millisecond
	// maxFreeReportAge is the age up to which a report of free places is used.
	maxFreeReportAge = 250 * time.Millisecond
	// brittleRetryAfter is when a caller should come back who is rejected because all places are taken.
	brittleRetryAfter = 300 * time.Millisecond
)

// brittleness is what an upstream says of itself, and what this instance sends it. It is safe for
// concurrent use.
type brittleness struct {
	mu sync.Mutex
	// named is true while the upstream says that it is brittle, and namedAt is when the latest
	// response that said so arrived, in Unix nanoseconds.
	named   bool
	namedAt int64
	// free is the number of places that the latest report left, at reportedAt; sent counts the
	// requests since.
	free       int64
	reportedAt int64
	sent       int64
	// fullAt is when the upstream last turned a request away.
	fullAt int64
}

// RecordBrittle records whether a response says that the upstream is brittle. Responses may overtake each
// other: that it is no longer brittle counts only in the response to a request that was sent after it
// had said so. The times are those of package clock.
func (c *Counters) RecordBrittle(now, sent time.Time, named bool) {
	b := &c.said().brittle
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case named:
		b.named, b.namedAt = true, now.UnixNano()
	case sent.UnixNano() > b.namedAt:
		b.named = false
	}
}

// RecordFull records that the upstream turned a request away for want of room.
func (c *Counters) RecordFull(now time.Time) {
	b := &c.said().brittle
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fullAt = now.UnixNano()
}

// Brittle reports whether the upstream says that it is brittle.
func (c *Counters) Brittle() bool {
	s := c.statements.Load()
	if s == nil {
		return false
	}
	s.brittle.mu.Lock()
	defer s.brittle.mu.Unlock()
	return s.brittle.named
}

// RecordFreePlaces records how many places a load report leaves. It is to be called when the report
// arrives.
func (c *Counters) RecordFreePlaces(now time.Time, load external.Load) {
	b := &c.said().brittle
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free, b.reportedAt, b.sent = int64(load.Slots-load.Running-load.Waiting), now.UnixNano(), 0
}

// allows reports whether one more request may be sent besides those in flight, given the part of the places
// of this instance, the number of instances and the time.
func (b *brittleness) allows(now, inFlight int64, places, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if within(now-b.fullAt, fullPause) {
		return false
	}
	if inFlight < int64(places) {
		return true
	}
	return places > 0 && within(now-b.reportedAt, maxFreeReportAge) && b.sent < b.free/int64(max(instances, 1))
}

// within reports whether an age, in nanoseconds, is below a limit. An age below 0 is that of a time from
// before the clock was set back.
func within(age int64, limit time.Duration) bool { return age >= 0 && age < int64(limit) }

// endUntil ends what the upstream said up to a time.
func (b *brittleness) endUntil(at int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.namedAt <= at {
		b.named = false
	}
	if b.reportedAt <= at {
		b.free, b.reportedAt, b.sent = 0, 0, 0
	}
	if b.fullAt <= at {
		b.fullAt = 0
	}
}

func (b *brittleness) countSend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
}

// hasRoom reports whether this instance may send a request to the upstream, if it is brittle.
func (u *Upstream) hasRoom(now int64) bool {
	return !u.Brittle || u.Counters.said().brittle.allows(now, u.Counters.InFlight.Load(), u.Places, u.PlaceSharers)
}
