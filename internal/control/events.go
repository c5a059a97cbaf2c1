package control

import (
	"time"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/platform"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/routing"
)

// Event is an input to the control state.
type Event interface {
	apply(t *tables, now time.Time)
}

// ConfigEvent brings a revision of the operators' configuration. A revision that
// is not higher than the one in force is ignored.
type ConfigEvent struct {
	Config *opconfig.Config
}

func (e ConfigEvent) apply(t *tables, _ time.Time) {
	if e.Config.Revision > t.config.Revision {
		t.config = e.Config
	}
}

// InstancesEvent brings a reading of the platform's instance list.
type InstancesEvent struct {
	Instances []platform.Instance
}

func (e InstancesEvent) apply(t *tables, _ time.Time) {
	listed := make(map[string]bool, len(e.Instances))
	for _, instance := range e.Instances {
		if instance.Role == platform.RoleEntry || instance.Region != t.identity.Region {
			continue
		}
		listed[instance.ID] = true
		t.setUpstream(instance)
	}
	for id := range t.upstreams {
		if !listed[id] {
			delete(t.upstreams, id)
		}
	}
}

func (t *tables) setUpstream(instance platform.Instance) {
	row, ok := t.upstreams[instance.ID]
	if !ok || row.instance.Address != instance.Address {
		row = &upstreamRow{counters: &routing.Counters{}}
		t.upstreams[instance.ID] = row
	}
	row.instance = instance
}

// HeartbeatEvent reports that an entry instance was heard from.
type HeartbeatEvent struct {
	Peer        routing.Peer
	Incarnation int64
}

func (e HeartbeatEvent) apply(t *tables, now time.Time) {
	if e.Peer.ID == t.identity.ID {
		return
	}
	row, ok := t.members[e.Peer.ID]
	if ok && e.Incarnation < row.incarnation {
		return
	}
	peer := e.Peer
	peer.LastHeard = now
	t.members[peer.ID] = &memberRow{peer: peer, incarnation: e.Incarnation}
}

// LoadEvent brings an upstream's report of its load.
type LoadEvent struct {
	Upstream string
	Load     platform.Load
}

func (e LoadEvent) apply(t *tables, _ time.Time) {
	if row, ok := t.upstreams[e.Upstream]; ok {
		row.load = e.Load
	}
}

// CrashEvent reports a crash of an upstream, seen here or by another instance.
type CrashEvent struct {
	Crash quarantine.Crash
}

func (e CrashEvent) apply(t *tables, now time.Time) { t.crashes.Add(now, e.Crash) }

// DrainEvent tells the instance to take no new work.
type DrainEvent struct{}

func (DrainEvent) apply(t *tables, _ time.Time) { t.draining = true }
