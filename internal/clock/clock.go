// Package clock provides a monotonic clock that includes the time during which the machine
// was suspended. The monotonic clock of package time does not.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

var (
	started     = time.Now()
	startUptime = uptime()
)

// Now returns the current time. Results can be compared and subtracted: they include
// suspensions and are not affected by steps of the wall clock.
func Now() time.Time { return started.Add(uptime() - startUptime) }

// WallOffset returns how far the wall clock is ahead of Now. It changes only when the wall clock is set.
func WallOffset() time.Duration { return time.Now().Round(0).Sub(Now().Round(0)) }

// uptime returns the time since the machine booted, including suspensions.
func uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(started)
	}
	return time.Duration(t.Nano())
}

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
