package dispatch

import (
	"strings"

	"heatherloom/internal/errkind"
	"heatherloom/internal/invariant"
	"heatherloom/internal/routing"
	"heatherloom/internal/timeline"
)

// Version returns the model version of the target; empty for a plain service.
func (r *Request) Version() string {
	_, version, _ := strings.Cut(r.Target, "@")
	return version
}

func (r *Request) event(kind timeline.Kind, upstream, detail string) timeline.Event {
	return timeline.Event{
		Kind:     kind,
		Request:  r.ID,
		Account:  r.Account,
		Version:  r.Version(),
		Upstream: upstream,
		Detail:   detail,
	}
}

// recordPick records the selected upstream and checks the region binding.
func (d *Dispatcher) recordPick(r *Request, u *routing.Upstream) {
	if r.BoundRegion != "" && r.BoundRegion != u.Region {
		invariant.ReportViolation(invariant.RegionBinding, "request %s is bound to region %q but was routed to region %q", r.ID, r.BoundRegion, u.Region)
	}
	d.Timeline.Record(r.event(timeline.KindUpstreamPicked, u.ID, ""))
}

// recordForward records the selected entry instance and checks that it has not handled
// the request before.
func (d *Dispatcher) recordForward(r *Request, p *routing.Peer) {
	for _, id := range r.Visited {
		if id == p.ID {
			invariant.ReportViolation(invariant.NoLoop, "request %s was routed back to instance %q", r.ID, id)
		}
	}
	d.Timeline.Record(r.event(timeline.KindForwarded, p.ID, ""))
}

func (d *Dispatcher) recordFailure(r *Request, destination string, err *errkind.Error) {
	d.Timeline.Record(r.event(timeline.KindAttemptFailed, destination, string(err.Kind)+": "+err.Message))
}
