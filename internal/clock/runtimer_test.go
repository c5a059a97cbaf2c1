package clock

import (
	"testing"
	"time"
)

// Guards against timeouts that expire because the process itself did not run, and against ones that never do.
func TestTimeoutsCountTheTimeInWhichTheProcessRuns(t *testing.T) {
	const timeout = 500 * time.Millisecond
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		interval, want time.Duration
		late           bool
	}{
		{50 * time.Millisecond, timeout, false},
		{100 * time.Millisecond, timeout, false},
		{200 * time.Millisecond, 2 * timeout, false},
		{600 * time.Millisecond, 2400 * time.Millisecond, true},
		{3 * time.Second, 3 * time.Second, true},
	} {
		r := StartRunTimer(start)
		for now := start.Add(c.interval); ; now = now.Add(c.interval) {
			r.Observe(now)
			if expired, late := r.Expired(timeout); expired {
				if got := now.Sub(start); got != c.want || late != c.late {
					t.Errorf("observed every %s: expired after %s, late %t, want %s, %t", c.interval, got, late, c.want, c.late)
				}
				break
			}
		}
	}
}
