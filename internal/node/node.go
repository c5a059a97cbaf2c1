// Package node wires the components of an entry instance.
package node

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/admission"
	"heatherloom/internal/callerconn"
	"heatherloom/internal/configsync"
	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/drain"
	"heatherloom/internal/external"
	"heatherloom/internal/external/engineapi"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/external/httpsd"
	"heatherloom/internal/external/scim"
	"heatherloom/internal/gateway"
	"heatherloom/internal/idempotency"
	"heatherloom/internal/intake"
	"heatherloom/internal/lease"
	"heatherloom/internal/operator"
	"heatherloom/internal/peer"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/quota"
	"heatherloom/internal/relay"
	"heatherloom/internal/rolloutctl"
	"heatherloom/internal/routing"
	"heatherloom/internal/settings"
	"heatherloom/internal/slotclaim"
	"heatherloom/internal/telemetry"
	"heatherloom/internal/timeline"
	"heatherloom/internal/tlsconfig"
	"heatherloom/internal/writes"
)

const (
	// instancePollInterval is the poll interval of the instance list.
	instancePollInterval = time.Second
	readHeaderTimeout    = 10 * time.Second
	// crashPostTimeout bounds how long a request waits if the inbox of the control loop is
	// full.
	crashPostTimeout  = 100 * time.Millisecond
	callerIdleTimeout = 90 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Node is a running entry instance.
type Node struct {
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string

	id         string
	loop       *control.Loop
	dispatcher *dispatch.Dispatcher
	// wakeProber gets a value when an upstream may have started again.
	wakeProber chan struct{}
	lease      *lease.Holder
	slots      *slotclaim.Holder
	drain      *drain.Controller
	writes     *writes.Service
	// requests is the memory for requests that arrive or are at work.
	requests *intake.Budget
	// listeners are those whose connections are limited, by their names in the settings.
	listeners map[string]*intake.Listener
	// duties is nil unless the settings name an API for them.
	duties      *duties
	timeline    *timeline.Recorder
	memberCache *peer.MemberCache
	// servers are all servers except the operator's, which is stopped last, so that the end
	// of a drain can be observed.
	servers []*http.Server
	// callerListener and callerConns are those of the first of the servers.
	callerListener net.Listener
	callerConns    openConns
	operator       *http.Server
	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	// announcedPeriod is the duration of the phase Announced of a drain, in which the instance
	// still accepts new requests; 0 for defaultAnnouncedPeriod. operatorLinger is how long the
	// operator listener stays open after a drain. It is 0 only for an instance that serves host
	// routes.
	announcedPeriod, operatorLinger time.Duration
	// announceDrain announces a drain to all peers at once; nil to leave that to the regular
	// heartbeats.
	announceDrain func(context.Context)
	// tls is nil if the listeners do not use TLS.
	tls *tlsconfig.Source

	options  Options
	recorder *rolloutctl.Recorder
	// sendProbe sends a probe request of a rollout.
	sendProbe func(context.Context, *dispatch.Request)
}

// Options are settings of an entry instance that only benchmarks and tests change.
type Options struct {
	// DialPeer connects to other entry instances; nil for a plain TCP connection.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// LoadPollInterval is the interval at which the load of upstreams is polled. Benchmarks
	// with scaled time scale it as well.
	LoadPollInterval time.Duration
	// RolloutTiming holds the timing and the rules of version rollouts.
	RolloutTiming rolloutctl.Timing
	// LeaseTTL is the time after which the leader lease of an unresponsive holder expires.
	LeaseTTL time.Duration
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{LoadPollInterval: loadPollInterval, RolloutTiming: rolloutctl.DefaultTiming(), LeaseTTL: lease.DefaultTTL}
}

// listeners are the open sockets of an instance.
type listeners struct {
	caller, peer, operator net.Listener
	// entries and ready are nil unless the settings name them.
	entries, ready net.Listener
}

func openListeners(s settings.Listeners) (listeners, error) {
	var l listeners
	strangers := net.ListenConfig{Control: limitReceiveBuffer}
	for _, open := range []struct {
		name, address string
		listener      *net.Listener
		config        net.ListenConfig
	}{
		{"caller", s.Caller, &l.caller, strangers},
		{"peer", s.Peer, &l.peer, net.ListenConfig{}},
		{"operator", s.Operator, &l.operator, strangers},
		{"entries", s.Entries, &l.entries, strangers},
		{"ready", s.Ready, &l.ready, strangers},
	} {
		if open.address == "" {
			continue
		}
		listener, err := open.config.Listen(context.Background(), "tcp", open.address)
		if err != nil {
			l.close()
			return listeners{}, eris.Wrapf(err, "open the %s listener", open.name)
		}
		*open.listener = listener
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator, l.entries, l.ready} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Start starts an entry instance and returns once its listeners are open.
func Start(s settings.Settings, log *logrus.Logger) (*Node, error) {
	return StartWithOptions(s, log, DefaultOptions())
}

// StartWithOptions is Start with options other than DefaultOptions.
func StartWithOptions(s settings.Settings, log *logrus.Logger, o Options) (*Node, error) {
	l, err := openListeners(s.Listeners)
	if err != nil {
		return nil, err
	}
	return startOn(l, s, log, o)
}

// startOn starts an entry instance on open listeners, which it closes on failure.
func startOn(l listeners, s settings.Settings, log *logrus.Logger, o Options) (*Node, error) {
	n := &Node{
		id:              s.Instance.ID,
		CallerAddress:   l.caller.Addr().String(),
		PeerAddress:     l.peer.Addr().String(),
		OperatorAddress: l.operator.Addr().String(),
		drain:           drain.NewController(),
		wakeProber:      make(chan struct{}, 1),
		options:         o,
		announcedPeriod: s.Shutdown.ServeFor,
		operatorLinger:  defaultOperatorLinger,
		memberCache:     peer.NewMemberCache(),
		timeline:        newTimeline(s),
	}
	n.requests = intake.NewBudget(requestMemoryBytes(s.Process))
	limitMemory(s.Process)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	err := n.loadTLS(s.TLS)
	n.limitConnections(s, &l)
	if err == nil && s.Platform.Protocol == settings.ProtocolMetadata {
		n.wireHostRoutes(s, log, o, l)
	} else if err == nil {
		err = n.wireInference(s, log, o, l)
	}
	if err != nil {
		n.cancel()
		l.close()
		return nil, err
	}
	return n, nil
}

// newTimeline returns a recorder with the default capacity, or a smaller one if the process
// has a memory limit.
func newTimeline(s settings.Settings) *timeline.Recorder {
	requests, states := timeline.DefaultRequestEvents, timeline.DefaultStateEvents
	if s.Process.MemoryMB > 0 {
		requests, states = requests/lowMemoryTimelineDivisor, states/lowMemoryTimelineDivisor
	}
	return timeline.NewRecorder(s.Instance.ID, timeline.NewClock(time.Now), requests, states)
}

// lowMemoryTimelineDivisor divides the timeline capacity of a process with a memory limit.
const lowMemoryTimelineDivisor = 8

// wireInference wires an instance that serves models and plain services with the platform
// protocol ProtocolEtcd. wireHostRoutes is its counterpart for ProtocolMetadata.
func (n *Node) wireInference(s settings.Settings, log *logrus.Logger, o Options, l listeners) error {
	entry := log.WithField(telemetry.FieldInstance, s.Instance.ID)
	identity := n.identity(s)
	n.loop = control.NewLoop(identity)
	n.drain.OnPhaseChange = func(p drain.Progress) { n.onDrainPhase(p, entry) }
	metrics := n.metrics()
	n.loop.SetObserver(control.Observer{Timeline: n.timeline, Tick: metrics.RecordTick})
	peers := peer.NewClient(identity.ID, s.Peer.Secret)
	peers.SetClock(n.timeline.Clock())
	peers.SetBudget(n.requests)
	if n.tls != nil {
		peers.SetTLSDialer(n.tls.Dial)
	}
	if o.DialPeer != nil {
		peers.SetDialer(o.DialPeer)
	}
	prefixes := routing.NewPrefixIndex()
	policy, err := routing.NewPolicy(cmp.Or(s.Policy.Name, routing.NameDefault), s.Policy.Weights(), prefixes)
	if err != nil {
		return err
	}
	n.dispatcher = &dispatch.Dispatcher{
		Snapshot:    n.loop.Snapshot,
		Relay:       relay.New(relay.DefaultLimits().ForMemory(memoryBytes(s.Process))),
		Forwarder:   peers,
		ReportCrash: n.crashReporter(entry, metrics),
		Policy:      policy,
		Prefixes:    prefixes,
		Timeline:    n.timeline,
		Metrics:     metrics,
	}
	// The borrower id is unique per process, because each process numbers its loan requests
	// from 1.
	ledger := quota.NewLedger(identity.ID + "@" + strconv.FormatInt(identity.Incarnation, 36))
	n.wireRolloutRecorder(identity, n.dispatcher)
	n.writes = &writes.Service{
		Snapshot:     n.loop.Snapshot,
		Dispatcher:   n.dispatcher,
		Peers:        peers,
		Table:        idempotency.NewTable(time.Now()),
		Now:          time.Now,
		Log:          entry,
		FirstClaim:   func() bool { return n.slots.Claim().FirstClaim },
		ClaimedSlots: n.claimedSlots,
	}
	handler, err := gateway.New(gateway.Deps{
		Snapshot:   n.loop.Snapshot,
		Dispatcher: n.dispatcher,
		Writes:     n.writes,
		Admitter:   admission.NewAdmitter(ledger, peers, time.Now),
		Budget:     n.requests,
		Log:        entry,
		Drain:      n.drain,
		Timeline:   n.timeline,
		Metrics:    metrics,
		Now:        time.Now,
	})
	if err != nil {
		return err
	}
	server := &peer.Server{
		Identity: identity, Loop: n.loop, Dispatcher: n.dispatcher, Secret: s.Peer.Secret,
		Config: &configsync.PeerSource{Loop: n.loop},
		Events: timeline.JSONSource{Recorder: n.timeline}, Timeline: n.timeline, Drain: n.drain,
		Budget: n.requests, Log: entry, Ledger: ledger, MemberCache: n.memberCache, Writes: n.writes,
	}
	n.servers = append(n.servers,
		n.serve(l.caller, &http.Server{Handler: handler, TLSConfig: n.callerTLS()}, entry),
		n.serve(l.peer, &http.Server{Handler: server.Handler(), Protocols: n.peerProtocols(), TLSConfig: n.peerTLS()}, entry))
	n.operator = n.serve(l.operator, &http.Server{Handler: withoutBodies(n.operatorHandler(s, metrics)), TLSConfig: n.callerTLS()}, entry)
	n.watchTLSFiles(entry)
	n.wg.Go(func() { n.watchIntake(n.ctx, entry) })
	n.startControl(s, o, entry, identity, peers, prefixes)
	return nil
}

// crashReporter returns the function that passes crashes which this instance saw to control.
func (n *Node) crashReporter(log *logrus.Entry, metrics *telemetry.Metrics) func(quarantine.Crash, string) {
	return func(c quarantine.Crash, reason string) {
		metrics.RecordCrash()
		log.WithFields(logrus.Fields{
			telemetry.FieldEvent:       "upstream_crashed",
			telemetry.FieldFingerprint: c.Fingerprint,
			telemetry.FieldContent:     []quarantine.Fingerprint{c.AtService, c.AtHost},
			telemetry.FieldUpstream:    c.Upstream,
			telemetry.FieldReason:      reason,
			telemetry.FieldSuspects:    c.Parts,
		}).Warn("an attempt ended as it does when its upstream crashes; a second crash under the same fingerprint or content quarantines the request, and crashes under three requests that share a suspected part quarantine the part")
		ctx, cancel := context.WithTimeout(n.ctx, crashPostTimeout)
		defer cancel()
		n.loop.Post(ctx, control.CrashEvent{Crash: c})
	}
}

// completedPartsReporter returns the function that posts completions of requests with suspected parts
// in their prompts to the control loop.
func (n *Node) completedPartsReporter() func(map[quarantine.Fingerprint]time.Time) {
	return func(completed map[quarantine.Fingerprint]time.Time) {
		ctx, cancel := context.WithTimeout(n.ctx, crashPostTimeout)
		defer cancel()
		n.loop.Post(ctx, control.PartsCompletedEvent{Completed: completed})
	}
}

// probeReporter returns the function that logs requests which are sent to find out about a contested part.
func probeReporter(log *logrus.Entry) func(quarantine.Fingerprint, string) {
	return func(part quarantine.Fingerprint, request string) {
		log.WithFields(logrus.Fields{
			telemetry.FieldEvent:       "quarantine_probe",
			telemetry.FieldFingerprint: part,
			telemetry.FieldRequest:     request,
		}).Info("sending a request with a part of prompts that is in quarantine, to find out whether the part crashes upstreams")
	}
}

// restartReporter returns the function that logs the signs of upstreams that may have started again, and wakes the
// prober, which checks them.
func restartReporter(log *logrus.Entry, wake chan<- struct{}) func(string, dispatch.RestartSign) {
	return func(upstream string, sign dispatch.RestartSign) {
		select {
		case wake <- struct{}{}:
		default:
		}
		log.WithFields(logrus.Fields{
			telemetry.FieldEvent:    "restart_suspected",
			telemetry.FieldUpstream: upstream,
			telemetry.FieldReason:   sign.Reason,
			telemetry.FieldIdle:     sign.Idle.Milliseconds(),
		}).Info("an upstream may have started again and gets no more requests than a cold one until a health check")
	}
}

func (n *Node) metrics() *telemetry.Metrics {
	return telemetry.NewMetrics(telemetry.Sources{
		InFlight:       func() float64 { return float64(n.drain.Progress().InFlight) },
		ConfigRevision: func() float64 { return float64(n.loop.Snapshot().Config.Revision) },
		ConfigAge:      func() float64 { return n.loop.Snapshot().ConfigAge.Seconds() },
		Peers:          func() float64 { return float64(len(n.loop.Snapshot().Peers)) },
		Quarantined:    func() float64 { return float64(len(n.loop.Snapshot().Quarantined)) },
		Drain:          n.drainOutcomes(),

		RequestMemory:      func() float64 { return float64(n.requests.Used()) },
		RequestMemoryLimit: func() float64 { return float64(n.requests.Limit()) },
		Connections:        n.openConnections(),
		LetGo:              n.callersLetGo(),
	})
}

func (n *Node) operatorHandler(s settings.Settings, metrics *telemetry.Metrics) http.Handler {
	return operator.Handler(operator.Deps{
		Token:    s.Operator.Token,
		Snapshot: n.loop.Snapshot,
		Timeline: n.timeline,
		Drain:    n.drain,
		Duties:   n.duties.status,
		Metrics:  metrics.Handler(),
		Now:      time.Now,
	})
}

func (n *Node) identity(s settings.Settings) control.Identity {
	// settings.Platform.MaxIsolation is the configured value; EffectiveMaxIsolation is a
	// fraction of it with strict isolation.
	return control.Identity{
		ID:                    s.Instance.ID,
		Region:                s.Instance.Region,
		FailureDomain:         s.Instance.FailureDomain,
		PeerAddress:           cmp.Or(s.Listeners.AdvertisePeer, n.PeerAddress),
		CallerURL:             n.scheme() + cmp.Or(s.Listeners.AdvertiseCaller, n.CallerAddress),
		OperatorURL:           n.scheme() + n.OperatorAddress,
		Incarnation:           time.Now().UnixNano(),
		EffectiveMaxIsolation: effectiveMaxIsolation(s.Platform),

		StrictIsolation: s.Platform.StrictIsolation,
		ColdExcess:      s.Bounds.ColdExcess,
		ColdSlack:       s.Bounds.ColdSlack,
		CanaryShare:     s.Bounds.CanaryShare,
	}
}

// strictIsolationFraction is the fraction of settings.Platform.MaxIsolation used as the bound
// on the configuration age with strict isolation. The rest covers the transit of a request to
// its upstream.
const strictIsolationFraction = 0.8

// effectiveMaxIsolation returns the bound that the control loop applies.
func effectiveMaxIsolation(p settings.Platform) time.Duration {
	if p.StrictIsolation {
		return time.Duration(strictIsolationFraction * float64(p.MaxIsolation))
	}
	return p.MaxIsolation
}

// serve serves requests on the listener. If the listener fails, the instance keeps running
// without it; the logged error of Accept contains its address.
func (n *Node) serve(listener net.Listener, server *http.Server, log *logrus.Entry) *http.Server {
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = cmp.Or(server.IdleTimeout, callerIdleTimeout)
	server.MaxHeaderBytes = maxHeaderBytes
	server.ErrorLog = telemetry.StandardLogger(log)
	server.BaseContext = func(net.Listener) context.Context { return n.drain.Context() }
	if listener == n.callerListener {
		server.ConnContext = callerconn.NewContext
		server.HTTP2 = callerHTTP2()
		n.callerConns.track(server)
	}
	trackConnections(server, listener)
	n.wg.Go(func() {
		if err := serveOn(server, listener); !errors.Is(err, http.ErrServerClosed) && !n.closed(err) {
			log.WithField(telemetry.FieldEvent, "listener_closed").WithError(err).Error("listener failed; the instance keeps running without it")
		}
	})
	return server
}

// closed reports whether a listener failed because the drained instance closed it.
func (n *Node) closed(err error) bool {
	return errors.Is(err, net.ErrClosed) && n.drain.Progress().Phase == drain.Drained
}

// startControl starts the control loop and the goroutines that post events to it.
func (n *Node) startControl(s settings.Settings, o Options, log *logrus.Entry, identity control.Identity, peers *peer.Client, prefixes *routing.PrefixIndex) {
	ctx := n.ctx
	store := etcdgw.New(s.Platform.Store)
	heartbeats := &peer.Heartbeater{Identity: identity, Loop: n.loop, Client: peers, MemberCache: n.memberCache, Seeds: func() []string { return s.Peer.Seeds }, Samples: n.recorder.List}
	syncer := &configsync.Syncer{
		Identity: identity, Store: store, Peers: peers, Loop: n.loop, AnnounceToDomain: heartbeats.AnnounceToDomain, Log: log,
	}
	list := httpsd.New(s.Platform.Instances)
	n.wg.Go(func() { n.loop.Run(ctx) })
	n.wg.Go(func() { syncer.Run(ctx) })
	n.wg.Go(func() { heartbeats.Run(ctx) })
	n.wg.Go(func() { n.dispatcher.DetectCrashes(ctx) })
	n.lease = lease.New(store, lease.DomainKey(identity.FailureDomain), identity.ID, n.options.LeaseTTL, time.Now)
	// Only the two instances per failure domain that use the store compete for the leader
	// lease, since every call counts against the rate limits of the store.
	n.wg.Go(func() { n.lease.Run(ctx, syncer.IsWatcher) })
	n.slots = n.newSlotHolder(store, identity)
	n.wg.Go(func() { n.writes.MaintainRecords(ctx) })
	n.wg.Go(func() { n.slots.Run(ctx) })
	n.startRollouts(s, store, syncer, heartbeats, log)
	n.wg.Go(func() { pollInstances(ctx, list, n.loop) })
	engines := &engineWatcher{loop: n.loop, client: engineapi.New(), prefixes: prefixes}
	n.wg.Go(func() { engines.run(ctx) })
	if s.Platform.Directory != "" {
		directory := scim.New(s.Platform.Directory, scim.FilterInactive)
		n.wg.Go(func() { pollDirectory(ctx, directory, n.loop, log) })
	}
	n.wg.Go(func() { pollLoads(ctx, o.LoadPollInterval, engineapi.New(), n.loop) })
}

// newSlotHolder returns the holder that claims a slot of the own failure domain.
func (n *Node) newSlotHolder(store external.Store, identity control.Identity) *slotclaim.Holder {
	return slotclaim.New(slotclaim.Deps{
		Store:       store,
		Domain:      identity.FailureDomain,
		Instance:    identity.ID,
		Incarnation: identity.Incarnation,
		Slots:       func() int { return n.loop.Snapshot().Config.FailureDomains[identity.FailureDomain].Slots },
		OnChange: func(ctx context.Context, c slotclaim.Claim) {
			n.loop.Post(ctx, control.SlotEvent{Claim: c})
		},
		Now: time.Now,
	})
}

// claimedSlots returns the slots that have a claim in the store.
func (n *Node) claimedSlots(ctx context.Context) ([]quota.Slot, error) {
	claimed, err := n.slots.ClaimedSlots(ctx)
	if err != nil {
		return nil, err
	}
	unclaimed := func(s quota.Slot) bool { return !claimed[s.ID()] }
	return slices.DeleteFunc(slices.Clone(n.loop.Snapshot().Quota.Division.Slots()), unclaimed), nil
}

func pollInstances(ctx context.Context, list external.InstanceList, loop *control.Loop) {
	ticker := time.NewTicker(instancePollInterval)
	defer ticker.Stop()
	for {
		if instances, err := list.Instances(ctx); err == nil {
			loop.Post(ctx, control.InstancesEvent{Instances: instances})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Ready reports whether the instance has a configuration and, if its failure domain has
// slots, has held a usable one or waited 5 s for it, see control/publish.go.
func (n *Node) Ready() bool { return n.loop.Snapshot().Ready }

// Snapshot returns the current routing snapshot.
func (n *Node) Snapshot() *routing.Snapshot { return n.loop.Snapshot() }

// ForwardedCount returns the number of requests that the instance forwarded to another one.
func (n *Node) ForwardedCount() int64 { return n.dispatcher.ForwardedCount() }

// SlotsReady reports whether the instance holds a slot, has collected the idempotency
// records of earlier writes, and knows the slot of every peer.
func (n *Node) SlotsReady() bool {
	s := n.loop.Snapshot()
	for _, p := range s.Peers {
		if p.Slot == "" {
			return false
		}
	}
	return s.Quota.Held && n.writes.Ready()
}
