package control

import (
	"maps"
	"slices"
	"strings"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/quota"
	"heatherloom/internal/routing"
	"heatherloom/internal/slotclaim"
)

// Event is an input to the control state.
type Event interface {
	apply(t *tables, now time.Time)
}

// ConfigEvent brings a revision of the operators' configuration. A revision that
// is not higher than the one in force is ignored.
type ConfigEvent struct {
	Config *opconfig.Config
	// Deltas lead to Config in order; empty if it was read as a base.
	Deltas []opconfig.Delta
	// Confirmed is when Config was known to be the latest revision; zero if it is
	// not known.
	Confirmed time.Time
}

func (e ConfigEvent) apply(t *tables, now time.Time) {
	if e.Config.Revision > t.config.Revision {
		if !maps.Equal(e.Config.Domains, t.config.Domains) {
			t.division = quota.NewDivision(e.Config)
		}
		if t.config.Revision == 0 {
			t.configured = now
		}
		t.config = e.Config
		t.history.extend(e.Config.Revision, e.Deltas)
	}
	t.confirm(e.Config.Revision, e.Confirmed)
}

// ConfirmedEvent reports that the key-value service named Revision as the latest
// one at the time At.
type ConfirmedEvent struct {
	Revision int64
	At       time.Time
}

func (e ConfirmedEvent) apply(t *tables, _ time.Time) { t.confirm(e.Revision, e.At) }

// confirm records that revision was the latest one at the given time. It counts
// only if this instance has that revision or a later one.
func (t *tables) confirm(revision int64, at time.Time) {
	if revision <= t.config.Revision && at.After(t.confirmed) {
		t.confirmed = at
	}
}

// DirectoryEvent brings the client accounts that the client directory marks as
// inactive. They are treated as suspended until the next reading.
type DirectoryEvent struct {
	Inactive map[string]struct{}
}

func (e DirectoryEvent) apply(t *tables, _ time.Time) { t.inactive = e.Inactive }

// InstancesEvent brings a reading of the platform's instance list.
type InstancesEvent struct {
	Instances []external.Instance
}

func (e InstancesEvent) apply(t *tables, now time.Time) {
	listed := make(map[string]bool, len(e.Instances))
	t.entries = map[string]external.Instance{}
	for _, instance := range e.Instances {
		if instance.Role == external.RoleEntry && instance.ID != t.identity.ID {
			t.entries[instance.ID] = instance
		}
		if instance.Role == external.RoleEntry || instance.Region != t.identity.Region {
			continue
		}
		listed[instance.ID] = true
		t.setUpstream(instance, now)
	}
	t.listed = listedOf(t.entries)
	for id := range t.upstreams {
		if !listed[id] {
			delete(t.upstreams, id)
		}
	}
	t.ordered = slices.SortedFunc(maps.Values(t.upstreams), func(a, b *upstreamRow) int {
		return strings.Compare(a.instance.ID, b.instance.ID)
	})
}

func (t *tables) setUpstream(instance external.Instance, now time.Time) {
	row, ok := t.upstreams[instance.ID]
	if !ok || row.instance.Address != instance.Address || row.instance.Born != instance.Born {
		row = &upstreamRow{counters: &routing.Counters{}}
		row.counters.Since.Store(now.UnixNano())
		t.upstreams[instance.ID] = row
	}
	if instance.ColdFor > 0 && instance.ColdFor != row.instance.ColdFor {
		row.coldUntil = latest(row.coldUntil, now.Add(instance.ColdFor))
	}
	row.instance = instance
}

// KnownMember is a member that another member heard from.
type KnownMember struct {
	Peer        routing.Peer
	Incarnation int64
	// Silent is the time since the other member heard from it.
	Silent time.Duration
}

// HeartbeatEvent reports that an entry instance was heard from.
type HeartbeatEvent struct {
	Peer        routing.Peer
	Incarnation int64
	// Asked is when this instance sent the heartbeat that the peer answered; zero if
	// the peer sent one itself. Only an answer proves when there was contact, because
	// a message may wait while this process is paused.
	Asked time.Time
	// RoundTrip is the time from Asked to the answer; 0 if the peer called itself.
	RoundTrip time.Duration
	// Confirmed is when the peer's configuration was known to be the latest one, by
	// the local clock; zero if it is not known.
	Confirmed time.Time
	// Known are members that the peer heard from.
	Known []KnownMember
	// Demands are the peer's latest demands by client account, and Services the load of
	// the services of its region; nil if the message carries none.
	Demands  map[string]float64
	Services map[string]routing.ServiceLoad
	// Cold holds how long upstreams of the peer's region are still cold.
	Cold map[string]time.Duration
}

func (e HeartbeatEvent) apply(t *tables, now time.Time) {
	if e.Peer.ID == t.identity.ID {
		return
	}
	outcome := t.members.Hear(now, memberOf(e.Peer, e.Incarnation))
	if outcome == membership.Outdated {
		return
	}
	t.contact(e.Peer, e.Asked)
	t.hearCold(e.Cold, now)
	t.link(e, now)
	if row := t.confirmations[e.Peer.ID]; e.Confirmed.After(row.at) {
		t.confirmations[e.Peer.ID] = confirmation{revision: e.Peer.ConfigRevision, at: e.Confirmed}
	}
	for _, known := range e.Known {
		if known.Peer.ID != t.identity.ID {
			t.members.HearOf(now, now.Add(-known.Silent), memberOf(known.Peer, known.Incarnation))
		}
	}
}

// roundTripGain weights one heartbeat in the average of the round trip.
const roundTripGain = 0.3

// link records what the peer told of its region, and the round trip of an answer.
func (t *tables) link(e HeartbeatEvent, now time.Time) {
	row := t.linkTo(e.Peer.ID)
	roundTrip := row.remote.RoundTripSeconds
	if trip := e.RoundTrip.Seconds(); trip > 0 && roundTrip == 0 {
		roundTrip = trip
	} else if trip > 0 {
		roundTrip += roundTripGain * (trip - roundTrip)
	}
	if e.Services != nil {
		row.services, row.demands, row.serving = e.Services, e.Demands, e.Peer.Serving
		row.reported = now
	}
	row.remote = e.Peer.Remote
	row.remote.RoundTripSeconds = roundTrip
}

// contact records an answer that ends isolation: one from another region or, where
// no other region is known, from another failure domain.
func (t *tables) contact(p routing.Peer, asked time.Time) {
	t.otherRegion = t.otherRegion || p.Region != t.identity.Region
	outside := p.Region != t.identity.Region || (!t.otherRegion && p.FailureDomain != t.identity.FailureDomain)
	if outside && asked.After(t.contacted) {
		t.contacted = asked
	}
}

func memberOf(p routing.Peer, incarnation int64) membership.Member {
	return membership.Member{
		ID:             p.ID,
		Region:         p.Region,
		FailureDomain:  p.FailureDomain,
		PeerAddress:    p.PeerAddress,
		CallerURL:      p.CallerURL,
		OperatorURL:    p.OperatorURL,
		Incarnation:    incarnation,
		ConfigRevision: p.ConfigRevision,
		Draining:       p.Draining,
		Slot:           p.Slot,
	}
}

// SlotEvent reports the slot that this instance holds.
type SlotEvent struct {
	Claim slotclaim.Claim
}

func (e SlotEvent) apply(t *tables, _ time.Time) { t.claim = e.Claim }

// LoadEvent brings an upstream's report of its load.
type LoadEvent struct {
	Upstream string
	Load     external.Load
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
