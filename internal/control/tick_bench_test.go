package control

import (
	"fmt"
	"testing"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/routing"
)

// BenchmarkTick measures one tick, of which there are 20 per second, with 920 listed
// entry instances. At the design size a region has 250 upstreams on average and an instance
// knows 26 members; 500 is the largest region, and 920 are all members.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ upstreams, members int }{{0, 26}, {125, 26}, {250, 26}, {500, 26}, {250, 230}, {250, 460}, {250, 920}} {
		b.Run(fmt.Sprintf("upstreams=%d/members=%d", size.upstreams, size.members), func(b *testing.B) {
			benchTick(b, size.upstreams, size.members)
		})
	}
}

func benchTick(b *testing.B, upstreams, members int) {
	l, now := NewLoop(Identity{ID: "self", Region: "hobart", FailureDomain: "hobart-1"}), time.Now()
	var list []external.Instance
	for n := range 920 {
		list = append(list, external.Instance{ID: fmt.Sprint("entry-", n), Role: external.RoleEntry, Address: fmt.Sprint("10.0.0.1:", n)})
		if n < members {
			l.tables.members.RecordHeartbeat(now, memberOf(routing.Peer{ID: fmt.Sprint("entry-", n)}, 1))
		}
	}
	for n := range upstreams {
		list = append(list, external.Instance{ID: fmt.Sprint("engine-", n), Region: "hobart", Models: []string{"lantern@1"}})
	}
	InstancesEvent{Instances: list}.apply(l.tables, now)
	b.ReportAllocs()
	for b.Loop() {
		l.tick(now)
	}
}
