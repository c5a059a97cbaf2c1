package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// remoteDomainsPerRound is the number of other failure domains to which an instance sends
// a heartbeat in each round.
const remoteDomainsPerRound = 2

// Members of other failure domains are picked from a fixed pool per instance, so that
// connections are reused before they are closed after 90 s idle. Picking from 142 failure
// domains opened a new connection nearly every time and kept 180 connections open, each
// with a ping every 2 s.
const (
	poolDomains = 4
	poolMembers = 4
	// exploreEvery sets how often targets are picked from the whole fleet: in one of so
	// many rounds on average, so that disjoint parts of the fleet find each other.
	exploreEvery = 32
)

// In a failure domain of more than MaxDomainMesh members, each one sends heartbeats to the collectors, and to
// domainPartners members that stay the same. A collector hears of all others within one round, and passes on what
// it heard with its responses; the partners do so while both collectors fail.
const (
	// MaxDomainMesh is the number of members up to which all members of a failure domain send
	// heartbeats to each other.
	MaxDomainMesh = 8
	// domainPartners is the number of partners. Four links from each member connect a domain of hundreds within
	// three to four steps.
	domainPartners = 4
	// newMembersPerRound bounds the members that get a heartbeat in a round because this instance never heard
	// from them itself.
	newMembersPerRound = 8
)

// Contact is the failure domain and peer address of a member or a possible member.
type Contact struct {
	// Region is that of the failure domain; empty if it is not known.
	Region        string
	FailureDomain string
	PeerAddress   string
	// Heard is true if this instance itself received a message from the member.
	Heard bool
}

// View is the input for the selection of heartbeat targets.
type View struct {
	// Self is this instance.
	Self Contact
	// Live holds the live members, excluding this instance.
	Live []Contact
	// Listed holds the entry instances of the platform's instance list.
	Listed []Contact
	// Former holds the dropped members.
	Former []Contact
	// Seeds holds the peer addresses from the settings.
	Seeds []string
	// AllowFullMesh makes a fleet of up to MaxFullMeshMembers members send heartbeats to
	// every live or listed member, so that rate shares follow demand and a restarted member
	// learns of all others within one round.
	AllowFullMesh bool
	// Collectors holds the peer addresses of the collectors of the failure domain, this instance included
	// if it is one. If there are none, or with WholeDomain, all members of the domain get a heartbeat.
	Collectors  []string
	WholeDomain bool
}

// MaxFullMeshMembers is the maximum number of members for which View.AllowFullMesh has an
// effect. At twice this number, heartbeats to all members would use half of the 2 KB/s
// budget for control traffic.
const MaxFullMeshMembers = 16

// ByWeight returns the members by descending rendezvous weight for key. All processes with the same members get the
// same order.
func ByWeight(key string, members []string) []string {
	return topByWeight(slices.Clone(members), key, len(members))
}

// topByWeight returns the n elements of s with the highest rendezvous weight for key.
func topByWeight(s []string, key string, n int) []string {
	slices.SortFunc(s, func(a, b string) int { return compareWeight(key, a, b) })
	return s[:min(len(s), n)]
}

// HeartbeatTargets returns the addresses that get a heartbeat in this round:
//   - all live members and listed instances of the local failure domain, or with View.Collectors the
//     collectors, the partners and a few of those that this instance did not hear from yet; in one of 32 rounds
//     on average another one;
//   - one address in each of two other failure domains, from this instance's pool;
//   - in one of 32 rounds on average, or while no other domain is live, the two domains are
//     picked from all known ones, not from the pool;
//   - a domain without live members is represented by its listed instances;
//   - one random former member: sent to directly if it is in the own domain; if not, it
//     stands for its domain when that has no live or listed member;
//   - all seeds while there is no live member;
//   - one seed while no other domain is live, so that a partition heals without a list;
//   - all live members and listed instances of a small fleet, if AllowFullMesh is set.
//
// This instance itself is left out.
func HeartbeatTargets(v View, rng *rand.Rand) []string {
	targets := map[string]struct{}{}
	own := map[string]bool{}
	others := map[string][]string{}
	add := func(contacts []Contact, onlyNewDomains bool) {
		fresh := map[string][]string{}
		for _, c := range contacts {
			if c.FailureDomain == v.Self.FailureDomain {
				own[c.PeerAddress] = own[c.PeerAddress] || c.Heard
			} else if !onlyNewDomains || others[c.FailureDomain] == nil {
				fresh[c.FailureDomain] = append(fresh[c.FailureDomain], c.PeerAddress)
			}
		}
		maps.Copy(others, fresh)
	}
	add(v.Live, false)
	heardOthers := len(others) > 0
	add(v.Listed, true)
	add(sample(v.Former, rng, 1), true)
	for _, address := range domainTargets(v, own, rng) {
		targets[address] = struct{}{}
	}
	domains := slices.Sorted(maps.Keys(others))
	if heardOthers && rng.IntN(exploreEvery) > 0 {
		domains = topByWeight(domains, v.Self.PeerAddress, poolDomains)
		for _, domain := range domains {
			others[domain] = topByWeight(others[domain], v.Self.PeerAddress, poolMembers)
		}
	}
	for _, domain := range sample(domains, rng, remoteDomainsPerRound) {
		targets[sample(others[domain], rng, 1)[0]] = struct{}{}
	}
	for _, seed := range seedTargets(v, heardOthers, rng) {
		targets[seed] = struct{}{}
	}
	if v.AllowFullMesh && max(len(v.Live), len(v.Listed)) <= MaxFullMeshMembers {
		for _, c := range slices.Concat(v.Live, v.Listed) {
			targets[c.PeerAddress] = struct{}{}
		}
	}
	delete(targets, v.Self.PeerAddress)
	return slices.Sorted(maps.Keys(targets))
}

// domainTargets returns which members of the local failure domain get a heartbeat. own holds their addresses, and
// whether this instance heard from them.
func domainTargets(v View, own map[string]bool, rng *rand.Rand) []string {
	delete(own, v.Self.PeerAddress)
	all := slices.Sorted(maps.Keys(own))
	if len(v.Collectors) == 0 || v.WholeDomain || len(all) <= MaxDomainMesh {
		return all
	}
	var unheard []string
	for _, address := range all {
		if !own[address] {
			unheard = append(unheard, address)
		}
	}
	targets := append(sample(unheard, rng, newMembersPerRound), v.Collectors...)
	if rng.IntN(exploreEvery) == 0 {
		targets = append(targets, sample(all, rng, 1)...)
	}
	return append(targets, topByWeight(all, v.Self.PeerAddress, domainPartners)...)
}

func seedTargets(v View, heardOthers bool, rng *rand.Rand) []string {
	if len(v.Live) == 0 {
		return v.Seeds
	}
	if heardOthers {
		return nil
	}
	return sample(v.Seeds, rng, 1)
}

// sample returns up to n random elements of s.
func sample[T any](s []T, rng *rand.Rand, n int) []T {
	chosen := make([]T, 0, n)
	for _, i := range rng.Perm(len(s)) {
		if len(chosen) == n {
			break
		}
		chosen = append(chosen, s[i])
	}
	return chosen
}
