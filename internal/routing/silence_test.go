package routing

import (
	"testing"
	"time"
)

// Guards against an upstream that counts as silent although it sends or owes nothing, and against one whose
// silence is forgotten when its requests end at their deadlines.
func TestSilenceCountsWhileRequestsWait(t *testing.T) {
	var c Counters
	at := func(ms int64) time.Time { return testNow.Add(time.Duration(ms) * time.Millisecond) }
	expect := func(ms, want int64) {
		t.Helper()
		if got := c.SilentFor(at(ms)); got != time.Duration(want)*time.Millisecond {
			t.Errorf("after %d ms: silent for %s, want %d ms", ms, got, want)
		}
	}
	expect(100, 0)
	first := c.Begin(at(1000), 0, 0)
	expect(1300, 300)
	first.release(at(1400))
	expect(5000, 400)
	second := c.Begin(at(5000), 0, 0)
	third := c.Begin(at(5100), 0, 0)
	expect(5200, 600)
	third.FirstByte(at(5300))
	expect(5400, 100)
	third.Progress(at(5500))
	expect(5600, 100)
	second.release(at(5700))
	expect(9000, 200)
	c.RecordSign(at(9000))
	expect(9900, 0)
}
