package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Supersedes reports whether m replaces old, both being states of one move. A rollback
// wins over every other state, so that a late message cannot bring a version back.
func (m Move) Supersedes(old Move) bool {
	if (m.State == TakenBack) != (old.State == TakenBack) {
		return m.State == TakenBack
	}
	return m.Sequence > old.Sequence
}

// Percent returns the share of the current step in percent; for a version that was
// rolled back, the share of the step at which that happened.
func (m Move) Percent() int {
	share := m.Share()
	if m.State == TakenBack {
		share = shares[m.Step]
	}
	return int(math.Round(share * 100))
}

// LoadedCount returns how many of total upstreams should hold the version now.
func (m Move) LoadedCount(total int) int {
	if m.LoadedPart() == 0 {
		return 0
	}
	return Upstreams{Total: total}.needed(m.Step)
}

// Chain returns the completed moves that lead from the configured version of a target
// to the one that carries its traffic, in order.
func Chain(configured string, moves []Move) []Move {
	left := slices.DeleteFunc(slices.Clone(moves), func(m Move) bool { return m.State != Done })
	var chain []Move
	for {
		next := slices.IndexFunc(left, func(m Move) bool { return m.From == configured })
		if next < 0 {
			return chain
		}
		chain = append(chain, left[next])
		configured = left[next].Version
		left = slices.Delete(left, next, next+1)
	}
}

// Running returns the version that carries the traffic of a target.
func Running(configured string, moves []Move) string {
	chain := Chain(configured, moves)
	if len(chain) == 0 {
		return configured
	}
	return chain[len(chain)-1].Version
}

// Active returns the move under way among those of one target: the one with the
// earliest deadline that is not final. A target has one move under way at a time.
func Active(moves []Move) (Move, bool) {
	var open []Move
	for _, m := range moves {
		if !m.Final() {
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		return Move{}, false
	}
	return slices.MinFunc(open, func(a, b Move) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.Version, b.Version))
	}), true
}

// SampleKey says what a sample counts.
type SampleKey struct {
	// Move is the id of the move.
	Move string `json:"move"`
	Step int    `json:"step"`
	// Candidate is true for the new version, false for the running one.
	Candidate bool   `json:"candidate"`
	Route     string `json:"route"`
}

// KeyedSample is a sample with what it counts.
type KeyedSample struct {
	SampleKey
	Sample
}

// Samples are cumulative counts.
type Samples map[SampleKey]Sample

// Merge adds other samples.
func (s Samples) Merge(others []KeyedSample) {
	for _, o := range others {
		sum := s[o.SampleKey]
		sum.Merge(o.Sample)
		s[o.SampleKey] = sum
	}
}

// List returns the samples of a move; those of all moves if the id is empty.
func (s Samples) List(move string) []KeyedSample {
	var list []KeyedSample
	for key, sample := range s {
		if move == "" || key.Move == move {
			list = append(list, KeyedSample{SampleKey: key, Sample: sample})
		}
	}
	return list
}

// Routes compares the versions on each route at a step of a move. The running version
// is also represented by earlier steps, because it has little or no traffic at the
// last one.
func (s Samples) Routes(move string, step int) []RouteEvidence {
	byRoute := map[string]*RouteEvidence{}
	for key, sample := range s {
		if key.Move != move || key.Step > step {
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

// Stop reports that an instance stopped sending to the version of a move.
type Stop struct {
	// Move is the id of the move.
	Move     string `json:"move"`
	Instance string `json:"instance"`
	Reason   string `json:"reason"`
	// SeenAt is in Unix nanoseconds.
	SeenAt int64 `json:"seen_at"`
}

// Probes returns the routes that need probe requests so that the step can end, with
// the number of requests that are lacking on each. There are none in the first half
// of the step's time, since requests of callers are the better evidence. fallback is
// the route to probe if no route has traffic.
func (r Rules) Probes(m Move, routes []RouteEvidence, fallback string, now time.Time) map[string]int64 {
	if m.State != Sharing || now.Sub(m.StepSince) < r.stepBudget(m)/2 {
		return nil
	}
	lacking := map[string]int64{}
	for _, route := range routes {
		if !route.idle() && route.Candidate.Requests < requestsAtBudget {
			lacking[route.Route] = requestsAtBudget - route.Candidate.Requests
		}
	}
	if !slices.ContainsFunc(routes, func(r RouteEvidence) bool { return !r.idle() }) {
		lacking[fallback] = requestsAtBudget
	}
	return lacking
}
