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
	l := NewLoop(Identity{ID: "self", Region: "hobart", FailureDomain: "hobart-1"})
	var list []platform.Instance
	for n := range 920 + 250 {
		i := platform.Instance{ID: fmt.Sprint("instance-", n), Region: "hobart", Role: platform.RoleEntry, Address: fmt.Sprint("10.0.0.1:", n)}
		if n >= 920 {
			i.Role, i.Models = platform.RoleEngine, []string{"lantern@1"}
		}
		list = append(list, i)
	}
	now := time.Now()
	InstancesEvent{Instances: list}.apply(l.tables, now)
	for n := range 26 {
		l.tables.members.Hear(now, memberOf(routing.Peer{ID: fmt.Sprint("instance-", n)}, 1))
	}
	b.ReportAllocs()
	for b.Loop() {
		l.tick(now)
	}
}
