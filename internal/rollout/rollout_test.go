package rollout

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// version behaves as a new version in a simulated fleet.
type version struct {
	name string
	// failing is the part of requests that fail, slowness a factor on the latency.
	failing  float64
	slowness float64
	// onlyRoute limits the fault to one route, fromShare to shares from there on.
	onlyRoute string
	fromShare float64
	after     time.Duration
	good      bool
}

// fleet simulates the traffic of a target over several instances.
type fleet struct {
	rng      *rand.Rand
	move     Move
	now      time.Time
	loaded   int
	routes   map[string]float64
	evidence map[string]*RouteEvidence
	running  map[string]Sample
	harmed   int
	requests int
}

const fleetUpstreams = 12

func newFleet(seed uint64, routes map[string]float64, deadline time.Duration) *fleet {
	now := time.Unix(1_700_000_000, 0)
	f := &fleet{
		rng:    rand.New(rand.NewPCG(seed, 0)),
		now:    now,
		routes: routes,
		move:   Move{Target: "lantern", Version: "2", From: "1", Started: now, Deadline: now.Add(deadline), State: Planned},
	}
	f.reset()
	return f
}

func (f *fleet) reset() {
	f.running = map[string]Sample{}
	for name, e := range f.evidence {
		f.running[name] = e.Running
	}
	f.evidence = map[string]*RouteEvidence{}
	for name := range f.routes {
		f.evidence[name] = &RouteEvidence{Route: name}
	}
}

// second simulates one second of requests and one step of the decision.
func (f *fleet) second(v version) {
	f.now = f.now.Add(time.Second)
	for name, perSecond := range f.routes {
		for n := perSecond; n > 0; n-- {
			if n >= 1 || f.rng.Float64() < n {
				f.request(v, name)
			}
		}
	}
	if f.loaded < fleetUpstreams {
		f.loaded++
	}
	before := f.move
	f.move = Step(f.move, Upstreams{Total: fleetUpstreams, Loaded: f.loaded}, f.collect(), f.now)
	if before.Step != f.move.Step || before.State != f.move.State {
		f.reset()
	}
}

func (f *fleet) collect() Evidence {
	e := Evidence{Complete: true}
	for name, r := range f.evidence {
		route := *r
		if route.Running.Requests < requestsAtBudget {
			route.Running = f.running[name]
		}
		e.Routes = append(e.Routes, route)
	}
	return e
}

func (f *fleet) request(v version, route string) {
	f.requests++
	id := fmt.Sprintf("%d-%d", f.requests, f.rng.Uint64())
	latency := time.Duration(float64(80*time.Millisecond) * (0.5 + f.rng.ExpFloat64()))
	if !f.move.Selects(id) {
		f.evidence[route].Running.Add(f.rng.Float64() < 0.002, latency, 0)
		return
	}
	failed := f.rng.Float64() < 0.002
	if v.bad(route, f.move.Share(), f.now.Sub(f.move.Started)) {
		failed = failed || f.rng.Float64() < v.failing
		latency = time.Duration(float64(latency) * max(v.slowness, 1))
		f.harmed++
	}
	f.evidence[route].Candidate.Add(failed, latency, 0)
}

func (v version) bad(route string, share float64, age time.Duration) bool {
	if v.good || (v.onlyRoute != "" && v.onlyRoute != route) {
		return false
	}
	return share >= v.fromShare && age >= v.after
}

// TestMoves guards against a bad version that is not taken back or harms more than a
// small share of the requests, and against a good one that is not done by its
// deadline or is taken back.
func TestMoves(t *testing.T) {
	busy := map[string]float64{"chat": 60, "completions": 20}
	versions := []version{
		{name: "good", good: true},
		{name: "fails at once", failing: 0.5},
		{name: "fails rarely", failing: 0.08},
		{name: "slow", slowness: 4},
		{name: "fails on one route", failing: 0.5, onlyRoute: "completions"},
		{name: "fails under load", failing: 0.3, fromShare: 0.25},
		{name: "fails later", failing: 0.3, after: 3 * time.Minute},
	}
	for _, v := range versions {
		for seed := uint64(1); seed <= 10; seed++ {
			f := newFleet(seed, busy, 20*time.Minute)
			for range 20 * 60 {
				f.second(v)
			}
			f.check(t, v, seed)
		}
	}
}

// maxHarmed is the largest part of all requests that a bad version may touch.
const maxHarmed = 0.05

func (f *fleet) check(t *testing.T, v version, seed uint64) {
	t.Helper()
	if v.good {
		if f.move.State != Done {
			t.Errorf("%s, seed %d: state %s (%s) at the deadline", v.name, seed, f.move.State, f.move.Reason)
		}
		return
	}
	if f.move.State != TakenBack {
		t.Errorf("%s, seed %d: state %s, not taken back", v.name, seed, f.move.State)
	}
	if part := float64(f.harmed) / float64(f.requests); part > maxHarmed {
		t.Errorf("%s, seed %d: %.3f of the requests met the fault", v.name, seed, part)
	}
}

// TestLowTraffic guards against a good version that misses its deadline because a
// route has few requests, and against an idle route that counts as evidence.
func TestLowTraffic(t *testing.T) {
	f := newFleet(1, map[string]float64{"chat": 0.5, "idle": 0}, 4*time.Hour)
	for range 4 * 3600 {
		f.second(version{good: true})
	}
	if f.move.State != Done {
		t.Errorf("state %s at step %d (%s) at the deadline", f.move.State, f.move.Step, f.move.Reason)
	}
	f = newFleet(1, map[string]float64{"idle": 0}, time.Hour)
	for range 3600 {
		f.second(version{good: true})
	}
	if f.move.State != Sharing || f.move.Step != 0 {
		t.Errorf("without any request: state %s at step %d, want the first share held", f.move.State, f.move.Step)
	}
}

// TestFinalAndHeld guards against a move that leaves a final state, and against one
// that advances while part of the fleet cannot be heard.
func TestFinalAndHeld(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	ok := Evidence{Complete: true, Routes: []RouteEvidence{{Route: "chat", Candidate: Sample{Requests: 1000}, Running: Sample{Requests: 1000}}}}
	bad := Evidence{Routes: []RouteEvidence{{Route: "chat", Candidate: Sample{Requests: 10, Errors: 9}, Running: Sample{Requests: 1000}}}}
	all := Upstreams{Total: 4, Loaded: 4}
	sharing := Move{State: Sharing, Step: 1, StepSince: now, Started: now, Deadline: now.Add(time.Hour)}

	held := ok
	held.Complete = false
	if got := Step(sharing, all, held, now.Add(time.Hour)); got.State != Sharing || got.Step != 1 {
		t.Errorf("with an unheard part: %s at step %d, want the step held", got.State, got.Step)
	}
	taken := Step(sharing, all, bad, now.Add(time.Second))
	if taken.State != TakenBack || taken.Share() != 0 {
		t.Errorf("with a fault and an unheard part: %s with share %g, want taken back", taken.State, taken.Share())
	}
	if got := Step(taken, all, ok, now.Add(time.Hour)); got.State != TakenBack || !strings.Contains(got.Reason, "failed") {
		t.Errorf("after a final state: %s (%s)", got.State, got.Reason)
	}
}
