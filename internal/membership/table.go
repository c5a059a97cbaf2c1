package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// SuspectAfter is the silence after which a member is suspect.
	SuspectAfter = 3 * time.Second
	// DropAfter is the silence after which a member is dropped.
	DropAfter = 5 * time.Second
	// formerFor is how long a dropped member is remembered: its incarnation refuses
	// late messages of an ended process, and its address lets two sides of a
	// partition find each other again. It exceeds the longest isolation served.
	formerFor = 2 * time.Hour
)

// Member is an entry instance as it announced itself.
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
	// Slot is the slot that the member holds, as domain/index; empty for none.
	Slot string
	// Suspect members were not heard from for SuspectAfter.
	Suspect bool
	// LastHeard is when this instance or a member that it hears last heard from the
	// member, by the local clock.
	LastHeard time.Time
	// Direct is when this instance itself last heard from the member.
	Direct time.Time
}

// Outcome states what a message showed about a member.
type Outcome int

// The outcomes of a message.
const (
	// Known means that the process was known already.
	Known Outcome = iota
	// Joined means that no process of the id was known.
	Joined
	// Restarted proves that the earlier process of the id has ended.
	Restarted
	// Outdated means that the message is of a process that has ended.
	Outdated
)

// Table holds the members. It is not safe for concurrent use.
type Table struct {
	live   map[string]Member
	former map[string]Member
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{live: map[string]Member{}, former: map[string]Member{}}
}

// Hear records a message that came from the member itself.
func (t *Table) Hear(now time.Time, m Member) Outcome {
	m.LastHeard, m.Direct = now, now
	return t.record(m)
}

// HearOf records that another member heard from m at the given time. It never
// makes a member look more recent than it was heard, and adds none that is silent.
func (t *Table) HearOf(now, heard time.Time, m Member) Outcome {
	row, ok := t.live[m.ID]
	if now.Sub(heard) > DropAfter || (ok && m.Incarnation == row.Incarnation && !heard.After(row.LastHeard)) {
		return Known
	}
	m.LastHeard, m.Direct = heard, time.Time{}
	if ok && m.Incarnation == row.Incarnation {
		m.Direct = row.Direct
		m.ConfigRevision = max(m.ConfigRevision, row.ConfigRevision)
	}
	return t.record(m)
}

func (t *Table) record(m Member) Outcome {
	row, ok := t.live[m.ID]
	if !ok {
		row, ok = t.former[m.ID]
	}
	if ok && m.Incarnation < row.Incarnation {
		return Outdated
	}
	delete(t.former, m.ID)
	m.Suspect = false
	t.live[m.ID] = m
	switch {
	case !ok:
		return Joined
	case m.Incarnation > row.Incarnation:
		return Restarted
	default:
		return Known
	}
}

// Expire marks silent members as suspect and drops those that stay silent.
func (t *Table) Expire(now time.Time) {
	for id, m := range t.live {
		silence := now.Sub(m.LastHeard)
		if silence > DropAfter {
			delete(t.live, id)
			t.former[id] = m
			continue
		}
		m.Suspect = silence > SuspectAfter
		t.live[id] = m
	}
	for id, m := range t.former {
		if now.Sub(m.LastHeard) > formerFor {
			delete(t.former, id)
		}
	}
}

// Live returns the members in the order of their ids.
func (t *Table) Live() []Member { return ordered(t.live) }

// Former returns the dropped members in the order of their ids.
func (t *Table) Former() []Member { return ordered(t.former) }

func ordered(rows map[string]Member) []Member {
	members := make([]Member, 0, len(rows))
	for _, id := range slices.Sorted(maps.Keys(rows)) {
		members = append(members, rows[id])
	}
	return members
}
