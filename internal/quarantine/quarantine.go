// Package quarantine detects requests, and parts of prompts, that crash the upstreams that execute
// them. It collects the crashes reported by all instances and rejects such a request, and each
// request with such a part, for a limited time.
package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

const (
	// Duration is the time that a request stays in quarantine after its last crash.
	Duration = 10 * time.Minute
	// crashDedupWindow is the time within which several reports on one upstream count as a
	// single crash if the start time of its process is not known.
	crashDedupWindow = 5 * time.Second
	// crashLimit is the number of crashes after which a request is quarantined.
	crashLimit = 2
	// heartbeatShareDuration is the time for which a newly learned crash is included in
	// every heartbeat.
	heartbeatShareDuration = 15 * time.Second
	// maxRecentCrashes bounds the recent crashes in one heartbeat to about 3 KB.
	maxRecentCrashes = 64
	// maxQuarantineCrashes bounds those of quarantined requests, which take precedence.
	maxQuarantineCrashes = 32
	// maxOlderCrashes bounds the older crashes in one heartbeat. They are selected at
	// random, so that instances that start later learn of them as well.
	maxOlderCrashes = 8
	// maxCrashes bounds the crashes kept for one request or part. It is the same for both, because
	// their numbers are compared.
	maxCrashes = 24
	// selectInterval is how long a selection of crashes for heartbeats is used while no request or part
	// enters quarantine. Heartbeats are sent once a second.
	selectInterval = 200 * time.Millisecond
	// expireInterval is the time between two removals of crashes that are too old.
	expireInterval = time.Second
	// reportResolution is coarser than the differences between the times of a crash in repeated reports, which
	// messages carry as ages in milliseconds.
	reportResolution = 100 * time.Millisecond
	// repeatInterval is how long a report that was received before is ignored.
	repeatInterval = 5 * time.Second
	// maxFingerprints bounds the fingerprints of requests in the table, of which a crash has up to three.
	maxFingerprints = 3 * 4096
)

// ParseFingerprint parses the result of Fingerprint.String.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("fingerprint %q: %w", text, err)
	}
	return Fingerprint(value), nil
}

// Fingerprint identifies a request, or a part of prompts, in reports of crashes.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Crash reports that an upstream ended while it executed a request.
type Crash struct {
	// Fingerprint is Subject.Request, and AtService and AtHost are those of Subject.
	Fingerprint       Fingerprint
	AtService, AtHost Fingerprint
	// Parts are the parts of the prompt that other requests may share, without those that
	// completed shortly before.
	Parts    []Fingerprint
	Upstream string
	// StartedAt is the start of the upstream's process in Unix milliseconds; 0 if not known.
	StartedAt int64
	// SeenAt is the time of the crash in Unix nanoseconds by the clock of this instance.
	SeenAt int64
}

// entry holds the crashes under one fingerprint of requests.
type entry struct {
	crashes []learnedCrash
	until   time.Time
	// anyAccount is true if the fingerprint is that of a content, whichever account sends it.
	anyAccount bool
}

// learnedCrash is a crash and the local time at which this instance learned of it.
type learnedCrash struct {
	Crash
	learnedAt time.Time
}

// content returns the fingerprint by which requests with other content are told apart.
func (c Crash) content() Fingerprint {
	if c.AtService != 0 {
		return c.AtService
	}
	return c.Fingerprint
}

// Table stores the crashes reported by all instances. It is not safe for concurrent use.
type Table struct {
	// entries holds each crash under every fingerprint of its request.
	entries map[Fingerprint]*entry
	stored  map[Fingerprint]Stored
	// parts holds the suspected parts of prompts, and completed the latest completions of requests
	// with a suspected part.
	parts     map[Fingerprint]*partEntry
	completed map[Fingerprint]time.Time
	// ends holds one crash of each process that ended, by time.
	ends []Crash
	// partsUpdatedAt is when updateParts last ran, partsChangedAt when what it reads last changed, and expiredAt
	// when old crashes were last removed.
	partsUpdatedAt, partsChangedAt, expiredAt time.Time
	// partsCompleted is true if a request with a suspected part completed since the last Update.
	partsCompleted bool
	// attributed holds the ends of processes that are attributed to quarantined parts.
	attributed []attribution
	// implicated is the result of Implicated. It is replaced, not modified.
	implicated map[Fingerprint]bool
	// cached, suspects and shared are the cached results of Quarantined, Suspects and Completed;
	// nil after a change.
	cached   Set
	suspects map[Fingerprint]int
	shared   map[Fingerprint]time.Time
	// received holds the reports received since receivedSince. Members repeat theirs in each heartbeat. It is nil
	// after something was removed from the table, which a repeated report may add again.
	received      map[report]struct{}
	receivedSince time.Time
	// selected is the result of HeartbeatCrashes at selectedAt, when so many fingerprints were quarantined.
	selected            []Crash
	selectedAt          time.Time
	selectedQuarantined int
}

// report identifies a crash as an instance reported it.
type report struct {
	fingerprint Fingerprint
	upstream    string
	startedAt   int64
	seenAt      int64
	parts       uint64
}

func reportOf(c Crash) report {
	r := report{
		fingerprint: c.Fingerprint, upstream: c.Upstream, startedAt: c.StartedAt, seenAt: c.SeenAt / int64(reportResolution), parts: fnvOffset,
	}
	for _, part := range c.Parts {
		r.parts = (r.parts ^ uint64(part)) * fnvPrime
	}
	return r
}

// The parameters of the 64-bit FNV-1a hash, which is applied to whole fingerprints.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// repeated reports whether the same report was received within repeatInterval.
func (t *Table) repeated(now time.Time, c Crash) bool {
	if t.received == nil {
		t.received = map[report]struct{}{}
	}
	if now.Sub(t.receivedSince) >= repeatInterval {
		clear(t.received)
		t.receivedSince = now
	}
	r := reportOf(c)
	_, known := t.received[r]
	t.received[r] = struct{}{}
	return known
}

// Set maps each quarantined fingerprint to the end of its quarantine.
type Set map[Fingerprint]time.Time

// Stored is a quarantine that the platform's store holds. It also applies to an instance that
// knows of no crash.
type Stored struct {
	// Until is the end of the quarantine by the local clock: Duration after this instance first
	// read it.
	Until time.Time
	// Revision is the store revision of the row.
	Revision int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[Fingerprint]*entry{}, parts: map[Fingerprint]*partEntry{}, completed: map[Fingerprint]time.Time{}}
}

// Add records a crash. Duplicate or expired crashes and those that exceed the limits of the
// table are ignored.
func (t *Table) Add(now time.Time, c Crash) {
	if now.Sub(time.Unix(0, c.SeenAt)) >= Duration || t.repeated(now, c) {
		return
	}
	changed := t.addEnd(c)
	changed = t.addParts(c) || changed
	changed = t.addEntry(now, c.Fingerprint, c) || changed
	for _, f := range []Fingerprint{c.AtService, c.AtHost} {
		if f != 0 {
			changed = t.addEntry(now, f, c) || changed
		}
	}
	if changed {
		t.partsChangedAt = now
	}
}

// addEntry records a crash under one fingerprint of its request, and reports whether it was not known.
func (t *Table) addEntry(now time.Time, f Fingerprint, c Crash) bool {
	e, ok := t.entries[f]
	if !ok {
		if len(t.entries) >= maxFingerprints && !t.evict() {
			return false
		}
		e = &entry{anyAccount: f != c.Fingerprint}
		t.entries[f] = e
	}
	if e.isDuplicate(c) || len(e.crashes) >= maxCrashes {
		return false
	}
	e.crashes = append(e.crashes, learnedCrash{c, now})
	if until := now.Add(Duration - max(now.Sub(time.Unix(0, c.SeenAt)), 0)); until.After(e.until) {
		e.until = until
	}
	t.cached = nil
	return true
}

// evict removes the oldest request that is not quarantined, and reports whether there was one.
// When many upstreams crash at once, each request in flight leaves an entry with one crash.
func (t *Table) evict() bool {
	var oldest Fingerprint
	found := false
	for f, e := range t.entries {
		if len(e.crashes) < crashLimit && (!found || e.until.Before(t.entries[oldest].until)) {
			oldest, found = f, true
		}
	}
	delete(t.entries, oldest)
	t.received = nil
	return found
}

// isDuplicate reports whether the crash has already been counted.
func (e *entry) isDuplicate(c Crash) bool {
	return slices.ContainsFunc(e.crashes, func(known learnedCrash) bool { return known.sameEnd(c) })
}

// sameEnd reports whether two reports concern the end of the same process. A process ends once,
// however far apart it is noticed.
func (c Crash) sameEnd(other Crash) bool {
	if c.Upstream != other.Upstream {
		return false
	}
	if c.StartedAt != 0 && other.StartedAt != 0 {
		return c.StartedAt == other.StartedAt
	}
	return time.Duration(c.SeenAt-other.SeenAt).Abs() < crashDedupWindow
}

// SetStored replaces the quarantines that the store holds.
func (t *Table) SetStored(stored map[Fingerprint]Stored) {
	t.stored = stored
	t.cached, t.suspects = nil, nil
}

// Stored returns the quarantines that the store holds. The result is never modified.
func (t *Table) Stored() map[Fingerprint]Stored { return t.stored }

// Update removes the requests whose quarantine period has ended, and decides which parts of prompts
// are quarantined. It is to be called regularly.
func (t *Table) Update(now time.Time) {
	if now.Sub(t.expiredAt) >= expireInterval {
		t.expiredAt = now
		t.expireEntries(now)
	}
	if t.partsCompleted {
		t.partsCompleted, t.partsChangedAt = false, now
	}
	if now.Sub(t.partsUpdatedAt) >= partsInterval && now.Sub(t.partsChangedAt) <= partObservation+2*partsInterval {
		t.partsUpdatedAt = now
		t.updateParts(now)
	}
}

func (t *Table) expireEntries(now time.Time) {
	for f, e := range t.entries {
		if !now.Before(e.until) {
			delete(t.entries, f)
			t.cached, t.received = nil, nil
		}
	}
	if t.expireParts(now) {
		t.partsChangedAt, t.received = now, nil
	}
}

// Quarantined returns the quarantined fingerprints. The result is never modified later.
func (t *Table) Quarantined() Set {
	if t.cached != nil {
		return t.cached
	}
	t.cached = Set{}
	for f, e := range t.entries {
		if len(e.crashes) >= crashLimit && t.unattributed(e) >= crashLimit {
			t.cached[f] = e.until
		}
	}
	for part, e := range t.parts {
		if !e.until.IsZero() {
			t.cached[part] = e.until
		}
	}
	for f, s := range t.stored {
		if !t.refuted(f) && s.Until.After(t.cached[f]) {
			t.cached[f] = s.Until
		}
	}
	return t.cached
}

// Upstreams returns the ids of the upstreams that crashed under the fingerprint, sorted.
func (t *Table) Upstreams(f Fingerprint) []string {
	var ids []string
	if e, ok := t.entries[f]; ok {
		for _, c := range e.crashes {
			ids = append(ids, c.Upstream)
		}
	}
	if e, ok := t.parts[f]; ok {
		for _, c := range e.processes(none) {
			ids = append(ids, c.Upstream)
		}
	}
	slices.Sort(ids)
	return ids
}

// HeartbeatCrashes returns the crashes to include in the next heartbeat: those of quarantined
// requests and parts, then the recent ones, of which those whose prompt parts have most crashes take half
// of the places, and a few of the older ones. The result is never modified.
func (t *Table) HeartbeatCrashes(now time.Time) []Crash {
	if len(t.entries) == 0 && len(t.parts) == 0 {
		return nil
	}
	quarantined := len(t.Quarantined())
	if t.selected == nil || now.Sub(t.selectedAt) >= selectInterval || quarantined != t.selectedQuarantined {
		t.selected, t.selectedAt, t.selectedQuarantined = t.selectCrashes(now), now, quarantined
	}
	return t.selected
}

func (t *Table) selectCrashes(now time.Time) []Crash {
	selected := t.quarantineCrashes()
	var older []Crash
	var recent []rankedCrash
	// The random iteration order of the map makes the selection.
	for _, e := range t.entries {
		if len(e.crashes) >= crashLimit || e.anyAccount {
			continue
		}
		for i := range e.crashes {
			c := &e.crashes[i]
			isRecent := now.Sub(c.learnedAt) < heartbeatShareDuration
			if (!isRecent && len(older) >= maxOlderCrashes) || t.repeatedForAnyAccount(c.Crash) {
				continue
			}
			if isRecent {
				recent = append(recent, rankedCrash{&c.Crash, t.suspicion(c.Crash)})
			} else {
				older = append(older, t.withSuspectedParts(c.Crash))
			}
		}
	}
	slices.SortStableFunc(recent, func(a, b rankedCrash) int { return b.weight - a.weight })
	places := max(maxRecentCrashes-len(selected), 0)
	if len(recent) > places {
		recent = mixRecent(now, recent, places)
	}
	for _, c := range recent {
		selected = append(selected, t.withSuspectedParts(*c.Crash))
	}
	return append(selected, older...)
}

// repeatedForAnyAccount reports whether other crashes suffice to quarantine the content of the request.
func (t *Table) repeatedForAnyAccount(c Crash) bool {
	for _, f := range []Fingerprint{c.AtService, c.AtHost} {
		if e, known := t.entries[f]; known && len(e.crashes) >= crashLimit {
			return true
		}
	}
	return false
}

// mixRecent selects n of more crashes that are sorted by rank: the first ones for one half, and for the
// rest the others in turn, so that the heartbeats of some seconds also tell of requests without
// suspected parts.
func mixRecent(now time.Time, sorted []rankedCrash, n int) []rankedCrash {
	selected, others := slices.Clone(sorted[:n/2]), sorted[n/2:]
	slices.SortFunc(others, func(a, b rankedCrash) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Upstream, b.Upstream))
	})
	places := n - len(selected)
	turn := int(now.Unix()) * places
	for i := range places {
		selected = append(selected, others[(turn+i)%len(others)])
	}
	return selected
}

// quarantineCrashes returns crashes that suffice for the quarantines that follow from them.
func (t *Table) quarantineCrashes() (selected []Crash) {
	for part, e := range t.parts {
		if e.until.IsZero() || len(selected) >= maxQuarantineCrashes {
			continue
		}
		for _, c := range t.sufficientCrashes(e) {
			selected = append(selected, t.withImplicatedParts(c, part))
		}
	}
	ofParts := len(selected)
	for _, e := range t.entries {
		if len(e.crashes) < crashLimit || len(selected) > maxQuarantineCrashes-crashLimit {
			continue
		}
		for _, c := range e.crashes[:crashLimit] {
			isSame := func(other Crash) bool { return other.Fingerprint == c.Fingerprint && other.sameEnd(c.Crash) }
			if slices.ContainsFunc(selected[ofParts:], isSame) {
				continue
			}
			selected = append(selected, t.withSuspectedParts(c.Crash))
		}
	}
	return selected
}

// rankedCrash is a crash with the number of crashes of the most suspected part in its prompt.
type rankedCrash struct {
	*Crash
	weight int
}
