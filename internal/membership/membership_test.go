package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func members(n int, domain, region string) []Member {
	var all []Member
	for i := range n {
		all = append(all, Member{ID: fmt.Sprintf("%s-%d", domain, i), FailureDomain: domain, Region: region})
	}
	return all
}

// Guards against moving keys between the remaining members when one leaves, and against
// an uneven distribution of keys.
func TestOwnerMovesOnlyTheKeysOfALeavingMember(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	counts := map[string]int{}
	for i := range 10_000 {
		key := fmt.Sprint("account-", i)
		before, after := Owner(key, ids), Owner(key, ids[:4])
		counts[before]++
		if before != "e" && before != after {
			t.Fatalf("%s moved from %s to %s", key, before, after)
		}
	}
	for id, n := range counts {
		if n < 1800 || n > 2200 {
			t.Errorf("%s owns %d of 10000 keys, want about 2000", id, n)
		}
	}
}

// Guards against two members with the same rank for a key, and against a first one that does not own the key.
func TestRanksOfAllMembersDiffer(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	for i := range 100 {
		key := fmt.Sprint("upstream-", i)
		ranks := make([]int, len(ids))
		for k, id := range ids {
			ranks[k] = Rank(key, id, ids)
		}
		if ids[slices.Index(ranks, 0)] != Owner(key, ids) {
			t.Errorf("%s is owned by %s, the ranks are %v", key, Owner(key, ids), ranks)
		}
		slices.Sort(ranks)
		if !slices.Equal(ranks, []int{0, 1, 2, 3, 4}) {
			t.Errorf("the ranks for %s are %v", key, ranks)
		}
	}
}

// Guards against a failure domain with no watchers or more than two, and against a choice
// that depends on the order of the members.
func TestWatchersAreTheSameTwoLiveMembers(t *testing.T) {
	all := append(members(7, "hobart-1", "hobart"), members(7, "burnie-1", "burnie")...)
	want := Watchers("hobart-1", all)
	slices.Reverse(all)
	if got := Watchers("hobart-1", all); len(got) != 2 || !slices.Equal(got, want) {
		t.Fatalf("watchers are %v and %v", got, want)
	}
	for i := range all {
		all[i].Suspect = all[i].ID == want[0]
	}
	if got := Watchers("hobart-1", all); len(got) != 2 || got[0] != want[1] {
		t.Errorf("after %s became suspect the watchers are %v, want %s first", want[0], got, want[1])
	}
}

// Guards against sending clients to draining instances or to another region first, and
// against sending all client accounts to the same instance.
func TestEntriesPreferTheOwnRegion(t *testing.T) {
	all := append(members(5, "burnie-1", "burnie"), members(6, "hobart-1", "hobart")...)
	all[5].Draining = true
	first := map[string]bool{}
	for i := range 100 {
		got := Entries(fmt.Sprint("account-", i), "hobart", nil, all)
		if len(got) != MaxEntries || got[4].Region != "hobart" || got[5].Region != "burnie" {
			t.Fatalf("entries are %v", got)
		}
		if slices.ContainsFunc(got, func(m Member) bool { return m.Draining }) {
			t.Fatal("a draining instance is listed")
		}
		first[got[0].ID] = true
	}
	if len(first) != 5 {
		t.Errorf("client accounts start at %d instances, want 5", len(first))
	}
}

// Guards against accepting late messages from an ended process, against keeping a member
// that sends nothing, and against gossip that keeps a dead member alive.
func TestTableExpiryAndIncarnations(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	table := NewTable()
	a := Member{ID: "a", Incarnation: 5}
	expect := func(got, want Outcome) {
		t.Helper()
		if got != want {
			t.Errorf("outcome is %v, want %v", got, want)
		}
	}
	expect(table.RecordHeartbeat(at(0), a), Joined)
	table.Expire(at(3.1))
	if live := table.Live(); len(live) != 1 || !live[0].Suspect {
		t.Errorf("after 3.1 s the members are %v, want a suspect one", live)
	}
	expect(table.RecordGossip(at(3.2), at(2), a), Known)
	table.Expire(at(3.2))
	if live := table.Live(); live[0].Suspect || !live[0].LastHeardDirectly.Equal(at(0)) {
		t.Errorf("after gossip the member is %v", live[0])
	}
	table.Expire(at(7.1))
	expect(table.RecordGossip(at(7.1), at(2), a), Known)
	if len(table.Live()) != 0 || len(table.Former()) != 1 {
		t.Error("the member was not dropped after its last message, or gossip restored it")
	}
	expect(table.RecordHeartbeat(at(8), Member{ID: "a", Incarnation: 4}), Outdated)
	expect(table.RecordHeartbeat(at(8), Member{ID: "a", Incarnation: 6}), Restarted)
	expect(table.RecordGossip(at(9), at(8.5), a), Outdated)
}

// Guards against a failure domain that gets no heartbeats, against more heartbeats than
// the budget allows, and against a partition that never heals.
func TestTargets(t *testing.T) {
	contacts := func(domain string, n int) []Contact {
		var all []Contact
		for i := range n {
			all = append(all, Contact{FailureDomain: domain, PeerAddress: fmt.Sprintf("%s:%d", domain, i)})
		}
		return all
	}
	rng := rand.New(rand.NewPCG(1, 2))
	v := View{Self: Contact{FailureDomain: "a", PeerAddress: "a:0"}, Seeds: []string{"s:1", "s:2"}}
	if got := HeartbeatTargets(v, rng); len(got) != 2 {
		t.Errorf("with no member the targets are %v, want both seeds", got)
	}
	v.Live = contacts("a", 3)
	if got := HeartbeatTargets(v, rng); len(got) != 3 {
		t.Errorf("without other failure domains the targets are %v, want two members and one seed", got)
	}
	v.Live = append(v.Live, append(contacts("b", 4), contacts("c", 4)...)...)
	v.Listed = append(contacts("d", 4), contacts("a", 5)...)
	seen := map[string]bool{}
	for range 200 {
		got := HeartbeatTargets(v, rng)
		if len(got) != 6 || slices.Contains(got, "a:0") {
			t.Fatalf("targets are %v, want four of the local domain and two others", got)
		}
		for _, address := range got {
			seen[address] = true
		}
	}
	if len(seen) != 4+12 {
		t.Errorf("%d addresses were reached, want 16", len(seen))
	}
	var large []Contact
	for i := range 141 {
		large = append(large, contacts(fmt.Sprint("far-", i), 7)...)
	}
	v, seen = View{Self: v.Self, Live: large}, map[string]bool{}
	for range 1000 {
		for _, address := range HeartbeatTargets(v, rng) {
			seen[address] = true
		}
	}
	if n := len(seen); n < 30 || n > 110 {
		t.Errorf("1000 rounds in a large fleet reached %d addresses, want the pool of 16 and about 62 others", n)
	}
}

// Guards against sending traffic past the instances that hold a slot of the client
// account, and against preferring such an instance in another region to the local region.
func TestEntriesPreferHoldersOfTheAccountsSlots(t *testing.T) {
	all := append(members(3, "burnie-1", "burnie"), members(5, "hobart-1", "hobart")...)
	for i := range all {
		all[i].Slot = fmt.Sprint("slot/", i)
	}
	for i := range 20 {
		got := Entries(fmt.Sprint("account-", i), "hobart", []string{"slot/0", "slot/6"}, all)
		if got[0].Slot != "slot/6" || got[4].Region != "hobart" || got[5].Slot != "slot/0" {
			t.Fatalf("entries are %v", got)
		}
	}
}

// Guards against a restarted member of a small fleet that needs several rounds to learn of
// all others, and against heartbeats to all members of a large fleet.
func TestTargetsOfASmallFleetAreAllMembers(t *testing.T) {
	contacts := func(n int) []Contact {
		var list []Contact
		for i := range n {
			list = append(list, Contact{FailureDomain: fmt.Sprint("d", i%3), PeerAddress: fmt.Sprint("p", i)})
		}
		return list
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		name         string
		live, listed int
		all          bool
	}{{"restarted", 0, 8, true}, {"settled", 8, 8, true}, {"large", 60, 60, false}} {
		view := View{Self: Contact{FailureDomain: "d0", PeerAddress: "self"}, Live: contacts(c.live), Listed: contacts(c.listed), AllowFullMesh: true}
		if got := len(HeartbeatTargets(view, rng)); (got == max(c.live, c.listed)) != c.all {
			t.Errorf("%s: %d targets", c.name, got)
		}
	}
}

// Guards against members that are left out, or listed twice, after others joined and were dropped.
func TestEachVisitsTheLiveMembersInOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	table, now := NewTable(), time.Unix(1000, 0)
	heard := map[string]time.Time{}
	for range 2000 {
		now = now.Add(time.Duration(rng.IntN(600)) * time.Millisecond)
		id := fmt.Sprint("m", rng.IntN(20))
		table.RecordHeartbeat(now, Member{ID: id, Incarnation: 1})
		heard[id] = now
		table.Expire(now)
		maps.DeleteFunc(heard, func(_ string, at time.Time) bool { return now.Sub(at) > DropAfter })
		var ids []string
		table.Each(func(m *Member) { ids = append(ids, m.ID) })
		if want := slices.Sorted(maps.Keys(heard)); !slices.Equal(ids, want) {
			t.Fatalf("the members are %v, want %v", ids, want)
		}
	}
}
