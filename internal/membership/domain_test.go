package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simulatedStep  = 50 * time.Millisecond
	simulatedRound = time.Second
	checkInterval  = 250 * time.Millisecond
	// settleTime is the time in which members that start together learn of each other.
	settleTime = 10 * time.Second
)

// simulatedDomain is a failure domain whose members send heartbeats, and pass on with the responses what they heard.
type simulatedDomain struct {
	rng     *rand.Rand
	now     time.Time
	listed  []Contact
	members []*simulatedMember
	// loss is the share of heartbeats that are lost.
	loss float64
	// sent is the number of heartbeats.
	sent int
}

type simulatedMember struct {
	Member
	table     *Table
	nextRound time.Time
	dead      bool
}

func newSimulatedDomain(seed uint64, members int) *simulatedDomain {
	d := &simulatedDomain{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	for i := range members {
		m := Member{ID: fmt.Sprint("m", i), Region: "r", FailureDomain: "d", PeerAddress: fmt.Sprint("m", i), Incarnation: int64(i) + 1}
		d.members = append(d.members, &simulatedMember{Member: m, table: NewTable(), nextRound: d.now.Add(d.phase())})
		d.listed = append(d.listed, Contact{FailureDomain: "d", PeerAddress: m.PeerAddress})
	}
	return d
}

func (d *simulatedDomain) phase() time.Duration {
	return time.Duration(d.rng.Int64N(int64(simulatedRound)))
}

func (d *simulatedDomain) collectors(m *simulatedMember) []string {
	return Watchers("d", append(m.table.Live(), m.Member))
}

func (d *simulatedDomain) view(m *simulatedMember) View {
	v := View{Self: Contact{FailureDomain: "d", PeerAddress: m.PeerAddress}, Listed: d.listed, Collectors: d.collectors(m)}
	for _, other := range m.table.Live() {
		v.Live = append(v.Live, Contact{FailureDomain: "d", PeerAddress: other.PeerAddress, Heard: !other.LastHeardDirectly.IsZero()})
	}
	return v
}

func (d *simulatedDomain) run(length time.Duration, check func()) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(simulatedStep) {
		for _, m := range d.members {
			if m.dead || d.now.Before(m.nextRound) {
				continue
			}
			m.nextRound = m.nextRound.Add(simulatedRound)
			for _, address := range HeartbeatTargets(d.view(m), d.rng) {
				d.exchange(m, d.members[slices.IndexFunc(d.members, func(o *simulatedMember) bool { return o.PeerAddress == address })])
			}
		}
		for _, m := range d.members {
			m.table.Expire(d.now)
		}
		if check != nil && d.now.UnixMilli()%checkInterval.Milliseconds() == 0 {
			check()
		}
	}
}

func (d *simulatedDomain) exchange(from, to *simulatedMember) {
	d.sent++
	if to.dead || d.rng.Float64() < d.loss {
		return
	}
	to.table.RecordHeartbeat(d.now, from.Member)
	if d.rng.Float64() < d.loss {
		return
	}
	from.table.RecordHeartbeat(d.now, to.Member)
	to.table.Each(func(m *Member) {
		from.table.RecordNews(d.now, News{Member: NewsID(m.ID, m.Incarnation), Heard: m.LastHeard})
	})
}

// mistaken returns how many live members are not known to, or suspected by, a live member.
func (d *simulatedDomain) mistaken() (unknown, suspected int) {
	for _, m := range d.members {
		for _, other := range d.members {
			if m == other || m.dead || other.dead {
				continue
			}
			row, live := m.table.Get(other.ID)
			if !live {
				unknown++
			} else if row.Suspect {
				suspected++
			}
		}
	}
	return unknown, suspected
}

// kill ends a member and returns the longest time in which a member still holds it for live.
func (d *simulatedDomain) kill(t *testing.T, ids ...string) (last time.Duration) {
	t.Helper()
	killed := d.now
	for _, m := range d.members {
		m.dead = m.dead || slices.Contains(ids, m.ID)
	}
	d.run(DropAfter+3*simulatedRound, func() {
		for _, m := range d.members {
			for _, id := range ids {
				if _, live := m.table.Get(id); live && !m.dead {
					last = d.now.Sub(killed)
				}
			}
		}
		if unknown, _ := d.mistaken(); unknown > 0 {
			t.Fatalf("%v after the end of %v, %d live members are not known", d.now.Sub(killed), ids, unknown)
		}
	})
	return last
}

// Guards against live members of a large failure domain that are suspected or dropped because only a few members
// send heartbeats to each other, against more heartbeats than a small domain sends, and against dead members that
// news keep alive.
func TestMembersOfALargeDomainKnowWhoIsLive(t *testing.T) {
	const heartbeatsPerRound = 7
	for _, members := range []int{18, 50, 150} {
		for _, loss := range []float64{0, 0.1} {
			t.Run(fmt.Sprintf("members=%d/loss=%v", members, loss), func(t *testing.T) {
				d := newSimulatedDomain(uint64(members), members)
				for d.run(settleTime, nil); ; d.run(simulatedRound, nil) {
					if unknown, _ := d.mistaken(); unknown == 0 {
						break
					}
					if d.now.Sub(time.Unix(1000, 0)) > 3*settleTime {
						t.Fatal("the members do not know each other")
					}
				}
				d.loss, d.sent = loss, 0
				suspected, checks := 0, 0
				length := 30 * time.Second * 18 / time.Duration(members)
				d.run(length, func() {
					unknown, s := d.mistaken()
					suspected, checks = suspected+s, checks+members*(members-1)
					if unknown > 0 {
						t.Fatalf("%d live members are not known", unknown)
					}
				})
				if share := float64(suspected) / float64(checks); share > loss/100 {
					t.Errorf("the share of live members that are suspected is %v", share)
				}
				if rate := float64(d.sent) / float64(members) / length.Seconds(); rate > heartbeatsPerRound {
					t.Errorf("%v heartbeats a member and round, want at most %d", rate, heartbeatsPerRound)
				}
				limit := DropAfter + simulatedRound
				if last := d.kill(t, "m7"); last > limit {
					t.Errorf("a dead member counts as live for %v, want at most %v", last, limit)
				}
				if last := d.kill(t, d.collectors(d.members[0])...); last > limit {
					t.Errorf("dead collectors count as live for %v, want at most %v", last, limit)
				}
			})
		}
	}
}

// Guards against a member that returns after a pause and learns of the others one by one.
func TestAMemberThatWasSilentKnowsTheOthersWithinARound(t *testing.T) {
	d := newSimulatedDomain(1, 50)
	d.run(settleTime, nil)
	m := d.members[3]
	m.table.Expire(d.now.Add(DropAfter + time.Second))
	if live := m.table.Count(); live != 0 {
		t.Fatalf("%d members are live after a pause", live)
	}
	d.run(2*simulatedRound, nil)
	if live := m.table.Count(); live != 49 {
		t.Errorf("%d members are live two rounds after a pause, want 49", live)
	}
}

// Guards against news of a process that has ended, old news, and news that bring back a member with other addresses.
func TestNewsConcernOneProcess(t *testing.T) {
	table, now := NewTable(), time.Unix(1000, 0)
	table.RecordHeartbeat(now, Member{ID: "a", Incarnation: 1})
	table.RecordHeartbeat(now, Member{ID: "a", Incarnation: 2})
	for _, c := range []struct {
		name        string
		incarnation int64
		heard       time.Time
		counts      bool
	}{
		{"the former process", 1, now.Add(time.Second), false},
		{"as old as known", 2, now, false},
		{"newer", 2, now.Add(2 * time.Second), true},
		{"a later process", 3, now.Add(3 * time.Second), false},
	} {
		if m, _ := table.RecordNews(now.Add(4*time.Second), News{Member: NewsID("a", c.incarnation), Heard: c.heard}); (m != nil) != c.counts {
			t.Errorf("%s: the news count: %v", c.name, m != nil)
		}
	}
	table.Expire(now.Add(8 * time.Second))
	if m, _ := table.RecordNews(now.Add(8*time.Second), News{Member: NewsID("a", 2), Heard: now.Add(2500 * time.Millisecond)}); m != nil {
		t.Error("news that are older than the time after which a member is dropped brought it back")
	}
	if m, changed := table.RecordNews(now.Add(8*time.Second), News{Member: NewsID("a", 2), Heard: now.Add(7 * time.Second)}); m == nil || !changed {
		t.Error("news of a member that was dropped did not bring it back")
	}
}
