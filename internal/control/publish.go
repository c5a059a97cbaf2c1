package control

import (
	"maps"
	"slices"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/quota"
	"heatherloom/internal/routing"
)

// peersInterval is the time between two copies of the peers of a large fleet while only the times at which
// they were heard, and the loads that they reported, change. Peers report once a second.
const peersInterval = 200 * time.Millisecond

// publishing holds the parts of the last snapshot that the next one shares if they have not changed.
type publishing struct {
	last *routing.Snapshot
	// upstreams is memory for the upstreams of the next snapshot.
	upstreams []routing.Upstream
	// peersChanged is true if a peer changed in a way that has to be published with the next tick, and
	// peersAt is when the peers were last copied.
	peersChanged bool
	peersAt      time.Time
	// members is membership.Table.Changes when the peers were last copied.
	members uint64
}

// buildSnapshot copies the tables into an immutable snapshot. It shares the upstreams and the peers with the
// previous one if they have not changed.
func buildSnapshot(t *tables, now time.Time) *routing.Snapshot {
	s := &routing.Snapshot{
		SelfID:             t.identity.ID,
		Region:             t.identity.Region,
		FailureDomain:      t.identity.FailureDomain,
		Config:             t.config,
		ConfigDeltas:       t.history.deltas,
		InactiveAccounts:   t.inactive,
		Ready:              t.ready(now),
		Draining:           t.draining,
		Published:          now,
		ModelSplits:        modelSplits(t),
		ModelRollouts:      t.rollouts.sortedRollouts(),
		RolloutStops:       t.rollouts.sortedStops(),
		PeerSamples:        maps.Clone(t.rollouts.samples),
		Upstreams:          t.publishing.shareUpstreams(upstreamsOf(t, now)),
		Quarantined:        t.crashes.Quarantined(),
		StoredQuarantines:  t.crashes.Stored(),
		RefutedQuarantines: t.crashes.Refuted(),
		SuspectedParts:     t.crashes.Suspects(),
		CompletedParts:     t.crashes.Completed(),
		ImplicatedParts:    t.crashes.Implicated(),
		SharedCrashes:      t.crashes.HeartbeatCrashes(now),
		ListedPeers:        t.listedContacts,
		Quota:              slotState(t, now),
	}
	if !t.confirmedAt.IsZero() {
		s.ConfigConfirmed = t.confirmedAt
		s.ConfigAge = now.Sub(t.confirmedAt)
	}
	last := t.confirmedAt
	if !t.identity.StrictIsolation {
		last = latest(t.confirmedAt, t.lastOutsideResponse)
	}
	switch {
	case !last.IsZero():
		s.ConfigValidUntil = last.Add(t.identity.EffectiveMaxIsolation)
	case t.identity.StrictIsolation && t.config.Revision > 0:
		// An unconfirmed configuration received from a peer may be arbitrarily old.
		s.ConfigValidUntil = t.configuredAt.Add(-time.Nanosecond)
	}
	setPeers(t, s, now)
	s.InstanceCount = 1 + max(len(s.Peers), len(t.listedInstances))
	s.ServiceSplits = serviceSplits(t, s.InstanceCount)
	s.ServiceRollouts = t.serviceRollouts
	if last := t.publishing.last; last == nil || !s.ShareIndexes(last) {
		if last != nil && routing.SharesElements(s.Upstreams, last.Upstreams) {
			s.Upstreams = slices.Clone(s.Upstreams)
		}
		s.BuildIndexes()
	}
	t.publishing.last = s
	return s
}

// setPeers sets the peers, their demand and the former peers, or shares those of the last snapshot.
func setPeers(t *tables, s *routing.Snapshot, now time.Time) {
	p := &t.publishing
	due := t.members.Count() <= membership.MaxFullMeshMembers || now.Sub(p.peersAt) >= peersInterval
	if p.last != nil && !due && !p.peersChanged && p.members == t.members.Changes() {
		s.Peers, s.FormerPeers = p.last.Peers, p.last.FormerPeers
		s.PeerDemand = p.last.PeerDemand
		s.DomainDemand, s.CollectsDemand = p.last.DomainDemand, p.last.CollectsDemand
		if len(s.PeerDemand) > 0 {
			s.PeerDemandAge = p.last.PeerDemandAge + now.Sub(p.last.Published)
		}
		return
	}
	if p.last != nil && p.members == t.members.Changes() {
		s.FormerPeers = p.last.FormerPeers
	} else {
		s.FormerPeers = t.members.Former()
	}
	p.peersChanged, p.peersAt, p.members = false, now, t.members.Changes()
	s.Peers = peersOf(t)
	s.DomainDemand, s.CollectsDemand = t.ownDomainDemand(now)
	s.PeerDemand, s.PeerDemandAge = estimateDemand(t, s.Peers, s.DomainDemand, now)
}

// shareUpstreams returns the upstreams of the last snapshot if they are the same, and a copy otherwise.
func (p *publishing) shareUpstreams(upstreams []routing.Upstream) []routing.Upstream {
	p.upstreams = upstreams
	if p.last != nil && slices.EqualFunc(p.last.Upstreams, upstreams, func(a, b routing.Upstream) bool { return a.Same(&b) }) {
		return p.last.Upstreams
	}
	return slices.Clone(upstreams)
}

// slotGrace bounds how long a starting instance waits for a slot before it reports
// ready. Without a slot it relies on borrowed tokens, as instances do in a domain with
// more instances than slots.
const slotGrace = 5 * time.Second

// ready reports whether the instance can serve: it has a configuration and, where the
// failure domain has slots, held a usable one or waited slotGrace for it. Serving earlier
// would reject requests that are within their rate.
func (t *tables) ready(now time.Time) bool {
	if t.config.Revision == 0 {
		return false
	}
	if t.claim.Held && !now.Before(t.claim.UsableFrom) {
		t.hadUsableSlot = true
	}
	hasSlots := t.config.FailureDomains[t.identity.FailureDomain].Slots > 0
	return t.hadUsableSlot || !hasSlots || now.Sub(t.configuredAt) > slotGrace
}

// slotState returns the division of rates and the slot of this instance. A claimed slot
// that the configuration no longer defines is not used.
func slotState(t *tables, now time.Time) quota.SlotState {
	s := quota.SlotState{Division: t.division}
	domain := t.config.FailureDomains[t.identity.FailureDomain]
	if !t.claim.Held || t.claim.Index >= domain.Slots {
		return s
	}
	s.Held = true
	s.Own = quota.Slot{Domain: domain.Name, Region: domain.Region, Index: t.claim.Index}
	s.UsableFrom, s.UsableUntil = t.claim.UsableFrom, t.claim.UsableUntil
	s.FirstClaim = t.claim.FirstClaim
	return s.At(now)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// upstreamsOf returns the upstreams, in memory that the next call uses again.
func upstreamsOf(t *tables, now time.Time) []routing.Upstream {
	upstreams := t.publishing.upstreams[:0]
	budget := regionBudget{tables: t, now: now}
	uninformedSince := t.reports.uninformedSince()
	for _, row := range t.sortedUpstreams {
		cold := now.Before(row.coldUntil)
		id := row.instance.ID
		_, drained := t.config.Drains[id]
		drained = drained || row.instance.State == external.InstanceDraining
		requestRate, limited := budget.requestRate(row)
		isBrittle := row.counters.Brittle()
		var places, sharers int
		if isBrittle {
			places, sharers = budget.places(row)
		}
		upstreams = append(upstreams, routing.Upstream{
			ID:             id,
			Address:        row.instance.Address,
			Region:         row.instance.Region,
			FailureDomain:  row.instance.FailureDomain,
			Role:           row.instance.Role,
			Targets:        targetsOf(row),
			ListedTargets:  row.instance.Models,
			Draining:       drained || row.counters.SaysLeaving(),
			ListedDraining: drained,
			Down:           now.Before(row.downUntil) || row.awaitsHealthCheck,
			StartedAt:      row.instance.StartedAtUnixMilli,
			Version:        row.instance.Version,
			MaxConcurrency: row.instance.MaxConcurrency,
			CachesPrompts:  row.instance.CachesPrompts,
			Evacuated:      evacuated(t, row),
			Cold:           cold,
			ColdUntil:      row.coldUntil,
			OwnColdUntil:   row.ownColdUntil,
			ColdRateLimit:  budget.coldLimit(row, cold),
			MayBecomeCold:  budget.mayBecomeCold(row),
			ColdTime:       budget.coldTime(row),

			UninformedSince: uninformedSince,
			GoneAt:          unixNano(row.goneAt),

			Brittle:      isBrittle,
			Places:       places,
			PlaceSharers: sharers,
			RateLimited:  limited,
			RequestRate:  requestRate,
			Load:         row.load,
			Counters:     row.counters,
		})
	}
	return upstreams
}

// unixNano returns the time in Unix nanoseconds; 0 for the zero time.
func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func targetsOf(row *upstreamRow) []string {
	if row.instance.Role == external.RoleService {
		return row.service
	}
	if row.loaded != nil {
		return row.loaded
	}
	return row.instance.Models
}

func peersOf(t *tables) []routing.Peer {
	peers := make([]routing.Peer, 0, t.members.Count())
	t.members.Each(func(m *membership.Member) {
		row := t.peerRow(m.ID)
		_, drained := t.config.Drains[m.ID]
		peers = append(peers, routing.Peer{
			ID:              m.ID,
			Region:          m.Region,
			FailureDomain:   m.FailureDomain,
			PeerAddress:     m.PeerAddress,
			CallerURL:       m.CallerURL,
			OperatorURL:     m.OperatorURL,
			Incarnation:     m.Incarnation,
			Draining:        m.Draining || drained || t.listedInstances[m.ID].State == external.InstanceDraining,
			Suspect:         m.Suspect,
			LastHeard:       m.LastHeard,
			HeardDirectly:   m.LastHeardDirectly,
			ConfigRevision:  m.ConfigRevision,
			Slot:            m.Slot,
			ConfigConfirmed: t.confirmations[m.ID].at,
			RegionStatus:    row.status,
			Services:        row.services,
			Demands:         row.demands,
			AcceptsKeys:     row.acceptsKeys,
			Counters:        row.counters,
		})
	})
	return peers
}

// peerRow returns the row of a peer, and creates it if needed: a member known only
// through gossip has none yet.
func (t *tables) peerRow(id string) *peerRow {
	row, ok := t.peers[id]
	if !ok {
		row = &peerRow{counters: &routing.Counters{}}
		t.peers[id] = row
	}
	return row
}

func entryContacts(entries map[string]external.Instance) []membership.Contact {
	contacts := make([]membership.Contact, 0, len(entries))
	for _, i := range entries {
		contacts = append(contacts, membership.Contact{Region: i.Region, FailureDomain: i.FailureDomain, PeerAddress: i.Address})
	}
	return contacts
}
