package gateway

import (
	"slices"
	"testing"
	"time"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/routing"
)

// entrySnapshot is an instance of region a that is ready, with the given peers.
func entrySnapshot(peers ...routing.Peer) *routing.Snapshot {
	config := opconfig.New()
	config.Revision = 1
	for _, r := range []opconfig.HostRoute{
		{Host: "h", Prefix: "/bound/", AllowedRegions: []string{"b", "c"}},
		{Host: "h", Prefix: "/free/"},
	} {
		config.HostRoutes[r.ID()] = r
	}
	return &routing.Snapshot{Region: "a", Ready: true, Config: config, Peers: peers}
}

func entryPeer(region, address string) routing.Peer {
	return routing.Peer{Region: region, CallerURL: "http://" + address, AcceptsKeys: true}
}

// A caller whose region has no instance must be led to a home of its data if there is
// one: a third region would receive the body of a bound request. Instances that drain or
// cannot serve must not be named.
func TestHostEntriesPreferTheRegionAndThenTheHomes(t *testing.T) {
	draining, silent, stale := entryPeer("b", "b2"), entryPeer("b", "b3"), entryPeer("b", "b4")
	draining.Draining, silent.Suspect, stale.AcceptsKeys = true, true, false
	for _, c := range []struct {
		name, host, region string
		peers              []routing.Peer
		want               []string
	}{
		{"own region", "h", "b", []routing.Peer{entryPeer("b", "b1"), entryPeer("c", "c1"), draining, silent, stale}, []string{"b1"}},
		{"home of the bound routes", "h", "d", []routing.Peer{entryPeer("b", "b1"), entryPeer("c", "c1")}, []string{"b1", "c1"}},
		{"no bound route", "other", "d", []routing.Peer{entryPeer("b", "b1")}, []string{"a1", "b1"}},
		{"only draining ones at home", "h", "d", []routing.Peer{draining, silent, stale}, []string{"b2"}},
		{"only draining ones in the region", "other", "b", []routing.Peer{draining, silent, stale}, []string{"b2"}},
		{"no home live", "h", "d", []routing.Peer{silent, stale}, []string{"a1"}},
		{"draining ones elsewhere", "other", "d", []routing.Peer{draining}, []string{"a1"}},
	} {
		got := hostEntries(entrySnapshot(c.peers...), time.Now(), c.host, c.region, "a1")
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
