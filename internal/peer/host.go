package peer

import (
	"time"

	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
)

// HostReport returns what this instance tells its peers of its host routes.
type HostReport func(s *routing.Snapshot) *peerv1.HostStatus

// status returns the report of an instance; nil if it serves no host routes.
func (r HostReport) status(s *routing.Snapshot) *peerv1.HostStatus {
	if r == nil {
		return nil
	}
	return r(s)
}

// HostStatusOf encodes what an instance reports of its host routes.
func HostStatusOf(s *routing.Snapshot, now time.Time, demands map[string]float64) *peerv1.HostStatus {
	status := &peerv1.HostStatus{Serving: s.Ready && !s.Draining && !s.ConfigStale(now)}
	for account, demand := range demands {
		status.Demands = append(status.Demands, &peerv1.AccountDemand{Account: account, PerSecond: demand})
	}
	for service, load := range s.ServiceLoads(time.Now().UnixNano()) {
		wait := time.Duration(load.WaitSeconds * float64(time.Second))
		status.Services = append(status.Services, &peerv1.ServiceLoad{
			Service: service, Upstreams: int32(load.Upstreams), WaitUs: wait.Microseconds(),
		})
	}
	for i := range s.Upstreams {
		if u := &s.Upstreams[i]; u.Cold || u.Evacuated {
			status.Cold = append(status.Cold, &peerv1.ColdUpstream{Upstream: u.ID, ColdMs: u.ColdFor(now).Milliseconds()})
		}
	}
	return status
}

// addHost decodes a report into the event of its heartbeat.
func addHost(e *control.HeartbeatEvent, host *peerv1.HostStatus) {
	if host == nil {
		return
	}
	e.Peer.AcceptsKeys = host.GetServing()
	e.Demands = map[string]float64{}
	for _, d := range host.GetDemands() {
		e.Demands[d.GetAccount()] = d.GetPerSecond()
	}
	e.ColdFor = coldOf(host)
	e.Services = map[string]routing.ServiceLoad{}
	for _, load := range host.GetServices() {
		wait := time.Duration(load.GetWaitUs()) * time.Microsecond
		e.Services[load.GetService()] = routing.ServiceLoad{Upstreams: int(load.GetUpstreams()), WaitSeconds: wait.Seconds()}
	}
}

// coldOf decodes the cold upstreams of a report.
func coldOf(host *peerv1.HostStatus) map[string]time.Duration {
	cold := make(map[string]time.Duration, len(host.GetCold()))
	for _, c := range host.GetCold() {
		cold[c.GetUpstream()] = time.Duration(c.GetColdMs()) * time.Millisecond
	}
	return cold
}

// termsOf encodes the terms of a forwarded request; nil for those of the API.
func termsOf(r *dispatch.Request) *peerv1.HostTerms {
	if r.RouteParams == nil {
		return nil
	}
	t := &peerv1.HostTerms{
		Host:        r.RouteParams.Host,
		Route:       r.RouteParams.Route,
		Upstreams:   int32(r.RouteParams.MaxUpstreams),
		ObjectiveMs: r.RouteParams.FirstByteObjective.Milliseconds(),
		Priority:    int32(r.RouteParams.Priority),
		Tokens:      r.RouteParams.PromptTokens,
		Ran:         int32(r.ExecutedAttempts()),
	}
	for _, part := range r.RouteParams.PromptParts {
		t.PartIds = append(t.PartIds, part.ID)
		t.PartTokens = append(t.PartTokens, part.Tokens)
	}
	if r.StreamPosition != nil {
		t.LastEvent = r.StreamPosition.LastEventID
	}
	return t
}

// setTerms decodes the terms of a forwarded request. Its homes were checked by the
// sender, and it is not forwarded again.
func setTerms(r *dispatch.Request, t *peerv1.HostTerms) {
	if t == nil {
		return
	}
	r.RouteParams = &dispatch.RouteParams{
		Host:               t.GetHost(),
		Route:              t.GetRoute(),
		MaxUpstreams:       int(t.GetUpstreams()),
		FirstByteObjective: time.Duration(t.GetObjectiveMs()) * time.Millisecond,
		Priority:           int(t.GetPriority()),
		PromptTokens:       t.GetTokens(),
	}
	for i, id := range t.GetPartIds() {
		if i < len(t.GetPartTokens()) {
			r.RouteParams.PromptParts = append(r.RouteParams.PromptParts, routing.PromptPart{ID: id, Tokens: t.GetPartTokens()[i]})
		}
	}
	r.SetExecutedAttempts(int(t.GetRan()))
	if r.Stream {
		r.StreamPosition = &relay.StreamPosition{LastEventID: t.GetLastEvent(), HasLastEventID: t.GetLastEvent() > 0}
	}
}
