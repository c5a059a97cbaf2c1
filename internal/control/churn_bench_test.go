package control

import (
	"fmt"
	"testing"
	"time"

	"heatherloom/internal/membership"
)

// BenchmarkMemberChurn measures what a publication derives from the members after one of another region was dropped
// and another joined, in a fleet of 250 live members of which 98 are in the own region.
func BenchmarkMemberChurn(b *testing.B) {
	const (
		live  = 250
		local = 98
	)
	t := newServiceTables("e0", 0)
	now, step := time.Unix(1000, 0), membership.DropAfter/live
	join := func(i int) {
		region := "far"
		if i%live < local {
			region = t.identity.Region
		}
		t.members.RecordHeartbeat(now, membership.Member{ID: fmt.Sprintf("region-domain-entry-%03d", i%(2*live)), Region: region, Incarnation: 1})
	}
	for i := range live {
		now = now.Add(step)
		join(i)
	}
	b.ReportAllocs()
	for i := live; b.Loop(); i++ {
		now = now.Add(step)
		join(i)
		t.members.Expire(now)
		if len(t.regionInstances()) == 0 || len(t.members.Former()) > 2*live {
			b.Fatal("no instances")
		}
	}
}
