package control

import (
	"fmt"
	"testing"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/membership"
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

// newRegionTables returns the tables of one of the entry instances of a region, whose upstreams belong to a
// service with a limit while they are cold.
func newRegionTables(instances, upstreams int) (*tables, time.Time) {
	t, now := newServiceTables("e0", 0), time.Unix(1000, 0)
	var list []external.Instance
	for i := range instances {
		id := fmt.Sprint("e", i)
		list = append(list, external.Instance{ID: id, Role: external.RoleEntry, Region: "a", FailureDomain: "a1"})
		if i > 0 {
			t.members.RecordHeartbeat(now, membership.Member{ID: id, Region: "a", FailureDomain: "a1"})
		}
	}
	for i := range upstreams {
		list = append(list, external.Instance{ID: fmt.Sprint("u", i), Role: external.RoleService, Region: "a", FailureDomain: "a1", Service: "s"})
	}
	InstancesEvent{Instances: list}.apply(t, now)
	return t, now
}

// BenchmarkBuildSnapshot measures the snapshot that each tick builds, at the sizes of the deployments and at
// 300 instances in a region.
func BenchmarkBuildSnapshot(b *testing.B) {
	for _, size := range []struct{ instances, upstreams int }{{3, 12}, {13, 56}, {26, 140}, {98, 240}, {300, 240}} {
		b.Run(fmt.Sprintf("instances=%d/upstreams=%d", size.instances, size.upstreams), func(b *testing.B) {
			t, now := newRegionTables(size.instances, size.upstreams)
			b.ReportAllocs()
			for b.Loop() {
				buildSnapshot(t, now)
			}
		})
	}
}

// Guards against a snapshot that ranks all instances for each upstream.
func TestSnapshotTimePerUpstreamDoesNotGrowWithTheInstances(t *testing.T) {
	const (
		snapshots = 20
		attempts  = 15
		maxRatio  = 2.5
	)
	perUpstream := func(instances, upstreams int) time.Duration {
		tables, now := newRegionTables(instances, upstreams)
		shortest := time.Hour
		for range attempts {
			started := time.Now()
			for range snapshots {
				buildSnapshot(tables, now)
			}
			shortest = min(shortest, time.Since(started)/time.Duration(snapshots*upstreams))
		}
		return shortest
	}
	small, large := perUpstream(13, 56), perUpstream(98, 240)
	if float64(large) > maxRatio*float64(small) {
		t.Errorf("%v an upstream with 98 instances, %v with 13", large, small)
	}
}
