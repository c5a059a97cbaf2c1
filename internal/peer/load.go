package peer

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"connectrpc.com/connect"

	"github.com/cespare/xxhash/v2"

	"heatherloom/internal/autoscale"
	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/routing"
)

// maxAskedPerRegion bounds the instances of a region that are asked for the load. Those of a larger region are
// extrapolated, so that the holder of the duty does not keep connections to all of them.
const maxAskedPerRegion = 24

// CollectLoad returns the load of services in the region, as far as this instance knows it.
func (s *Server) CollectLoad(_ context.Context, req *connect.Request[peerv1.CollectLoadRequest]) (*connect.Response[peerv1.CollectLoadResponse], error) {
	load := autoscale.LoadOf(s.Loop.Snapshot(), s.Rejections, req.Msg.GetServices(), clock.Now())
	return connect.NewResponse(encodeLoad(load)), nil
}

func encodeLoad(load autoscale.InstanceLoad) *peerv1.CollectLoadResponse {
	resp := &peerv1.CollectLoadResponse{}
	for _, d := range load.Domains {
		resp.Domains = append(resp.Domains, &peerv1.DomainLoad{
			Service: d.Service, FailureDomain: d.Domain.Name,
			Serving: int32(d.Domain.Serving), Cold: int32(d.Domain.Cold), Unavailable: int32(d.Domain.Unavailable), Leaving: int32(d.Domain.Leaving),
			Slots: int32(d.Slots), InFlight: int32(d.InFlight), Reporting: int32(d.Reporting), Running: int32(d.Running), Waiting: int32(d.Waiting),
			Arrivals: d.Arrivals, PromptTokens: d.PromptTokens, ReadTokens: d.ReadTokens, ReadSeconds: d.ReadSeconds,
		})
	}
	for service, perSecond := range load.Rejected {
		resp.Rejected = append(resp.Rejected, &peerv1.ServiceRejections{Service: service, PerSecond: perSecond})
	}
	return resp
}

func decodeLoad(resp *peerv1.CollectLoadResponse) autoscale.InstanceLoad {
	load := autoscale.InstanceLoad{Rejected: map[string]float64{}}
	for _, d := range resp.GetDomains() {
		load.Domains = append(load.Domains, autoscale.DomainLoad{
			Service: d.GetService(),
			Domain: autoscale.Domain{
				Name: d.GetFailureDomain(), Serving: int(d.GetServing()), Cold: int(d.GetCold()), Unavailable: int(d.GetUnavailable()), Leaving: int(d.GetLeaving()),
			},
			Slots: int(d.GetSlots()), InFlight: int(d.GetInFlight()), Reporting: int(d.GetReporting()), Running: int(d.GetRunning()), Waiting: int(d.GetWaiting()),
			Arrivals: d.GetArrivals(), PromptTokens: d.GetPromptTokens(), ReadTokens: d.GetReadTokens(), ReadSeconds: d.GetReadSeconds(),
		})
	}
	for _, r := range resp.GetRejected() {
		load.Rejected[r.GetService()] = r.GetPerSecond()
	}
	return load
}

// LoadCollector asks the instances of all regions for the load of services.
type LoadCollector struct {
	Identity control.Identity
	Loop     *control.Loop
	Client   *Client
	// Rejections are those of this instance; nil for none.
	Rejections *routing.Rejections
}

// Collect implements autoscale.CollectFunc. An instance of an earlier release, which does not know the call, counts as one
// that does not respond.
func (c *LoadCollector) Collect(ctx context.Context, services []string) []autoscale.RegionLoads {
	snapshot := c.Loop.Snapshot()
	var mu sync.Mutex
	var calls sync.WaitGroup
	own := autoscale.LoadOf(snapshot, c.Rejections, services, clock.Now())
	regions := map[string]*autoscale.RegionLoads{
		c.Identity.Region: {Region: c.Identity.Region, Instances: 1, Asked: 1, Responses: []autoscale.InstanceLoad{own}},
	}
	for _, peers := range peersByRegion(snapshot.Peers) {
		name := peers[0].Region
		if regions[name] == nil {
			regions[name] = &autoscale.RegionLoads{Region: name}
		}
		region := regions[name]
		region.Instances += len(peers)
		for _, p := range peers[:min(len(peers), maxAskedPerRegion-region.Asked)] {
			region.Asked++
			calls.Go(func() {
				resp, err := c.Client.ServiceClient(p.PeerAddress).CollectLoad(ctx, connect.NewRequest(&peerv1.CollectLoadRequest{Services: services}))
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				region.Responses = append(region.Responses, decodeLoad(resp.Msg))
			})
		}
	}
	calls.Wait()
	var loads []autoscale.RegionLoads
	for _, r := range regions {
		loads = append(loads, *r)
	}
	return loads
}

// peersByRegion groups peers by their region, in an order by hash, so that the same ones are asked each time.
func peersByRegion(peers []routing.Peer) map[string][]routing.Peer {
	grouped := map[string][]routing.Peer{}
	for _, p := range peers {
		grouped[p.Region] = append(grouped[p.Region], p)
	}
	for _, list := range grouped {
		slices.SortFunc(list, func(a, b routing.Peer) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
		})
	}
	return grouped
}
