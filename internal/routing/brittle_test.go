package routing

import (
	"testing"
	"time"

	"heatherloom/internal/external"
)

// Guards against more requests at a brittle upstream than the part of this instance and the free places
// allow, against a pause that does not follow a rejection, and against a state that outlasts its cause.
func TestBrittleUpstreamsGetNoMoreThanTheirPlaces(t *testing.T) {
	u := serviceUpstream("u", func(u *Upstream) { u.Brittle, u.Places, u.PlaceSharers = true, 2, 3 })
	now := testNow
	send := func() *TrackedAttempt { return u.Counters.Begin(now, 0, 0) }
	expect := func(when string, want bool) {
		t.Helper()
		if got := u.hasRoom(now.UnixNano()); got != want {
			t.Errorf("%s: room %v, want %v", when, got, want)
		}
	}
	expect("at first", true)
	send()
	second := send()
	expect("its places are taken", false)
	u.Counters.RecordFreePlaces(now, external.Load{Running: 10, Waiting: 1, Slots: 17})
	expect("six places are free", true)
	send()
	send()
	expect("its part of them is taken", false)
	u.Counters.RecordFreePlaces(now, external.Load{Running: 10, Slots: 64})
	now = now.Add(2 * maxFreeReportAge)
	expect("the report is old", false)
	for range 3 {
		second.End(now)
	}
	expect("requests ended", true)
	u.Counters.RecordFull(now)
	expect("a request was turned away", false)
	now = now.Add(-time.Hour)
	expect("the clock was set back", true)
	now = now.Add(time.Hour + fullPause)
	expect("the pause is over", true)

	var c Counters
	c.RecordBrittle(now, now.Add(-time.Second), true)
	c.RecordBrittle(now, now.Add(-time.Second), false)
	if !c.Brittle() {
		t.Error("an earlier response ended the state")
	}
	c.RecordBrittle(now.Add(time.Second), now.Add(time.Millisecond), false)
	if c.Brittle() {
		t.Error("a later response did not end the state")
	}
}
