package peer

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"heatherloom/internal/autoscale"
	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/peer/peerv1/peerv1connect"
	"heatherloom/internal/routing"
)

// loadLoop returns the loop of an instance of a region with one upstream that it sent a request.
func loadLoop(t *testing.T, id, region string) *control.Loop {
	t.Helper()
	loop := control.NewLoop(control.Identity{ID: id, Region: region})
	go loop.Run(t.Context())
	loop.Post(t.Context(), control.InstancesEvent{Instances: []external.Instance{
		{ID: "u-" + region, Role: external.RoleService, Region: region, FailureDomain: region + "-a", Service: "s", MaxConcurrency: 64, Address: "x"},
	}})
	for len(loop.Snapshot().Upstreams) == 0 {
		time.Sleep(time.Millisecond)
	}
	u := &loop.Snapshot().Upstreams[0]
	u.Counters.Begin(clock.Now(), 3000, 0)
	u.Counters.RecordLoad(clock.Now(), external.Load{Running: 5, Waiting: 2})
	return loop
}

// Guards against loads that are lost on their way, an instance of an earlier release or one that hangs from which
// the others are not asked, and a large region of which all are asked.
func TestLoadsAreCollectedFromInstancesThatRespond(t *testing.T) {
	const secret = "secret"
	loop := loadLoop(t, "holder", "r1")
	post := func(id, region, address string) {
		loop.Post(t.Context(), control.HeartbeatEvent{Peer: routing.Peer{ID: id, Region: region, FailureDomain: region + "-a", PeerAddress: address}, Incarnation: 1})
	}
	other := &Server{Secret: secret, Loop: loadLoop(t, "other", "r2")}
	post("other", "r2", serve(t, other.Handler()))
	_, earlier := peerv1connect.NewPeerServiceHandler(peerv1connect.UnimplementedPeerServiceHandler{}, handlerOptions(secret)...)
	post("earlier", "r2", serve(t, earlier))
	post("hangs", "r1", serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })))
	for i := range 2 * maxAskedPerRegion {
		post(fmt.Sprint("large-", i), "r3", "127.0.0.1:1")
	}
	for len(loop.Snapshot().Peers) < 3+2*maxAskedPerRegion {
		time.Sleep(time.Millisecond)
	}
	collector := &LoadCollector{Identity: control.Identity{ID: "holder", Region: "r1"}, Loop: loop, Client: NewClient("holder", secret)}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	regions := collector.Collect(ctx, []string{"s", "unknown"})
	services := map[string]opconfig.Service{"s": {Autoscale: &opconfig.Autoscale{Min: 1, Max: 2}}}
	pools := autoscale.Pools(services, regions)
	if len(pools) != 2 {
		t.Fatalf("the pools are %+v, want those of two regions", pools)
	}
	for _, p := range pools {
		want := autoscale.Domain{Name: p.Region + "-a", Serving: 1}
		if p.Domains[0] != want || p.Load.SlotsPerUpstream != 64 || p.Load.Running+p.Load.Waiting != 7 || p.Load.Complete {
			t.Errorf("the pool is %+v, want one upstream with the 7 requests that it told, not all responses", p)
		}
	}
	for _, r := range regions {
		if want := map[string][2]int{"r1": {2, 2}, "r2": {2, 2}, "r3": {2 * maxAskedPerRegion, maxAskedPerRegion}}[r.Region]; r.Instances != want[0] || r.Asked != want[1] {
			t.Errorf("%d of %d instances of %s are asked, want %d of %d", r.Asked, r.Instances, r.Region, want[1], want[0])
		}
	}
}
