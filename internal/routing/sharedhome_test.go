package routing

import (
	"testing"
	"time"
)

// partsRequest has the given shared tokens and 6600 of its own.
func partsRequest(id uint64, shared int64, homes ...string) *Request {
	r := serviceRequest(homes...)
	r.Tokens, r.Prefix = shared+6600, []uint64{id, id + 1}
	r.Service.Parts = []PromptPart{{ID: id, Tokens: shared}, {ID: id + 1, Tokens: 6600}}
	return r
}

// regionSnapshot is an instance of a region with four upstreams, and one peer in each of the
// others.
func regionSnapshot(region string, wait time.Duration) *Snapshot {
	var upstreams []Upstream
	for _, id := range []string{"1", "2", "3", "4"} {
		upstreams = append(upstreams, serviceUpstream(region+id, func(u *Upstream) { u.Region = region }))
	}
	s := serviceSnapshot(upstreams...)
	s.Region, s.SelfID = region, "self-"+region
	for _, other := range []string{"a", "b", "c"} {
		if other != region {
			s.Peers = append(s.Peers, servicePeer("peer-"+other, other, wait))
		}
	}
	return s
}

// placedIn returns the region in which a request runs.
func placedIn(s *Snapshot, r *Request) string {
	picked := pickService(s, r)
	if len(picked) > len("peer-") {
		return picked[len("peer-"):]
	}
	return s.Region
}

// Guards against long shared parts that are read anew in each region, against one region
// that holds them all, and against requests that cross for parts that are read sooner than
// the way takes.
func TestLongSharedPartsHaveOneHomeRegion(t *testing.T) {
	counts := map[string]int{}
	for id := range uint64(300) {
		home := placedIn(regionSnapshot("a", 0), partsRequest(1000*id, 5400))
		for _, region := range []string{"b", "c"} {
			if got := placedIn(regionSnapshot(region, 0), partsRequest(1000*id, 5400)); got != home {
				t.Fatalf("parts %d are read in %s and in %s", id, home, got)
			}
			if got := placedIn(regionSnapshot(region, 0), partsRequest(1000*id, 570)); got != region {
				t.Fatalf("short parts %d are sent from %s to %s", id, region, got)
			}
		}
		counts[home]++
	}
	for region, n := range counts {
		if n < 60 || n > 140 {
			t.Errorf("%s is the home of %d of 300", region, n)
		}
	}
}

// Guards against a request that goes to the home of its parts though the home is busy, may
// not hold its data, or the own region has read the parts already.
func TestRequestsStayWhereTheHomeOfTheirPartsDoesNotPay(t *testing.T) {
	away := uint64(0)
	for away < 100_000 && placedIn(regionSnapshot("a", 0), partsRequest(away, 5400)) == "a" {
		away += 1000
	}
	if got := placedIn(regionSnapshot("a", time.Second), partsRequest(away, 5400)); got != "a" {
		t.Errorf("the home is busy: placed in %s", got)
	}
	if got := placedIn(regionSnapshot("a", 0), partsRequest(away, 5400, "a")); got != "a" {
		t.Errorf("the data must stay: placed in %s", got)
	}
	s, r := regionSnapshot("a", 0), partsRequest(away, 5400)
	index := NewPrefixIndex()
	index.Add(testNow.UnixNano(), s.Upstreams[0].Counters.Number(), r.Prefix[:1])
	choice, err := ServicePolicy{Index: index}.Pick(s, r, NewScratch(1))
	if err != nil || choice.Upstream != 0 {
		t.Errorf("the parts were read here: chosen %+v, %v", choice, err)
	}
}
