package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file finds parts of prompts that crash each upstream that generates from them, in requests that
// have nothing else in common. Such a part is in flight at every crash and never completes, whereas
// the parts that its requests share with others do. Parts of the same prompts that do not complete either
// have the same crashes, as may popular parts of other prompts. They are contested: each is in quarantine
// until a probe completes or ends a further upstream; see Probes.

const (
	// partCrashLimit is the number of times at which processes ended under a part, and of requests
	// with it that ran there, after which the part is quarantined. It is higher than crashLimit
	// because many requests run on an upstream at the same time.
	partCrashLimit = 3
	// partProcessLimit is the number of processes, and of requests, that suffice whenever the
	// processes ended.
	partProcessLimit = 6
	// repeatedCrashes is the number of crashes of a request that was sent again and again. Its
	// retries alone leave fewer.
	repeatedCrashes = 3
	// sameCause is the time within which processes that end may have a common cause, such as a
	// loss of power. They count as one time, and not at all if there are commonCauseProcesses.
	sameCause            = 300 * time.Millisecond
	commonCauseProcesses = 3
	// partsInterval is the time between two runs of updateParts.
	partsInterval = 250 * time.Millisecond
	// maxEnds bounds the ends of processes that are kept.
	maxEnds = 512
	// partObservation is the time from the first of these crashes in which instances that
	// complete requests with the part can report so: two heartbeats.
	partObservation = 2500 * time.Millisecond
	// completionGrace is the time after a completion for which crashes are not held against the
	// parts of its prompt. A popular part completes more often.
	completionGrace = 5 * time.Second
	// completionRetention is how long the completions of suspected parts are kept.
	completionRetention = 30 * time.Second
	// maxParts bounds the suspected parts.
	maxParts = 4096
)

// PartFingerprint identifies a part of a prompt by its id. It depends on nothing else, because
// requests with such a part need not have anything else in common.
func PartFingerprint(id uint64) Fingerprint {
	var b [16]byte
	copy(b[:], "prompt-p")
	for i := range 8 {
		b[8+i] = byte(id >> (8 * i))
	}
	return Fingerprint(xxhash.Sum64(b[:]))
}

// Subject is what a crash may be due to: a request, or a part of its prompt.
type Subject struct {
	// Request identifies the request of one client account.
	Request Fingerprint
	// AtService and AtHost identify its content, whichever account sends it; 0 if not known.
	AtService, AtHost Fingerprint
	// Parts are the parts of the prompt that other requests may share.
	Parts []Fingerprint
}

// partEntry holds the crashes under one part.
type partEntry struct {
	crashes []Crash
	// until is the end of the quarantine; zero if the part is only suspected.
	until time.Time
}

// add records a crash and reports whether it was not known.
func (e *partEntry) add(c Crash) bool {
	for _, known := range e.crashes {
		if known.Fingerprint == c.Fingerprint && known.sameEnd(c) {
			return false
		}
	}
	if len(e.crashes) >= maxCrashes {
		return false
	}
	e.crashes = append(e.crashes, c)
	return true
}

// processes returns one crash for each process that ended, without those for which skip is true.
func (e *partEntry) processes(skip func(Crash) bool) (ends []Crash) {
	for _, c := range e.crashes {
		if !slices.ContainsFunc(ends, c.sameEnd) && !skip(c) {
			ends = append(ends, c)
		}
	}
	return ends
}

func (e *partEntry) requests() int {
	distinct := map[Fingerprint]struct{}{}
	for _, c := range e.crashes {
		distinct[c.content()] = struct{}{}
	}
	return len(distinct)
}

// sufficient reports whether crashes of different processes, under a number of requests, suffice to
// quarantine a part.
func (t *Table) sufficient(crashes []Crash, requests int) bool {
	return (requests >= partCrashLimit && len(crashes) >= partCrashLimit && t.times(crashes) >= partCrashLimit) ||
		(requests >= partProcessLimit && len(crashes) >= partProcessLimit)
}

// times returns at how many times the crashes happened, without those at which many processes ended.
func (t *Table) times(crashes []Crash) (n int) {
	for rest := t.ends; len(rest) > 0; {
		together := 1
		for together < len(rest) && rest[together].SeenAt-rest[0].SeenAt < int64(sameCause) {
			together++
		}
		isOne := func(c Crash) bool { return slices.ContainsFunc(rest[:together], c.sameEnd) }
		if together < commonCauseProcesses && slices.ContainsFunc(crashes, isOne) {
			n++
		}
		rest = rest[together:]
	}
	return n
}

// addEnd records that a process ended, and reports whether that was not known.
func (t *Table) addEnd(c Crash) bool {
	if slices.ContainsFunc(t.ends, c.sameEnd) {
		return false
	}
	at, _ := slices.BinarySearchFunc(t.ends, c, func(a, b Crash) int { return cmp.Compare(a.SeenAt, b.SeenAt) })
	t.ends = slices.Insert(t.ends, at, Crash{Upstream: c.Upstream, StartedAt: c.StartedAt, SeenAt: c.SeenAt})
	if len(t.ends) > maxEnds {
		t.ends = t.ends[1:]
	}
	return true
}

// mature reports whether the first crash is partObservation old.
func (e *partEntry) mature(now time.Time) bool {
	return slices.ContainsFunc(e.crashes, func(c Crash) bool { return now.Sub(time.Unix(0, c.SeenAt)) >= partObservation })
}

// completedAfter reports whether a request with the part completed shortly before a crash, or later.
func (t *Table) completedAfter(part Fingerprint, c Crash) bool {
	at, known := t.completed[part]
	return known && !time.Unix(0, c.SeenAt).After(at.Add(completionGrace))
}

// addParts records a crash for the parts of its request, and reports whether it was not known for one of them.
func (t *Table) addParts(c Crash) (changed bool) {
	for _, part := range c.Parts {
		if t.completedAfter(part, c) {
			continue
		}
		e, known := t.parts[part]
		if !known {
			if len(t.parts) >= maxParts {
				t.evictPart()
			}
			e = &partEntry{}
			t.parts[part] = e
		}
		if e.add(c) {
			t.suspects, changed = nil, true
		}
	}
	return changed
}

// evictPart removes the part with the fewest crashes, the oldest of several.
func (t *Table) evictPart() {
	var weakest Fingerprint
	var found *partEntry
	for part, e := range t.parts {
		if found == nil || len(e.crashes) < len(found.crashes) ||
			(len(e.crashes) == len(found.crashes) && e.crashes[0].SeenAt < found.crashes[0].SeenAt) {
			weakest, found = part, e
		}
	}
	delete(t.parts, weakest)
	t.suspects, t.received = nil, nil
}

// Complete records that a request with a part in its prompt got its complete response at a time by
// the clock of this instance. Crashes before it, and those shortly after it, are not due to the part.
func (t *Table) Complete(part Fingerprint, at time.Time) {
	if !at.After(t.completed[part]) {
		return
	}
	t.completed[part] = at
	t.shared = nil
	if _, stored := t.stored[part]; stored {
		t.cached = nil
	}
	e, known := t.parts[part]
	if !known {
		return
	}
	if !e.until.IsZero() {
		t.cached = nil
	}
	t.suspects, t.partsCompleted = nil, true
	before := len(e.crashes)
	e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool { return t.completedAfter(part, c) })
	if len(e.crashes) < before {
		t.received = nil
	}
	released := false
	if !t.sufficient(e.processes(none), e.requests()) {
		released = !e.until.IsZero()
		e.until = time.Time{}
		t.attributed = slices.DeleteFunc(t.attributed, func(a attribution) bool { return a.part == part })
	}
	if len(e.crashes) == 0 {
		delete(t.parts, part)
		t.suspects = nil
	}
	if released {
		// Otherwise the requests that are no longer rejected for this part would be sent before the
		// part that explains its crashes is in quarantine.
		t.updateParts(t.partsUpdatedAt)
	}
}

func none(Crash) bool { return false }

// expireParts removes old crashes and completions, and reports whether there were any.
func (t *Table) expireParts(now time.Time) (expired bool) {
	for len(t.ends) > 0 && now.Sub(time.Unix(0, t.ends[0].SeenAt)) >= Duration {
		t.ends = t.ends[1:]
		expired = true
	}
	for part, e := range t.parts {
		before := len(e.crashes)
		e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool { return now.Sub(time.Unix(0, c.SeenAt)) >= Duration })
		if len(e.crashes) < before {
			expired = true
			t.suspects = nil
		}
		if len(e.crashes) == 0 {
			delete(t.parts, part)
			t.cached, t.suspects = nil, nil
		}
	}
	for part, at := range t.completed {
		if now.Sub(at) >= completionRetention {
			delete(t.completed, part)
			t.cached, t.shared = nil, nil
			expired = true
		}
	}
	return expired
}

// attribution attributes the end of a process to a part under which more processes ended.
type attribution struct {
	Crash
	part Fingerprint
	// ends is the number of processes that ended under the part.
	ends int
}

// attributedToOther reports whether a crash under a request with a number of crashes is attributed to a
// part of other prompts. A part with no more ends of processes than the request explains them no
// better, and one of the request's own prompt does not clear it.
func (t *Table) attributedToOther(c Crash, crashes int) bool {
	return slices.ContainsFunc(t.attributed, func(a attribution) bool {
		return a.ends > crashes && a.sameEnd(c) && !slices.Contains(c.Parts, a.part)
	})
}

// updateParts quarantines the parts with sufficient crashes. A process ends once: an end that is
// attributed to a part with more crashes, or that a request explains, does not count against other parts.
func (t *Table) updateParts(now time.Time) {
	var suspected []Fingerprint
	for part, e := range t.parts {
		if len(e.crashes) >= partCrashLimit && e.mature(now) && t.sufficient(e.processes(none), e.requests()) {
			suspected = append(suspected, part)
		}
	}
	t.findContested(t.withQuarantined(suspected))
	counts := make(map[Fingerprint]int, len(suspected))
	for _, part := range suspected {
		counts[part] = len(t.parts[part].processes(none))
	}
	slices.SortFunc(suspected, func(a, b Fingerprint) int { return counts[b] - counts[a] })
	before := len(t.attributed)
	t.attributed = nil
	for len(suspected) > 0 {
		equal := 1
		for equal < len(suspected) && counts[suspected[equal]] == counts[suspected[0]] {
			equal++
		}
		t.attributed = append(t.attributed, t.quarantineEqualParts(suspected[:equal], counts[suspected[0]])...)
		suspected = suspected[equal:]
	}
	if before+len(t.attributed) > 0 {
		t.cached = nil
	}
}

// withQuarantined returns the parts and those that are in quarantine though their crashes no longer suffice, as
// further processes ended at the same time.
func (t *Table) withQuarantined(parts []Fingerprint) []Fingerprint {
	all := slices.Clone(parts)
	for part, e := range t.parts {
		if !e.until.IsZero() && !slices.Contains(parts, part) {
			all = append(all, part)
		}
	}
	return all
}

// findContested sets implicated for parts in quarantine and those with sufficient crashes.
func (t *Table) findContested(parts []Fingerprint) {
	t.implicated = make(map[Fingerprint]bool, len(parts))
	if len(parts) == 0 {
		return
	}
	for _, part := range parts {
		t.implicated[part] = false
	}
	explained := map[Fingerprint][]Crash{}
	for other, e := range t.parts {
		for part, ends := range t.sharedEnds(other, e, parts) {
			if len(ends) >= crashLimit {
				explained[part] = append(explained[part], ends...)
				if _, known := t.implicated[other]; !known {
					t.implicated[other] = false
				}
			}
		}
	}
	t.explainByRarerParts(parts, explained)
	for part, ends := range explained {
		e := t.parts[part]
		isExplained := func(c Crash) bool { return slices.ContainsFunc(ends, c.sameEnd) }
		t.implicated[part] = !t.sufficient(e.processes(isExplained), e.requests())
	}
}

// explainByRarerParts adds the ends that parts of other prompts explain as well: those with as many ends in fewer
// requests. A harmful part ends a process with its first request, whereas a popular one is in flight in many.
func (t *Table) explainByRarerParts(parts []Fingerprint, explained map[Fingerprint][]Crash) {
	ends, requests := make([][]Crash, len(parts)), make([]int, len(parts))
	for i, part := range parts {
		ends[i], requests[i] = t.parts[part].processes(none), t.parts[part].requests()
	}
	for i, part := range parts {
		for j := range parts {
			if requests[j] >= requests[i] || len(ends[j]) < len(ends[i]) {
				continue
			}
			for _, c := range ends[j] {
				if slices.ContainsFunc(ends[i], c.sameEnd) {
					explained[part] = append(explained[part], c)
				}
			}
		}
	}
}

// sharedEnds returns, for those parts that are in prompts with another part, the processes that ended under
// such prompts.
func (t *Table) sharedEnds(other Fingerprint, e *partEntry, parts []Fingerprint) map[Fingerprint][]Crash {
	if len(e.crashes) < crashLimit {
		return nil
	}
	ends := map[Fingerprint][]Crash{}
	for _, c := range e.crashes {
		for _, part := range c.Parts {
			if part != other && slices.Contains(parts, part) && !slices.ContainsFunc(ends[part], c.sameEnd) {
				ends[part] = append(ends[part], c)
			}
		}
	}
	return ends
}

// Implicated returns the parts of prompts with sufficient crashes, and whether each is contested: other parts
// explain these crashes as well. Those of the same prompts are included. The result is never modified.
func (t *Table) Implicated() map[Fingerprint]bool { return t.implicated }

// quarantineEqualParts decides on parts with the same number of ends. It returns the ends that are
// attributed to them.
func (t *Table) quarantineEqualParts(parts []Fingerprint, ends int) (attributed []attribution) {
	repeated := t.repeatedRequests()
	for _, part := range parts {
		e := t.parts[part]
		elsewhere := func(c Crash) bool {
			isSame := func(a attribution) bool { return a.sameEnd(c) }
			explains := func(request *entry) bool { return request.explains(c, part, ends) }
			return slices.ContainsFunc(t.attributed, isSame) || slices.ContainsFunc(repeated, explains)
		}
		if e.until.IsZero() && !t.sufficient(e.processes(elsewhere), e.requests()) {
			continue
		}
		last := int64(0)
		for _, c := range e.processes(none) {
			attributed = append(attributed, attribution{Crash: c, part: part, ends: ends})
			last = max(last, c.SeenAt)
		}
		if until := time.Unix(0, last).Add(Duration); until.After(e.until) {
			e.until = until
			t.cached = nil
		}
	}
	return attributed
}

// repeatedRequests returns the quarantined requests that were sent again and again.
func (t *Table) repeatedRequests() (repeated []*entry) {
	for _, e := range t.entries {
		if len(e.crashes) >= repeatedCrashes && t.unattributed(e) >= crashLimit {
			repeated = append(repeated, e)
		}
	}
	return repeated
}

// explains reports whether a repeated request explains the end of a process, rather than a part under
// which a number of processes ended. A part that is in flight at the ends of several harmful requests has more of
// them than each request, so that only a part of the request's own prompt explains more by its number.
func (e *entry) explains(c Crash, part Fingerprint, ends int) bool {
	return (len(e.crashes) >= ends || !e.hasPart(part)) && e.isDuplicate(c)
}

// hasPart reports whether the part is a suspected one of the request's own prompt.
func (e *entry) hasPart(part Fingerprint) bool {
	return slices.ContainsFunc(e.crashes, func(c learnedCrash) bool { return slices.Contains(c.Parts, part) })
}

// Suspects returns the number of processes that ended under each suspected part; 0 for a quarantine
// of which only the store tells. The result is never modified.
func (t *Table) Suspects() map[Fingerprint]int {
	if t.suspects != nil {
		return t.suspects
	}
	t.suspects = map[Fingerprint]int{}
	for f := range t.stored {
		t.suspects[f] = 0
	}
	for part, e := range t.parts {
		t.suspects[part] = len(e.processes(none))
	}
	return t.suspects
}

// Completed returns the latest completions of requests with suspected parts. The result is never
// modified.
func (t *Table) Completed() map[Fingerprint]time.Time {
	if t.shared == nil {
		t.shared = make(map[Fingerprint]time.Time, len(t.completed))
		for part, at := range t.completed {
			t.shared[part] = at
		}
	}
	return t.shared
}

// refuted reports whether a quarantine that the store holds is contradicted: by a completion of a
// request with the part and no crash after it, or because the crashes under a request are attributed
// to a part.
func (t *Table) refuted(f Fingerprint) bool {
	if e, known := t.entries[f]; known && len(e.crashes) >= crashLimit {
		return t.unattributed(e) < crashLimit
	}
	_, completed := t.completed[f]
	e, suspected := t.parts[f]
	return completed && (!suspected || e.until.IsZero())
}

// Refuted returns the quarantines in the store that are contradicted. They do not apply, and are to
// be deleted.
func (t *Table) Refuted() map[Fingerprint]struct{} {
	var refuted map[Fingerprint]struct{}
	for f := range t.stored {
		if !t.refuted(f) {
			continue
		}
		if refuted == nil {
			refuted = map[Fingerprint]struct{}{}
		}
		refuted[f] = struct{}{}
	}
	return refuted
}

// unattributed returns the number of crashes under a request that are not attributed to a part of other
// prompts.
func (t *Table) unattributed(e *entry) (n int) {
	for _, c := range e.crashes {
		if !t.attributedToOther(c.Crash, len(e.crashes)) {
			n++
		}
	}
	return n
}

// withImplicatedParts returns the crash with one of its parts and those other ones that are implicated.
func (t *Table) withImplicatedParts(c Crash, part Fingerprint) Crash {
	kept := []Fingerprint{part}
	for _, other := range c.Parts {
		if _, implicated := t.implicated[other]; implicated && other != part {
			kept = append(kept, other)
		}
	}
	c.Parts = kept
	return c
}

// sufficientCrashes returns crashes that suffice to quarantine the part.
func (t *Table) sufficientCrashes(e *partEntry) []Crash {
	var chosen partEntry
	for _, c := range e.crashes {
		if t.sufficient(chosen.processes(none), chosen.requests()) {
			break
		}
		chosen.add(c)
	}
	return chosen.crashes
}

// suspicion returns the largest number of crashes of a part in a crash.
func (t *Table) suspicion(c Crash) (weight int) {
	for _, part := range c.Parts {
		if e, suspected := t.parts[part]; suspected && !t.completedAfter(part, c) {
			weight = max(weight, len(e.crashes))
		}
	}
	return weight
}

// withSuspectedParts returns the crash with those of its parts that are still suspected.
func (t *Table) withSuspectedParts(c Crash) Crash {
	var suspected []Fingerprint
	for _, part := range c.Parts {
		if _, known := t.parts[part]; known && !t.completedAfter(part, c) {
			suspected = append(suspected, part)
		}
	}
	c.Parts = suspected
	return c
}
