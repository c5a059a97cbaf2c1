package node

import (
	"context"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/configsync"
	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/drain"
	"heatherloom/internal/external"
	"heatherloom/internal/gateway"
	"heatherloom/internal/peer"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/probe"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/quota"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/rolloutctl"
	"heatherloom/internal/routing"
	"heatherloom/internal/settings"
	"heatherloom/internal/storefeed"
	"heatherloom/internal/telemetry"
	"heatherloom/internal/timeline"
	"heatherloom/platform"
)

const (
	// hostDialTimeout bounds a new connection to an upstream of the own region, which takes
	// a few milliseconds. A lost packet is sent again after a second.
	hostDialTimeout = 300 * time.Millisecond
	// peerDialTimeout bounds a new connection to an instance of another region, 110 ms there
	// and back.
	peerDialTimeout = 600 * time.Millisecond
	// hostIdleTimeout exceeds the time for which callers keep idle connections.
	hostIdleTimeout = 2 * time.Minute
	// memoryShare is the part of the granted memory at which the runtime collects garbage
	// as often as it can.
	memoryShare = 0.7
	// collectPercent is the growth of the heap between two collections. A small heap costs
	// little processor time to collect, and memory is the dearer of the two.
	collectPercent = 25
)

// wireHosts wires an instance that serves host routes from a metadata store. It needs no
// slots, leases or logs of deltas: the store holds the whole configuration in one value,
// and rates are divided by demand.
func (n *Node) wireHosts(s settings.Settings, log *logrus.Logger, o Options, l listeners) {
	limitMemory(s.Process)
	entry := log.WithField(telemetry.FieldInstance, s.Instance.ID)
	identity := n.identity(s)
	n.linger = 0
	n.loop = control.NewLoop(identity)
	n.gate.OnPhase = func(p drain.Progress) { n.drainPhase(p, entry) }
	metrics := n.metrics()
	n.loop.SetObserver(control.Observer{Timeline: n.timeline, Tick: metrics.Tick, Log: entry})
	peers := peer.NewClient(identity.ID, s.Peer.Secret)
	peers.UseClock(n.timeline.Clock())
	if n.tls != nil {
		peers.UseTLS(n.tls.Dial)
	}
	peers.DialWith((&net.Dialer{Timeout: peerDialTimeout}).DialContext)
	n.dispatcher = n.hostDispatcher(s, peers, metrics)
	n.recordRollouts(identity, n.dispatcher)
	shares := quota.NewShareLimiter(clock.Now(), s.Bounds.QuotaSlack)
	report := func(snapshot *routing.Snapshot) *peerv1.HostStatus {
		return peer.HostStatusOf(snapshot, clock.Now(), shares.Demands(clock.Now()))
	}
	heartbeats := &peer.Heartbeater{
		Identity: identity, Loop: n.loop, Client: peers, Rows: n.rows,
		Seeds: func() []string { return s.Peer.Seeds }, Host: report, Samples: n.recorder.List,
	}
	n.announce = heartbeats.AnnounceAll
	handler := gateway.NewHosts(gateway.HostDeps{
		Snapshot:   n.loop.Snapshot,
		Dispatcher: n.dispatcher,
		Shares:     shares,
		Inbound:    platform.Headers{},
		Log:        entry,
		Drain:      n.gate,
		Metrics:    metrics,
		Now:        clock.Now,
	})
	server := &peer.Server{
		Identity: identity, Loop: n.loop, Dispatcher: n.dispatcher, Secret: s.Peer.Secret,
		Config: &configsync.Source{Loop: n.loop},
		Events: timeline.JSONSource{Recorder: n.timeline}, Timeline: n.timeline, Gate: n.gate,
		Log: entry, Rows: n.rows, Host: report,
	}
	self := identity.CallerAddress()
	n.servers = append(n.servers,
		n.serve(l.caller, &http.Server{Handler: handler, TLSConfig: n.callerTLS(), IdleTimeout: hostIdleTimeout}, entry),
		n.serve(l.peer, &http.Server{Handler: server.Handler(), Protocols: n.peerProtocols(), TLSConfig: n.peerTLS()}, entry),
		n.serve(l.entries, &http.Server{Handler: gateway.NewEntries(platform.Directory{}, n.loop.Snapshot, clock.Now, self, entry)}, entry),
		n.serve(l.ready, &http.Server{Handler: gateway.NewReady(platform.Directory{}, n.loop.Snapshot, clock.Now)}, entry))
	n.operator = n.serve(l.operator, &http.Server{Handler: n.operatorHandler(s, metrics), TLSConfig: n.callerTLS()}, entry)
	n.followTLS(entry)
	n.runHosts(s, entry, identity, peers, heartbeats)
}

func limitMemory(p settings.Process) {
	if p.MemoryMB <= 0 {
		return
	}
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(math.Round(memoryShare * p.MemoryMB * 1e6)))
}

// hostDispatcher returns the dispatcher of requests on host routes.
func (n *Node) hostDispatcher(s settings.Settings, peers *peer.Client, metrics *telemetry.Metrics) *dispatch.Dispatcher {
	prefixes := routing.NewPrefixIndex()
	limits := relay.DefaultLimits()
	limits.DialTimeout = hostDialTimeout
	return &dispatch.Dispatcher{
		Snapshot:      n.loop.Snapshot,
		Relay:         relay.New(limits),
		Forwarder:     peers,
		ServicePolicy: routing.ServicePolicy{Index: prefixes},
		Protocol:      platform.Headers{},
		RetryBudgets:  retry.NewBudgets(retry.Limits{Share: s.Bounds.RetryShare, Slack: s.Bounds.RetrySlack}),
		Prefixes:      prefixes,
		ReportCrash: func(c quarantine.Crash) {
			ctx, cancel := context.WithTimeout(n.ctx, crashPostTimeout)
			defer cancel()
			n.loop.Post(ctx, control.CrashEvent{Crash: c})
		},
		Timeline: n.timeline,
		Metrics:  metrics,
	}
}

// runHosts starts the control goroutine and what feeds it.
func (n *Node) runHosts(s settings.Settings, log *logrus.Entry, identity control.Identity, peers *peer.Client, heartbeats *peer.Heartbeater) {
	ctx := n.ctx
	syncer := &configsync.Syncer{Identity: identity, Peers: peers, Loop: n.loop, Announce: heartbeats.Announce, Log: log}
	store := platform.NewStore(s.Platform.Store)
	documents := platform.Documents{Regions: s.Platform.Domains}
	feed := &storefeed.Feed{
		Store:     store,
		Documents: documents,
		Loop:      n.loop,
		Self: external.Instance{
			ID: identity.ID, Role: external.RoleEntry, Region: identity.Region,
			FailureDomain: identity.FailureDomain, Address: identity.PeerAddress,
		},
		Log: log,
	}
	rollouts := &rolloutctl.ServiceController{
		Identity: identity, Store: store, Documents: documents, Loop: n.loop, Recorder: n.recorder, Log: log,
	}
	prober := &probe.Prober{Loop: n.loop, ParseHeader: platform.Headers{}.DecodeHealth, Log: log}
	n.done.Go(func() { n.loop.Run(ctx) })
	n.done.Go(func() { feed.Run(ctx) })
	n.done.Go(func() { syncer.SyncFromPeers(ctx) })
	n.done.Go(func() { heartbeats.Run(ctx) })
	n.done.Go(func() { prober.Run(ctx) })
	n.done.Go(func() { rollouts.Run(ctx) })
}
