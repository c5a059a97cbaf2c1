package control

import (
	"math"
	"slices"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
)

// EvacuationEvent brings the failure domains that must get no requests.
type EvacuationEvent struct {
	Domains map[string]struct{}
}

// apply treats the upstreams of a domain that is taken back as cold: their caches and
// connections may be gone.
func (e EvacuationEvent) apply(t *tables, now time.Time) {
	for _, row := range t.ordered {
		domain := row.instance.FailureDomain
		_, before := t.evacuated[domain]
		_, after := e.Domains[domain]
		if before && !after {
			row.coldUntil = latest(row.coldUntil, now.Add(t.config.Services[row.instance.Service].ColdFor))
		}
	}
	t.evacuated = e.Domains
}

// hearCold takes over which upstreams peers know to be cold. An instance that the store
// turns away learns of evacuations and of upstreams that became cold in no other way.
func (t *tables) hearCold(cold map[string]time.Duration, now time.Time) {
	for id, remaining := range cold {
		if row, ok := t.upstreams[id]; ok {
			row.coldUntil = latest(row.coldUntil, now.Add(remaining))
		}
	}
}

// OrdersEvent brings the rollouts of services that the operators ordered.
type OrdersEvent struct {
	Orders []rollout.ServiceOrder
}

func (e OrdersEvent) apply(t *tables, _ time.Time) { t.orders = e.Orders }

const (
	// canaryPart is the used part of the share that a version may get before it is known
	// to be good. The rest covers instances whose traffic is uneven.
	canaryPart = 0.5
	// badAnswers bounds the bad answers of a version over all instances before none sends
	// to it any more; fifty are the most that an order allows.
	badAnswers = 40
)

// versionSplits returns the division of the traffic of services under rollout.
func versionSplits(t *tables, instances int) map[string]routing.VersionSplit {
	splits := make(map[string]routing.VersionSplit, len(t.orders))
	for _, order := range t.orders {
		split := routing.VersionSplit{Candidate: order.Version, Move: order.ID()}
		switch {
		case order.State == rollout.Done:
			split.Share = 1
		case order.State == rollout.TakenBack || t.stopped(order, instances):
		case !t.hasOtherVersion(order):
			// The region has only upstreams of the ordered version.
			continue
		default:
			split.Share = canaryPart * t.identity.CanaryShare
		}
		splits[order.Service] = split
	}
	return splits
}

// hasOtherVersion reports whether the region has a live upstream of another version.
func (t *tables) hasOtherVersion(order rollout.ServiceOrder) bool {
	return slices.ContainsFunc(t.ordered, func(row *upstreamRow) bool {
		i := row.instance
		return i.Service == order.Service && i.Version != order.Version && i.State == external.InstanceLive
	})
}

// stopped reports whether this instance sends nothing more to an ordered version: after a
// stop of its own, or its part of the allowed bad answers.
func (t *tables) stopped(order rollout.ServiceOrder, instances int) bool {
	if _, stop := t.rollouts.stops[stopKey{order.ID(), t.identity.ID}]; stop {
		return true
	}
	bad := int64(0)
	for _, row := range t.ordered {
		if row.instance.Service == order.Service && row.instance.Version == order.Version {
			bad += row.counters.Bad.Load()
		}
	}
	return bad >= max(badAnswers/int64(max(instances, 1)), 1)
}

// ProbeEvent reports a health check that an upstream passed after a pause.
type ProbeEvent struct {
	Upstream string
	// ColdFor is how long the upstream says that it is still cold.
	ColdFor time.Duration
}

func (e ProbeEvent) apply(t *tables, now time.Time) {
	row, ok := t.upstreams[e.Upstream]
	if !ok {
		return
	}
	row.awaitsProbe = false
	row.downUntil = now
	row.counters.Failures.Store(0)
	if e.ColdFor > 0 {
		row.coldUntil = latest(row.coldUntil, now.Add(e.ColdFor))
	}
}

func evacuated(t *tables, row *upstreamRow) bool {
	_, ok := t.evacuated[row.instance.FailureDomain]
	return ok
}

// coldPart divides the limits of cold upstreams over the instances of the region.
type coldPart struct {
	tables *tables
	// instances are those of the region; nil until the first cold upstream.
	instances []string
}

// sends returns how many requests a second this instance may send to the upstream; 0 if
// the upstream is not cold. The instances have equal parts of the limit. If there are more
// instances than requests, those with the highest rendezvous weight send one.
func (c *coldPart) sends(row *upstreamRow, cold bool) int {
	if !cold {
		return 0
	}
	if c.instances == nil {
		c.instances = regionInstances(c.tables)
	}
	t := c.tables
	limit := math.Floor(t.config.Services[row.instance.Service].ColdRate*t.identity.ColdExcess + t.identity.ColdSlack)
	if part := math.Floor(limit / float64(len(c.instances))); part >= 1 {
		return int(part)
	}
	ranked := membership.Ranked(row.instance.ID, c.instances)
	if slices.Index(ranked, t.identity.ID) < int(limit) {
		return 1
	}
	return 0
}

// regionInstances returns the entry instances of the region that are live or listed,
// with this one. One that is listed and not heard from may still send.
func regionInstances(t *tables) []string {
	ids := []string{t.identity.ID}
	for _, m := range t.members.Live() {
		if m.Region == t.identity.Region {
			ids = append(ids, m.ID)
		}
	}
	for id, entry := range t.entries {
		if entry.Region == t.identity.Region && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}
