// Package idempotency records writes by their idempotency key, so that a write runs
// at most once and a retry receives the first response or an error that states that
// the outcome is unknown.
//
// The package does no network I/O. The instance that holds the owner slot of a key
// consults the table before it sends a write; other instances store copies.
package idempotency

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"heatherloom/internal/quota"
)

const (
	// Retention is how long a record is kept after its write ended.
	Retention = time.Hour
	// DefaultMaxBytes limits the memory of a table to half of the 64 MB that the
	// gateway may use on an entry instance.
	DefaultMaxBytes = 32 << 20
	// recordBytes is the assumed size of a record without its key and response.
	recordBytes = 512
	// MaxClockSkew is the largest assumed difference between a caller's clock and the
	// local one.
	MaxClockSkew = 5 * time.Minute
)

// ID identifies a write.
type ID struct {
	Account string
	Key     string
}

// State is the progress of a write.
type State string

// The states of a record.
const (
	// StateRunning means that the write may have been sent.
	StateRunning State = "running"
	// StateDone means that the response is known.
	StateDone State = "done"
	// StateUnknown means that the write may have been executed and no response is recorded.
	StateUnknown State = "unknown"
)

// Response is the recorded response to a write.
type Response struct {
	Status  int
	Headers map[string]string
	Body    []byte
}

// Record is the stored state of a write.
type Record struct {
	ID          ID
	Fingerprint uint64
	State       State
	Response    Response
	// Owner is the slot whose holder sent the write.
	Owner quota.Slot
	// RankedSlots are the slots whose holders may store the record; the first is Owner.
	RankedSlots []quota.Slot
	// Started is when the owner recorded the write, by the owner's clock.
	Started time.Time
	// Ended is when the write ended; zero while it runs.
	Ended time.Time
}

// expired reports whether the retention of the record has passed. It is counted from
// the start for a write that never ended.
func (r *Record) expired(now time.Time) bool {
	last := r.Ended
	if last.IsZero() {
		last = r.Started
	}
	return now.Sub(last) > Retention
}

// Decision states what Begin decided about a write.
type Decision int

// The decisions of Begin.
const (
	// DecisionRun means that the write was recorded as running and must be sent once.
	DecisionRun Decision = iota
	// DecisionReplay means that the recorded response must be returned.
	DecisionReplay
	// DecisionWait means that the same write is running; Result.Ended signals its end.
	DecisionWait
	// DecisionConflict means that the key was used for a different request.
	DecisionConflict
	// DecisionOutcomeUnknown means that the write may have been executed and no response is
	// recorded.
	DecisionOutcomeUnknown
	// DecisionRecordsIncomplete means that an earlier record for the key may have been lost.
	DecisionRecordsIncomplete
	// DecisionTableFull means that the table has no room for another record.
	DecisionTableFull
)

// Result is a decision with the data that belongs to it.
type Result struct {
	Decision Decision
	// Record is a copy of the record; set unless the decision is
	// DecisionRecordsIncomplete or DecisionTableFull.
	Record Record
	// Ended is closed when the running write ends; set if the decision is DecisionWait.
	Ended <-chan struct{}
}

type entry struct {
	record Record
	ended  chan struct{}
}

// Table holds the records of one instance. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[ID]*entry
	// Records of writes that began before completeSince may be missing. Zero: none are
	// missing. The gap stops mattering once Retention has passed since this time.
	completeSince time.Time
	// bytes is the estimated size of all records.
	bytes    int
	maxBytes int
}

// NewTable returns an empty table that counts as complete since the given time; the
// zero time means that there were no earlier records.
func NewTable(completeSince time.Time) *Table {
	return &Table{entries: map[ID]*entry{}, completeSince: completeSince, maxBytes: DefaultMaxBytes}
}

// SetMaxBytes sets the size above which no new write is recorded.
func (t *Table) SetMaxBytes(bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxBytes = bytes
}

func (r *Record) size() int {
	size := recordBytes + len(r.ID.Account) + len(r.ID.Key) + len(r.Response.Body)
	for name, value := range r.Response.Headers {
		size += len(name) + len(value)
	}
	return size
}

func (t *Table) put(e *entry) {
	t.remove(e.record.ID)
	t.entries[e.record.ID] = e
	t.bytes += e.record.size()
}

func (t *Table) remove(id ID) {
	if old, ok := t.entries[id]; ok {
		t.bytes -= old.record.size()
		delete(t.entries, id)
	}
}

// CompleteSince returns the time since which no record can be missing; zero if none was ever
// missing.
func (t *Table) CompleteSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.completeSince
}

// SetCompleteSince sets the time since which no record can be missing. It is called
// after records were pulled from other instances.
func (t *Table) SetCompleteSince(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completeSince = since
}

// Begin decides whether a write may run. Only the holder of the owner slot may call
// it. If the decision is DecisionRun, the write is recorded as running.
func (t *Table) Begin(now time.Time, r Record) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	existing, ok := t.entries[r.ID]
	if ok && !existing.record.expired(now) {
		return existing.result(r.Fingerprint)
	}
	if !t.provablyNewKey(now, r.ID.Key) {
		return Result{Decision: DecisionRecordsIncomplete}
	}
	if t.bytes+r.size() > t.maxBytes {
		return Result{Decision: DecisionTableFull}
	}
	r.State = StateRunning
	r.Started = now
	r.Ended = time.Time{}
	t.put(&entry{record: r, ended: make(chan struct{})})
	return Result{Decision: DecisionRun, Record: r}
}

func (e *entry) result(fingerprint uint64) Result {
	if e.record.Fingerprint != fingerprint {
		return Result{Decision: DecisionConflict, Record: e.record}
	}
	switch e.record.State {
	case StateDone:
		return Result{Decision: DecisionReplay, Record: e.record}
	case StateRunning:
		return Result{Decision: DecisionWait, Record: e.record, Ended: e.ended}
	default:
		return Result{Decision: DecisionOutcomeUnknown, Record: e.record}
	}
}

// provablyNewKey reports whether a key without a record cannot have been used: the records
// cover the whole retention, or the key was generated after the time since which they
// are complete.
func (t *Table) provablyNewKey(now time.Time, key string) bool {
	if now.Sub(t.completeSince) > Retention {
		return true
	}
	created, ok := keyTime(key)
	return ok && created.After(t.completeSince.Add(MaxClockSkew))
}

// keyTime returns the timestamp of a key that is a version 7 UUID.
func keyTime(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

// Has reports whether the table has a record of the write.
func (t *Table) Has(id ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.entries[id]
	return ok
}

// Finish records the outcome of a running write and wakes its waiters. It returns the
// record to copy, and false if the write was not running.
func (t *Table) Finish(now time.Time, id ID, state State, response Response) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok || e.record.State != StateRunning {
		return Record{}, false
	}
	t.bytes -= e.record.size()
	e.record.State = state
	e.record.Response = response
	t.bytes += e.record.size()
	e.record.Ended = now
	close(e.ended)
	return e.record, true
}

// Cancel removes the record of a running write that was certainly not sent, so that
// the key may be used again.
func (t *Table) Cancel(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok || e.record.State != StateRunning {
		return
	}
	t.remove(id)
	close(e.ended)
}

// Store stores a copy of another instance's record. A record is replaced only by one
// of a later run of the key, or by one with a more final state of the same run. Store
// returns false if the table is full; the outcome of a known run is always stored.
func (t *Table) Store(r Record) bool { return t.store(r, false) }

func (t *Table) store(r Record, ignoreLimit bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.entries[r.ID]
	if known && !supersedes(r, old.record) {
		return true
	}
	if !known && !ignoreLimit && t.bytes+r.size() > t.maxBytes {
		return false
	}
	e := &entry{record: r, ended: make(chan struct{})}
	if known && old.record.State == StateRunning {
		e.ended = old.ended
	}
	if r.State != StateRunning {
		close(e.ended)
	}
	t.put(e)
	return true
}

// supersedes reports whether next must replace old. Copies may arrive late: the copy
// of an earlier, canceled run must not replace that of a later one.
func supersedes(next, old Record) bool {
	if !next.Started.Equal(old.Started) {
		return next.Started.After(old.Started)
	}
	return finality(next.State) > finality(old.State)
}

func finality(s State) int {
	switch s {
	case StateDone:
		return 2
	case StateUnknown:
		return 1
	default:
		return 0
	}
}

// Adopt stores a record of the local slot that an earlier holder wrote. A write that
// was running then now has an unknown outcome, since its sender is gone.
func (t *Table) Adopt(now time.Time, r Record) {
	if r.State == StateRunning {
		r.State = StateUnknown
		r.Ended = now
	}
	t.store(r, true)
}

// RemoveCopy removes the copy of a write that its owner canceled. started distinguishes the
// run from a later one of the same key, whose copy must stay.
func (t *Table) RemoveCopy(id ID, started time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok || e.record.State != StateRunning || !e.record.Started.Equal(started) {
		return
	}
	t.remove(id)
	close(e.ended)
}

// RecordsForSlot returns copies of the records for which a slot is ranked. Only
// tests use it.
func (t *Table) RecordsForSlot(now time.Time, slot quota.Slot) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for _, e := range t.entries {
		if !e.record.expired(now) && containsSlot(e.record.RankedSlots, slot) {
			records = append(records, e.record)
		}
	}
	return records
}

// All returns copies of the records that have not expired.
func (t *Table) All(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for _, e := range t.entries {
		if !e.record.expired(now) {
			records = append(records, e.record)
		}
	}
	return records
}

func containsSlot(ranked []quota.Slot, slot quota.Slot) bool {
	for _, s := range ranked {
		if s == slot {
			return true
		}
	}
	return false
}

// Sweep removes expired records and returns the number of remaining records.
func (t *Table) Sweep(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if e.record.expired(now) {
			t.remove(id)
		}
	}
	return len(t.entries)
}
