// Package clock reads a clock that counts the time during which the machine was
// suspended. The monotonic clock of package time does not.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

var (
	started     = time.Now()
	startedBoot = boot()
)

// Now returns the present time. Two results can be compared and subtracted: steps of the
// time of day have no effect, and suspensions count.
func Now() time.Time { return started.Add(boot() - startedBoot) }

// boot returns the time since the boot of the machine, with suspensions.
func boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(started)
	}
	return time.Duration(t.Nano())
}

// Sleep waits for d, or until ctx ends.
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
