package peer

import (
	"time"

	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
)

// HostStatusFunc returns the status of the host routes that this instance reports to peers.
type HostStatusFunc func(s *routing.Snapshot) *peerv1.HostStatus

// status returns the status of the host routes; nil if the instance serves none.
func (f HostStatusFunc) status(s *routing.Snapshot) *peerv1.HostStatus {
	if f == nil {
		return nil
	}
	return f(s)
}

// NewHostStatus encodes the status of the host routes of an instance.
func NewHostStatus(s *routing.Snapshot, now time.Time, demands map[string]float64) *peerv1.HostStatus {
	status := &peerv1.HostStatus{Serving: s.Ready && !s.Draining && !s.ConfigStale(now)}
	for account, demand := range demands {
		status.Demands = append(status.Demands, &peerv1.AccountDemand{Account: account, PerSecond: demand})
	}
	for service, load := range s.ServiceLoads(now.UnixNano()) {
		queue := microseconds(load.QueueSeconds)
		status.Services = append(status.Services, &peerv1.ServiceLoad{
			Service: service, Upstreams: int32(load.Upstreams), WaitUs: microseconds(load.WaitSeconds), QueueUs: &queue,
		})
	}
	for i := range s.Upstreams {
		if u := &s.Upstreams[i]; u.Cold || u.Evacuated {
			status.Cold = append(status.Cold, &peerv1.ColdUpstream{Upstream: u.ID, ColdMs: u.ColdFor(now).Milliseconds()})
		}
	}
	return status
}

// decodeHostStatus adds the status of a peer's host routes to the event of its heartbeat.
func decodeHostStatus(e *control.HeartbeatEvent, host *peerv1.HostStatus) {
	if host == nil {
		return
	}
	e.Peer.AcceptsKeys = host.GetServing()
	e.Demands = map[string]float64{}
	for _, d := range host.GetDemands() {
		e.Demands[d.GetAccount()] = d.GetPerSecond()
	}
	e.ColdFor = decodeColdUpstreams(host)
	e.Services = map[string]routing.ServiceLoad{}
	for _, load := range host.GetServices() {
		decoded := routing.ServiceLoad{Upstreams: int(load.GetUpstreams()), WaitSeconds: seconds(load.GetWaitUs())}
		decoded.QueueSeconds = decoded.WaitSeconds
		if load.QueueUs != nil {
			decoded.QueueSeconds = seconds(load.GetQueueUs())
		}
		e.Services[load.GetService()] = decoded
	}
}

func microseconds(seconds float64) int64 { return int64(seconds * 1e6) }

func seconds(microseconds int64) float64 { return float64(microseconds) / 1e6 }

// decodeColdUpstreams returns how long each upstream that the peer reports remains cold.
func decodeColdUpstreams(host *peerv1.HostStatus) map[string]time.Duration {
	cold := make(map[string]time.Duration, len(host.GetCold()))
	for _, c := range host.GetCold() {
		cold[c.GetUpstream()] = time.Duration(c.GetColdMs()) * time.Millisecond
	}
	return cold
}

// encodeRouteParams encodes the route parameters of a forwarded request; nil for a request
// that is not on a host route.
func encodeRouteParams(r *dispatch.Request) *peerv1.HostTerms {
	if r.RouteParams == nil {
		return nil
	}
	p := &peerv1.HostTerms{
		Host:        r.RouteParams.Host,
		Route:       r.RouteParams.Route,
		Upstreams:   int32(r.RouteParams.MaxExecutions),
		ObjectiveMs: r.RouteParams.FirstByteObjective.Milliseconds(),
		Priority:    int32(r.RouteParams.Priority),
		Tokens:      r.RouteParams.PromptTokens,
		Ran:         int32(r.ExecutedAttempts()),
	}
	for _, part := range r.RouteParams.PromptParts {
		p.PartIds = append(p.PartIds, part.ID)
		p.PartTokens = append(p.PartTokens, part.Tokens)
	}
	if r.StreamPosition != nil {
		p.LastEvent = r.StreamPosition.LastEventID
	}
	return p
}

// decodeRouteParams sets the route parameters of a forwarded request. The allowed regions
// are not part of them: the sender checked them, and the request is not forwarded again.
func decodeRouteParams(r *dispatch.Request, p *peerv1.HostTerms) {
	if p == nil {
		return
	}
	r.RouteParams = &dispatch.RouteParams{
		Host:               p.GetHost(),
		Route:              p.GetRoute(),
		MaxExecutions:      int(p.GetUpstreams()),
		FirstByteObjective: time.Duration(p.GetObjectiveMs()) * time.Millisecond,
		Priority:           int(p.GetPriority()),
		PromptTokens:       p.GetTokens(),
	}
	for i, id := range p.GetPartIds() {
		if i < len(p.GetPartTokens()) {
			r.RouteParams.PromptParts = append(r.RouteParams.PromptParts, routing.PromptPart{ID: id, Tokens: p.GetPartTokens()[i]})
		}
	}
	r.SetExecutedAttempts(int(p.GetRan()))
	if r.Stream {
		r.StreamPosition = &relay.StreamPosition{LastEventID: p.GetLastEvent(), HasLastEventID: p.GetLastEvent() > 0}
	}
}
