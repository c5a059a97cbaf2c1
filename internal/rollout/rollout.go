// Package rollout decides how a version takes over the traffic of a model or plain
// service: when its share of the requests grows, and when it is taken back.
//
// The holder of the lease of a move's failure domain calls Step with the evidence
// of all instances and writes the result to the platform's key-value service by
// compare-and-swap. The package knows no network and reads no clock.
package rollout

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the progress of a move.
type State string

// The states of a move.
const (
	// Planned means that no upstream was told to load the version yet.
	Planned State = "planned"
	// Loading means that upstreams load the version for the next step.
	Loading State = "loading"
	// Sharing means that the version carries the share of the current step.
	Sharing State = "share"
	// Done is final: the version carries all traffic.
	Done State = "done"
	// TakenBack is final: the version carries no traffic. Another try needs a new
	// version name.
	TakenBack State = "taken_back"
)

// shares are the parts of all requests that the version carries at each step.
var shares = []float64{0.01, 0.05, 0.25, 1}

// Steps is the number of steps of a move.
var Steps = len(shares)

// Move is the durable state of a version move.
type Move struct {
	Target  string `json:"target"`
	Version string `json:"version"`
	// From is the version that carried the traffic before.
	From     string    `json:"from"`
	Started  time.Time `json:"started"`
	Deadline time.Time `json:"deadline"`
	State    State     `json:"state"`
	// Step indexes the share in force or, while Loading, the share to come.
	Step      int       `json:"step"`
	StepSince time.Time `json:"step_since"`
	// Reason says why the move was taken back, or what it waits for.
	Reason string `json:"reason,omitempty"`
	// Sequence grows with each stored change, so that the later of two states can be
	// told without a clock.
	Sequence int64 `json:"sequence"`
}

// ID returns the identity of the move, stable over steps.
func (m Move) ID() string { return m.Target + "@" + m.Version }

// Final reports whether the move has ended.
func (m Move) Final() bool { return m.State == Done || m.State == TakenBack }

// Share returns the part of the requests, from 0 to 1, that the version carries.
func (m Move) Share() float64 {
	switch m.State {
	case Done:
		return 1
	case Sharing:
		return shares[m.Step]
	case Loading:
		if m.Step > 0 {
			return shares[m.Step-1]
		}
	}
	return 0
}

// LoadedPart returns the part of the target's upstreams, from 0 to 1, that should
// hold the version now. It runs ahead of the share, so that upstreams have the
// version before its requests arrive.
func (m Move) LoadedPart() float64 {
	switch m.State {
	case Done:
		return 1
	case Sharing, Loading:
		return shares[m.Step]
	default:
		return 0
	}
}

// Selects reports whether a request belongs to the version. The answer depends on
// the request id only, so that all instances together keep the share.
func (m Move) Selects(requestID string) bool { return Selects(requestID, m.Share()) }

// Selects reports whether a request belongs to a version that carries share of them.
func Selects(requestID string, share float64) bool {
	const resolution = 1 << 32
	return float64(xxhash.Sum64String(requestID)%resolution) < share*resolution
}

// Upstreams counts the target's upstreams that this decision can see.
type Upstreams struct {
	// Total is the number of upstreams that serve the target and are not leaving.
	Total int
	// Loaded is the number of those that hold the version.
	Loaded int
}

// needed returns the number of upstreams that a step needs.
func (u Upstreams) needed(step int) int {
	n := int(shares[step]*float64(u.Total) + 0.999)
	return min(max(n, 1), u.Total)
}

// Evidence is what all instances saw during the current step.
type Evidence struct {
	Routes []RouteEvidence
	// LocalStops is the number of instances that stopped sending to the version.
	LocalStops int
	// Complete is false while parts of the fleet cannot be heard. A move neither
	// advances nor ends then, but it can be taken back.
	Complete bool
}

// RouteEvidence compares the versions on one route.
type RouteEvidence struct {
	Route     string
	Candidate Sample
	Running   Sample
}

// Rules are the durations of the decision.
type Rules struct {
	// MinDwell is the shortest time of a step: a fault that appears late has to show.
	MinDwell time.Duration
}

// DefaultRules returns the rules of production.
func DefaultRules() Rules { return Rules{MinDwell: 20 * time.Second} }

const (
	// stopsToTakeBack is the number of instances whose local stop takes a move back.
	// One instance alone may see a fault of its own link.
	stopsToTakeBack = 2
	// finishReserve is the part of the time to the deadline that is left unplanned.
	finishReserve = 0.1
)

// Step returns the next state of the move by the default rules.
func Step(m Move, u Upstreams, e Evidence, now time.Time) Move {
	return DefaultRules().Step(m, u, e, now)
}

// Step returns the next state of the move. It changes at most one step at a time.
func (r Rules) Step(m Move, u Upstreams, e Evidence, now time.Time) Move {
	if m.Final() {
		return m
	}
	if reason := fault(e); reason != "" {
		return m.takeBack(reason, now)
	}
	if !e.Complete {
		m.Reason = "part of the fleet cannot be heard; the step is held"
		return m
	}
	switch m.State {
	case Planned:
		return m.enter(Loading, 0, now)
	case Loading:
		return m.load(u, now)
	default:
		return r.advance(m, e, now)
	}
}

// fault returns why the version must be taken back, or "".
func fault(e Evidence) string {
	if e.LocalStops >= stopsToTakeBack {
		return fmt.Sprintf("%d instances stopped sending to the version", e.LocalStops)
	}
	for _, route := range e.Routes {
		if reason := compare(route); reason != "" {
			return reason
		}
	}
	return ""
}

func (m Move) takeBack(reason string, now time.Time) Move {
	next := m.enter(TakenBack, m.Step, now)
	next.Reason = reason
	return next
}

func (m Move) enter(s State, step int, now time.Time) Move {
	m.State = s
	m.Step = step
	m.StepSince = now
	m.Reason = ""
	return m
}

func (m Move) load(u Upstreams, now time.Time) Move {
	if u.Total == 0 {
		m.Reason = "no upstream serves the target"
		return m
	}
	if needed := u.needed(m.Step); u.Loaded < needed {
		m.Reason = fmt.Sprintf("%d of %d upstreams hold the version", u.Loaded, needed)
		return m
	}
	return m.enter(Sharing, m.Step, now)
}

func (r Rules) advance(m Move, e Evidence, now time.Time) Move {
	dwell := now.Sub(m.StepSince)
	if dwell < r.MinDwell {
		m.Reason = ""
		return m
	}
	if waiting := r.lacking(m, e, dwell); waiting != "" {
		m.Reason = waiting
		return m
	}
	if m.Step == Steps-1 {
		return m.enter(Done, m.Step, now)
	}
	return m.enter(Loading, m.Step+1, now)
}

// lacking returns which evidence is still missing, or "". Every route with traffic
// needs enough requests; after the step's part of the time to the deadline a few
// successes, also of probes, are enough.
func (r Rules) lacking(m Move, e Evidence, dwell time.Duration) string {
	required := int64(requestsPerStep)
	if dwell >= r.stepBudget(m) {
		required = requestsAtBudget
	}
	judged := 0
	for _, route := range e.Routes {
		if route.idle() {
			continue
		}
		judged++
		if route.Candidate.Requests < required {
			return fmt.Sprintf("route %s: %d of %d requests of the version seen", route.Route, route.Candidate.Requests, required)
		}
	}
	if judged == 0 {
		return "no request of the version seen"
	}
	return ""
}

// stepBudget is the time that the step may take so that the last one ends before the
// deadline: an equal part of the time left when the step began, so that a slow load
// before it shortens the steps that follow.
func (r Rules) stepBudget(m Move) time.Duration {
	total := m.Deadline.Sub(m.Started)
	usable := time.Duration(float64(total) * (1 - finishReserve))
	left := m.Started.Add(usable).Sub(m.StepSince)
	return max(left/time.Duration(Steps-m.Step), r.MinDwell)
}
