package idempotency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/quota"
)

// region simulates a set of instances, one for each slot, with a plain service that
// counts how often it ran each write.
type region struct {
	rng      *rand.Rand
	now      time.Time
	division *quota.Division
	slots    []quota.Slot
	tables   map[quota.Slot]*Table
	up       map[quota.Slot]bool
	runs     map[string]int
	outcomes map[Decision]int
}

func newRegion(seed uint64) *region {
	config := opconfig.New()
	config.FailureDomains["hobart-1"] = opconfig.FailureDomain{Name: "hobart-1", Region: "hobart", Slots: 5}
	r := &region{
		rng:      rand.New(rand.NewPCG(seed, 0)),
		now:      time.Unix(1_700_000_000, 0),
		division: quota.NewDivision(config),
		slots:    quota.Slots(config),
		tables:   map[quota.Slot]*Table{},
		up:       map[quota.Slot]bool{},
		runs:     map[string]int{},
		outcomes: map[Decision]int{},
	}
	for _, slot := range r.slots {
		r.tables[slot] = NewTable(time.Time{})
		r.up[slot] = true
	}
	return r
}

// write sends a write with a key as a caller does. It goes straight to the owner, which
// may crash at each step.
func (r *region) write(key string) {
	ranked := r.division.WriteSlots("guild", key, "hobart")
	owner := ranked[0]
	if !r.up[owner] {
		return
	}
	table := r.tables[owner]
	result := table.Begin(r.now, Record{ID: ID{"guild", key}, Fingerprint: 1, Owner: owner, RankedSlots: ranked})
	r.outcomes[result.Decision]++
	if result.Decision != DecisionRun {
		return
	}
	if !r.copyRecord(ranked, result.Record) {
		table.Cancel(result.Record.ID)
		return
	}
	if r.maybeCrash(owner) {
		return
	}
	r.runs[key]++
	if r.maybeCrash(owner) {
		return
	}
	record, _ := table.Finish(r.now, result.Record.ID, StateDone, Response{Status: 200})
	r.copyRecord(ranked, record)
}

// copyRecord stores the record on the first other ranked instance that is up.
func (r *region) copyRecord(ranked []quota.Slot, record Record) bool {
	for _, slot := range ranked[1:] {
		if r.up[slot] {
			r.tables[slot].Store(record)
			return true
		}
	}
	return false
}

func (r *region) maybeCrash(slot quota.Slot) bool {
	if r.rng.IntN(400) != 0 {
		return false
	}
	r.up[slot] = false
	return true
}

// restart starts a new holder of the slot, which pulls the records of the slot.
func (r *region) restart(slot quota.Slot) {
	table := NewTable(time.Time{})
	since := time.Time{}
	for _, other := range r.slots {
		if other == slot {
			continue
		}
		if !r.up[other] {
			since = r.now
			continue
		}
		if t := r.tables[other].CompleteSince(); t.After(since) {
			since = t
		}
		for _, record := range r.tables[other].RecordsForSlot(r.now, slot) {
			if record.Owner == slot {
				table.Adopt(r.now, record)
			} else {
				table.Store(record)
			}
		}
	}
	table.SetCompleteSince(since)
	r.tables[slot] = table
	r.up[slot] = true
}

func (r *region) newKey(n int) string {
	if n%2 == 0 {
		return fmt.Sprintf("order-%d", n)
	}
	return keyAt(r.now, n)
}

// keyAt returns a version 7 UUID with the given timestamp.
func keyAt(at time.Time, n int) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6] = 0x70
	id[8] = 0x80
	id[14] = byte(n >> 8)
	id[15] = byte(n)
	return id.String()
}

// TestWriteRunsAtMostOnce guards against a second run of a write that the caller
// retries while instances crash during the write and restart with empty tables.
func TestWriteRunsAtMostOnce(t *testing.T) {
	for seed := uint64(1); seed <= 60; seed++ {
		r := newRegion(seed)
		var keys []string
		for n := range 4000 {
			r.now = r.now.Add(time.Duration(r.rng.IntN(10)) * time.Second)
			keys = append(keys, r.newKey(n))
			for range 3 {
				r.write(keys[max(0, len(keys)-1-r.rng.IntN(40))])
			}
			slot := r.slots[r.rng.IntN(len(r.slots))]
			if !r.up[slot] {
				r.restart(slot)
			} else if r.rng.IntN(2000) == 0 {
				r.up[slot] = false
			}
		}
		for key, n := range r.runs {
			if n > 1 {
				t.Fatalf("seed %d: write %s ran %d times", seed, key, n)
			}
		}
		if len(r.runs) < len(keys)/2 || r.outcomes[DecisionReplay] == 0 || r.outcomes[DecisionOutcomeUnknown] == 0 {
			t.Fatalf("seed %d: %d of %d writes ran, outcomes %v: the test does not exercise the table", seed, len(r.runs), len(keys), r.outcomes)
		}
	}
}

// TestRollingRestartKeepsRecords guards against a rolling restart after which keys
// are rejected or their writes run again.
func TestRollingRestartKeepsRecords(t *testing.T) {
	r := newRegion(1)
	r.rng = rand.New(rand.NewPCG(9, 9))
	var keys []string
	for n := range 50 {
		key := fmt.Sprintf("order-%d", n)
		ranked := r.division.WriteSlots("guild", key, "hobart")
		record := Record{ID: ID{"guild", key}, Fingerprint: 1, Owner: ranked[0], RankedSlots: ranked}
		result := r.tables[ranked[0]].Begin(r.now, record)
		r.copyRecord(ranked, result.Record)
		done, _ := r.tables[ranked[0]].Finish(r.now, record.ID, StateDone, Response{Status: 200})
		r.copyRecord(ranked, done)
		keys = append(keys, key)
	}
	for _, slot := range r.slots {
		r.restart(slot)
	}
	for _, key := range keys {
		ranked := r.division.WriteSlots("guild", key, "hobart")
		result := r.tables[ranked[0]].Begin(r.now, Record{ID: ID{"guild", key}, Fingerprint: 1})
		if result.Decision != DecisionReplay {
			t.Fatalf("key %s: decision %d after a rolling restart, want a replay", key, result.Decision)
		}
	}
	if since := r.tables[r.slots[0]].CompleteSince(); !since.IsZero() {
		t.Fatalf("records are complete only since %v, want the zero time", since)
	}
}

// TestBegin guards against wrong decisions for a retried write.
func TestBegin(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	newTable := func() *Table { return NewTable(now.Add(-time.Minute)) }
	id := ID{"guild", keyAt(now.Add(10*time.Minute), 1)}
	record := Record{ID: id, Fingerprint: 7}
	cases := []struct {
		name        string
		setup       func(*Table)
		key         string
		fingerprint uint64
		want        Decision
	}{
		{"key made after the records became complete", func(*Table) {}, id.Key, 7, DecisionRun},
		{"key without a time, records too young", func(*Table) {}, "order-1", 7, DecisionRecordsIncomplete},
		{"key made shortly before", func(*Table) {}, keyAt(now, 2), 7, DecisionRecordsIncomplete},
		{"running", func(t *Table) { t.Begin(now, record) }, id.Key, 7, DecisionWait},
		{"other request", func(t *Table) { t.Begin(now, record) }, id.Key, 8, DecisionConflict},
		{"done", func(t *Table) { t.Begin(now, record); t.Finish(now, id, StateDone, Response{}) }, id.Key, 7, DecisionReplay},
		{"answer lost", func(t *Table) { t.Begin(now, record); t.Finish(now, id, StateUnknown, Response{}) }, id.Key, 7, DecisionOutcomeUnknown},
		{"cancelled", func(t *Table) { t.Begin(now, record); t.Cancel(id) }, id.Key, 7, DecisionRun},
	}
	for _, c := range cases {
		table := newTable()
		c.setup(table)
		got := table.Begin(now, Record{ID: ID{"guild", c.key}, Fingerprint: c.fingerprint}).Decision
		if got != c.want {
			t.Errorf("%s: decision %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against a late copy of a canceled run that replaces a later run of the key,
// and against a full table that loses the outcome of a write.
func TestLateCopies(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_700_000_000, 0)
	id := ID{"guild", "order"}
	first := Record{ID: id, State: StateRunning, Started: now}
	second := Record{ID: id, State: StateRunning, Started: now.Add(time.Second)}
	table := NewTable(time.Time{})
	g.Expect(table.Store(second)).To(BeTrue())
	table.Store(first)
	table.RemoveCopy(id, first.Started)
	g.Expect(table.All(now)).To(ConsistOf(second))

	table.SetMaxBytes(0)
	done := second
	done.State, done.Ended = StateDone, second.Started
	g.Expect(table.Store(done)).To(BeTrue())
	g.Expect(table.Store(Record{ID: ID{"guild", "other"}, State: StateRunning, Started: now})).To(BeFalse())
	g.Expect(table.Begin(now, Record{ID: ID{"guild", "other"}}).Decision).To(Equal(DecisionTableFull))

	later := Record{ID: id, State: StateRunning, Started: now.Add(2 * Retention)}
	g.Expect(table.Store(later)).To(BeTrue())
	g.Expect(table.All(later.Started)).To(ConsistOf(later), "an expired record must be replaced by a later run")
	table.RemoveCopy(id, later.Started)
	g.Expect(table.bytes).To(BeZero())
}
