package control

import (
	"maps"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/quota"
	"heatherloom/internal/routing"
)

// buildSnapshot copies the tables into an immutable snapshot.
func buildSnapshot(t *tables, now time.Time) *routing.Snapshot {
	s := &routing.Snapshot{
		SelfID:        t.identity.ID,
		Region:        t.identity.Region,
		FailureDomain: t.identity.FailureDomain,
		Config:        t.config,
		ConfigDeltas:  t.history.deltas,
		Inactive:      t.inactive,
		Ready:         t.ready(now),
		Draining:      t.draining,
		Published:     now,
		Splits:        splitsOf(t),
		Moves:         t.rollouts.list(),
		Stops:         t.rollouts.stopList(),
		Samples:       maps.Clone(t.rollouts.samples),
		Upstreams:     upstreamsOf(t, now),
		Peers:         peersOf(t),
		Quarantined:   t.crashes.Quarantined(),
		SharedCrashes: t.crashes.Shared(now),
		Listed:        t.listed,
		Former:        contactsOf(t.members.Former()),
		Slots:         slotsOf(t, now),
	}
	if !t.confirmed.IsZero() {
		s.ConfigConfirmed = t.confirmed
		s.ConfigAge = now.Sub(t.confirmed)
	}
	last := t.confirmed
	if !t.identity.StrictIsolation {
		last = latest(t.confirmed, t.contacted)
	}
	switch {
	case !last.IsZero():
		s.ConfigValidUntil = last.Add(t.identity.MaxIsolation)
	case t.identity.StrictIsolation && t.config.Revision > 0:
		// A configuration from a peer that nothing has confirmed may be of any age.
		s.ConfigValidUntil = t.configured.Add(-time.Nanosecond)
	}
	s.Demand, s.DemandAge = demandOf(t, s.Peers, now)
	s.InstanceCount = 1 + max(len(s.Peers), len(t.entries))
	s.Rollouts = versionSplits(t, s.InstanceCount)
	s.Orders = t.orders
	s.Index()
	return s
}

// slotGrace bounds how long a starting instance waits for a slot. Without one it
// lives on loans, as in a domain that has more instances than slots.
const slotGrace = 5 * time.Second

// ready reports whether the instance can serve: it has a configuration, and a slot
// whose rates it may use. Before that it would refuse requests within their rate.
func (t *tables) ready(now time.Time) bool {
	if t.config.Revision == 0 {
		return false
	}
	if t.claim.Held && !now.Before(t.claim.Since) {
		t.served = true
	}
	hasSlots := t.config.Domains[t.identity.FailureDomain].Slots > 0
	return t.served || !hasSlots || now.Sub(t.configured) > slotGrace
}

// slotsOf returns the division of the rates with the own slot. A slot that the
// configuration no longer has is not used.
func slotsOf(t *tables, now time.Time) quota.View {
	v := quota.View{Division: t.division}
	domain := t.config.Domains[t.identity.FailureDomain]
	if !t.claim.Held || t.claim.Index >= domain.Slots {
		return v
	}
	v.Held = true
	v.Own = quota.Slot{Domain: domain.Name, Region: domain.Region, Index: t.claim.Index}
	v.Since, v.Until = t.claim.Since, t.claim.Until
	v.FirstClaim = t.claim.FirstClaim
	return v.At(now)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func upstreamsOf(t *tables, now time.Time) []routing.Upstream {
	upstreams := make([]routing.Upstream, 0, len(t.ordered))
	part := coldPart{tables: t}
	for _, row := range t.ordered {
		cold := now.Before(row.coldUntil)
		id := row.instance.ID
		_, leaving := t.config.Leaving[id]
		upstreams = append(upstreams, routing.Upstream{
			ID:            id,
			Address:       row.instance.Address,
			Region:        row.instance.Region,
			FailureDomain: row.instance.FailureDomain,
			Role:          row.instance.Role,
			Targets:       targetsOf(row),
			Listed:        row.instance.Models,
			Leaving:       leaving || row.instance.State == external.InstanceLeaving,
			Down:          now.Before(row.downUntil) || row.awaitsProbe,
			Version:       row.instance.Version,
			Slots:         row.instance.Slots,
			Engine:        row.instance.Engine,
			Evacuated:     evacuated(t, row),
			Cold:          cold,
			ColdUntil:     row.coldUntil,
			ColdSends:     part.sends(row, cold),
			Load:          row.load,
			Counters:      row.counters,
		})
	}
	return upstreams
}

func targetsOf(row *upstreamRow) []string {
	if row.instance.Role == external.RoleService {
		return []string{row.instance.Service}
	}
	if row.loaded != nil {
		return row.loaded
	}
	return row.instance.Models
}

func peersOf(t *tables) []routing.Peer {
	live := t.members.Live()
	peers := make([]routing.Peer, 0, len(live))
	for _, m := range live {
		_, leaving := t.config.Leaving[m.ID]
		peers = append(peers, routing.Peer{
			ID:             m.ID,
			Region:         m.Region,
			FailureDomain:  m.FailureDomain,
			PeerAddress:    m.PeerAddress,
			CallerURL:      m.CallerURL,
			OperatorURL:    m.OperatorURL,
			Incarnation:    m.Incarnation,
			Draining:       m.Draining || leaving || t.entries[m.ID].State == external.InstanceLeaving,
			Suspect:        m.Suspect,
			LastHeard:      m.LastHeard,
			HeardDirectly:  m.Direct,
			ConfigRevision: m.ConfigRevision,
			Slot:           m.Slot,
			Confirmed:      t.confirmations[m.ID].at,
			Remote:         t.linkTo(m.ID).remote,
			Services:       t.linkTo(m.ID).services,
			Serving:        t.linkTo(m.ID).serving,
			Counters:       t.linkTo(m.ID).counters,
		})
	}
	return peers
}

// linkTo returns the row of a peer, also of one that only others heard from.
func (t *tables) linkTo(id string) *linkRow {
	row, ok := t.links[id]
	if !ok {
		row = &linkRow{counters: &routing.Counters{}}
		t.links[id] = row
	}
	return row
}

func listedOf(entries map[string]external.Instance) []membership.Contact {
	contacts := make([]membership.Contact, 0, len(entries))
	for _, i := range entries {
		contacts = append(contacts, membership.Contact{FailureDomain: i.FailureDomain, PeerAddress: i.Address})
	}
	return contacts
}

func contactsOf(members []membership.Member) []membership.Contact {
	contacts := make([]membership.Contact, 0, len(members))
	for _, m := range members {
		contacts = append(contacts, membership.Contact{FailureDomain: m.FailureDomain, PeerAddress: m.PeerAddress})
	}
	return contacts
}
