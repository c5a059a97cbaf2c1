package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// otherDomains is the number of other failure domains that hear from an instance
// in each round.
const otherDomains = 2

// The members of other failure domains are picked from a part of the fleet that is
// fixed for each instance, so that their connections, idle ones of which close after
// 90 s, are used again. Picks from 142 failure domains made a new connection nearly
// every time, and 180 open ones with a ping every 2 s on each.
const (
	poolDomains = 4
	poolMembers = 4
	// exploreOneIn is the number of rounds of which one picks from the whole fleet, so
	// that separate parts of the fleet meet.
	exploreOneIn = 32
)

// Contact is the address of a member or of an instance that may be one.
type Contact struct {
	FailureDomain string
	PeerAddress   string
}

// View is what the choice of heartbeat targets depends on.
type View struct {
	// Self is this instance.
	Self Contact
	// Live are the members, without this instance.
	Live []Contact
	// Listed are the entry instances of the platform's instance list.
	Listed []Contact
	// Former are members that were dropped.
	Former []Contact
	// Seeds are peer addresses of the settings.
	Seeds []string
	// Whole lets a small fleet send to every live or listed member, so that shares of rates
	// follow demand, and a restarted member knows the others, within one round.
	Whole bool
}

// SmallFleet is the number of members up to which View.Whole has an effect. At twice as
// many, heartbeats to all of them would take half of the 2 KB/s that control may use.
const SmallFleet = 16

// best returns the n elements of s with the highest rendezvous weight for key.
func best(s []string, key string, n int) []string {
	slices.SortFunc(s, func(a, b string) int { return byScore(key, a, b) })
	return s[:min(len(s), n)]
}

// Targets returns the addresses that get a heartbeat in this round: the members and
// listed instances of the own failure domain, one of each of two other failure domains
// out of the few that this instance mostly picks from, and
// the seeds until a member is known. While no other failure domain is heard from, one
// seed is tried in each round, so that a partition heals without an instance list.
func Targets(v View, rng *rand.Rand) []string {
	targets := map[string]struct{}{}
	others := map[string][]string{}
	add := func(contacts []Contact, fallback bool) {
		fresh := map[string][]string{}
		for _, c := range contacts {
			if c.FailureDomain == v.Self.FailureDomain {
				targets[c.PeerAddress] = struct{}{}
			} else if !fallback || others[c.FailureDomain] == nil {
				fresh[c.FailureDomain] = append(fresh[c.FailureDomain], c.PeerAddress)
			}
		}
		maps.Copy(others, fresh)
	}
	add(v.Live, false)
	heardOthers := len(others) > 0
	add(v.Listed, true)
	add(sample(v.Former, rng, 1), true)
	domains := slices.Sorted(maps.Keys(others))
	if heardOthers && rng.IntN(exploreOneIn) > 0 {
		domains = best(domains, v.Self.PeerAddress, poolDomains)
		for _, domain := range domains {
			others[domain] = best(others[domain], v.Self.PeerAddress, poolMembers)
		}
	}
	for _, domain := range sample(domains, rng, otherDomains) {
		targets[sample(others[domain], rng, 1)[0]] = struct{}{}
	}
	for _, seed := range seedsOf(v, heardOthers, rng) {
		targets[seed] = struct{}{}
	}
	if v.Whole && max(len(v.Live), len(v.Listed)) <= SmallFleet {
		for _, c := range slices.Concat(v.Live, v.Listed) {
			targets[c.PeerAddress] = struct{}{}
		}
	}
	delete(targets, v.Self.PeerAddress)
	return slices.Sorted(maps.Keys(targets))
}

func seedsOf(v View, heardOthers bool, rng *rand.Rand) []string {
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
