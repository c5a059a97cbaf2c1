package rollout

import (
	"fmt"
	"time"
)

// ServiceOrder is an order of the operators to move the traffic of a service to a version,
// whose upstreams run beside those of the version before.
type ServiceOrder struct {
	Service string
	Version string
	// Deadline is when the move must be done or taken back, by the local clock.
	Deadline time.Time
	// State is Sharing until the move has ended.
	State State
	// Recorded is true once the operators can read the state, and Revision is that of the
	// key that holds it; 0 if there is none.
	Recorded bool
	Revision int64
}

// ID returns the identity of the move, as Move.ID does.
func (o ServiceOrder) ID() string { return o.Service + "@" + o.Version }

// Final reports whether the move has ended.
func (o ServiceOrder) Final() bool { return o.State == Done || o.State == TakenBack }

// serviceReserve is the time before the deadline at which a move is decided. The versions
// before end at once when it is done, so that the version is watched for as long as can be;
// the decision is written within a second, and read by all instances within two more.
const serviceReserve = 3500 * time.Millisecond

// JudgeService returns the state of a move of a service and the reason for it. A version
// keeps its small share until shortly before the deadline, since a fault may appear late;
// one that too few requests have tried by then is taken back.
func JudgeService(o ServiceOrder, e Evidence, now time.Time) (State, string) {
	if o.Final() {
		return o.State, ""
	}
	if reason := fault(e); reason != "" {
		return TakenBack, reason
	}
	if now.Before(o.Deadline.Add(-serviceReserve)) {
		return Sharing, ""
	}
	if reason := untried(e.Routes); reason != "" {
		return TakenBack, reason
	}
	return Done, "no fault was seen up to the deadline"
}

// untried returns on which route with traffic the version was tried too seldom, or "".
func untried(routes []RouteEvidence) string {
	tried := false
	for _, route := range routes {
		if route.idle() {
			continue
		}
		tried = true
		// A route with few requests in all cannot give many to the version.
		required := min(int64(requestsAtBudget), route.Running.Requests/requestsPerTrial)
		if route.Candidate.Requests < required {
			return fmt.Sprintf("route %s: %d of %d requests of the version seen", route.Route, route.Candidate.Requests, required)
		}
	}
	if !tried {
		return "no request of the version seen"
	}
	return ""
}

// requestsPerTrial is the number of requests of a route of which at least one should have
// gone to the version: half of what its share of 0.05 gives.
const requestsPerTrial = 40
