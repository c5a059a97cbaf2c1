package rollout

import (
	"fmt"
	"time"
)

// ServiceRollout is a rollout, ordered by an operator, of a candidate version of a service
// whose upstreams run beside those of the running version.
type ServiceRollout struct {
	Service string
	// Version is the candidate.
	Version string
	// Deadline is when the rollout must be done or rolled back, by the local clock. It is
	// decided serviceDecisionLead earlier, unlike a Rollout, which its deadline does not end.
	Deadline time.Time
	// State is Serving until the rollout has ended.
	State State
	// OnlyVersion is true if no region has listed an upstream of another version since the order.
	OnlyVersion bool
	// Recorded is true once the state is stored where operators can read it. Revision is
	// the revision of the key that holds a state, 0 if there is none.
	Recorded bool
	Revision int64
}

// ID returns the id of the rollout, in the same form as Rollout.ID.
func (r ServiceRollout) ID() string { return r.Service + "@" + r.Version }

// Final reports whether the rollout has ended.
func (r ServiceRollout) Final() bool { return r.State == Done || r.State == RolledBack }

// serviceDecisionLead is the time before the deadline at which a rollout is decided. The
// running versions end as soon as it is done, so that the candidate is observed for as
// long as possible. The decision is written within 1 s and read by all instances within
// another 2 s.
const serviceDecisionLead = 3500 * time.Millisecond

// EvaluateService returns the state of a rollout of a service and the reason for it. The
// candidate keeps its small traffic share until shortly before the deadline, because a fault
// may appear late. If it has served too few requests by then, it is rolled back.
func EvaluateService(r ServiceRollout, e Evidence, now time.Time) (State, string) {
	if r.Final() {
		return r.State, ""
	}
	if reason := rollbackReason(e); reason != "" {
		return RolledBack, reason
	}
	if now.Before(r.Deadline.Add(-serviceDecisionLead)) {
		return Serving, ""
	}
	if reason := missingServiceEvidence(e.Routes); reason != "" {
		return RolledBack, reason
	}
	return Done, "no fault seen before the deadline"
}

// missingServiceEvidence returns on which route with traffic the candidate served too few
// requests, or "".
func missingServiceEvidence(routes []RouteEvidence) string {
	hasTraffic := false
	for _, route := range routes {
		if route.idle() {
			continue
		}
		hasTraffic = true
		// A route with few requests in total cannot send many of them to the candidate.
		required := min(int64(requestsAfterBudget), route.Running.Requests/runningRequestsPerCandidateRequest)
		if route.Candidate.Requests < required {
			return fmt.Sprintf("route %s: the candidate served %d of %d required requests", route.Route, route.Candidate.Requests, required)
		}
	}
	if !hasTraffic {
		return "neither the candidate nor the running version served a request on any route"
	}
	return ""
}

// runningRequestsPerCandidateRequest is the number of requests to the running version on a
// route for which the candidate must have served one, up to requestsAfterBudget. A traffic
// share of 0.05 yields about two; that share is control.canaryFraction (0.5) times the setting
// bounds.canary_share (0.1).
const runningRequestsPerCandidateRequest = 40
