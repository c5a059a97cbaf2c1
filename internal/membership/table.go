package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SuspectAfter is the time without a message after which a member is suspect.
	SuspectAfter = 3 * time.Second
	// DropAfter is the time without a message after which a member is dropped.
	DropAfter = 5 * time.Second
	// formerRetention is how long a dropped member is remembered. Its incarnation is used
	// to reject late messages from an ended process, and its address lets two sides of a
	// partition reconnect. It exceeds the longest isolation during which requests are
	// served.
	formerRetention = 2 * time.Hour
)

// Member is an entry instance, as announced by itself.
type Member struct {
	ID            string
	Region        string
	FailureDomain string
	PeerAddress   string
	CallerURL     string
	OperatorURL   string
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation    int64
	ConfigRevision int64
	Draining       bool
	// Slot is the id of the slot that the member holds, as domain/index; empty for none.
	Slot string
	// Suspect is true if no message came from the member for more than SuspectAfter.
	Suspect bool
	// LastHeard is when the member last sent a message to this instance or to a member
	// that reported it, by the local clock.
	LastHeard time.Time
	// LastHeardDirectly is when this instance itself last received a message from the
	// member; zero if it never did.
	LastHeardDirectly time.Time
}

// Outcome classifies a message by what it shows about a member.
type Outcome int

// The outcomes of a message.
const (
	// Known means that the process was already known, or that gossip about it was ignored.
	Known Outcome = iota
	// Joined means that no process with this id was known.
	Joined
	// Restarted means that a newer process was seen, so the known one has ended.
	Restarted
	// Outdated means that the message concerns a process that has ended.
	Outdated
)

// Table holds the live and former members. It is not safe for concurrent use.
type Table struct {
	live   map[string]*Member
	former map[string]Member
	// sorted holds the live members by id.
	sorted []*Member
	// byNewsID holds the ids of the live and former members by NewsID.
	byNewsID map[uint32]string
	// changes counts the changes of which members are live, and in which regions.
	changes uint64
}

// Changes returns a number that differs from an earlier one if since then a member joined, was dropped
// or moved to another region, or a former one was forgotten.
func (t *Table) Changes() uint64 { return t.changes }

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{live: map[string]*Member{}, former: map[string]Member{}, byNewsID: map[uint32]string{}}
}

// RecordHeartbeat records a message that came from the member itself.
func (t *Table) RecordHeartbeat(now time.Time, m Member) Outcome {
	m.LastHeard, m.LastHeardDirectly = now, now
	return t.record(m)
}

// RecordGossip records that another member received a message from m at the given time. It
// ignores reports older than DropAfter and those that do not advance LastHeard.
func (t *Table) RecordGossip(now, heard time.Time, m Member) Outcome {
	row, ok := t.live[m.ID]
	if now.Sub(heard) > DropAfter || (ok && m.Incarnation == row.Incarnation && !heard.After(row.LastHeard)) {
		return Known
	}
	m.LastHeard, m.LastHeardDirectly = heard, time.Time{}
	if ok && m.Incarnation == row.Incarnation {
		m.LastHeardDirectly = row.LastHeardDirectly
		m.ConfigRevision = max(m.ConfigRevision, row.ConfigRevision)
	}
	return t.record(m)
}

// NewsID identifies a process of a member in News.
func NewsID(id string, incarnation int64) uint32 {
	return uint32(xxhash.Sum64String(id) ^ uint64(incarnation)*newsIDFactor>>newsIDShift)
}

const (
	newsIDFactor = 0x9e3779b97f4a7c15
	newsIDShift  = 29
)

// News is what another member last heard of a member, directly or from others.
type News struct {
	// Member is the NewsID of the member.
	Member uint32
	// Heard is when the member itself sent its last message, by the local clock.
	Heard    time.Time
	Draining bool
}

// RecordNews records news of a live or former member. It ignores those that are older than DropAfter or than what
// is known, so that news never keep a member that sends no messages. It returns the member, for which the news
// count, and whether more than the time at which it was heard from changed; nil if the news are ignored.
func (t *Table) RecordNews(now time.Time, n News) (m *Member, changed bool) {
	id, known := t.byNewsID[n.Member]
	if !known || now.Sub(n.Heard) > DropAfter {
		return nil, false
	}
	row, live := t.live[id]
	if !live {
		former := t.former[id]
		row = &former
	}
	if !n.Heard.After(row.LastHeard) {
		return nil, false
	}
	changed = !live || row.Suspect || row.Draining != n.Draining
	row.LastHeard, row.Suspect, row.Draining = n.Heard, false, n.Draining
	if !live {
		t.record(*row)
	}
	return t.live[id], changed
}

func (t *Table) record(m Member) Outcome {
	row, live := t.live[m.ID]
	former, ended := t.former[m.ID]
	incarnation, known := former.Incarnation, ended
	if live {
		incarnation, known = row.Incarnation, true
	}
	if known && m.Incarnation < incarnation {
		return Outdated
	}
	delete(t.former, m.ID)
	m.Suspect = false
	if live {
		if row.Region != m.Region {
			t.changes++
		}
		*row = m
	} else {
		t.live[m.ID] = &m
		at, _ := t.search(m.ID)
		t.sorted = slices.Insert(t.sorted, at, &m)
		t.changes++
	}
	if known && m.Incarnation > incarnation {
		delete(t.byNewsID, NewsID(m.ID, incarnation))
	}
	if !known || m.Incarnation > incarnation {
		t.byNewsID[NewsID(m.ID, m.Incarnation)] = m.ID
	}
	switch {
	case !known:
		return Joined
	case m.Incarnation > incarnation:
		return Restarted
	default:
		return Known
	}
}

// Expire updates which members are suspect, drops those that exceeded DropAfter, and
// forgets former members after formerRetention. It reports whether a member became suspect.
func (t *Table) Expire(now time.Time) (suspected bool) {
	for id, m := range t.live {
		silence := now.Sub(m.LastHeard)
		if silence > DropAfter {
			delete(t.live, id)
			t.former[id] = *m
			at, _ := t.search(id)
			t.sorted = slices.Delete(t.sorted, at, at+1)
			t.changes++
			continue
		}
		suspect := silence > SuspectAfter
		suspected = suspected || (suspect && !m.Suspect)
		m.Suspect = suspect
	}
	for id, m := range t.former {
		if now.Sub(m.LastHeard) > formerRetention {
			delete(t.former, id)
			delete(t.byNewsID, NewsID(m.ID, m.Incarnation))
			t.changes++
		}
	}
	return suspected
}

// Get returns the live member with the given id; live is false if there is none.
func (t *Table) Get(id string) (m Member, live bool) {
	if row, ok := t.live[id]; ok {
		return *row, true
	}
	return Member{}, false
}

// Each calls fn for each live member, sorted by id. fn must neither keep nor change the member.
func (t *Table) Each(fn func(*Member)) {
	for _, m := range t.sorted {
		fn(m)
	}
}

// search returns the position of a live member in sorted, or that at which one with the id belongs.
func (t *Table) search(id string) (at int, found bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(m *Member, id string) int { return strings.Compare(m.ID, id) })
}

// Count returns the number of live members.
func (t *Table) Count() int { return len(t.live) }

// Live returns the live members sorted by id.
func (t *Table) Live() []Member {
	members := make([]Member, 0, len(t.live))
	t.Each(func(m *Member) { members = append(members, *m) })
	return members
}

// Former returns where the dropped members were, sorted by address.
func (t *Table) Former() []Contact {
	contacts := make([]Contact, 0, len(t.former))
	for _, m := range t.former {
		contacts = append(contacts, Contact{FailureDomain: m.FailureDomain, PeerAddress: m.PeerAddress})
	}
	slices.SortFunc(contacts, func(a, b Contact) int {
		return cmp.Or(strings.Compare(a.PeerAddress, b.PeerAddress), strings.Compare(a.FailureDomain, b.FailureDomain))
	})
	return contacts
}
