package control

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/routing"
)

// publishSchedule changes tables in random steps.
type publishSchedule struct {
	rng    *rand.Rand
	tables *tables
	now    time.Time
	list   []external.Instance
}

func (p *publishSchedule) heartbeat(id string) HeartbeatEvent {
	return HeartbeatEvent{
		Peer: routing.Peer{
			ID: id, Region: []string{"a", "b"}[p.rng.IntN(8)/7], FailureDomain: "a1", Draining: p.rng.IntN(9) == 0,
			ConfigRevision: p.rng.Int64N(3), AcceptsKeys: p.rng.IntN(5) > 0,
		},
		Incarnation: 1 + p.rng.Int64N(2),
		Services:    map[string]routing.ServiceLoad{"s": {Upstreams: p.rng.IntN(3)}},
		Demands:     map[string]float64{"t": p.rng.Float64()},
		ColdFor:     map[string]time.Duration{fmt.Sprint("u", p.rng.IntN(6)): time.Duration(p.rng.IntN(2)) * time.Second},
	}
}

func (p *publishSchedule) step() {
	t, row := p.tables, p.rng.IntN(len(p.list))
	switch p.rng.IntN(9) {
	case 0:
		p.list[row].State = []external.InstanceState{external.InstanceLive, external.InstanceDraining}[p.rng.IntN(2)]
		p.list[row].StartedAtUnixMilli = p.rng.Int64N(3)
		InstancesEvent{Instances: slices.Clone(p.list)}.apply(t, p.now)
	case 1:
		InstancesEvent{Instances: slices.Concat(p.list[:row], p.list[row+1:])}.apply(t, p.now)
	case 2:
		EvacuationEvent{Domains: map[string]struct{}{[]string{"a1", "b1"}[p.rng.IntN(2)]: {}}}.apply(t, p.now)
	case 3:
		for _, u := range t.sortedUpstreams {
			u.counters.RecordNamedRate(p.now, p.now, 3, p.rng.IntN(2) == 0)
			u.counters.ConsecutiveFailures.Store(p.rng.Int64N(5))
		}
	case 4:
		config := opconfig.New()
		config.Revision = t.config.Revision + 1
		config.Services = maps.Clone(t.config.Services)
		ConfigEvent{Config: config}.apply(t, p.now)
	default:
		p.heartbeat(fmt.Sprint("e", 1+p.rng.IntN(24))).apply(t, p.now)
	}
	p.now = p.now.Add(time.Duration(p.rng.IntN(400)) * time.Millisecond)
	for _, s := range tickSteps {
		s(t, p.now)
	}
}

// Guards against a snapshot that shares with the previous one what has changed since, and against changes of a
// snapshot that was published.
func TestSnapshotsThatShareAreThoseBuiltAnew(t *testing.T) {
	for seed := range uint64(20) {
		p := &publishSchedule{rng: rand.New(rand.NewPCG(seed, 1)), tables: newServiceTables("e0", 20), now: time.Unix(1000, 0)}
		for i := range 6 {
			p.list = append(p.list, external.Instance{ID: fmt.Sprint("u", i), Role: external.RoleService, Region: "a", FailureDomain: "a1", Service: "s"})
		}
		for i := range 30 {
			p.list = append(p.list, external.Instance{ID: fmt.Sprint("e", i), Role: external.RoleEntry, Region: "a", FailureDomain: "a1"})
		}
		for step := range 300 {
			p.step()
			last := p.tables.publishing.last
			var before []routing.Upstream
			if last != nil {
				before = slices.Clone(last.Upstreams)
			}
			got := buildSnapshot(p.tables, p.now)
			if last != nil && !slices.EqualFunc(before, last.Upstreams, sameWithPreference) {
				t.Fatalf("seed %d, step %d: the published upstreams changed", seed, step)
			}
			kept := p.tables.publishing
			p.tables.publishing = publishing{}
			want := buildSnapshot(p.tables, p.now)
			p.tables.publishing = kept
			if !slices.EqualFunc(got.Upstreams, want.Upstreams, sameWithPreference) {
				t.Fatalf("seed %d, step %d: the upstreams differ", seed, step)
			}
			if !maps.EqualFunc(got.ByTarget, want.ByTarget, slices.Equal) || !maps.Equal(got.ByHolderID, want.ByHolderID) {
				t.Fatalf("seed %d, step %d: the indexes differ", seed, step)
			}
			if !slices.EqualFunc(got.Peers, want.Peers, p.samePeer) || got.InstanceCount != want.InstanceCount || !slices.Equal(got.FormerPeers, want.FormerPeers) {
				t.Fatalf("seed %d, step %d: the peers differ", seed, step)
			}
		}
	}
}

func sameWithPreference(a, b routing.Upstream) bool {
	return a.Same(&b) && a.PreferencePenalty == b.PreferencePenalty
}

// samePeer compares what has to be published at once, which messages of the last peersInterval are not.
func (p *publishSchedule) samePeer(a, b routing.Peer) bool {
	return a.ID == b.ID && a.Region == b.Region && a.Draining == b.Draining && a.Suspect == b.Suspect && a.AcceptsKeys == b.AcceptsKeys &&
		a.Incarnation == b.Incarnation && a.ConfigRevision == b.ConfigRevision && (a.Services == nil) == (b.Services == nil) &&
		(a.LastHeard.Equal(b.LastHeard) || p.now.Sub(b.LastHeard) < peersInterval)
}
