// Package membership tracks which entry instances are live (table.go), selects the
// recipients of heartbeats (targets.go) and decides by rendezvous hashing which member owns
// a key, which members watch the key-value service and which entry instances a client
// account should use (assignment.go). It does no I/O and reads no clock.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerDomain is the number of members per failure domain that watch the
// key-value service.
const WatchersPerDomain = 2

// MaxEntries is the maximum number of instances in a response to GET /v1/entries.
const MaxEntries = 8

// weight returns the rendezvous weight of a member for a key. All processes compute the
// same value.
func weight(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// compareWeight orders members by descending weight for key, then by id.
func compareWeight(key, a, b string) int {
	return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
}

// Owner returns the member that owns key by rendezvous hashing, or "" if there are no
// members. When a member joins or leaves, only the keys it owns move.
func Owner(key string, members []string) string {
	if len(members) == 0 {
		return ""
	}
	return slices.MinFunc(members, func(a, b string) int { return compareWeight(key, a, b) })
}

// Rank returns how many members have a higher rendezvous weight for key than member. All processes with the
// same members give each of them a rank of its own.
func Rank(key, member string, members []string) int {
	own, rank := weight(key, member), 0
	for _, m := range members {
		if w := weight(key, m); w > own || (w == own && m < member) {
			rank++
		}
	}
	return rank
}

// Watchers returns the ids of the members of a failure domain that watch the key-value
// service for it. Suspect members are excluded.
func Watchers(domain string, members []Member) []string {
	var ids []string
	for _, m := range members {
		if m.FailureDomain == domain && !m.Suspect {
			ids = append(ids, m.ID)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return compareWeight(domain, a, b) })
	return ids[:min(len(ids), WatchersPerDomain)]
}

// Entries returns the members that a client account should use, in order of preference:
// members of the region first, within a region those that hold one of the account's slots,
// then by rendezvous hash of the account. Draining members are excluded, and at most
// MaxEntries are returned.
func Entries(account, region string, slots []string, members []Member) []Member {
	var live []Member
	for _, m := range members {
		if !m.Draining {
			live = append(live, m)
		}
	}
	slices.SortFunc(live, func(a, b Member) int {
		return cmp.Or(entryRank(region, slots, a)-entryRank(region, slots, b), compareWeight(account, a.ID, b.ID))
	})
	return live[:min(len(live), MaxEntries)]
}

// entryRank ranks m by region and then by whether it holds one of the slots; lower is
// preferred.
func entryRank(region string, slots []string, m Member) int {
	rank := 0
	if m.Region != region {
		rank += 2
	}
	if m.Slot == "" || !slices.Contains(slots, m.Slot) {
		rank++
	}
	return rank
}
