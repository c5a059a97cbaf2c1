package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/membership"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
	"heatherloom/internal/timeline"
	"heatherloom/internal/usage"
)

const (
	// heartbeatInterval is the time between two heartbeats to one member.
	heartbeatInterval = time.Second
	heartbeatTimeout  = time.Second
	// maxKnownMembers bounds the members that a heartbeat names besides the sender. With
	// four, sent in responses too, they took more than half of all heartbeat bytes.
	maxKnownMembers = 2
)

// Heartbeater sends heartbeats to peers and passes what they respond to the control loop.
type Heartbeater struct {
	Identity control.Identity
	Loop     *control.Loop
	Client   *Client
	// MemberCache is shared with the Server of the instance; nil sends full member messages.
	MemberCache *MemberCache
	// SentReports is shared with the Server of the instance; nil repeats all reports to each peer.
	SentReports *SentReports
	// Seeds returns peer addresses for heartbeats before any member is known.
	Seeds func() []string
	// Samples returns the samples of this instance for rollouts in progress; nil for none.
	Samples func() []rollout.KeyedSample
	// HostReport returns the report on the host routes; nil if the instance serves none.
	HostReport HostReportFunc
	// Recent notes which peers answer, and UsageClock compares its time with theirs. Both are nil unless the
	// instance counts usage.
	Recent     *RecentPeers
	UsageClock *usage.Clock
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) {
	ticker := time.NewTicker(h.initialInterval())
	defer ticker.Stop()
	startupEnd := time.After(startupPeriod)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for {
		for _, address := range membership.HeartbeatTargets(h.membershipView(), rng) {
			go h.sendHeartbeat(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-startupEnd:
			ticker.Reset(heartbeatInterval)
		case <-ticker.C:
		}
	}
}

const (
	// startupPeriod is the time after the start with more frequent rounds. An instance can
	// forward no request to another region until it has received heartbeats from its peers.
	startupPeriod = 2 * time.Second
	// startupInterval is the time between two rounds in that period.
	startupInterval = 200 * time.Millisecond
)

func (h *Heartbeater) initialInterval() time.Duration {
	if h.HostReport == nil {
		return heartbeatInterval
	}
	return startupInterval
}

func (h *Heartbeater) membershipView() membership.View {
	snapshot := h.Loop.Snapshot()
	v := membership.View{
		Self:          membership.Contact{FailureDomain: h.Identity.FailureDomain, PeerAddress: h.Identity.PeerAddress},
		Listed:        snapshot.ListedPeers,
		Former:        snapshot.FormerPeers,
		Seeds:         h.Seeds(),
		AllowFullMesh: h.HostReport != nil,
	}
	for i := range snapshot.Peers {
		p := &snapshot.Peers[i]
		v.Live = append(v.Live, membership.Contact{FailureDomain: p.FailureDomain, PeerAddress: p.PeerAddress, Heard: !p.HeardDirectly.IsZero()})
	}
	if report := h.HostReport.of(snapshot); report != nil {
		v.Collectors = report.collectors
		v.WholeDomain = report.lacksUpstreams || (h.Samples != nil && len(h.Samples()) > 0)
	}
	return v
}

// AnnounceToDomain sends a heartbeat to the members of this instance's failure domain at once,
// so that they learn of a new configuration revision or rollout state before the next round.
// It waits until all of these heartbeats have ended.
func (h *Heartbeater) AnnounceToDomain(ctx context.Context) {
	var sends sync.WaitGroup
	for _, p := range h.Loop.Snapshot().Peers {
		if p.FailureDomain == h.Identity.FailureDomain {
			sends.Go(func() { h.sendHeartbeat(ctx, p.PeerAddress) })
		}
	}
	sends.Wait()
}

// AnnounceToAll sends a heartbeat to every live member at once, so that all of them learn of
// a drain before the next round. It does not wait for the responses.
func (h *Heartbeater) AnnounceToAll(ctx context.Context) {
	for _, p := range h.Loop.Snapshot().Peers {
		go h.sendHeartbeat(ctx, p.PeerAddress)
	}
}

// sendHeartbeat sends one heartbeat. A missing response needs no action: the member expires.
func (h *Heartbeater) sendHeartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	snapshot := h.Loop.Snapshot()
	started := clock.Now()
	selected := h.SentReports.Select(address, started)
	req := &peerv1.HeartbeatRequest{
		Self:    h.MemberCache.compact(SelfMember(h.Identity, snapshot)),
		Known:   h.MemberCache.compactAll(knownMembers(snapshot, started, address)),
		Crashes: encodeCrashes(snapshot, started, selected),

		CompletedParts: encodeCompletedParts(snapshot, started, selected),

		Moves:         encodeRollouts(snapshot),
		VersionFaults: encodeLocalStops(snapshot),
		Samples:       h.samplesFor(snapshot, address),
	}
	if report := h.HostReport.of(snapshot); report != nil {
		report.addToRequest(req, snapshot, address)
	}
	resp, err := h.send(ctx, address, req)
	if err != nil {
		h.SentReports.Forget(address)
		return
	}
	self := h.MemberCache.expand(resp.GetSelf())
	if next := h.MemberCache.followUp(req, resp, self); next != nil {
		started = clock.Now()
		if resp, err = h.send(ctx, address, next); err != nil {
			return
		}
		self = h.MemberCache.expand(resp.GetSelf())
	}
	h.SentReports.Observe(address, self.GetIncarnation(), started)
	now := clock.Now()
	h.Recent.record(address, now)
	if h.UsageClock != nil && resp.GetUsageClock() != 0 {
		h.UsageClock.Observe(self.GetId(), time.Unix(0, resp.GetUsageClock()), now, now.Sub(started))
	}
	postMember(ctx, h.Loop, self, started, nil, resp)
	postCrashes(ctx, h.Loop, resp.GetCrashes(), h.SentReports, address)
	postCompletedParts(ctx, h.Loop, resp.GetCompletedParts())
	postRollouts(ctx, h.Loop, resp.GetMoves())
	postLocalStops(ctx, h.Loop, resp.GetVersionFaults())
}

func (h *Heartbeater) send(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	req.Clock = uint64(h.Client.clock.Now())
	resp, err := h.Client.ServiceClient(address).Heartbeat(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	h.Client.clock.Observe(timeline.Stamp(resp.Msg.GetClock()))
	return resp.Msg, nil
}

// configConfirmedAt returns when the configuration of a member that responded to a call
// was last known to be the latest one; zero if that is not known. Its age counts from the
// start of the call, so that a slow response does not make the configuration look newer
// than it is.
func configConfirmedAt(started time.Time, m *peerv1.Member) time.Time {
	if started.IsZero() || m.GetConfigAgeMs() < 0 {
		return time.Time{}
	}
	return started.Add(-time.Duration(m.GetConfigAgeMs()) * time.Millisecond)
}

// configAge returns the age of the configuration in milliseconds, -1 if it is not known.
func configAge(s *routing.Snapshot, now time.Time) int64 {
	if s.ConfigConfirmed.IsZero() {
		return -1
	}
	// Rounded up, so that the age never decreases from one member to the next.
	return now.Sub(s.ConfigConfirmed).Milliseconds() + 1
}

// knownMembers returns a random sample of the members whose heartbeats this instance
// received directly, without the recipient. Gossip is not passed on, since it would keep a
// dead member alive. Members of other failure domains than the recipient's take
// precedence, since the recipient receives heartbeats of its own domain every second; in
// one of four heartbeats all members rank equally, so that members of one domain find each
// other without an instance list.
func knownMembers(s *routing.Snapshot, now time.Time, recipient string) []*peerv1.Member {
	var recent []*routing.Peer
	domain := ""
	for i := range s.Peers {
		p := &s.Peers[i]
		if p.PeerAddress == recipient {
			domain = p.FailureDomain
		} else if now.Sub(p.HeardDirectly) <= membership.SuspectAfter {
			recent = append(recent, p)
		}
	}
	rand.Shuffle(len(recent), func(i, j int) { recent[i], recent[j] = recent[j], recent[i] })
	if rand.IntN(4) > 0 {
		slices.SortStableFunc(recent, func(a, b *routing.Peer) int { return domainOrder(a, domain) - domainOrder(b, domain) })
	}
	var members []*peerv1.Member
	for _, p := range recent[:min(len(recent), maxKnownMembers)] {
		members = append(members, encodeKnownMember(p, now))
	}
	return members
}

// domainOrder ranks members of the given failure domain after all others.
func domainOrder(p *routing.Peer, domain string) int {
	if p.FailureDomain == domain {
		return 1
	}
	return 0
}

func encodeKnownMember(p *routing.Peer, now time.Time) *peerv1.Member {
	return &peerv1.Member{
		Id:             p.ID,
		Region:         p.Region,
		FailureDomain:  p.FailureDomain,
		PeerAddress:    p.PeerAddress,
		CallerUrl:      p.CallerURL,
		OperatorUrl:    p.OperatorURL,
		Incarnation:    p.Incarnation,
		ConfigRevision: p.ConfigRevision,
		Draining:       p.Draining,
		Slot:           p.Slot,
		SilentMs:       now.Sub(p.HeardDirectly).Milliseconds() + 1,
	}
}

// postMember posts what a member reports about itself and others to the control loop.
// requestSentAt is the start of the call that the member responded to; zero if the member
// made the call.
func postMember(ctx context.Context, loop *control.Loop, m *peerv1.Member, requestSentAt time.Time, known []*peerv1.Member, host hostMessage) {
	if m.GetId() == "" {
		return
	}
	event := control.HeartbeatEvent{
		Peer:              decodeMember(m),
		Incarnation:       m.GetIncarnation(),
		RequestSentAt:     requestSentAt,
		ConfigConfirmedAt: configConfirmedAt(requestSentAt, m),
	}
	decodeHostMessage(&event, host, requestSentAt, clock.Now())
	if !requestSentAt.IsZero() {
		event.RoundTrip = clock.Now().Sub(requestSentAt)
	}
	for _, k := range known {
		event.KnownMembers = append(event.KnownMembers, control.KnownMember{
			Peer:        decodeMember(k),
			Incarnation: k.GetIncarnation(),
			SilentFor:   time.Duration(k.GetSilentMs()) * time.Millisecond,
		})
	}
	loop.Post(ctx, event)
}

func decodeMember(m *peerv1.Member) routing.Peer {
	return routing.Peer{
		ID:             m.GetId(),
		Region:         m.GetRegion(),
		FailureDomain:  m.GetFailureDomain(),
		PeerAddress:    m.GetPeerAddress(),
		CallerURL:      m.GetCallerUrl(),
		OperatorURL:    m.GetOperatorUrl(),
		Draining:       m.GetDraining(),
		Slot:           m.GetSlot(),
		ConfigRevision: m.GetConfigRevision(),
		RegionStatus: routing.RegionStatus{
			Engines:      m.GetEngines(),
			QueueSeconds: (time.Duration(m.GetQueueUs()) * time.Microsecond).Seconds(),
		},
	}
}
