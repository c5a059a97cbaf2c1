package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// simVersion is a candidate in a simulated fleet.
type simVersion struct {
	name string
	// errorRate is the fraction of requests that fail, latencyFactor multiplies the
	// latency.
	errorRate     float64
	latencyFactor float64
	// onlyRoute limits the fault to one route, fromShare to traffic shares of at least
	// this size, and after to a rollout of at least this age.
	onlyRoute string
	fromShare float64
	after     time.Duration
	good      bool
}

// simFleet simulates the traffic of a target over several instances.
type simFleet struct {
	rng      *rand.Rand
	rollout  Rollout
	now      time.Time
	loaded   int
	routes   map[string]float64
	evidence map[string]*RouteEvidence
	running  map[string]Sample
	faulty   int
	requests int
}

const simUpstreams = 12

func newSimFleet(seed uint64, routes map[string]float64, deadline time.Duration) *simFleet {
	now := time.Unix(1_700_000_000, 0)
	f := &simFleet{
		rng:     rand.New(rand.NewPCG(seed, 0)),
		now:     now,
		routes:  routes,
		rollout: Rollout{Target: "lantern", Version: "2", From: "1", Started: now, Deadline: now.Add(deadline), State: Planned},
	}
	f.resetEvidence()
	return f
}

func (f *simFleet) resetEvidence() {
	f.running = map[string]Sample{}
	for name, e := range f.evidence {
		f.running[name] = e.Running
	}
	f.evidence = map[string]*RouteEvidence{}
	for name := range f.routes {
		f.evidence[name] = &RouteEvidence{Route: name}
	}
}

// runSecond simulates one second of requests and one call of Step.
func (f *simFleet) runSecond(v simVersion) {
	f.now = f.now.Add(time.Second)
	for name, perSecond := range f.routes {
		for n := perSecond; n > 0; n-- {
			if n >= 1 || f.rng.Float64() < n {
				f.request(v, name)
			}
		}
	}
	if f.loaded < simUpstreams {
		f.loaded++
	}
	before := f.rollout
	f.rollout = Step(f.rollout, Upstreams{Total: simUpstreams, Loaded: f.loaded}, f.collect(), f.now)
	if before.Step != f.rollout.Step || before.State != f.rollout.State {
		f.resetEvidence()
	}
}

func (f *simFleet) collect() Evidence {
	e := Evidence{Complete: true}
	for name, r := range f.evidence {
		route := *r
		if route.Running.Requests < requestsAfterBudget {
			route.Running = f.running[name]
		}
		e.Routes = append(e.Routes, route)
	}
	return e
}

func (f *simFleet) request(v simVersion, route string) {
	f.requests++
	id := fmt.Sprintf("%d-%d", f.requests, f.rng.Uint64())
	latency := time.Duration(float64(80*time.Millisecond) * (0.5 + f.rng.ExpFloat64()))
	if !f.rollout.Selects(id) {
		f.evidence[route].Running.Add(f.rng.Float64() < 0.002, latency, 0)
		return
	}
	failed := f.rng.Float64() < 0.002
	if v.faulty(route, f.rollout.Share(), f.now.Sub(f.rollout.Started)) {
		failed = failed || f.rng.Float64() < v.errorRate
		latency = time.Duration(float64(latency) * max(v.latencyFactor, 1))
		f.faulty++
	}
	f.evidence[route].Candidate.Add(failed, latency, 0)
}

func (v simVersion) faulty(route string, share float64, rolloutAge time.Duration) bool {
	if v.good || (v.onlyRoute != "" && v.onlyRoute != route) {
		return false
	}
	return share >= v.fromShare && rolloutAge >= v.after
}

// TestMoves guards against a faulty version that is not rolled back or affects more than a
// small fraction of the requests, and against a good one that misses its deadline or is
// rolled back.
func TestMoves(t *testing.T) {
	busy := map[string]float64{"chat": 60, "completions": 20}
	versions := []simVersion{
		{name: "good", good: true},
		{name: "fails at once", errorRate: 0.5},
		{name: "fails rarely", errorRate: 0.08},
		{name: "slow", latencyFactor: 4},
		{name: "fails on one route", errorRate: 0.5, onlyRoute: "completions"},
		{name: "fails under load", errorRate: 0.3, fromShare: 0.25},
		{name: "fails later", errorRate: 0.3, after: 3 * time.Minute},
	}
	for _, v := range versions {
		for seed := uint64(1); seed <= 10; seed++ {
			f := newSimFleet(seed, busy, 20*time.Minute)
			for range 20 * 60 {
				f.runSecond(v)
			}
			f.check(t, v, seed)
		}
	}
}

// maxFaultyShare is the largest fraction of all requests that a faulty version may affect.
const maxFaultyShare = 0.05

func (f *simFleet) check(t *testing.T, v simVersion, seed uint64) {
	t.Helper()
	if v.good {
		if f.rollout.State != Done {
			t.Errorf("%s, seed %d: state %s (%s) at the deadline", v.name, seed, f.rollout.State, f.rollout.Reason)
		}
		return
	}
	if f.rollout.State != RolledBack {
		t.Errorf("%s, seed %d: state %s, want a rollback", v.name, seed, f.rollout.State)
	}
	if share := float64(f.faulty) / float64(f.requests); share > maxFaultyShare {
		t.Errorf("%s, seed %d: fraction %.3f of the requests met the fault", v.name, seed, share)
	}
}

// TestLowTraffic guards against a good version that misses its deadline because a route
// has few requests, and against counting a route without traffic as evidence.
func TestLowTraffic(t *testing.T) {
	f := newSimFleet(1, map[string]float64{"chat": 0.5, "idle": 0}, 4*time.Hour)
	for range 4 * 3600 {
		f.runSecond(simVersion{good: true})
	}
	if f.rollout.State != Done {
		t.Errorf("state %s at step %d (%s) at the deadline", f.rollout.State, f.rollout.Step, f.rollout.Reason)
	}
	f = newSimFleet(1, map[string]float64{"idle": 0}, time.Hour)
	for range 3600 {
		f.runSecond(simVersion{good: true})
	}
	if f.rollout.State != Serving || f.rollout.Step != 0 {
		t.Errorf("without requests: state %s at step %d, want step 0 in state share", f.rollout.State, f.rollout.Step)
	}
}

// TestFinalAndHeld guards against a rollout that leaves a final state, and against one
// that advances while evidence of part of the fleet is missing.
func TestFinalAndHeld(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	ok := Evidence{Complete: true, Routes: []RouteEvidence{{Route: "chat", Candidate: Sample{Requests: 1000}, Running: Sample{Requests: 1000}}}}
	bad := Evidence{Routes: []RouteEvidence{{Route: "chat", Candidate: Sample{Requests: 10, Errors: 9}, Running: Sample{Requests: 1000}}}}
	all := Upstreams{Total: 4, Loaded: 4}
	serving := Rollout{State: Serving, Step: 1, StepSince: now, Started: now, Deadline: now.Add(time.Hour)}

	incomplete := ok
	incomplete.Complete = false
	if got := Step(serving, all, incomplete, now.Add(time.Hour)); got.State != Serving || got.Step != 1 {
		t.Errorf("with incomplete evidence: %s at step %d, want step 1 in state share", got.State, got.Step)
	}
	rolledBack := Step(serving, all, bad, now.Add(time.Second))
	if rolledBack.State != RolledBack || rolledBack.Share() != 0 {
		t.Errorf("with a fault and incomplete evidence: %s with share %g, want a rollback", rolledBack.State, rolledBack.Share())
	}
	if got := Step(rolledBack, all, ok, now.Add(time.Hour)); got.State != RolledBack || !strings.Contains(got.Reason, "failed") {
		t.Errorf("after a final state: %s (%s)", got.State, got.Reason)
	}
}
