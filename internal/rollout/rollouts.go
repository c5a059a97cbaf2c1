package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Supersedes reports whether r replaces old, both being states of the same rollout. A
// rollback supersedes every other state, so that a delayed message cannot reactivate a
// version.
func (r Rollout) Supersedes(old Rollout) bool {
	if (r.State == RolledBack) != (old.State == RolledBack) {
		return r.State == RolledBack
	}
	return r.Sequence > old.Sequence
}

// Percent returns the traffic share of the current step in percent; for a version that
// was rolled back, the share of the step at which that happened.
func (r Rollout) Percent() int {
	share := r.Share()
	if r.State == RolledBack {
		share = stepShares[r.Step]
	}
	return int(math.Round(share * 100))
}

// LoadedCount returns how many of total upstreams should have the candidate loaded now.
func (r Rollout) LoadedCount(total int) int {
	if r.LoadedFraction() == 0 {
		return 0
	}
	return Upstreams{Total: total}.needed(r.Step)
}

// CompletedChain returns, in order, the completed rollouts that lead from the configured
// version of a target to its running version. The running version is derived from them,
// because a completed rollout does not change the configured version (opconfig.Model.Version).
func CompletedChain(configured string, rollouts []Rollout) []Rollout {
	remaining := slices.DeleteFunc(slices.Clone(rollouts), func(r Rollout) bool { return r.State != Done })
	var chain []Rollout
	for {
		next := slices.IndexFunc(remaining, func(r Rollout) bool { return r.From == configured })
		if next < 0 {
			return chain
		}
		chain = append(chain, remaining[next])
		configured = remaining[next].Version
		remaining = slices.Delete(remaining, next, next+1)
	}
}

// RunningVersion returns the version that serves the traffic of a target, except for the share
// of a candidate.
func RunningVersion(configured string, rollouts []Rollout) string {
	chain := CompletedChain(configured, rollouts)
	if len(chain) == 0 {
		return configured
	}
	return chain[len(chain)-1].Version
}

// ActiveRollout returns the rollout in progress among those of one target: the one with the
// earliest deadline that has not ended. A target has one rollout in progress at a time.
func ActiveRollout(rollouts []Rollout) (Rollout, bool) {
	var unfinished []Rollout
	for _, r := range rollouts {
		if !r.Final() {
			unfinished = append(unfinished, r)
		}
	}
	if len(unfinished) == 0 {
		return Rollout{}, false
	}
	return slices.MinFunc(unfinished, func(a, b Rollout) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.Version, b.Version))
	}), true
}

// SampleKey identifies the requests that a sample counts.
type SampleKey struct {
	// RolloutID is the id of the rollout.
	RolloutID string `json:"move"`
	Step      int    `json:"step"`
	// Candidate is true for the candidate, false for the running version.
	Candidate bool   `json:"candidate"`
	Route     string `json:"route"`
}

// KeyedSample is a sample with its key.
type KeyedSample struct {
	SampleKey
	Sample
}

// Samples holds cumulative counts.
type Samples map[SampleKey]Sample

// Merge adds the counts of other samples.
func (s Samples) Merge(others []KeyedSample) {
	for _, o := range others {
		sum := s[o.SampleKey]
		sum.Merge(o.Sample)
		s[o.SampleKey] = sum
	}
}

// List returns the samples of the rollout with the given id, or of all rollouts if the
// id is empty.
func (s Samples) List(rolloutID string) []KeyedSample {
	var list []KeyedSample
	for key, sample := range s {
		if rolloutID == "" || key.RolloutID == rolloutID {
			list = append(list, KeyedSample{SampleKey: key, Sample: sample})
		}
	}
	return list
}

// Routes returns the samples of both versions on each route at a step of a rollout.
// Those of the running version include earlier steps, because it has little or no
// traffic at the last step.
func (s Samples) Routes(rolloutID string, step int) []RouteEvidence {
	byRoute := map[string]*RouteEvidence{}
	for key, sample := range s {
		if key.RolloutID != rolloutID || key.Step > step {
			continue
		}
		row := byRoute[key.Route]
		if row == nil {
			row = &RouteEvidence{Route: key.Route}
			byRoute[key.Route] = row
		}
		switch {
		case !key.Candidate:
			row.Running.Merge(sample)
		case key.Step == step:
			row.Candidate.Merge(sample)
		}
	}
	var routes []RouteEvidence
	for _, row := range byRoute {
		routes = append(routes, *row)
	}
	slices.SortFunc(routes, func(a, b RouteEvidence) int { return cmp.Compare(a.Route, b.Route) })
	return routes
}

// Stop reports that an instance stopped sending requests to the candidate of a rollout.
type Stop struct {
	// RolloutID is the id of the rollout.
	RolloutID string `json:"move"`
	Instance  string `json:"instance"`
	Reason    string `json:"reason"`
	// SeenAt is in Unix nanoseconds.
	SeenAt int64 `json:"seen_at"`
}

// Probes returns the routes that need probe requests for the step to end, with the
// number of requests missing on each. There are none in the first half of the step's
// time budget, because requests of callers are better evidence. fallback is the route
// to probe if no route has traffic.
func (rules Rules) Probes(r Rollout, routes []RouteEvidence, fallback string, now time.Time) map[string]int64 {
	if r.State != Serving || now.Sub(r.StepSince) < rules.stepBudget(r)/2 {
		return nil
	}
	missing := map[string]int64{}
	for _, route := range routes {
		if !route.idle() && route.Candidate.Requests < requestsAfterBudget {
			missing[route.Route] = requestsAfterBudget - route.Candidate.Requests
		}
	}
	if !slices.ContainsFunc(routes, func(route RouteEvidence) bool { return !route.idle() }) {
		missing[fallback] = requestsAfterBudget
	}
	return missing
}
