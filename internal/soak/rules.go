package soak

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"heatherloom/platform/standin"
)

// The bounds of the rules, as specified in docs/platform.md.
const (
	// settleTime is the time without faults after which rules with a time bound apply.
	settleTime = 5 * time.Second
	// maxConfigDelay is the time within which a configuration takes effect. An instance may
	// still apply an older version for configOverlap after a newer one took effect;
	// pausedConfigOverlap, eight times as long, holds after a fault such as a paused process.
	maxConfigDelay      = 3 * time.Second
	configOverlap       = 250 * time.Millisecond
	pausedConfigOverlap = 8 * configOverlap
	maxRevokeDelay      = 5 * time.Second
	maxDrainDelay       = 3 * time.Second
	maxEvacuationDelay  = 5 * time.Second
	// lossGrace is the age from which a request that the instance has read must not lose its
	// connection at a planned shutdown; maxLost such losses are tolerated.
	lossGrace = 200 * time.Millisecond
	maxLost   = 3
	// lateGrace is the time after its time limit by which a request must have its final
	// response. The rule is violated by more than maxLate late requests that are also more
	// than a quarter of the requests that reached their time limit.
	lateGrace = 500 * time.Millisecond
	maxLate   = 8
	// tolerableCrashes is the number of servers that one request may crash, and
	// tolerablePartCrashes that of requests with one part in their prompts. Later than settleTime
	// after that, they may reach servers maxLateRetries more times.
	tolerableCrashes     = 3
	tolerablePartCrashes = 5
	maxLateRetries       = 3
	rateWindow           = 8 * time.Second
	rateExcess           = 0.1
	quotaSlack           = 20
	// A server that names a request rate gets in each namedRateWindow, from settleTime on, at most
	// namedRateExcess times what the rate allows and namedRateSlack requests more.
	namedRateWindow = 4 * time.Second
	namedRateExcess = 1.5
	namedRateSlack  = 5
	// At an instance that is cut off from all servers, from settleTime on, callers are served at least
	// cutServedShare times as often as at another one of the region, or at most cutFailures and a
	// share of cutFailureShare of their requests fail.
	cutServedShare  = 2.0 / 3
	cutFailures     = 10
	cutFailureShare = 0.02
	// Later than leftGrace after their callers have left, at most maxAfterLeaving requests reach servers.
	leftGrace       = 500 * time.Millisecond
	maxAfterLeaving = 3
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   string
	Detail string
}

// rule is one check of a history.
type rule struct {
	name  string
	check func(e *history, report func(format string, args ...any))
}

var rules = []rule{
	{"answers", checkResponses},
	{"at_most_once", checkAtMostOnce},
	{"true_refusals", checkRejections},
	{"keys", checkKeys},
	{"homes", checkAllowedRegions},
	{"draining", checkDraining},
	{"evacuation", checkEvacuation},
	{"configuration_age", checkConfigAge},
	{"configuration_order", checkConfigOrder},
	{"rates", checkRates},
	{"shutdown", checkShutdown},
	{"sound_connections", checkHealthyConnections},
	{"time_limits", checkTimeLimits},
	{"harmful_requests", checkHarmfulRequests},
	{"named_rates", checkNamedRates},
	{"instances_without_servers", checkInstancesWithoutServers},
	{"callers_that_left", checkCallersThatLeft},
	{"leaving_servers", checkLeavingServers},
	{"duty_calls", checkDutyCalls},
	{"usage_windows", checkUsageWindows},
}

// checkRules returns the violations of all rules in a history.
func checkRules(e *history) []Violation {
	var found []Violation
	for _, r := range rules {
		r.check(e, func(format string, args ...any) {
			found = append(found, Violation{Rule: r.name, Detail: fmt.Sprintf(format, args...)})
		})
	}
	return found
}

func checkResponses(e *history, report func(string, ...any)) {
	for _, c := range e.calls {
		if c.result == wrong {
			report("%s %s by %s: %s", c.kind, c.id, c.node.id, c.detail)
		}
	}
}

func checkAtMostOnce(e *history, report func(string, ...any)) {
	for _, c := range e.calls {
		if executions := e.executions[c.id]; !c.kind.idempotent() && len(executions) > 1 {
			report("%s %s by %s was executed %d times, at %s and %s", c.kind, c.id, c.node.id, len(executions), executions[0].Server, executions[1].Server)
		}
	}
}

func checkRejections(e *history, report func(string, ...any)) {
	for _, c := range e.calls {
		if executions := e.executions[c.id]; c.result == rejected && !c.kind.idempotent() && len(executions) > 0 {
			report("%s %s by %s was rejected with %d and executed at %s", c.kind, c.id, c.node.id, c.status, executions[0].Server)
		}
	}
}

// checkKeys applies to all instances, also while they have faults.
func checkKeys(e *history, report func(string, ...any)) {
	for _, c := range e.calls {
		at, revoked := e.revoked[c.key]
		if revoked && c.sent.After(at.Add(maxRevokeDelay)) && len(e.executions[c.id]) > 0 {
			report("%s by %s was executed though sent %s after its key was revoked", c.id, c.node.id, c.sent.Sub(at))
		}
	}
}

func checkAllowedRegions(e *history, report func(string, ...any)) {
	for _, c := range e.calls {
		for _, execution := range e.executions[c.id] {
			if c.kind == kindRegionBound && regionOf(execution.FailureDomain) != allowedRegion {
				report("%s by %s was executed in %s", c.id, c.node.id, execution.FailureDomain)
			}
		}
	}
}

func checkDraining(e *history, report func(string, ...any)) {
	for _, c := range e.calls {
		for _, execution := range e.executions[c.id] {
			at, draining := e.draining[execution.Server]
			if draining && c.sent.After(at.Add(maxDrainDelay)) && e.sendersUndisturbed(c, execution) {
				report("%s by %s reached %s though sent %s after it began to drain", c.id, c.node.id, execution.Server, c.sent.Sub(at))
			}
		}
	}
}

func checkEvacuation(e *history, report func(string, ...any)) {
	for _, c := range e.calls {
		for _, execution := range e.executions[c.id] {
			for _, evacuation := range e.evacuated[execution.FailureDomain] {
				inside := c.sent.After(evacuation.from.Add(maxEvacuationDelay)) && (evacuation.to.IsZero() || execution.At.Before(evacuation.to))
				if inside && e.sendersUndisturbed(c, execution) {
					report("%s by %s reached %s in %s, evacuated %s before the request", c.id, c.node.id, execution.Server, execution.FailureDomain, c.sent.Sub(evacuation.from))
				}
			}
		}
	}
}

// checkConfigAge reports executions that are allowed only by a configuration that should
// have been replaced before the request was sent.
func checkConfigAge(e *history, report func(string, ...any)) {
	for _, c := range e.calls {
		for _, execution := range e.executions[c.id] {
			if c.kind != kindRerouted || !e.undisturbed(c.node, c.sent, execution.At) {
				continue
			}
			newest := e.newestVersion(c.sent.Add(-maxConfigDelay))
			if !e.allowedSince(newest, execution) {
				report("%s by %s was executed at %s of service %s, but configuration version %d was %s old", c.id, c.node.id, execution.Server, execution.Service,
					e.versions[newest].number, c.sent.Sub(e.versions[newest].at))
			}
		}
	}
}

// newest returns the index of the newest version at a time.
func (e *history) newestVersion(at time.Time) int {
	newest := 0
	for i, v := range e.versions {
		if !v.at.After(at) {
			newest = i
		}
	}
	return newest
}

// allowedSince reports whether the given version or a later one allows the execution.
func (e *history) allowedSince(from int, execution standin.ExecutedRequest) bool {
	for _, v := range e.versions[from:] {
		if v.service == execution.Service && !v.at.After(execution.At) {
			return true
		}
	}
	return false
}

// configObservation is an execution which shows that an instance applied a version.
type configObservation struct {
	at      time.Time
	version int
}

// checkConfigOrder reports processes that went back to an older configuration.
func checkConfigOrder(e *history, report func(string, ...any)) {
	for _, i := range e.nodes {
		for index, started := range i.starts {
			ended := time.Now()
			if index+1 < len(i.starts) {
				ended = i.starts[index+1]
			}
			e.checkProcess(i, started, ended, report)
		}
	}
}

func (e *history) checkProcess(i *node, started, ended time.Time, report func(string, ...any)) {
	var observations []configObservation
	for _, m := range e.reroutedExecutions(i, started, ended) {
		slack := configOverlap
		if i.faults.overlaps(m.call.sent.Add(-settleTime), m.execution.At) {
			slack = pausedConfigOverlap
		}
		lowest := 0
		for _, f := range observations {
			if f.at.Add(slack).Before(m.call.sent) {
				lowest = max(lowest, f.version)
			}
		}
		if !e.allowedSince(lowest, m.execution) {
			report("%s by %s was executed at service %s after configuration version %d had taken effect", m.call.id, i.id, m.execution.Service, e.versions[lowest].number)
			continue
		}
		observations = append(observations, configObservation{at: m.execution.At, version: e.oldestVersion(lowest, m.execution)})
	}
}

// oldestVersion returns the index of the oldest version, from the given one on, that allows
// the execution.
func (e *history) oldestVersion(from int, execution standin.ExecutedRequest) int {
	for k, v := range e.versions[from:] {
		if v.service == execution.Service {
			return from + k
		}
	}
	return from
}

// reroutedExecution is an execution of a kindRerouted request.
type reroutedExecution struct {
	call      call
	execution standin.ExecutedRequest
}

func (e *history) reroutedExecutions(i *node, started, ended time.Time) []reroutedExecution {
	var list []reroutedExecution
	for _, c := range e.calls {
		if c.kind != kindRerouted || c.node != i || c.sent.Before(started) || c.sent.After(ended) {
			continue
		}
		for _, execution := range e.executions[c.id] {
			if execution.At.Before(ended) {
				list = append(list, reroutedExecution{c, execution})
			}
		}
	}
	slices.SortFunc(list, func(a, b reroutedExecution) int { return a.execution.At.Compare(b.execution.At) })
	return list
}

// checkRates counts the requests of the rate-limited client account that were sent and
// executed within a window.
func checkRates(e *history, report func(string, ...any)) {
	type sample struct{ sent, executed time.Time }
	var samples []sample
	for _, c := range e.calls {
		if c.kind != kindLimited {
			continue
		}
		for _, execution := range e.executions[c.id] {
			samples = append(samples, sample{c.sent, execution.At})
		}
	}
	slices.SortFunc(samples, func(a, b sample) int { return cmp.Compare(a.executed.UnixNano(), b.executed.UnixNano()) })
	limit := (limitedRate*rateWindow.Seconds()+limitedBurst)*(1+rateExcess) + quotaSlack
	for first, from := range samples {
		count := 0
		for _, s := range samples[first:] {
			if s.executed.Sub(from.executed) > rateWindow {
				break
			}
			if !s.sent.Before(from.executed.Add(-lossGrace)) {
				count++
			}
		}
		if float64(count) > limit {
			report("%d requests of the rate-limited account were executed within %s, at most %.0f are allowed", count, rateWindow, limit)
			return
		}
	}
}

// checkShutdown reports requests that lost their connection at a planned shutdown although
// they had been executed or were older than lossGrace.
func checkShutdown(e *history, report func(string, ...any)) {
	lost := 0
	for _, c := range e.calls {
		if !e.lostWithoutFault(c) || !c.node.plannedShutdowns.overlaps(c.sent, c.ended) {
			continue
		}
		if len(e.executions[c.id]) > 0 || c.ended.Sub(c.sent) > lossGrace {
			lost++
			if lost > maxLost {
				report("%s %s by %s lost its connection after %s: %s", c.kind, c.id, c.node.id, c.ended.Sub(c.sent), c.detail)
			}
		}
	}
}

// checkHealthyConnections reports requests that were executed by a server without faults
// and whose connection was closed without a response.
func checkHealthyConnections(e *history, report func(string, ...any)) {
	lost := 0
	for _, c := range e.calls {
		if !e.lostWithoutFault(c) || c.node.plannedShutdowns.overlaps(c.sent.Add(-settleTime), c.ended) || len(e.executions[c.id]) == 0 {
			continue
		}
		lost++
		if lost > maxLost {
			report("%s %s by %s lost its connection after %s: %s", c.kind, c.id, c.node.id, c.ended.Sub(c.sent), c.detail)
		}
	}
}

// lostWithoutFault reports whether a request that was written got no response though
// neither its instance, nor a server that executed it, nor the links of an instance to the servers
// had a fault.
func (e *history) lostWithoutFault(c call) bool {
	if c.result != incomplete || !c.written || c.node.faults.overlaps(c.sent.Add(-settleTime), c.ended) {
		return false
	}
	for _, n := range e.nodes {
		if n.serverLinkFaults.overlaps(c.sent.Add(-settleTime), c.ended) {
			return false
		}
	}
	for _, execution := range e.executions[c.id] {
		if s := e.servers[execution.Server]; s == nil || s.faults.overlaps(c.sent.Add(-settleTime), c.ended) {
			return false
		}
		if regionOf(execution.FailureDomain) != c.node.region && e.regionHadFaults(regionOf(execution.FailureDomain), c) {
			return false
		}
	}
	return true
}

// regionHadFaults reports whether an instance of the region that may have forwarded the
// request had a fault or was shut down.
func (e *history) regionHadFaults(name string, c call) bool {
	for _, i := range e.nodes {
		if i.region != name {
			continue
		}
		for _, s := range []*intervals{&i.faults, &i.peerLinkFaults, &i.plannedShutdowns} {
			if s.overlaps(c.sent.Add(-settleTime), c.ended) {
				return true
			}
		}
	}
	return false
}

func checkTimeLimits(e *history, report func(string, ...any)) {
	long, late := 0, 0
	for _, c := range e.calls {
		took := c.ended.Sub(c.sent)
		if took < routeTimeout || !e.undisturbed(c.node, c.sent, c.ended) {
			continue
		}
		long++
		if took > routeTimeout+lateGrace {
			late++
		}
	}
	if late > maxLate && late*4 > long {
		report("%d of %d requests that reached their time limit had no final response %s after it", late, long, lateGrace)
	}
}

// checkHarmfulRequests reports requests that were sent on after they had crashed tolerableCrashes
// servers, and prompt parts whose requests were after tolerablePartCrashes.
func checkHarmfulRequests(e *history, report func(string, ...any)) {
	checkHarmful(e, kindHarmful, tolerableCrashes, report)
	checkHarmful(e, kindHarmfulPart, tolerablePartCrashes, report)
}

// checkNamedRates reports servers that got more requests than the rate that they name, from undisturbed
// instances. A link that held requests back may deliver many at once.
func checkNamedRates(e *history, report func(string, ...any)) {
	arrivals := map[string][]time.Time{}
	for _, c := range e.calls {
		for _, execution := range e.executions[c.id] {
			s := e.servers[execution.Server]
			if s == nil || s.ratedSince.IsZero() || !execution.At.After(s.ratedSince.Add(settleTime)) {
				continue
			}
			if e.sendersUndisturbed(c, execution) && !s.faults.overlaps(execution.At.Add(-settleTime), execution.At) {
				arrivals[execution.Server] = append(arrivals[execution.Server], execution.At)
			}
		}
	}
	allowed := namedRateExcess*namedRate*namedRateWindow.Seconds() + namedRateSlack
	for server, times := range arrivals {
		slices.SortFunc(times, time.Time.Compare)
		for first, last := 0, 0; last < len(times); last++ {
			for times[last].Sub(times[first]) >= namedRateWindow {
				first++
			}
			if n := last - first + 1; float64(n) > allowed {
				report("%s got %d requests within %s, %v are allowed", server, n, namedRateWindow, allowed)
				break
			}
		}
	}
}

// checkInstancesWithoutServers reports instances that are cut off from all servers and whose callers are served
// worse than those at other instances of the region. It compares the periods in which nothing else is disturbed.
func checkInstancesWithoutServers(e *history, report func(string, ...any)) {
	for _, cut := range e.nodes {
		for _, fault := range cut.serverLinkFaults.list {
			from, to := fault.from.Add(settleTime), fault.to
			if to.IsZero() || !e.onlyServersCut(cut, from, to) {
				continue
			}
			own, others := e.servedBetween(cut, from, to, false), e.servedBetween(cut, from, to, true)
			failed := own.sent - own.served
			if float64(failed) > cutFailures+cutFailureShare*float64(own.sent) && own.share() < cutServedShare*others.share() {
				report("%s served %d of %d requests while it was cut off from all servers, others %d of %d", cut.id, own.served, own.sent, others.served, others.sent)
			}
		}
	}
}

// onlyServersCut reports whether an instance and the others of its region have no other fault in a period, and
// the others reach the servers.
func (e *history) onlyServersCut(cut *node, from, to time.Time) bool {
	for _, n := range e.nodes {
		if n.region != cut.region {
			continue
		}
		isDisturbed := !e.undisturbed(n, from, to) || n.peerLinkFaults.overlaps(from.Add(-settleTime), to)
		if isDisturbed || (n != cut && n.serverLinkFaults.overlaps(from.Add(-settleTime), to)) {
			return false
		}
	}
	return from.Before(to)
}

// served counts the requests that were sent, and those that got a valid response.
type served struct{ sent, served int }

func (s served) share() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// servedBetween counts ordinary requests at an instance, or at the others of its region, in a period.
func (e *history) servedBetween(cut *node, from, to time.Time, others bool) (n served) {
	for _, c := range e.calls {
		isOrdinary := c.kind == kindWrite || c.kind == kindRead || c.kind == kindStream
		if !isOrdinary || (c.node == cut) == others || c.node.region != cut.region || c.sent.Before(from) || c.ended.After(to) {
			continue
		}
		n.sent++
		if c.result == valid {
			n.served++
		}
	}
	return n
}

// checkCallersThatLeft reports requests that reached servers after their callers had left, unless an instance, a link or
// the server held them up.
func checkCallersThatLeft(e *history, report func(string, ...any)) {
	late := 0
	for _, c := range e.calls {
		for _, execution := range e.executions[c.id] {
			after := execution.At.Sub(c.ended)
			s := e.servers[execution.Server]
			if c.result != abandoned || after <= leftGrace || !e.sendersUndisturbed(c, execution) || s == nil || s.faults.overlaps(c.sent.Add(-settleTime), execution.At) {
				continue
			}
			if e.regionHadFaults(regionOf(execution.FailureDomain), c) || e.linksHadFaults(c.sent.Add(-settleTime), execution.At) {
				continue
			}
			if late++; late > maxAfterLeaving {
				report("%s %s by %s reached %s %s after its caller had left", c.kind, c.id, c.node.id, execution.Server, after)
			}
		}
	}
}

// linksHadFaults reports whether a link of an instance to the servers had a fault.
func (e *history) linksHadFaults(from, to time.Time) bool {
	return slices.ContainsFunc(e.nodes, func(n *node) bool { return n.serverLinkFaults.overlaps(from, to) })
}

// checkLeavingServers reports requests that an instance sent to a server of its region maxDrainDelay after it had passed
// on a response which said that the server leaves. An instance that is cut off from servers asks others.
func checkLeavingServers(e *history, report func(string, ...any)) {
	type announcement struct{ node, server string }
	heard := map[announcement]time.Time{}
	calls := slices.SortedFunc(slices.Values(e.calls), func(a, b call) int { return a.ended.Compare(b.ended) })
	for _, c := range calls {
		for _, execution := range e.executions[c.id] {
			s := e.servers[execution.Server]
			if s == nil || !s.saysLeaving.overlaps(execution.At, execution.At) || regionOf(execution.FailureDomain) != c.node.region || e.linksHadFaults(c.sent.Add(-settleTime), c.ended) {
				continue
			}
			key := announcement{c.node.id, execution.Server}
			at, known := heard[key]
			sameLeave := known && s.saysLeaving.coversBoth(at, execution.At)
			if sameLeave && c.sent.Sub(at) > maxDrainDelay && !c.node.faults.overlaps(at, execution.At) {
				report("%s %s by %s reached %s %s after it had said that it leaves", c.kind, c.id, c.node.id, execution.Server, c.sent.Sub(at))
			}
			if !sameLeave && c.result == valid && s.saysLeaving.coversBoth(execution.At, c.ended) {
				heard[key] = c.ended
			}
		}
	}
}

func checkHarmful(e *history, kind requestKind, tolerable int, report func(string, ...any)) {
	type arrival struct {
		call      call
		execution standin.ExecutedRequest
	}
	byContent := map[string][]arrival{}
	for _, c := range e.calls {
		for _, execution := range e.executions[c.id] {
			if c.kind == kind {
				byContent[c.content] = append(byContent[c.content], arrival{c, execution})
			}
		}
	}
	for content, arrivals := range byContent {
		slices.SortFunc(arrivals, func(a, b arrival) int { return a.execution.At.Compare(b.execution.At) })
		late := 0
		for _, a := range arrivals[min(tolerable, len(arrivals)):] {
			last := arrivals[tolerable-1].execution.At
			if a.execution.At.After(last.Add(settleTime)) && e.sendersUndisturbed(a.call, a.execution) {
				late++
			}
		}
		if late > maxLateRetries {
			report("%s reached servers %d times later than %s after it had crashed %d servers, %d times in all", content, late, settleTime, tolerable, len(arrivals))
		}
	}
}
