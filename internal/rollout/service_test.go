package rollout

import (
	"testing"
	"time"
)

// newSample returns a sample with the given numbers of requests and errors, and one
// latency for all successful requests.
func newSample(requests, errors int64, ms int) Sample {
	var s Sample
	for i := range requests {
		s.Add(i < errors, time.Duration(ms)*time.Millisecond, 0)
	}
	return s
}

// Guards against a rollout that completes although its version fails, is slow or served
// hardly any requests, against a rollback without a fault, and against a rollout that never
// ends.
func TestJudgeService(t *testing.T) {
	deadline := time.Unix(1000, 0)
	r := ServiceRollout{Service: "s", Version: "2", Deadline: deadline, State: Serving}
	early, late := deadline.Add(-10*time.Second), deadline.Add(-serviceDecisionLead)
	good := RouteEvidence{Route: "r", Candidate: newSample(50, 0, 20), Running: newSample(1000, 2, 20)}
	for _, c := range []struct {
		name   string
		at     time.Time
		routes []RouteEvidence
		stops  int
		want   State
	}{
		{"good, early", early, []RouteEvidence{good}, 0, Serving},
		{"good, at the end", late, []RouteEvidence{good}, 0, Done},
		{"failures", early, []RouteEvidence{{Route: "r", Candidate: newSample(50, 10, 20), Running: newSample(1000, 2, 20)}}, 0, RolledBack},
		{"failures on one route", late, []RouteEvidence{good, {Route: "q", Candidate: newSample(50, 10, 20), Running: newSample(1000, 2, 20)}}, 0, RolledBack},
		{"slow", early, []RouteEvidence{{Route: "r", Candidate: newSample(50, 0, 200), Running: newSample(1000, 2, 20)}}, 0, RolledBack},
		{"failing as before", late, []RouteEvidence{{Route: "r", Candidate: newSample(50, 5, 20), Running: newSample(1000, 100, 20)}}, 0, Done},
		{"stopped by two instances", early, []RouteEvidence{good}, 2, RolledBack},
		{"stopped by one instance", early, []RouteEvidence{good}, 1, Serving},
		{"untried", late, []RouteEvidence{{Route: "r", Candidate: newSample(2, 0, 20), Running: newSample(1000, 0, 20)}}, 0, RolledBack},
		{"few requests at all", late, []RouteEvidence{good, {Route: "q", Candidate: newSample(1, 0, 20), Running: newSample(60, 0, 20)}}, 0, Done},
		{"no traffic", late, nil, 0, RolledBack},
	} {
		got, reason := EvaluateService(r, Evidence{Routes: c.routes, LocalStops: c.stops}, c.at)
		if got != c.want || (got.ended() && reason == "") {
			t.Errorf("%s: %s (%s), want %s", c.name, got, reason, c.want)
		}
	}
	r.State = RolledBack
	if got, _ := EvaluateService(r, Evidence{Routes: []RouteEvidence{good}}, late); got != RolledBack {
		t.Errorf("a rolled back rollout became %s", got)
	}
}

func (s State) ended() bool { return s == Done || s == RolledBack }
