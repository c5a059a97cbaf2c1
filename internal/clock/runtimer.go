package clock

import "time"

const (
	// maxRunGap is the longest time between two observations that counts as time in which the process ran. Observations
	// are due every 50 ms.
	maxRunGap = 100 * time.Millisecond
	// maxLateFactor times its length bounds how long a timeout lasts while the process runs late.
	maxLateFactor = 4
)

// RunTimer measures the time in which a process runs, from observations that are due every 50 ms. While the process does
// not run, or runs late, it cannot tell whether others respond in time. It is not safe for concurrent use.
type RunTimer struct {
	started, last time.Time
	ran           time.Duration
}

// StartRunTimer returns a timer that starts at the given time.
func StartRunTimer(now time.Time) RunTimer { return RunTimer{started: now, last: now} }

// Observe records that the process runs at the given time.
func (r *RunTimer) Observe(now time.Time) {
	r.ran += min(now.Sub(r.last), maxRunGap)
	r.last = now
}

// Expired reports at the latest observation whether the process has run for the given timeout. late is true if the timeout
// has expired before that, because the process runs so late that its measure takes four times as long.
func (r *RunTimer) Expired(timeout time.Duration) (expired, late bool) {
	if r.ran >= timeout {
		return true, false
	}
	late = r.last.Sub(r.started) >= maxLateFactor*timeout
	return late, late
}
