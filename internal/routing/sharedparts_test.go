package routing

import (
	"testing"
	"time"
)

// partsRequest returns a request with the given number of shared prompt tokens and 6600
// unshared ones.
func partsRequest(id uint64, shared int64, allowedRegions ...string) *Request {
	r := serviceRequest(allowedRegions...)
	r.PromptTokens, r.Prefix = shared+6600, []uint64{id, id + 1}
	r.Service.Parts = []PromptPart{{ID: id, Tokens: shared}, {ID: id + 1, Tokens: 6600}}
	return r
}

// regionSnapshot returns the snapshot of an instance in the given region, with four upstreams
// there and one peer in each of the two other regions.
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
	s.BuildIndexes()
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

// Guards against long shared parts that are computed in every region, against an uneven
// distribution of them over the regions, and against forwarding requests whose shared parts
// take less time to compute than forwarding does.
func TestLongSharedPartsHaveOneHomeRegion(t *testing.T) {
	counts := map[string]int{}
	for id := range uint64(300) {
		homeRegion := placedIn(regionSnapshot("a", 0), partsRequest(1000*id, 5400))
		for _, region := range []string{"b", "c"} {
			if got := placedIn(regionSnapshot(region, 0), partsRequest(1000*id, 5400)); got != homeRegion {
				t.Fatalf("shared parts %d are computed in %s and in %s", id, homeRegion, got)
			}
			if got := placedIn(regionSnapshot(region, 0), partsRequest(1000*id, 570)); got != region {
				t.Fatalf("short shared parts %d are forwarded from %s to %s", id, region, got)
			}
		}
		counts[homeRegion]++
	}
	for region, n := range counts {
		if n < 60 || n > 140 {
			t.Errorf("region %s holds %d of 300 shared parts", region, n)
		}
	}
}

// Guards against a request that is forwarded to the region of its shared parts although that
// region is busy or must not get the data, or the local region has already cached the parts.
func TestRequestsStayWhereTheHomeOfTheirPartsDoesNotPay(t *testing.T) {
	remoteID := uint64(0)
	for remoteID < 100_000 && placedIn(regionSnapshot("a", 0), partsRequest(remoteID, 5400)) == "a" {
		remoteID += 1000
	}
	if got := placedIn(regionSnapshot("a", time.Second), partsRequest(remoteID, 5400)); got != "a" {
		t.Errorf("region of the shared parts busy: placed in %s", got)
	}
	if got := placedIn(regionSnapshot("a", 0), partsRequest(remoteID, 5400, "a")); got != "a" {
		t.Errorf("data bound to the local region: placed in %s", got)
	}
	s, r := regionSnapshot("a", 0), partsRequest(remoteID, 5400)
	index := NewPrefixIndex()
	index.Add(testNow.UnixNano(), s.Upstreams[0].Counters.HolderID(), r.Prefix[:1])
	choice, err := ServicePolicy{Index: index}.Pick(s, r, NewScratch(1))
	if err != nil || choice.Upstream != 0 {
		t.Errorf("shared parts cached locally: chosen %+v, %v", choice, err)
	}
}
