package routing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkServicePick measures a pick for a prompt of which an upstream has cached a part.
func BenchmarkServicePick(b *testing.B) {
	for _, n := range []int{30, 250} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var upstreams []Upstream
			for i := range n {
				upstreams = append(upstreams, serviceUpstream(fmt.Sprint("u", i), nil))
			}
			s, r, x := serviceSnapshot(upstreams...), partsRequest(1, 5400), NewScratch(1)
			policy := ServicePolicy{Index: NewPrefixIndex()}
			policy.Index.Add(r.Now, s.Upstreams[3].Counters.HolderID(), r.Prefix)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := policy.Pick(s, r, x); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkAttempt measures the record of an attempt.
func BenchmarkAttempt(b *testing.B) {
	c, now := &Counters{}, testNow
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		a := c.Begin(now, 6600, 0)
		a.FirstByte(now.Add(100 * time.Millisecond))
		a.End(now.Add(time.Second))
	}
}
