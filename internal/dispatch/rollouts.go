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

// HeaderModelVersion selects the version on an engine that serves several versions of a
// model. The body is forwarded unchanged and names only the model.
const HeaderModelVersion = "X-Model-Version"

// RolloutObservation is the outcome of one attempt on a target with an active rollout.
type RolloutObservation struct {
	rollout.SampleKey
	// Failed is true if the attempt failed because of the upstream.
	Failed bool
	// FirstByte is the time from the start of the attempt to the head of the response.
	FirstByte time.Duration
	LoadClass int
}

// currentTarget returns the target to use for the next attempt, in the form of Request.Target
// (model@version for a model). A request for the candidate version falls back to the running
// version after a failure, when the candidate was stopped, or when no upstream of the region
// can serve the candidate.
func currentTarget(s *routing.Snapshot, r *Request, failed bool) string {
	name, version, versioned := strings.Cut(r.Target, "@")
	split, known := s.ModelSplits[name]
	if !versioned || !known || version == split.RunningVersion {
		return r.Target
	}
	candidate := version == split.Candidate && (split.Share > 0 || r.Probe)
	if candidate && !failed && hasServingUpstream(s, r.Target) {
		return r.Target
	}
	return name + "@" + split.RunningVersion
}

// hasServingUpstream reports whether an upstream of the region can serve a target, given as
// model@version for a model.
func hasServingUpstream(s *routing.Snapshot, target string) bool {
	return slices.ContainsFunc(s.ByTarget[target], func(i int32) bool {
		return !s.Upstreams[i].Draining && !s.Upstreams[i].Down
	})
}

// versionHeader returns the request header with HeaderModelVersion set if the target has a
// version.
func versionHeader(r *Request) http.Header {
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

// versionFault reports whether a failure response may be caused by the candidate version
// of a rollout. Such a failure must not pause the upstream, which also serves the running
// version.
func (d *Dispatcher) versionFault(r *Request, result relay.Result) bool {
	name, version, _ := strings.Cut(r.Target, "@")
	split := d.Snapshot().ModelSplits[name]
	return split.Candidate != "" && version == split.Candidate && result.Outcome == retry.Failed
}

// observeRollout reports an attempt to the active rollout of its target. Failures that the
// upstream did not cause are ignored.
func (d *Dispatcher) observeRollout(r *Request, u *routing.Upstream, result relay.Result, started, head time.Time) {
	if d.ObserveRollout == nil || (result.Err != nil && !result.UpstreamFault) {
		return
	}
	if r.RouteParams != nil {
		d.observeServiceRollout(r, u, result, started, head)
		return
	}
	if u.Role != external.RoleEngine {
		return
	}
	name, version, _ := strings.Cut(r.Target, "@")
	split := d.Snapshot().ModelSplits[name]
	if split.RolloutID == "" || (version != split.Candidate && version != split.RunningVersion) {
		return
	}
	route, _, _ := strings.Cut(r.Path, "?")
	running := max(int(u.Counters.InFlight.Load()), u.Load.Running)
	d.ObserveRollout(RolloutObservation{
		SampleKey: rollout.SampleKey{RolloutID: split.RolloutID, Step: split.Step, Candidate: version == split.Candidate, Route: route},
		Failed:    result.Err != nil,
		FirstByte: head.Sub(started),
		LoadClass: rollout.LoadClass(running, u.Load.Waiting),
	})
}

// observeServiceRollout reports an attempt to the active rollout of a service.
func (d *Dispatcher) observeServiceRollout(r *Request, u *routing.Upstream, result relay.Result, started, head time.Time) {
	split := d.Snapshot().ServiceSplits[r.Target]
	if split.Candidate == "" {
		return
	}
	load := 0
	if result.Load != nil {
		load = result.Load.Waiting
	}
	d.ObserveRollout(RolloutObservation{
		SampleKey: rollout.SampleKey{RolloutID: split.RolloutID, Candidate: u.Version == split.Candidate, Route: r.RouteParams.Route},
		Failed:    result.Err != nil,
		FirstByte: head.Sub(started),
		LoadClass: rollout.LoadClass(int(u.Counters.InFlight.Load()), load),
	})
}
