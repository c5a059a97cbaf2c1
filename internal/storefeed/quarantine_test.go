package storefeed

import (
	"testing"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/routing"
)

// Guards against a quarantine that every read of its row extends, and against rows that remain
// in the store for good.
func TestStoredQuarantinesEnd(t *testing.T) {
	v := testView()
	f := quarantine.Fingerprint(7)
	row, _ := fakeDocuments{}.EncodeQuarantine(f)
	row.ModRevision = 5
	v.replace([]external.Entry{row}, start, time.Time{})
	v.replace([]external.Entry{row}, start.Add(time.Minute), time.Time{})
	table := quarantine.NewTable()
	table.SetStored(v.quarantines())
	until := start.Add(quarantine.Duration)
	if got := table.Quarantined()[f]; !got.Equal(until) {
		t.Fatalf("the quarantine ends at %s, want %s", got, until)
	}
	s := &routing.Snapshot{Quarantined: table.Quarantined(), StoredQuarantines: table.Stored()}
	keeper := quarantineKeeper{self: "e", wantedSince: map[quarantineChange]time.Time{}}
	if due := keeper.due(s, until.Add(-time.Second)); len(due) != 0 {
		t.Errorf("changes before the end: %v", due)
	}
	if due := keeper.due(s, until); len(due) != 1 || due[0] != (quarantineChange{f, 5}) {
		t.Errorf("changes after the end: %v, want the deletion of revision 5", due)
	}
	s.StoredQuarantines = map[quarantine.Fingerprint]quarantine.Stored{f: {Until: until}}
	if due := keeper.due(s, start); len(due) != 1 || due[0] != (quarantineChange{fingerprint: f}) {
		t.Errorf("changes after the store lost the row: %v, want a new row", due)
	}
	refuted := &routing.Snapshot{
		StoredQuarantines:  map[quarantine.Fingerprint]quarantine.Stored{f: {Until: until, Revision: 6}},
		RefutedQuarantines: map[quarantine.Fingerprint]struct{}{f: {}},
	}
	if due := keeper.due(refuted, start); len(due) != 1 || due[0] != (quarantineChange{f, 6}) {
		t.Errorf("changes after the quarantine was refuted: %v, want the deletion of revision 6", due)
	}
}

// Guards against all instances writing a quarantine at once, and against one that nobody writes
// because the first in rank fails.
func TestQuarantineIsWrittenByOneInstanceFirst(t *testing.T) {
	ids := []string{"a", "b", "c"}
	for seconds, want := range []int{1, 2, 3} {
		writers := 0
		for _, self := range ids {
			s := &routing.Snapshot{Quarantined: quarantine.Set{7: start.Add(time.Hour)}}
			for _, id := range ids {
				if id != self {
					s.Peers = append(s.Peers, routing.Peer{ID: id})
				}
			}
			keeper := quarantineKeeper{self: self, wantedSince: map[quarantineChange]time.Time{}}
			keeper.due(s, start)
			writers += len(keeper.due(s, start.Add(time.Duration(seconds)*time.Second)))
		}
		if writers != want {
			t.Errorf("%d instances write after %d s, want %d", writers, seconds, want)
		}
	}
}

// Guards against rows of contested quarantines that outlive the evidence, and against none after a restart of all.
func TestContestedQuarantinesAreWrittenLate(t *testing.T) {
	const f = quarantine.Fingerprint(7)
	until := start.Add(quarantine.Duration)
	for _, c := range []struct {
		name       string
		implicated map[quarantine.Fingerprint]bool
		at         time.Duration
		want       int
	}{
		{"contested", map[quarantine.Fingerprint]bool{f: true}, contestedWriteDelay - time.Millisecond, 0},
		{"contested for long", map[quarantine.Fingerprint]bool{f: true}, contestedWriteDelay, 1},
		{"not contested", map[quarantine.Fingerprint]bool{f: false}, time.Second, 1},
		{"a request", nil, time.Second, 1},
	} {
		s := &routing.Snapshot{Quarantined: quarantine.Set{f: until}, ImplicatedParts: c.implicated}
		keeper := quarantineKeeper{self: "e", wantedSince: map[quarantineChange]time.Time{}}
		if due := keeper.due(s, start.Add(c.at)); len(due) != c.want {
			t.Errorf("%s: writes %v, want %d", c.name, due, c.want)
		}
	}
}
