package soak

import (
	"slices"
	"testing"
	"time"

	"heatherloom/internal/external"
	"heatherloom/platform/standin"
)

// startTime is the start of all histories of the tests.
var startTime = time.Date(2026, 1, 1, 6, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return startTime.Add(d) }

// env is a history with one instance in each region and no faults.
type env struct {
	*history
	a, b *node
}

func newEnv() env {
	a, b := &node{id: "a-0", region: "a", starts: []time.Time{startTime}}, &node{id: "b-0", region: "b", starts: []time.Time{startTime}}
	servers := map[string]*server{"s1": {}, "s2": {}}
	return env{a: a, b: b, history: &history{
		executions: map[string][]standin.ExecutedRequest{}, nodes: []*node{a, b}, servers: servers, storeFaults: &intervals{}, dutyFaults: &intervals{},
		started: at(0), ended: at(0),
		versions:  []configVersion{{1, at(0), serviceStatus1}, {2, at(20 * time.Second), serviceStatus2}},
		revoked:   map[string]time.Time{"old": at(10 * time.Second)},
		draining:  map[string]time.Time{"s2": at(10 * time.Second)},
		evacuated: map[string][]interval{"b-1": {{at(10 * time.Second), at(20 * time.Second)}}},
	}}
}

// add records a call with the given executions, by default to the instance of region a.
func (r env) add(c call, executions ...standin.ExecutedRequest) {
	c.id = string(rune('a' + len(r.calls)))
	if c.node == nil {
		c.node = r.a
	}
	if c.ended.IsZero() {
		c.ended = c.sent.Add(50 * time.Millisecond)
	}
	for i := range executions {
		executions[i].RequestID = c.id
		if executions[i].At.IsZero() {
			executions[i].At = c.sent.Add(10 * time.Millisecond)
		}
	}
	r.calls = append(r.calls, c)
	r.executions[c.id] = executions
}

func (r env) violatedRules() []string {
	var names []string
	for _, v := range checkRules(r.history) {
		if !slices.Contains(names, v.Rule) {
			names = append(names, v.Rule)
		}
	}
	return names
}

func execution(server, domain, service string) standin.ExecutedRequest {
	return standin.ExecutedRequest{Server: server, FailureDomain: domain, Service: service}
}

// Guards against a rule that misses violations, and against one that reports allowed behavior.
func TestRulesFindWhatIsBroken(t *testing.T) {
	plain := execution("s1", "a-1", servicePlain)
	for _, c := range []struct {
		name string
		want string
		fill func(r env)
	}{
		{"sound", "", func(r env) { r.add(call{kind: kindWrite, sent: at(time.Second), result: valid}, plain) }},
		{"wrong answer", "answers", func(r env) { r.add(call{kind: kindRead, sent: at(time.Second), result: wrong}, plain) }},
		{"write twice", "at_most_once", func(r env) { r.add(call{kind: kindWrite, sent: at(time.Second), result: valid}, plain, plain) }},
		{"stream twice", "at_most_once", func(r env) { r.add(call{kind: kindStream, sent: at(time.Second), result: failed}, plain, plain) }},
		{"read twice", "", func(r env) { r.add(call{kind: kindRead, sent: at(time.Second), result: valid}, plain, plain) }},
		{"refused and ran", "true_refusals", func(r env) { r.add(call{kind: kindWrite, sent: at(time.Second), result: rejected}, plain) }},
		{"failed and ran", "", func(r env) { r.add(call{kind: kindWrite, sent: at(time.Second), result: failed}, plain) }},
		{"key gone", "keys", func(r env) { r.add(call{kind: kindRead, key: "old", sent: at(16 * time.Second), result: valid}, plain) }},
		{"key just gone", "", func(r env) { r.add(call{kind: kindRead, key: "old", sent: at(14 * time.Second), result: valid}, plain) }},
		{"key gone, store away", "keys", func(r env) {
			r.storeFaults.list = []interval{{at(9 * time.Second), at(30 * time.Second)}}
			r.add(call{kind: kindRead, key: "old", sent: at(16 * time.Second), result: valid}, plain)
		}},
		{"not at home", "homes", func(r env) { r.add(call{kind: kindRegionBound, sent: at(time.Second), result: valid}, plain) }},
		{"at home", "", func(r env) {
			r.add(call{kind: kindRegionBound, sent: at(time.Second), result: valid}, execution("s1", "b-1", servicePlain))
		}},
		{"leaving server", "draining", func(r env) {
			r.add(call{kind: kindRead, sent: at(14 * time.Second), result: valid}, execution("s2", "a-1", servicePlain))
		}},
		{"leaving server, instance restarted", "", func(r env) {
			r.a.faults.list = []interval{{at(9 * time.Second), at(10 * time.Second)}}
			r.add(call{kind: kindRead, sent: at(14 * time.Second), result: valid}, execution("s2", "a-1", servicePlain))
		}},
		{"evacuated", "evacuation", func(r env) {
			r.add(call{kind: kindRead, sent: at(16 * time.Second), result: valid}, execution("s1", "b-1", servicePlain))
		}},
		{"evacuated, the other region paused", "", func(r env) {
			r.b.faults.list = []interval{{at(12 * time.Second), time.Time{}}}
			r.add(call{kind: kindRead, sent: at(16 * time.Second), result: valid}, execution("s1", "b-1", servicePlain))
		}},
		{"taken back", "", func(r env) {
			r.add(call{kind: kindRead, sent: at(21 * time.Second), result: valid}, execution("s1", "b-1", servicePlain))
		}},
		{"old configuration", "configuration_age", func(r env) {
			r.add(call{kind: kindRerouted, sent: at(24 * time.Second), result: valid}, execution("s1", "a-1", serviceStatus1))
		}},
		{"configuration under way", "", func(r env) {
			r.add(call{kind: kindRerouted, sent: at(22 * time.Second), result: valid}, execution("s1", "a-1", serviceStatus1))
		}},
		{"back to an old configuration", "configuration_order", func(r env) {
			r.add(call{kind: kindRerouted, sent: at(21 * time.Second), result: valid}, execution("s1", "a-1", serviceStatus2))
			r.add(call{kind: kindRerouted, sent: at(22 * time.Second), result: valid}, execution("s1", "a-1", serviceStatus1))
		}},
		{"old configuration after a restart", "", func(r env) {
			r.a.starts = append(r.a.starts, at(21500*time.Millisecond))
			r.add(call{kind: kindRerouted, sent: at(21 * time.Second), result: valid}, execution("s1", "a-1", serviceStatus2))
			r.add(call{kind: kindRerouted, sent: at(22 * time.Second), result: valid}, execution("s1", "a-1", serviceStatus1))
		}},
		{"over the rate", "rates", func(r env) { r.addLimited(400) }},
		{"within the rate", "", func(r env) { r.addLimited(300) }},
		{"lost at a shutdown", "shutdown", func(r env) {
			r.a.plannedShutdowns.list = []interval{{at(time.Second), at(3 * time.Second)}}
			r.addLost(plain)
		}},
		{"lost at a kill", "", func(r env) {
			r.a.faults.list = []interval{{at(time.Second), at(3 * time.Second)}}
			r.addLost(plain)
		}},
		{"lost", "sound_connections", func(r env) { r.addLost(plain) }},
		{"lost by the server", "", func(r env) {
			r.servers["s1"].faults.list = []interval{{at(time.Second), at(3 * time.Second)}}
			r.addLost(plain)
		}},
		{"held too long", "time_limits", func(r env) {
			for range maxLate + 1 {
				r.add(call{kind: kindRead, sent: at(time.Second), ended: at(4 * time.Second), result: failed})
			}
		}},
		{"harmful request sent on", "harmful_requests", func(r env) { r.addHarmful(kindHarmful, maxLateRetries+1) }},
		{"harmful request sent on a few times", "", func(r env) { r.addHarmful(kindHarmful, maxLateRetries) }},
		{"harmful part sent on", "harmful_requests", func(r env) { r.addHarmful(kindHarmfulPart, maxLateRetries+1) }},
		{"harmful part sent on a few times", "", func(r env) { r.addHarmful(kindHarmfulPart, maxLateRetries) }},
		{"harmful request sent on by restarted instances", "", func(r env) {
			r.a.faults.list = []interval{{at(3 * time.Second), at(4 * time.Second)}}
			r.addHarmful(kindHarmful, maxLateRetries+1)
		}},
		{"served badly without servers", "instances_without_servers", func(r env) { r.addCut(60, 35) }},
		{"served well without servers", "", func(r env) { r.addCut(60, 45) }},
		{"a few failures without servers", "", func(r env) { r.addCut(20, 10) }},
		{"served badly without servers and paused", "", func(r env) {
			r.a.faults.list = []interval{{at(8 * time.Second), at(9 * time.Second)}}
			r.addCut(60, 35)
		}},
		{"served badly without servers, the other instance too", "", func(r env) {
			r.addCut(60, 35)
			r.nodes[2].serverLinkFaults.list = []interval{{at(2 * time.Second), at(10 * time.Second)}}
		}},
		{"sent after callers left", "callers_that_left", func(r env) { r.addAbandoned(maxAfterLeaving+1, time.Second) }},
		{"sent after a few callers left", "", func(r env) { r.addAbandoned(maxAfterLeaving, time.Second) }},
		{"sent as callers left", "", func(r env) { r.addAbandoned(2*maxAfterLeaving, leftGrace) }},
		{"sent after callers left, link silent", "", func(r env) {
			r.a.serverLinkFaults.list = []interval{{at(9 * time.Second), at(11 * time.Second)}}
			r.addAbandoned(maxAfterLeaving+1, time.Second)
		}},
		{"sent to a server that said it leaves", "leaving_servers", func(r env) { r.addToLeaving(maxDrainDelay + time.Second) }},
		{"sent to a server that just said it leaves", "", func(r env) { r.addToLeaving(maxDrainDelay - time.Second) }},
		{"sent to a server that said it leaves, instance restarted", "", func(r env) {
			r.a.faults.list = []interval{{at(11 * time.Second), at(12 * time.Second)}}
			r.addToLeaving(maxDrainDelay + time.Second)
		}},
		{"over a named rate", "named_rates", func(r env) { r.addRated(24, 4*time.Second) }},
		{"within a named rate", "", func(r env) { r.addRated(23, 4*time.Second) }},
		{"over a named rate, the server's link held back", "", func(r env) {
			r.servers["s1"].faults.list = []interval{{at(8 * time.Second), at(9 * time.Second)}}
			r.addRated(24, 4*time.Second)
		}},
		{"usage in time", "", func(r env) { r.addUsage(usageDue, 1, 3) }},
		{"usage late", "usage_windows", func(r env) { r.addUsage(usageDue+time.Millisecond, 1, 3) }},
		{"usage of a window missing", "usage_windows", func(r env) { r.addUsage(0, 1, 2) }},
		{"usage of a window missing, holder killed", "", func(r env) {
			r.a.faults.list = []interval{{at(9 * time.Second), at(10 * time.Second)}}
			r.addUsage(0, 1, 2)
		}},
		{"usage with a lower token", "duty_calls", func(r env) { r.addUsage(0, -1, 3) }},
	} {
		r := newEnv()
		c.fill(r)
		got := r.violatedRules()
		if c.want == "" && len(got) > 0 || c.want != "" && !slices.Equal(got, []string{c.want}) {
			t.Errorf("%s: violated rules %v, want %q", c.name, got, c.want)
		}
	}
}

// addLimited records n requests of the rate-limited account executed within 4 s.
func (r env) addLimited(n int) {
	for i := range n {
		sent := at(time.Duration(i) * 4 * time.Second / time.Duration(n))
		r.calls = append(r.calls, call{id: sent.String(), kind: kindLimited, node: r.a, sent: sent, ended: sent, result: valid})
		r.executions[sent.String()] = []standin.ExecutedRequest{{Server: "s1", FailureDomain: "a-1", Service: servicePlain, At: sent}}
	}
}

// addAbandoned records n reads that reach a server a time after their callers have left.
func (r env) addAbandoned(n int, after time.Duration) {
	for range n {
		left := at(10 * time.Second)
		run := execution("s1", "a-1", servicePlain)
		run.At = left.Add(after)
		r.add(call{kind: kindRead, sent: left.Add(-100 * time.Millisecond), ended: left, result: abandoned}, run)
	}
}

// addToLeaving records a read at a server that says it leaves, and another one a time later.
func (r env) addToLeaving(later time.Duration) {
	r.servers["s1"].saysLeaving.list = []interval{{at(9 * time.Second), at(20 * time.Second)}}
	for _, sent := range []time.Time{at(10 * time.Second), at(10 * time.Second).Add(later)} {
		r.add(call{kind: kindRead, sent: sent, result: valid}, execution("s1", "a-1", servicePlain))
	}
}

// addRated records n requests to a server that names a rate, spread over a time.
func (r env) addRated(n int, d time.Duration) {
	r.servers["s1"].ratedSince = at(0)
	for i := range n {
		sent := at(settleTime + time.Second + time.Duration(i)*d/time.Duration(n))
		r.calls = append(r.calls, call{id: sent.String(), kind: kindRead, node: r.a, sent: sent, ended: sent, result: valid})
		r.executions[sent.String()] = []standin.ExecutedRequest{{Server: "s1", FailureDomain: "a-1", Service: servicePlain, At: sent}}
	}
}

// addCut records requests to an instance that is cut off from all servers and how many are served, and as many
// at another one of the region that are all served.
func (r env) addCut(n, served int) {
	other := &node{id: "a-1", region: "a", starts: []time.Time{startTime}}
	r.nodes = append(r.nodes, other)
	r.a.serverLinkFaults.list = []interval{{at(2 * time.Second), at(10 * time.Second)}}
	for i := range n {
		sent := at(2*time.Second + settleTime + time.Second)
		own := call{kind: kindRead, sent: sent, result: valid}
		if i >= served {
			own.result = rejected
		}
		r.add(own)
		r.add(call{kind: kindRead, node: other, sent: sent, result: valid})
	}
}

// addHarmful records harmful content that crashes as many servers as tolerable, and n times more
// settleTime later.
func (r env) addHarmful(kind requestKind, n int) {
	tolerable := tolerableCrashes
	if kind == kindHarmfulPart {
		tolerable = tolerablePartCrashes
	}
	for i := range tolerable + n {
		sent := at(time.Duration(i) * time.Millisecond)
		if i >= tolerable {
			sent = sent.Add(settleTime + time.Second)
		}
		r.add(call{kind: kind, content: "harmful-1", sent: sent, result: failed}, execution("s1", "a-1", servicePlain))
	}
}

// addUsage records the reports of n of the three windows whose usage must be accepted, each a time after the end of its
// window. The token changes by step with each report.
func (r env) addUsage(delay time.Duration, step int64, n int) {
	first := at(dutySettleTime)
	r.ended = first.Add(3*usageWindow + usageDue)
	for i := range int64(n) {
		end := first.Add(time.Duration(i+1) * usageWindow)
		r.dutyCalls = append(r.dutyCalls, standin.DutyCall{
			At: end.Add(delay), Machine: "a-0", Token: 10 + step*i, Duty: external.DutyUsageReport, Window: windowOf(first) + i, Status: 200,
		})
	}
}

// addLost records one more request without a response than is tolerated.
func (r env) addLost(execution standin.ExecutedRequest) {
	for range maxLost + 1 {
		r.add(call{kind: kindWrite, sent: at(2 * time.Second), result: incomplete, written: true}, execution)
	}
}
