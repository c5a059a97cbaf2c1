package dispatch

import (
	"testing"
	"time"

	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
)

// Guards against a restart that is taken for the usual close of an idle connection, and against health checks for
// each of these.
func TestOnlyAnEarlyCloseOfAnIdleConnectionIsASignOfARestart(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name            string
		idle, announced time.Duration
		cold, want      bool
	}{
		{"usual", 10 * second, 10 * second, false, false},
		{"a little early", 9200 * time.Millisecond, 10 * second, false, false},
		{"early", 2300 * time.Millisecond, 10 * second, false, true},
		{"early, of a cold one", 2300 * time.Millisecond, 10 * second, true, true},
		{"usual, of a cold one", 10 * second, 10 * second, true, true},
		{"nothing stated", 1100 * time.Millisecond, 0, false, false},
		{"nothing stated, at once", 200 * time.Millisecond, 0, false, true},
		{"short timeout", 900 * time.Millisecond, second, false, true},
	} {
		s := &routing.Snapshot{Upstreams: []routing.Upstream{
			{ID: "u", Address: "a:1", MayBecomeCold: true, Cold: c.cold, Counters: &routing.Counters{}},
			{ID: "other", Address: "a:2", MayBecomeCold: true, Counters: &routing.Counters{}},
		}}
		var reported []string
		d := &Dispatcher{
			Snapshot:               func() *routing.Snapshot { return s },
			ReportSuspectedRestart: func(upstream string, _ RestartSign) { reported = append(reported, upstream) },
		}
		for range 2 {
			d.RecordIdleClose(relay.IdleClose{Address: "a:1", Idle: c.idle, Announced: c.announced})
		}
		if got := s.Upstreams[0].Counters.RestartSuspected(); got != c.want || (len(reported) == 1) != c.want {
			t.Errorf("%s: suspected %t, reported %v, want %t", c.name, got, reported, c.want)
		}
		if s.Upstreams[1].Counters.RestartSuspected() {
			t.Errorf("%s: another upstream is suspected", c.name)
		}
	}
}
