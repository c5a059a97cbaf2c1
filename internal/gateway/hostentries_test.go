package gateway

import (
	"slices"
	"testing"
	"time"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/routing"
)

// entrySnapshot returns the snapshot of a ready instance in region a with the given peers.
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

// A caller whose region has no instance must be directed to an allowed region of its data
// if one has instances: any other region would receive the body of a bound request.
// Instances that cannot serve must not be listed, and draining ones only if the regions
// have no others.
func TestHostEntriesPreferTheRegionAndThenTheHomes(t *testing.T) {
	draining, silent, stale := entryPeer("b", "b2"), entryPeer("b", "b3"), entryPeer("b", "b4")
	draining.Draining, silent.Suspect, stale.AcceptsKeys = true, true, false
	for _, c := range []struct {
		name, host, region string
		peers              []routing.Peer
		want               []string
	}{
		{"own region", "h", "b", []routing.Peer{entryPeer("b", "b1"), entryPeer("c", "c1"), draining, silent, stale}, []string{"b1"}},
		{"allowed regions of the bound routes", "h", "d", []routing.Peer{entryPeer("b", "b1"), entryPeer("c", "c1")}, []string{"b1", "c1"}},
		{"no bound route", "other", "d", []routing.Peer{entryPeer("b", "b1")}, []string{"a1", "b1"}},
		{"only draining instances in the allowed regions", "h", "d", []routing.Peer{draining, silent, stale}, []string{"b2"}},
		{"only draining instances in the caller's region", "other", "b", []routing.Peer{draining, silent, stale}, []string{"b2"}},
		{"no live instance in the allowed regions", "h", "d", []routing.Peer{silent, stale}, []string{"a1"}},
		{"draining instances in another region", "other", "d", []routing.Peer{draining}, []string{"a1"}},
	} {
		got := hostEntries(entrySnapshot(c.peers...), time.Now(), c.host, c.region, "a1")
		slices.Sort(got)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
