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
)

const (
	// heartbeatInterval is the time between two heartbeats to one member.
	heartbeatInterval = time.Second
	heartbeatTimeout  = time.Second
	// knownSample is the number of members that a heartbeat names besides the sender.
	// Four of them, in answers too, took more than half of all heartbeat bytes.
	knownSample = 2
)

// Heartbeater announces this instance to its peers and learns of others.
type Heartbeater struct {
	Identity control.Identity
	Loop     *control.Loop
	Client   *Client
	// Rows are shared with the Server of the instance; nil sends whole rows.
	Rows *Rows
	// Seeds returns peer addresses to announce to before any member is known.
	Seeds func() []string
	// Samples returns the samples of this instance for rollouts under way; nil for none.
	Samples func() []rollout.KeyedSample
	// Host reports on the host routes; nil for none.
	Host HostReport
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) {
	ticker := time.NewTicker(h.startInterval())
	defer ticker.Stop()
	settled := time.After(startPeriod)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for {
		for _, address := range membership.HeartbeatTargets(h.view(), rng) {
			go h.beat(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-settled:
			ticker.Reset(heartbeatInterval)
		case <-ticker.C:
		}
	}
}

const (
	// startPeriod is the time after the start with more frequent rounds. Until an instance
	// has heard from its peers it can send no request to another region.
	startPeriod = 2 * time.Second
	// fastInterval is the time between two rounds in that period.
	fastInterval = 200 * time.Millisecond
)

func (h *Heartbeater) startInterval() time.Duration {
	if h.Host == nil {
		return heartbeatInterval
	}
	return fastInterval
}

func (h *Heartbeater) view() membership.View {
	snapshot := h.Loop.Snapshot()
	v := membership.View{
		Self:          membership.Contact{FailureDomain: h.Identity.FailureDomain, PeerAddress: h.Identity.PeerAddress},
		Listed:        snapshot.ListedPeers,
		Former:        snapshot.FormerPeers,
		Seeds:         h.Seeds(),
		AllowFullMesh: h.Host != nil,
	}
	for _, p := range snapshot.Peers {
		v.Live = append(v.Live, membership.Contact{FailureDomain: p.FailureDomain, PeerAddress: p.PeerAddress})
	}
	return v
}

// Announce sends a heartbeat to the members of the own failure domain at once, so
// that they learn of a new configuration revision before the next round.
func (h *Heartbeater) Announce(ctx context.Context) {
	var beats sync.WaitGroup
	for _, p := range h.Loop.Snapshot().Peers {
		if p.FailureDomain == h.Identity.FailureDomain {
			beats.Go(func() { h.beat(ctx, p.PeerAddress) })
		}
	}
	beats.Wait()
}

// AnnounceAll sends a heartbeat to every live member at once, so that all of them learn of
// a drain before the next round.
func (h *Heartbeater) AnnounceAll(ctx context.Context) {
	for _, p := range h.Loop.Snapshot().Peers {
		go h.beat(ctx, p.PeerAddress)
	}
}

// beat sends one heartbeat. A missing answer needs no action: the member expires.
func (h *Heartbeater) beat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	snapshot := h.Loop.Snapshot()
	started := clock.Now()
	req := &peerv1.HeartbeatRequest{
		Self:    h.Rows.short(SelfMember(h.Identity, snapshot)),
		Known:   h.Rows.shortAll(knownMembers(snapshot, started, address)),
		Crashes: crashesOf(snapshot),

		Moves:         movesOf(snapshot),
		VersionFaults: faultsOf(snapshot),
		Samples:       h.samplesFor(snapshot, address),
		Host:          h.Host.status(snapshot),
	}
	resp, err := h.send(ctx, address, req)
	if err != nil {
		return
	}
	self := h.Rows.whole(resp.GetSelf())
	if next := h.Rows.answer(req, resp, self); next != nil {
		started = clock.Now()
		if resp, err = h.send(ctx, address, next); err != nil {
			return
		}
		self = h.Rows.whole(resp.GetSelf())
	}
	postMember(ctx, h.Loop, self, started, nil, resp.GetHost())
	postCrashes(ctx, h.Loop, resp.GetCrashes())
	postMoves(ctx, h.Loop, resp.GetMoves())
	postFaults(ctx, h.Loop, resp.GetVersionFaults())
}

func (h *Heartbeater) send(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	req.Clock = uint64(h.Client.clock.Now())
	resp, err := h.Client.At(address).Heartbeat(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	h.Client.clock.Observe(timeline.Stamp(resp.Msg.GetClock()))
	return resp.Msg, nil
}

// confirmedAt returns when the configuration of a member that answered a call was
// known to be the latest one; zero if it is not known. Its age counts from the start of the call, so that a slow answer does not
// make the configuration look younger than it is.
func confirmedAt(started time.Time, m *peerv1.Member) time.Time {
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
	// Rounded up, so that the age never shrinks on its way.
	return now.Sub(s.ConfigConfirmed).Milliseconds() + 1
}

// knownMembers returns a random few of the members that this instance itself heard
// from, without the recipient. What others heard is not passed on, so that a dead
// member is not kept alive. Members whose failure domain is not the recipient's go
// first, since the recipient hears its own every second; in one of four heartbeats
// all are equal, so that members of one domain find each other without an instance list.
func knownMembers(s *routing.Snapshot, now time.Time, recipient string) []*peerv1.Member {
	var heard []routing.Peer
	domain := ""
	for _, p := range s.Peers {
		if p.PeerAddress == recipient {
			domain = p.FailureDomain
		} else if now.Sub(p.HeardDirectly) <= membership.SuspectAfter {
			heard = append(heard, p)
		}
	}
	rand.Shuffle(len(heard), func(i, j int) { heard[i], heard[j] = heard[j], heard[i] })
	if rand.IntN(4) > 0 {
		slices.SortStableFunc(heard, func(a, b routing.Peer) int { return sameDomain(a, domain) - sameDomain(b, domain) })
	}
	var members []*peerv1.Member
	for _, p := range heard[:min(len(heard), knownSample)] {
		members = append(members, knownMember(p, now))
	}
	return members
}

func sameDomain(p routing.Peer, domain string) int {
	if p.FailureDomain == domain {
		return 1
	}
	return 0
}

func knownMember(p routing.Peer, now time.Time) *peerv1.Member {
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

// postMember hands what a member said about itself and others to control. asked is
// the start of the call that the member answered; zero if it called itself.
func postMember(ctx context.Context, loop *control.Loop, m *peerv1.Member, asked time.Time, known []*peerv1.Member, host *peerv1.HostStatus) {
	if m.GetId() == "" {
		return
	}
	event := control.HeartbeatEvent{
		Peer:              peerOf(m),
		Incarnation:       m.GetIncarnation(),
		RequestSentAt:     asked,
		ConfigConfirmedAt: confirmedAt(asked, m),
	}
	addHost(&event, host)
	if !asked.IsZero() {
		event.RoundTrip = clock.Now().Sub(asked)
	}
	for _, k := range known {
		event.KnownMembers = append(event.KnownMembers, control.KnownMember{
			Peer:        peerOf(k),
			Incarnation: k.GetIncarnation(),
			SilentFor:   time.Duration(k.GetSilentMs()) * time.Millisecond,
		})
	}
	loop.Post(ctx, event)
}

func peerOf(m *peerv1.Member) routing.Peer {
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
