package control

import (
	"slices"

	"heatherloom/internal/membership"
)

// regionInstances are the entry instances of the region among which limits are divided. They are kept
// until a member or the instance list changes.
type regionInstances struct {
	// ids are the live or listed entry instances of the region, including this one, sorted.
	ids []string
	// generation counts the changes of ids; 0 before they were first found.
	generation uint64
	// members and listed are membership.Table.Changes and tables.listedChanges at the last look.
	members, listed uint64
	// found is memory for the next look.
	found []string
}

// regionInstances returns the sorted ids of the region's live or listed entry instances,
// including this one. A listed instance that sends no heartbeats may still send requests.
func (t *tables) regionInstances() []string {
	r := &t.region
	if r.generation > 0 && r.members == t.members.Changes() && r.listed == t.listedChanges {
		return r.ids
	}
	r.members, r.listed = t.members.Changes(), t.listedChanges
	r.found = t.findRegionInstances(r.found[:0])
	if r.generation == 0 || !slices.Equal(r.found, r.ids) {
		r.ids = slices.Clone(r.found)
		r.generation++
	}
	return r.ids
}

// findRegionInstances appends the ids to an empty list.
func (t *tables) findRegionInstances(ids []string) []string {
	ids = append(ids, t.identity.ID)
	t.members.Each(func(m *membership.Member) {
		if m.Region == t.identity.Region {
			ids = append(ids, m.ID)
		}
	})
	for id, entry := range t.listedInstances {
		if entry.Region == t.identity.Region {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// rank returns how many of the region's instances have a higher rendezvous weight for the upstream than
// this one. It is kept until the instances change, because counting it takes a hash for each of them.
func (t *tables) rank(row *upstreamRow) int {
	ids := t.regionInstances()
	if row.rankedAt != t.region.generation {
		row.rank = membership.Rank(row.instance.ID, t.identity.ID, ids)
		row.rankedAt = t.region.generation
	}
	return row.rank
}
