package node

// This file contains the second wiring of an instance, which serves host routes. It is used
// with the platform protocol ProtocolMetadata; node.go contains the other one, wireInference.

import (
	"net"
	"net/http"
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
	"heatherloom/internal/probe"
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
	// hostDialTimeout bounds a new connection to an upstream in the own region, which takes
	// a few milliseconds. TCP retransmits a lost packet only after a second.
	hostDialTimeout = 300 * time.Millisecond
	// peerDialTimeout bounds a new connection to an instance in another region, with a
	// round-trip time of 110 ms.
	peerDialTimeout = 600 * time.Millisecond
	// hostIdleTimeout is longer than callers keep idle connections.
	hostIdleTimeout = 2 * time.Minute
)

// wireHostRoutes wires an instance that serves host routes from a metadata store. startOn
// calls it instead of wireInference if the protocol of the platform is ProtocolMetadata. It
// needs no slots, leases or delta logs: the store holds the entire configuration in one
// value, and rates are divided by demand.
func (n *Node) wireHostRoutes(s settings.Settings, log *logrus.Logger, o Options, l listeners) {
	entry := log.WithField(telemetry.FieldInstance, s.Instance.ID)
	identity := n.identity(s)
	n.operatorLinger = 0
	n.loop = control.NewLoop(identity)
	n.drain.OnPhaseChange = func(p drain.Progress) { n.onDrainPhase(p, entry) }
	n.drain.OthersServe = n.otherInstancesServe
	metrics := n.metrics()
	n.loop.SetObserver(control.Observer{Timeline: n.timeline, Tick: metrics.RecordTick, Log: entry})
	peers := peer.NewClient(identity.ID, s.Peer.Secret)
	peers.SetClock(n.timeline.Clock())
	peers.SetBudget(n.requests)
	if n.tls != nil {
		peers.SetTLSDialer(n.tls.Dial)
	}
	peers.SetDialer((&net.Dialer{Timeout: peerDialTimeout}).DialContext)
	store := platform.NewStore(s.Platform.Store)
	n.duties = n.wireDuties(s, entry, identity, store, peers, metrics)
	n.dispatcher = n.hostDispatcher(s, entry, peers, metrics)
	n.wireRolloutRecorder(identity, n.dispatcher)
	shareLimiter := quota.NewShareLimiter(clock.Now(), s.Bounds.QuotaSlack)
	hostReport := peer.NewHostReportFunc(identity.PeerAddress, shareLimiter.Demands)
	reports := &peer.SentReports{}
	heartbeats := &peer.Heartbeater{
		Identity: identity, Loop: n.loop, Client: peers, MemberCache: n.memberCache, SentReports: reports,
		Seeds: func() []string { return s.Peer.Seeds }, HostReport: hostReport, Samples: n.recorder.List,
	}
	n.announceDrain = heartbeats.AnnounceToAll
	handler := gateway.NewHostHandler(gateway.HostDeps{
		Snapshot:     n.loop.Snapshot,
		Dispatcher:   n.dispatcher,
		ShareLimiter: shareLimiter,
		Protocol:     platform.HeaderCodec{},
		Budget:       n.requests,
		Log:          entry,
		Drain:        n.drain,
		Metrics:      metrics,
		Now:          clock.Now,
	})
	restarts := &peer.RestartReporter{Identity: identity, Loop: n.loop, Client: peers, Log: entry, Wake: n.wakeProber}
	server := &peer.Server{
		Restarts: restarts,
		Identity: identity, Loop: n.loop, Dispatcher: n.dispatcher, Secret: s.Peer.Secret,
		Config: &configsync.PeerSource{Loop: n.loop},
		Events: timeline.JSONSource{Recorder: n.timeline}, Timeline: n.timeline, Drain: n.drain,
		Budget: n.requests, Log: entry, MemberCache: n.memberCache, SentReports: reports, HostReport: hostReport, Changes: &storefeed.ChangeLog{},
	}
	n.duties.connect(n.dispatcher, heartbeats, server)
	readers := &peer.StoreReaders{Self: identity.PeerAddress, Snapshot: n.loop.Snapshot, Report: hostReport, Client: peers}
	self := identity.CallerAddress()
	n.servers = append(n.servers,
		n.serve(l.caller, &http.Server{Handler: handler, TLSConfig: n.callerTLS(), IdleTimeout: hostIdleTimeout}, entry),
		n.serve(l.peer, &http.Server{Handler: server.Handler(), Protocols: n.peerProtocols(), TLSConfig: n.peerTLS()}, entry),
		n.serve(l.entries, &http.Server{Handler: withoutBodies(gateway.NewEntriesHandler(platform.EntryProtocol{}, n.loop.Snapshot, clock.Now, self, entry))}, entry),
		n.serve(l.ready, &http.Server{Handler: withoutBodies(gateway.NewReadinessHandler(platform.EntryProtocol{}, n.loop.Snapshot, clock.Now))}, entry))
	n.operator = n.serve(l.operator, &http.Server{Handler: withoutBodies(n.operatorHandler(s, metrics)), TLSConfig: n.callerTLS()}, entry)
	n.watchTLSFiles(entry)
	n.wg.Go(func() { n.watchIntake(n.ctx, entry) })
	n.startHostControl(s, entry, identity, store, peers, heartbeats, readers, server.Changes, restarts)
}

// hostDispatcher returns the dispatcher for host routes.
func (n *Node) hostDispatcher(s settings.Settings, log *logrus.Entry, peers *peer.Client, metrics *telemetry.Metrics) *dispatch.Dispatcher {
	prefixes := routing.NewPrefixIndex()
	limits := relay.DefaultLimits().ForMemory(memoryBytes(s.Process))
	limits.DialTimeout = hostDialTimeout
	d := &dispatch.Dispatcher{
		Snapshot:            n.loop.Snapshot,
		Relay:               relay.New(limits),
		Forwarder:           peers,
		ServicePolicy:       routing.ServicePolicy{Index: prefixes, Rejections: n.duties.countedRejections()},
		Protocol:            platform.HeaderCodec{},
		ServiceRetryBudgets: retry.NewBudgets(retry.Limits{Share: s.Bounds.RetryShare, Slack: s.Bounds.RetrySlack}),
		Prefixes:            prefixes,
		ReportCrash:         n.crashReporter(log, metrics),

		ReportCompletedParts: n.completedPartsReporter(),
		ReportProbe:          probeReporter(log),

		ReportSuspectedRestart: restartReporter(log, n.wakeProber),

		Timeline: n.timeline,
		Metrics:  metrics,
	}
	d.Relay.OnIdleClose(d.RecordIdleClose)
	return d
}

// startHostControl starts the control loop of an instance that serves host routes, and the
// goroutines that post events to it.
func (n *Node) startHostControl(s settings.Settings, log *logrus.Entry, identity control.Identity, store *platform.Store, peers *peer.Client, heartbeats *peer.Heartbeater, readers *peer.StoreReaders, changes *storefeed.ChangeLog, restarts *peer.RestartReporter) {
	ctx := n.ctx
	syncer := &configsync.Syncer{Identity: identity, Peers: peers, Loop: n.loop, AnnounceToDomain: heartbeats.AnnounceToDomain, Log: log}
	documents := platform.DocumentCodec{Regions: s.Platform.Domains}
	feed := &storefeed.Feed{
		Store:     store,
		Documents: documents,
		Loop:      n.loop,
		Self: external.Instance{
			ID: identity.ID, Role: external.RoleEntry, Region: identity.Region,
			FailureDomain: identity.FailureDomain, Address: identity.PeerAddress,
		},
		Log:     log,
		Readers: readers,
		Changes: changes,

		Observer: n.duties.observer(),
	}
	rollouts := &rolloutctl.ServiceController{
		Identity: identity, Store: store, Documents: documents, Loop: n.loop, Recorder: n.recorder, Log: log,
	}
	prober := &probe.Prober{Loop: n.loop, ParseHeader: platform.HeaderCodec{}.DecodeHealth, ReportRestart: restarts.Report, Wake: n.wakeProber, Log: log}
	n.wg.Go(func() { n.loop.Run(ctx) })
	n.wg.Go(func() { feed.Run(ctx) })
	n.wg.Go(func() { syncer.SyncFromPeers(ctx) })
	n.wg.Go(func() { heartbeats.Run(ctx) })
	n.wg.Go(func() { prober.Run(ctx) })
	n.wg.Go(func() { restarts.Run(ctx) })
	n.wg.Go(func() { n.dispatcher.DetectCrashes(ctx) })
	n.wg.Go(func() { rollouts.Run(ctx) })
	n.duties.start(n)
}
