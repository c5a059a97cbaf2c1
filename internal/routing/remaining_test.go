package routing

import (
	"testing"
	"time"
)

// Guards against requests that an upstream cannot end before it is taken away, and against upstreams that are left out
// although there is time.
func TestUpstreamsThatEndGetOnlyRequestsThatEndInTime(t *testing.T) {
	for _, c := range []struct {
		name string
		// gone is the time until the upstream ends; 0 if it is not known.
		gone time.Duration
		// attempts are the durations of earlier ones, and deadline is that of the request.
		attempts []time.Duration
		deadline time.Duration
		want     string
	}{
		{"no end", 0, []time.Duration{20 * time.Second}, time.Second, "u"},
		{"attempts are shorter", 10 * time.Second, []time.Duration{2 * time.Second, 3 * time.Second}, time.Minute, "u"},
		{"attempts are longer", 6 * time.Second, []time.Duration{5 * time.Second, 5 * time.Second}, time.Minute, ""},
		{"one of few attempts is longer", 6 * time.Second, []time.Duration{time.Second, 14 * time.Second, 2 * time.Second}, time.Minute, ""},
		{"the deadline is earlier", 6 * time.Second, []time.Duration{5 * time.Second}, 3 * time.Second, "u"},
		{"no attempt, deadline in time", 6 * time.Second, nil, 3 * time.Second, "u"},
		{"no attempt, deadline later", 6 * time.Second, nil, 5 * time.Second, ""},
		{"no attempt, no deadline", time.Hour, nil, 0, ""},
		{"within the margin", 2300 * time.Millisecond, []time.Duration{200 * time.Millisecond}, time.Minute, ""},
		{"past its end", -time.Second, []time.Duration{time.Millisecond}, time.Millisecond, ""},
	} {
		s := serviceSnapshot(serviceUpstream("u", func(u *Upstream) {
			if c.gone != 0 {
				u.GoneAt = testNow.Add(c.gone).UnixNano()
			}
			for _, d := range c.attempts {
				a := u.Counters.Begin(testNow.Add(-d), 2000, 0)
				a.FirstByte(testNow)
				a.End(testNow)
			}
		}))
		r := serviceRequest()
		r.Service.Remaining = c.deadline
		if got := pickService(s, r); got != c.want {
			t.Errorf("%s: the pick is %q, want %q", c.name, got, c.want)
		}
		if _, serves := s.ServiceLoads(r.Now)[testService]; !serves && c.gone == 0 {
			t.Errorf("%s: other regions are told that no upstream serves", c.name)
		}
	}
}

// Guards against attempts that failed at once, which would make long requests look short.
func TestAttemptsWithoutAResponseDoNotCountAsShort(t *testing.T) {
	c := &Counters{}
	for _, responds := range []bool{true, false} {
		a := c.Begin(testNow, 2000, 0)
		if responds {
			a.FirstByte(testNow.Add(time.Second))
			a.End(testNow.Add(5 * time.Second))
		} else {
			a.End(testNow.Add(time.Millisecond))
		}
	}
	if got := c.LongAttempt(); got != 5*time.Second {
		t.Errorf("a long attempt takes %s, want 5s", got)
	}
}
