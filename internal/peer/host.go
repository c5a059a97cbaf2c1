package peer

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/membership"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
)

// HostReport is what an instance that serves host routes reports to peers. It must not be changed.
type HostReport struct {
	// status is the status with the demands of this instance, and brief the same without them.
	status, brief *peerv1.HostStatus
	// news are those of the members of the failure domain, and demand the total of its instances. They are
	// nil in a failure domain whose members all send heartbeats to each other.
	news   *peerv1.MemberNews
	demand *peerv1.DomainDemand
	// collectors are the peer addresses of the collectors of a large failure domain.
	collectors []string
	// lacksUpstreams is true if no upstream of a listed service can take work.
	lacksUpstreams bool
}

// HostReportFunc returns the report of this instance.
type HostReportFunc func(s *routing.Snapshot) *HostReport

// of returns the report; nil if the instance serves no host routes.
func (f HostReportFunc) of(s *routing.Snapshot) *HostReport {
	if f == nil {
		return nil
	}
	return f(s)
}

// NewHostReportFunc returns a function that reports for an instance with the given peer address. It makes one report
// for each snapshot. demands is what callers ask of the instance.
func NewHostReportFunc(peerAddress string, demands func(now time.Time) map[string]float64) HostReportFunc {
	var mu sync.Mutex
	var last *routing.Snapshot
	var report *HostReport
	var cache collectorCache
	return func(s *routing.Snapshot) *HostReport {
		mu.Lock()
		defer mu.Unlock()
		if s != last {
			now := clock.Now()
			last, report = s, newHostReport(s, cache.of(s, peerAddress), now, demands(now))
		}
		return report
	}
}

func newHostReport(s *routing.Snapshot, collectors []string, now time.Time, demands map[string]float64) *HostReport {
	status := &peerv1.HostStatus{Serving: s.Ready && !s.Draining && !s.ConfigStale(now)}
	loads := s.ServiceLoads(now.UnixNano())
	for service, load := range loads {
		queue := microseconds(load.QueueSeconds)
		status.Services = append(status.Services, &peerv1.ServiceLoad{
			Service: service, Upstreams: int32(load.Upstreams), WaitUs: microseconds(load.WaitSeconds), QueueUs: &queue,
		})
	}
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		// What only others reported is left out, so that instances do not renew each other's suspicion.
		ended := u.MayBecomeCold && (u.Down || u.Counters.SignNoticed())
		if cold := u.ColdFor(now); cold > 0 || ended {
			status.Cold = append(status.Cold, &peerv1.ColdUpstream{Upstream: u.ID, ColdMs: max(cold.Milliseconds(), 0), Ended: ended})
		}
	}
	report := &HostReport{status: status, brief: &peerv1.HostStatus{Serving: status.Serving, Services: status.Services, Cold: status.Cold}}
	status.Demands = encodeDemands(demands)
	report.lacksUpstreams = len(loads) < len(s.ByTarget)
	if report.collectors = collectors; collectors != nil {
		report.news = encodeNews(s, now)
	}
	if s.DomainDemand.Instances > 0 {
		report.demand = encodeDomainDemand(s.DomainDemand, demands, 1, now)
	}
	return report
}

// domainMember is what the choice of collectors depends on.
type domainMember struct {
	id, address string
	unavailable bool
}

// collectorCache keeps the collectors of this instance's failure domain until its members change. It is not safe for
// concurrent use.
type collectorCache struct {
	members, next []domainMember
	listed        int
	collectors    []string
}

// of returns the peer addresses of the collectors of the failure domain; nil if all of its members send heartbeats to
// each other.
func (c *collectorCache) of(s *routing.Snapshot, peerAddress string) []string {
	c.next = append(c.next[:0], domainMember{id: s.SelfID, address: peerAddress, unavailable: s.Draining})
	for i := range s.Peers {
		if p := &s.Peers[i]; p.FailureDomain == s.FailureDomain {
			c.next = append(c.next, domainMember{id: p.ID, address: p.PeerAddress, unavailable: p.Suspect || p.Draining})
		}
	}
	listed := 0
	for _, contact := range s.ListedPeers {
		if contact.FailureDomain == s.FailureDomain {
			listed++
		}
	}
	if listed != c.listed || !slices.Equal(c.members, c.next) {
		c.members, c.next, c.listed = c.next, c.members, listed
		c.collectors = collectors(s.FailureDomain, c.members, listed)
	}
	return c.collectors
}

func collectors(domain string, candidates []domainMember, listed int) []string {
	if max(len(candidates)-1, listed) <= membership.MaxDomainMesh {
		return nil
	}
	addresses := make(map[string]string, len(candidates))
	members := make([]membership.Member, 0, len(candidates))
	for _, m := range candidates {
		addresses[m.id] = m.address
		members = append(members, membership.Member{ID: m.id, FailureDomain: domain, Suspect: m.unavailable})
	}
	var collectors []string
	for _, id := range membership.Watchers(domain, members) {
		collectors = append(collectors, addresses[id])
	}
	return collectors
}

func encodeDemands(demands map[string]float64) []*peerv1.AccountDemand {
	encoded := make([]*peerv1.AccountDemand, 0, len(demands))
	for account, demand := range demands {
		encoded = append(encoded, &peerv1.AccountDemand{Account: account, PerSecond: demand})
	}
	return encoded
}

// encodeDomainDemand encodes a total to which the demands of so many more instances are added, or from which they
// are taken if the number is negative.
func encodeDomainDemand(d routing.DomainDemand, demands map[string]float64, instances int, now time.Time) *peerv1.DomainDemand {
	total := maps.Clone(d.Demands)
	for account, demand := range demands {
		total[account] = max(total[account]+float64(instances)*demand, 0)
	}
	return &peerv1.DomainDemand{
		FailureDomain: d.FailureDomain, Demands: encodeDemands(total),
		Instances: int32(d.Instances + instances), AgeMs: now.Sub(d.At).Milliseconds() + 1,
	}
}

// demandWithout returns the total of the failure domain without the member with the given id; nil if this instance
// does not collect it.
func demandWithout(s *routing.Snapshot, id string, now time.Time) *peerv1.DomainDemand {
	if !s.CollectsDemand {
		return nil
	}
	i, known := slices.BinarySearchFunc(s.Peers, id, func(p routing.Peer, id string) int { return strings.Compare(p.ID, id) })
	if !known || s.Peers[i].Demands == nil {
		return nil
	}
	return encodeDomainDemand(s.DomainDemand, s.Peers[i].Demands, -1, now)
}

const (
	newsAgeUnit = 50 * time.Millisecond
	// The lowest bits of a state are flags; the others hold an age in newsAgeUnit.
	newsServing  = 1
	newsDraining = 2
	newsFlagBits = 2
)

func encodeNews(s *routing.Snapshot, now time.Time) *peerv1.MemberNews {
	news := &peerv1.MemberNews{}
	for i := range s.Peers {
		p := &s.Peers[i]
		age := now.Sub(p.LastHeard)
		if p.FailureDomain != s.FailureDomain || age > membership.DropAfter {
			continue
		}
		state := uint32((age+newsAgeUnit-1)/newsAgeUnit) << newsFlagBits
		if p.AcceptsKeys {
			state |= newsServing
		}
		if p.Draining {
			state |= newsDraining
		}
		news.Members = append(news.Members, membership.NewsID(p.ID, p.Incarnation))
		news.States = append(news.States, state)
	}
	return news
}

// decodeNews decodes news that are at least as old as the given time.
func decodeNews(news *peerv1.MemberNews, at time.Time) []control.MemberNews {
	var decoded []control.MemberNews
	for i, member := range news.GetMembers() {
		if i >= len(news.GetStates()) {
			break
		}
		state := news.GetStates()[i]
		decoded = append(decoded, control.MemberNews{
			News: membership.News{
				Member: member, Draining: state&newsDraining != 0,
				Heard: at.Add(-time.Duration(state>>newsFlagBits) * newsAgeUnit),
			},
			AcceptsKeys: state&newsServing != 0,
		})
	}
	return decoded
}

// addToRequest adds the report to a heartbeat for the instance at a peer address.
func (r *HostReport) addToRequest(req *peerv1.HeartbeatRequest, s *routing.Snapshot, address string) {
	switch domain := domainOf(s, address); {
	case domain == "":
		req.Host = r.status
	case domain != s.FailureDomain:
		req.Host, req.DomainDemand = r.status, r.demand
	case r.collectors == nil || slices.Contains(r.collectors, address):
		req.Host = r.status
	default:
		req.Brief = r.brief
	}
}

// addToResponse adds the report to the response to a heartbeat of a member.
func (r *HostReport) addToResponse(resp *peerv1.HeartbeatResponse, s *routing.Snapshot, sender *peerv1.Member, now time.Time) {
	switch {
	case sender == nil:
		resp.Host = r.status
	case sender.GetFailureDomain() != s.FailureDomain:
		resp.Host, resp.DomainDemand = r.status, r.demand
	case r.collectors == nil:
		resp.Host = r.status
	default:
		resp.Brief, resp.News = r.brief, r.news
		resp.DomainDemand = demandWithout(s, sender.GetId(), now)
	}
}

// domainOf returns the failure domain of the instance at a peer address; empty if it is not known.
func domainOf(s *routing.Snapshot, address string) string {
	for i := range s.Peers {
		if s.Peers[i].PeerAddress == address {
			return s.Peers[i].FailureDomain
		}
	}
	for _, c := range s.ListedPeers {
		if c.PeerAddress == address {
			return c.FailureDomain
		}
	}
	return ""
}

// hostMessage is the part of a heartbeat or of its response that concerns host routes.
type hostMessage interface {
	GetHost() *peerv1.HostStatus
	GetBrief() *peerv1.HostStatus
	GetNews() *peerv1.MemberNews
	GetDomainDemand() *peerv1.DomainDemand
}

// decodeHostMessage adds what a message says of host routes to the event of its heartbeat. sentAt is when the request was
// sent to which it responds; zero for a request, whose news are not used: it may have waited for long.
func decodeHostMessage(e *control.HeartbeatEvent, m hostMessage, sentAt, now time.Time) {
	if brief := m.GetBrief(); brief != nil {
		decodeHostStatus(e, brief, now)
		e.Demands = nil
	}
	decodeHostStatus(e, m.GetHost(), now)
	if !sentAt.IsZero() {
		e.News = decodeNews(m.GetNews(), sentAt)
	}
	d := m.GetDomainDemand()
	if d.GetInstances() <= 0 {
		return
	}
	e.DomainDemand = routing.DomainDemand{
		FailureDomain: d.GetFailureDomain(), Demands: map[string]float64{}, Instances: int(d.GetInstances()),
		At: now.Add(-time.Duration(d.GetAgeMs()) * time.Millisecond),
	}
	for _, account := range d.GetDemands() {
		e.DomainDemand.Demands[account.GetAccount()] = account.GetPerSecond()
	}
}

// decodeHostStatus adds the status of a peer's host routes to the event of its heartbeat.
func decodeHostStatus(e *control.HeartbeatEvent, host *peerv1.HostStatus, now time.Time) {
	if host == nil {
		return
	}
	e.Peer.AcceptsKeys = host.GetServing()
	e.Demands = map[string]float64{}
	for _, d := range host.GetDemands() {
		e.Demands[d.GetAccount()] = d.GetPerSecond()
	}
	e.ColdFor, e.Ended = decodeColdUpstreams(host)
	e.ReceivedAt = now
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

// decodeColdUpstreams returns how long each upstream that the peer reports remains cold, and which ended.
func decodeColdUpstreams(host *peerv1.HostStatus) (cold map[string]time.Duration, ended []string) {
	cold = make(map[string]time.Duration, len(host.GetCold()))
	for _, c := range host.GetCold() {
		if c.GetColdMs() > 0 {
			cold[c.GetUpstream()] = time.Duration(c.GetColdMs()) * time.Millisecond
		}
		if c.GetEnded() {
			ended = append(ended, c.GetUpstream())
		}
	}
	return cold, ended
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
