package routing

import (
	"testing"
	"time"
)

// Guards against a process that is treated by what its former one said, and against forgetting what it said itself
// because a connection to the former one breaks late.
func TestOnlyWhatAFormerProcessSaidEndsWithTheRowOfTheNextOne(t *testing.T) {
	at := func(s float64) time.Time { return testNow.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name  string
		said  float64
		signs []float64
		row   float64
		want  bool
	}{
		{"before the end", 9.9, []float64{10}, 12, false},
		{"after the end", 10.1, []float64{10}, 12, true},
		{"after the end, the row late", 10.1, []float64{10}, 60, true},
		{"after the end, a connection breaks late", 10.1, []float64{10, 11}, 12, true},
		{"before the end, long after another sign", 29, []float64{10, 30}, 31, false},
		{"long before the row, without a sign", 5, nil, 10, false},
		{"shortly before the row, without a sign", 8, nil, 10, true},
	} {
		var former, next Counters
		former.RecordLeaving(at(c.said))
		former.RecordRetryAfter(at(c.said), time.Hour)
		former.RecordNamedRate(at(c.said), at(c.said), 1, true)
		former.RecordBrittle(at(c.said), at(c.said), true)
		for _, sign := range c.signs {
			former.SuspectRestart(at(sign))
		}
		next.KeepStatements(&former, at(c.row))
		_, named := next.NamedRate()
		for what, got := range map[string]bool{
			"leaving": next.SaysLeaving(), "paused": next.PausedFor(at(c.row).UnixNano()) > 0, "rate": named, "brittle": next.Brittle(),
		} {
			if got != c.want {
				t.Errorf("said %s: %s %t, want %t", c.name, what, got, c.want)
			}
		}
	}
}
