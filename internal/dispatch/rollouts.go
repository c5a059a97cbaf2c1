package dispatch

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
)

// HeaderModelVersion names the version to an engine that holds several versions of a
// model. The body is passed on as the caller sent it and names only the model.
const HeaderModelVersion = "X-Model-Version"

// Observation is the outcome of one attempt for a rollout.
type Observation struct {
	rollout.SampleKey
	// Failed is true if the upstream caused a failure.
	Failed bool
	// FirstByte is the time from the start of the attempt to the head of the answer.
	FirstByte time.Duration
	LoadClass int
}

// current returns the target that the request should have now. A request for the
// candidate moves to the running version after a failure, after the version was
// stopped, and where no upstream of the region can serve the candidate.
func current(s *routing.Snapshot, r *Request, failed bool) string {
	name, version, versioned := strings.Cut(r.Target, "@")
	split, known := s.Splits[name]
	if !versioned || !known || version == split.Running {
		return r.Target
	}
	candidate := version == split.Candidate && (split.Share > 0 || r.Probe)
	if candidate && !failed && servable(s, r.Target) {
		return r.Target
	}
	return name + "@" + split.Running
}

func servable(s *routing.Snapshot, target string) bool {
	return slices.ContainsFunc(s.ByTarget[target], func(i int32) bool {
		return !s.Upstreams[i].Leaving && !s.Upstreams[i].Down
	})
}

// headerFor returns the header of an attempt against an upstream.
func headerFor(r *Request) http.Header {
	version := r.Version()
	if version == "" {
		return r.Header
	}
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(HeaderModelVersion, version)
	return header
}

// versionFault reports whether an answered failure may be due to the version under
// rollout. It must not pause the upstream, which also serves the running version.
func (d *Dispatcher) versionFault(r *Request, result relay.Result) bool {
	name, version, _ := strings.Cut(r.Target, "@")
	split := d.Snapshot().Splits[name]
	return split.Candidate != "" && version == split.Candidate && result.Outcome == retry.Failed
}

// observe reports an attempt for a rollout under way. Failures that the upstream did
// not cause are no evidence.
func (d *Dispatcher) observe(r *Request, u *routing.Upstream, result relay.Result, started, head time.Time) {
	if d.Observe == nil || (result.Err != nil && !result.UpstreamFault) {
		return
	}
	if r.Terms != nil {
		d.observeService(r, u, result, started, head)
		return
	}
	if u.Role != external.RoleEngine {
		return
	}
	name, version, _ := strings.Cut(r.Target, "@")
	split := d.Snapshot().Splits[name]
	if split.Move == "" || (version != split.Candidate && version != split.Running) {
		return
	}
	route, _, _ := strings.Cut(r.Path, "?")
	running := max(int(u.Counters.InFlight.Load()), u.Load.Running)
	d.Observe(Observation{
		SampleKey: rollout.SampleKey{Move: split.Move, Step: split.Step, Candidate: version == split.Candidate, Route: route},
		Failed:    result.Err != nil,
		FirstByte: head.Sub(started),
		LoadClass: rollout.LoadClass(running, u.Load.Waiting),
	})
}

// observeService reports an attempt at a service under rollout.
func (d *Dispatcher) observeService(r *Request, u *routing.Upstream, result relay.Result, started, head time.Time) {
	split := d.Snapshot().Rollouts[r.Target]
	if split.Candidate == "" {
		return
	}
	load := 0
	if result.Load != nil {
		load = result.Load.Waiting
	}
	d.Observe(Observation{
		SampleKey: rollout.SampleKey{Move: split.Move, Candidate: u.Version == split.Candidate, Route: r.Terms.Route},
		Failed:    result.Err != nil,
		FirstByte: head.Sub(started),
		LoadClass: rollout.LoadClass(int(u.Counters.InFlight.Load()), load),
	})
}
