package control

import (
	"slices"
	"strings"
	"time"

	"heatherloom/internal/platform"
	"heatherloom/internal/routing"
)

// buildSnapshot copies the tables into an immutable snapshot.
func buildSnapshot(t *tables, now time.Time) *routing.Snapshot {
	s := &routing.Snapshot{
		SelfID:        t.identity.ID,
		Region:        t.identity.Region,
		FailureDomain: t.identity.FailureDomain,
		Config:        t.config,
		Ready:         t.config.Revision > 0,
		Draining:      t.draining,
		Published:     now,
		Splits:        splitsOf(t),
		Upstreams:     upstreamsOf(t, now),
		Peers:         peersOf(t),
		Quarantined:   t.crashes.Quarantined(),
		SharedCrashes: t.crashes.Shared(now),
	}
	s.Index()
	return s
}

func upstreamsOf(t *tables, now time.Time) []routing.Upstream {
	upstreams := make([]routing.Upstream, 0, len(t.upstreams))
	for id, row := range t.upstreams {
		_, leaving := t.config.Leaving[id]
		upstreams = append(upstreams, routing.Upstream{
			ID:            id,
			Address:       row.instance.Address,
			Region:        row.instance.Region,
			FailureDomain: row.instance.FailureDomain,
			Role:          row.instance.Role,
			Targets:       targetsOf(row.instance),
			Leaving:       leaving || row.instance.State == platform.InstanceLeaving,
			Down:          now.Before(row.downUntil),
			Load:          row.load,
			Counters:      row.counters,
		})
	}
	slices.SortFunc(upstreams, func(a, b routing.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return upstreams
}

func targetsOf(i platform.Instance) []string {
	if i.Role == platform.RoleService {
		return []string{i.Service}
	}
	return i.Models
}

func peersOf(t *tables) []routing.Peer {
	peers := make([]routing.Peer, 0, len(t.members))
	for _, row := range t.members {
		peers = append(peers, row.peer)
	}
	slices.SortFunc(peers, func(a, b routing.Peer) int { return strings.Compare(a.ID, b.ID) })
	return peers
}

func splitsOf(t *tables) map[string]routing.Split {
	splits := make(map[string]routing.Split, len(t.config.Models))
	for name, model := range t.config.Models {
		splits[name] = routing.Split{Running: model.Version}
	}
	return splits
}
