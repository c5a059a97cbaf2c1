// Package rollout decides how a candidate version takes over the traffic of a model, or of a
// service of host routes, from the running version: when its traffic share grows, and when it
// is rolled back. Plain services of path routes have no rollouts.
//
// The leader of the failure domain that owns a rollout calls Step with the evidence of
// all instances and writes the result to the platform's key-value service by
// compare-and-swap. The package does no I/O and does not read the clock.
package rollout

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a rollout.
type State string

// The states of a rollout.
const (
	// Planned means that no upstream has been told to load the candidate yet.
	Planned State = "planned"
	// Loading means that upstreams load the candidate for the next step.
	Loading State = "loading"
	// Serving means that the candidate serves the traffic share of the current step.
	Serving State = "share"
	// Done is final: the candidate serves all traffic and is now the running version.
	Done State = "done"
	// RolledBack is final: the candidate was rolled back and serves no traffic. Another
	// attempt needs a new version name.
	RolledBack State = "taken_back"
)

// stepShares are the fractions of all requests that the candidate serves at each step.
var stepShares = []float64{0.01, 0.05, 0.25, 1}

// Steps is the number of steps of a rollout.
var Steps = len(stepShares)

// Rollout is the persistent state of the rollout of a candidate version of a model.
type Rollout struct {
	// Target is the name of the model, without a version.
	Target string `json:"target"`
	// Version is the candidate.
	Version string `json:"version"`
	// From is the running version when the rollout started.
	From    string    `json:"from"`
	Started time.Time `json:"started"`
	// Deadline sizes the time budgets of the steps, see stepBudget. The deadline does not end
	// the rollout. A step that begins when no planned time is left needs only
	// requestsAfterBudget requests once MinDwell has passed. Deadline also orders the rollouts
	// of a target, see ActiveRollout.
	Deadline time.Time `json:"deadline"`
	State    State     `json:"state"`
	// Step is the index of the current traffic share or, while Loading, of the next one.
	Step      int       `json:"step"`
	StepSince time.Time `json:"step_since"`
	// Reason says why the candidate was rolled back, or what the rollout waits for.
	Reason string `json:"reason,omitempty"`
	// Sequence grows with each stored change, so that states are ordered without a clock.
	Sequence int64 `json:"sequence"`
}

// ID returns the id of the rollout, which has the form model@version with the candidate as the
// version and is the same at every step.
func (r Rollout) ID() string { return r.Target + "@" + r.Version }

// Final reports whether the rollout has ended.
func (r Rollout) Final() bool { return r.State == Done || r.State == RolledBack }

// Share returns the fraction of the requests, from 0 to 1, that the candidate serves.
func (r Rollout) Share() float64 {
	switch r.State {
	case Done:
		return 1
	case Serving:
		return stepShares[r.Step]
	case Loading:
		if r.Step > 0 {
			return stepShares[r.Step-1]
		}
	}
	return 0
}

// LoadedFraction returns the fraction of the target's upstreams, from 0 to 1, that should
// have the candidate loaded now. It grows before the traffic share does, so that upstreams
// have the candidate before its requests arrive.
func (r Rollout) LoadedFraction() float64 {
	switch r.State {
	case Done:
		return 1
	case Serving, Loading:
		return stepShares[r.Step]
	default:
		return 0
	}
}

// Selects reports whether a request goes to the candidate. The result depends only on
// the request id, so that all instances together keep the traffic share.
func (r Rollout) Selects(requestID string) bool { return Selects(requestID, r.Share()) }

// Selects reports whether a request goes to a version with the given traffic share.
func Selects(requestID string, share float64) bool {
	const resolution = 1 << 32
	return float64(xxhash.Sum64String(requestID)%resolution) < share*resolution
}

// Upstreams counts the engines of the target that the decision is based on.
type Upstreams struct {
	// Total is the number of engines that serve the target and are not draining.
	Total int
	// Loaded is the number of those that have the candidate loaded.
	Loaded int
}

// needed returns the number of engines that must have the candidate loaded at a step.
func (u Upstreams) needed(step int) int {
	n := int(stepShares[step]*float64(u.Total) + 0.999)
	return min(max(n, 1), u.Total)
}

// Evidence holds the observations of all instances during the current step.
type Evidence struct {
	Routes []RouteEvidence
	// LocalStops is the number of instances that stopped sending to the candidate.
	LocalStops int
	// Complete is false while evidence of part of the fleet is missing. The rollout then
	// neither advances nor completes, but it can still be rolled back.
	Complete bool
}

// RouteEvidence holds the samples of both versions on one route.
type RouteEvidence struct {
	Route     string
	Candidate Sample
	Running   Sample
}

// Rules holds the durations that the decision depends on.
type Rules struct {
	// MinDwell is the minimum duration of a step, so that a fault that appears late is
	// seen.
	MinDwell time.Duration
}

// DefaultRules returns the rules used in production.
func DefaultRules() Rules { return Rules{MinDwell: 20 * time.Second} }

const (
	// localStopsToRollBack is the number of instances with a local stop that causes a
	// rollback. A single instance may have seen a fault of its own network link.
	localStopsToRollBack = 2
	// deadlineReserve is the fraction of the time to the deadline that is not planned
	// for steps.
	deadlineReserve = 0.1
)

// Step evaluates the rollout by the default rules, see Rules.Step.
func Step(r Rollout, u Upstreams, e Evidence, now time.Time) Rollout {
	return DefaultRules().Step(r, u, e, now)
}

// Step evaluates the rollout and returns its next state. The rollout often stays at its step,
// with or without a new Reason; it advances by at most one step.
func (rules Rules) Step(r Rollout, u Upstreams, e Evidence, now time.Time) Rollout {
	if r.Final() {
		return r
	}
	if reason := rollbackReason(e); reason != "" {
		return r.rollBack(reason, now)
	}
	if !e.Complete {
		r.Reason = "evidence of part of the fleet is missing; the step is paused"
		return r
	}
	switch r.State {
	case Planned:
		return r.enter(Loading, 0, now)
	case Loading:
		return r.load(u, now)
	default:
		return rules.advance(r, e, now)
	}
}

// rollbackReason returns why the candidate must be rolled back, or "".
func rollbackReason(e Evidence) string {
	if e.LocalStops >= localStopsToRollBack {
		return fmt.Sprintf("%d instances stopped sending to the candidate", e.LocalStops)
	}
	for _, route := range e.Routes {
		if reason := regression(route); reason != "" {
			return reason
		}
	}
	return ""
}

func (r Rollout) rollBack(reason string, now time.Time) Rollout {
	next := r.enter(RolledBack, r.Step, now)
	next.Reason = reason
	return next
}

func (r Rollout) enter(s State, step int, now time.Time) Rollout {
	r.State = s
	r.Step = step
	r.StepSince = now
	r.Reason = ""
	return r
}

func (r Rollout) load(u Upstreams, now time.Time) Rollout {
	if u.Total == 0 {
		r.Reason = "no upstream serves the target"
		return r
	}
	if needed := u.needed(r.Step); u.Loaded < needed {
		r.Reason = fmt.Sprintf("%d of %d upstreams have loaded the candidate", u.Loaded, needed)
		return r
	}
	return r.enter(Serving, r.Step, now)
}

func (rules Rules) advance(r Rollout, e Evidence, now time.Time) Rollout {
	elapsed := now.Sub(r.StepSince)
	if elapsed < rules.MinDwell {
		r.Reason = ""
		return r
	}
	if waiting := rules.missingEvidence(r, e, elapsed); waiting != "" {
		r.Reason = waiting
		return r
	}
	if r.Step == Steps-1 {
		return r.enter(Done, r.Step, now)
	}
	return r.enter(Loading, r.Step+1, now)
}

// missingEvidence returns which evidence is still missing, or "". Every route with traffic
// needs enough requests. Once the step's time budget is used up, a few successes are
// enough, including those of probes.
func (rules Rules) missingEvidence(r Rollout, e Evidence, elapsed time.Duration) string {
	required := int64(requestsPerStep)
	if elapsed >= rules.stepBudget(r) {
		required = requestsAfterBudget
	}
	routesWithTraffic := 0
	for _, route := range e.Routes {
		if route.idle() {
			continue
		}
		routesWithTraffic++
		if route.Candidate.Requests < required {
			return fmt.Sprintf("route %s: the candidate served %d of %d required requests", route.Route, route.Candidate.Requests, required)
		}
	}
	if routesWithTraffic == 0 {
		return "neither the candidate nor the running version served a request on any route"
	}
	return ""
}

// stepBudget returns the time that the step may take so that the last step ends before
// the deadline. Each step gets an equal part of the time left when it began, so that a
// slow load shortens the steps that follow. If no time is left, it is MinDwell.
func (rules Rules) stepBudget(r Rollout) time.Duration {
	total := r.Deadline.Sub(r.Started)
	usable := time.Duration(float64(total) * (1 - deadlineReserve))
	left := r.Started.Add(usable).Sub(r.StepSince)
	return max(left/time.Duration(Steps-r.Step), rules.MinDwell)
}
