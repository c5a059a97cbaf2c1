package control

import (
	"fmt"
	"testing"
	"time"

	"heatherloom/internal/platform"
	"heatherloom/internal/routing"
)

// BenchmarkTick measures one tick, of which there are 20 per second, with the tables
// of the design size: 250 upstreams of the region, 26 members heard from and 920
// listed entry instances.
func BenchmarkTick(b *testing.B) {
	l, now := NewLoop(Identity{ID: "self", Region: "hobart", FailureDomain: "hobart-1"}), time.Now()
	var list []platform.Instance
	for n := range 920 {
		list = append(list, platform.Instance{ID: fmt.Sprint("entry-", n), Role: platform.RoleEntry, Address: fmt.Sprint("10.0.0.1:", n)})
		if n < 250 {
			list = append(list, platform.Instance{ID: fmt.Sprint("engine-", n), Region: "hobart", Models: []string{"lantern@1"}})
		}
		if n < 26 {
			l.tables.members.Hear(now, memberOf(routing.Peer{ID: fmt.Sprint("entry-", n)}, 1))
		}
	}
	InstancesEvent{Instances: list}.apply(l.tables, now)
	b.ReportAllocs()
	for b.Loop() {
		l.tick(now)
	}
}
