package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"heatherloom/platform/standin"
)

// The bounds of the rules, as docs/platform.md states them.
const (
	// contact is the time without disturbance after which rules with a time bound hold.
	contact = 5 * time.Second
	// configLag is the time within which a configuration is in force, and revert the one
	// after whose effect no older one may be; pausedRevert is that of a process that was
	// stopped, eight times as long.
	configLag    = 3 * time.Second
	revert       = 250 * time.Millisecond
	pausedRevert = 8 * revert
	revokeWithin = 5 * time.Second
	drainWithin  = 3 * time.Second
	evacuateIn   = 5 * time.Second
	// lossSlack is the age from which a request that was read must not lose its connection
	// at a planned shutdown; maxLost such losses may happen.
	lossSlack = 200 * time.Millisecond
	maxLost   = 3
	// lateAfter is the time beyond its limit by which a request has its final answer. More
	// than maxLate late ones, and more than a quarter of all long ones, break the rule.
	lateAfter   = 500 * time.Millisecond
	maxLate     = 8
	quotaWindow = 8 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
)

// Violation is a promise that was broken.
type Violation struct {
	Rule   string
	Detail string
}

// rule is one check over the evidence.
type rule struct {
	name  string
	check func(e *evidence, report func(format string, args ...any))
}

var rules = []rule{
	{"answers", checkAnswers},
	{"at_most_once", checkAtMostOnce},
	{"true_refusals", checkRefusals},
	{"keys", checkKeys},
	{"homes", checkHomes},
	{"draining", checkDraining},
	{"evacuation", checkEvacuation},
	{"configuration_age", checkConfigAge},
	{"configuration_order", checkConfigOrder},
	{"rates", checkRates},
	{"shutdown", checkShutdown},
	{"sound_connections", checkSoundConnections},
	{"time_limits", checkTimeLimits},
}

// judge returns what the evidence shows to be broken.
func judge(e *evidence) []Violation {
	var found []Violation
	for _, r := range rules {
		r.check(e, func(format string, args ...any) {
			found = append(found, Violation{Rule: r.name, Detail: fmt.Sprintf(format, args...)})
		})
	}
	return found
}

func checkAnswers(e *evidence, report func(string, ...any)) {
	for _, c := range e.calls {
		if c.result == wrong {
			report("%s %s by %s: %s", c.kind, c.id, c.entry.id, c.detail)
		}
	}
}

func checkAtMostOnce(e *evidence, report func(string, ...any)) {
	for _, c := range e.calls {
		if runs := e.runs[c.id]; !c.kind.repeatable() && len(runs) > 1 {
			report("%s %s by %s ran %d times, at %s and %s", c.kind, c.id, c.entry.id, len(runs), runs[0].Server, runs[1].Server)
		}
	}
}

func checkRefusals(e *evidence, report func(string, ...any)) {
	for _, c := range e.calls {
		if runs := e.runs[c.id]; c.result == refused && !c.kind.repeatable() && len(runs) > 0 {
			report("%s %s by %s was refused with %d and ran at %s", c.kind, c.id, c.entry.id, c.status, runs[0].Server)
		}
	}
}

// checkKeys holds for all instances, whatever happens to them.
func checkKeys(e *evidence, report func(string, ...any)) {
	for _, c := range e.calls {
		at, revoked := e.revoked[c.key]
		if revoked && c.sent.After(at.Add(revokeWithin)) && len(e.runs[c.id]) > 0 {
			report("%s by %s ran %s after its key was taken away", c.id, c.entry.id, c.sent.Sub(at))
		}
	}
}

func checkHomes(e *evidence, report func(string, ...any)) {
	for _, c := range e.calls {
		for _, run := range e.runs[c.id] {
			if c.kind == kindBound && region(run.Domain) != boundRegion {
				report("%s by %s ran in %s", c.id, c.entry.id, run.Domain)
			}
		}
	}
}

func checkDraining(e *evidence, report func(string, ...any)) {
	for _, c := range e.calls {
		for _, run := range e.runs[c.id] {
			at, leaving := e.leaving[run.Server]
			if leaving && c.sent.After(at.Add(drainWithin)) && e.sendersInTouch(c, run) {
				report("%s by %s reached %s %s after it began to leave", c.id, c.entry.id, run.Server, c.sent.Sub(at))
			}
		}
	}
}

func checkEvacuation(e *evidence, report func(string, ...any)) {
	for _, c := range e.calls {
		for _, run := range e.runs[c.id] {
			for _, evacuation := range e.evacuated[run.Domain] {
				inside := c.sent.After(evacuation.from.Add(evacuateIn)) && (evacuation.to.IsZero() || run.At.Before(evacuation.to))
				if inside && e.sendersInTouch(c, run) {
					report("%s by %s reached %s in %s, evacuated %s before", c.id, c.entry.id, run.Server, run.Domain, c.sent.Sub(evacuation.from))
				}
			}
		}
	}
}

// checkConfigAge reports runs that only a configuration allows which should no longer be
// in force when the request was sent.
func checkConfigAge(e *evidence, report func(string, ...any)) {
	for _, c := range e.calls {
		for _, run := range e.runs[c.id] {
			if c.kind != kindMoving || !e.inTouch(c.entry, c.sent, run.At) {
				continue
			}
			newest := e.newest(c.sent.Add(-configLag))
			if !e.explained(newest, run) {
				report("%s by %s ran at %s of service %s, but version %d was %s old", c.id, c.entry.id, run.Server, run.Service,
					e.versions[newest].number, c.sent.Sub(e.versions[newest].at))
			}
		}
	}
}

// newest returns the index of the newest version at a time.
func (e *evidence) newest(at time.Time) int {
	newest := 0
	for i, v := range e.versions {
		if !v.at.After(at) {
			newest = i
		}
	}
	return newest
}

// explained reports whether a version from the given one on allows the run.
func (e *evidence) explained(from int, run standin.Run) bool {
	for _, v := range e.versions[from:] {
		if v.service == run.Service && !v.at.After(run.At) {
			return true
		}
	}
	return false
}

// effect is a run that shows that a version is in force at an instance.
type effect struct {
	at      time.Time
	version int
}

// checkConfigOrder reports instances that went back to an older configuration within one
// life of their process.
func checkConfigOrder(e *evidence, report func(string, ...any)) {
	for _, i := range e.entries {
		for life, began := range i.starts {
			ended := time.Now()
			if life+1 < len(i.starts) {
				ended = i.starts[life+1]
			}
			e.checkLife(i, began, ended, report)
		}
	}
}

func (e *evidence) checkLife(i *entry, began, ended time.Time, report func(string, ...any)) {
	var effects []effect
	for _, m := range e.movingRuns(i, began, ended) {
		slack := revert
		if i.disturbed.touched(m.call.sent.Add(-contact), m.run.At) {
			slack = pausedRevert
		}
		lowest := 0
		for _, f := range effects {
			if f.at.Add(slack).Before(m.call.sent) {
				lowest = max(lowest, f.version)
			}
		}
		if !e.explained(lowest, m.run) {
			report("%s by %s ran at service %s after version %d was seen in force", m.call.id, i.id, m.run.Service, e.versions[lowest].number)
			continue
		}
		effects = append(effects, effect{at: m.run.At, version: e.oldest(lowest, m.run)})
	}
}

// oldest returns the index of the oldest version from the given one on that allows the run.
func (e *evidence) oldest(from int, run standin.Run) int {
	for k, v := range e.versions[from:] {
		if v.service == run.Service {
			return from + k
		}
	}
	return from
}

// movingRun is a run of a request of kindMoving.
type movingRun struct {
	call call
	run  standin.Run
}

func (e *evidence) movingRuns(i *entry, began, ended time.Time) []movingRun {
	var list []movingRun
	for _, c := range e.calls {
		if c.kind != kindMoving || c.entry != i || c.sent.Before(began) || c.sent.After(ended) {
			continue
		}
		for _, run := range e.runs[c.id] {
			if run.At.Before(ended) {
				list = append(list, movingRun{c, run})
			}
		}
	}
	slices.SortFunc(list, func(a, b movingRun) int { return a.run.At.Compare(b.run.At) })
	return list
}

// checkRates counts the requests of the metered client account that were sent and ran
// within a window.
func checkRates(e *evidence, report func(string, ...any)) {
	type sample struct{ sent, ran time.Time }
	var samples []sample
	for _, c := range e.calls {
		if c.kind != kindMetered {
			continue
		}
		for _, run := range e.runs[c.id] {
			samples = append(samples, sample{c.sent, run.At})
		}
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.ran.UnixNano(), b.ran.UnixNano()) })
	limit := (meteredRate*quotaWindow.Seconds()+meteredBurst)*(1+quotaExcess) + quotaSlack
	for first, from := range samples {
		count := 0
		for _, s := range samples[first:] {
			if s.ran.Sub(from.ran) > quotaWindow {
				break
			}
			if !s.sent.Before(from.ran.Add(-lossSlack)) {
				count++
			}
		}
		if float64(count) > limit {
			report("%d requests of the metered account ran within %s, at most %.0f may", count, quotaWindow, limit)
			return
		}
	}
}

// checkShutdown reports requests that lost their connection at a planned shutdown: after
// they were passed on, or later than lossSlack.
func checkShutdown(e *evidence, report func(string, ...any)) {
	lost := 0
	for _, c := range e.calls {
		if !e.lost(c) || !c.entry.planned.touched(c.sent, c.ended) {
			continue
		}
		if len(e.runs[c.id]) > 0 || c.ended.Sub(c.sent) > lossSlack {
			lost++
			if lost > maxLost {
				report("%s %s by %s lost its connection after %s: %s", c.kind, c.id, c.entry.id, c.ended.Sub(c.sent), c.detail)
			}
		}
	}
}

// checkSoundConnections reports requests that were passed on to a sound server and whose
// connection was closed without an answer.
func checkSoundConnections(e *evidence, report func(string, ...any)) {
	lost := 0
	for _, c := range e.calls {
		if !e.lost(c) || c.entry.planned.touched(c.sent.Add(-contact), c.ended) || len(e.runs[c.id]) == 0 {
			continue
		}
		lost++
		if lost > maxLost {
			report("%s %s by %s lost its connection after %s: %s", c.kind, c.id, c.entry.id, c.ended.Sub(c.sent), c.detail)
		}
	}
}

// lost reports whether a request that was written got no answer though neither its
// instance nor a server that ran it was disturbed.
func (e *evidence) lost(c call) bool {
	if c.result != broken || !c.written || c.entry.disturbed.touched(c.sent.Add(-contact), c.ended) {
		return false
	}
	for _, run := range e.runs[c.id] {
		if s := e.servers[run.Server]; s == nil || s.disturbed.touched(c.sent.Add(-contact), c.ended) {
			return false
		}
		if region(run.Domain) != c.entry.region && e.regionDisturbed(region(run.Domain), c) {
			return false
		}
	}
	return true
}

// regionDisturbed reports whether an instance of the region that may have sent the request
// on was disturbed or shut down.
func (e *evidence) regionDisturbed(name string, c call) bool {
	for _, i := range e.entries {
		if i.region != name {
			continue
		}
		for _, s := range []*spans{&i.disturbed, &i.parted, &i.planned} {
			if s.touched(c.sent.Add(-contact), c.ended) {
				return true
			}
		}
	}
	return false
}

func checkTimeLimits(e *evidence, report func(string, ...any)) {
	long, late := 0, 0
	for _, c := range e.calls {
		took := c.ended.Sub(c.sent)
		if took < routeTimeout || !e.inTouch(c.entry, c.sent, c.ended) {
			continue
		}
		long++
		if took > routeTimeout+lateAfter {
			late++
		}
	}
	if late > maxLate && late*4 > long {
		report("%d of %d long requests had no final answer %s after their limit", late, long, lateAfter)
	}
}
