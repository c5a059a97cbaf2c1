package quarantine

import (
	"fmt"
	"testing"
	"time"
)

const (
	benchCrashes  = 2000
	benchUpstream = 120
	// benchMessages and benchShared are the heartbeats and responses that arrive in a tick of 50 ms, and the crashes
	// in each of them.
	benchMessages = 2
	benchShared   = 64
)

func benchCrash(i int, at time.Time) Crash {
	return Crash{
		Fingerprint: Fingerprint(3*i + 1), AtService: Fingerprint(3*i + 2), AtHost: Fingerprint(3*i + 3),
		Parts: []Fingerprint{Fingerprint(1e6 + i%50), Fingerprint(2e6 + i%700)}, Upstream: fmt.Sprint("i-", i%benchUpstream),
		StartedAt: 1, SeenAt: at.UnixNano(),
	}
}

// BenchmarkTable measures a tick of the control loop after upstreams dropped the connections of many requests: it adds
// the crashes of a few messages, most of them known, and selects those for the next messages.
func BenchmarkTable(b *testing.B) {
	for _, crashes := range []int{0, 200, benchCrashes} {
		b.Run(fmt.Sprint("crashes=", crashes), func(b *testing.B) {
			table, now := NewTable(), time.Unix(1000, 0)
			for i := range crashes {
				table.Add(now, benchCrash(i, now.Add(time.Duration(i)*time.Millisecond)))
			}
			next := 0
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				for range min(benchMessages*benchShared, crashes) {
					table.Add(now, benchCrash(next%crashes, time.Unix(1000, 0).Add(time.Duration(next%crashes)*time.Millisecond)))
					next++
				}
				table.Update(now)
				table.HeartbeatCrashes(now)
				table.Quarantined()
				table.Suspects()
			}
		})
	}
}
