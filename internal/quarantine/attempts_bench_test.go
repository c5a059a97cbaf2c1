package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAttempts measures an attempt, at 500 a second on 100 processes, with its share of the sweeps.
func BenchmarkAttempts(b *testing.B) {
	tracker, now := NewAttempts(), time.Unix(100_000, 0)
	listed := map[Process]bool{}
	var processes []Process
	for i := range 100 {
		p := Process{Upstream: fmt.Sprint("u", i), StartedAt: 1}
		processes = append(processes, p)
		listed[p] = false
	}
	subject := func() Subject { return Subject{Request: 7} }
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(2 * time.Millisecond)
		a := tracker.Begin(now, processes[i%len(processes)], subject)
		a.Progress(now)
		a.Finish(now)
		if i%125 == 0 {
			tracker.Sweep(now, listed)
		}
	}
}
