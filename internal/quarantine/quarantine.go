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
	// partsUpdatedAt is when updateParts last ran.
	partsUpdatedAt time.Time
	// attributed holds the ends of processes that are attributed to quarantined parts.
	attributed []attribution
	// cached, suspects and shared are the cached results of Quarantined, Suspects and Completed;
	// nil after a change.
	cached   Set
	suspects map[Fingerprint]int
	shared   map[Fingerprint]time.Time
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
	if now.Sub(time.Unix(0, c.SeenAt)) >= Duration {
		return
	}
	t.addEnd(c)
	t.addParts(c)
	t.suspects = nil
	t.addEntry(now, c.Fingerprint, c)
	for _, f := range []Fingerprint{c.AtService, c.AtHost} {
		if f != 0 {
			t.addEntry(now, f, c)
		}
	}
}

// addEntry records a crash under one fingerprint of its request.
func (t *Table) addEntry(now time.Time, f Fingerprint, c Crash) {
	e, ok := t.entries[f]
	if !ok {
		if len(t.entries) >= maxFingerprints && !t.evict() {
			return
		}
		e = &entry{anyAccount: f != c.Fingerprint}
		t.entries[f] = e
	}
	if e.isDuplicate(c) || len(e.crashes) >= maxCrashes {
		return
	}
	e.crashes = append(e.crashes, learnedCrash{c, now})
	if until := now.Add(Duration - max(now.Sub(time.Unix(0, c.SeenAt)), 0)); until.After(e.until) {
		e.until = until
	}
	t.cached = nil
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
	for f, e := range t.entries {
		if !now.Before(e.until) {
			delete(t.entries, f)
			t.cached = nil
		}
	}
	if now.Sub(t.partsUpdatedAt) >= partsInterval {
		t.partsUpdatedAt = now
		t.expireParts(now)
		t.updateParts(now)
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
// of the places, and a few of the older ones.
func (t *Table) HeartbeatCrashes(now time.Time) []Crash {
	selected := t.quarantineCrashes()
	var older []Crash
	var recent []rankedCrash
	// The random iteration order of the map makes the selection.
	for _, e := range t.entries {
		if len(e.crashes) >= crashLimit || e.anyAccount {
			continue
		}
		for _, c := range e.crashes {
			if t.repeatedForAnyAccount(c.Crash) {
				continue
			}
			weight, parts := t.suspicion(c.Crash)
			c.Parts = parts
			switch {
			case now.Sub(c.learnedAt) < heartbeatShareDuration:
				recent = append(recent, rankedCrash{c.Crash, weight})
			case len(older) < maxOlderCrashes:
				older = append(older, c.Crash)
			}
		}
	}
	slices.SortStableFunc(recent, func(a, b rankedCrash) int { return b.weight - a.weight })
	places := max(maxRecentCrashes-len(selected), 0)
	if len(recent) > places {
		recent = mixRecent(now, recent, places)
	}
	for _, c := range recent {
		selected = append(selected, c.Crash)
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
			c.Parts = []Fingerprint{part}
			selected = append(selected, c)
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
			_, c.Parts = t.suspicion(c.Crash)
			selected = append(selected, c.Crash)
		}
	}
	return selected
}

// rankedCrash is a crash with the number of crashes of the most suspected part in its prompt.
type rankedCrash struct {
	Crash
	weight int
}
