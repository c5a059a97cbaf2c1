// Package node wires the parts of one entry instance.
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
	// instancePollInterval is the time between two readings of the instance list.
	instancePollInterval = time.Second
	readHeaderTimeout    = 10 * time.Second
	// crashPostTimeout bounds how long a request waits for a full control inbox.
	crashPostTimeout  = 100 * time.Millisecond
	callerIdleTimeout = 90 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Node is a running entry instance.
type Node struct {
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string

	loop       *control.Loop
	dispatcher *dispatch.Dispatcher
	lease      *lease.Holder
	slots      *slotclaim.Holder
	gate       *drain.Gate
	writes     *writes.Service
	timeline   *timeline.Recorder
	rows       *peer.Rows
	// servers are the caller and peer listeners; operator outlives them, so that
	// the end of a drain can be seen.
	servers  []*http.Server
	operator *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
	// serveFor is how long a draining instance serves new requests, and linger how long the
	// operator listener outlives a drain.
	serveFor, linger time.Duration
	// announce tells all peers of a drain at once; nil to leave that to heartbeats.
	announce func(context.Context)
	// tls is nil if the listeners do not use TLS.
	tls *tlsconfig.Source

	options  Options
	recorder *rolloutctl.Recorder
	// probe sends a probe request of a rollout.
	probe func(context.Context, *dispatch.Request)
}

// Options are what experiments and tests change in an entry instance.
type Options struct {
	// DialPeer connects to other entry instances; nil for a plain TCP connection.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// LoadInterval is the time between two readings of the load of upstreams.
	// Experiments with scaled time scale it as well.
	LoadInterval time.Duration
	// Rollouts are the durations of version rollouts.
	Rollouts rolloutctl.Timing
	// LeaseTTL is the time after which the leader lease of a silent holder ends.
	LeaseTTL time.Duration
}

// DefaultOptions returns the options of production.
func DefaultOptions() Options {
	return Options{LoadInterval: loadPollInterval, Rollouts: rolloutctl.DefaultTiming(), LeaseTTL: lease.DefaultTTL}
}

// listeners are the open sockets of an instance.
type listeners struct {
	caller, peer, operator net.Listener
	// entries and ready are nil unless the settings name them.
	entries, ready net.Listener
}

func openListeners(s settings.Listeners) (listeners, error) {
	var l listeners
	for _, open := range []struct {
		name, address string
		listener      *net.Listener
	}{
		{"caller", s.Caller, &l.caller},
		{"peer", s.Peer, &l.peer},
		{"operator", s.Operator, &l.operator},
		{"entries", s.Entries, &l.entries},
		{"ready", s.Ready, &l.ready},
	} {
		if open.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", open.address)
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
	return StartWith(s, log, DefaultOptions())
}

// StartWith starts an entry instance with options other than those of production.
func StartWith(s settings.Settings, log *logrus.Logger, o Options) (*Node, error) {
	l, err := openListeners(s.Listeners)
	if err != nil {
		return nil, err
	}
	return startOn(l, s, log, o)
}

// startOn starts an entry instance that serves the given listeners.
func startOn(l listeners, s settings.Settings, log *logrus.Logger, o Options) (*Node, error) {
	n := &Node{
		CallerAddress:   l.caller.Addr().String(),
		PeerAddress:     l.peer.Addr().String(),
		OperatorAddress: l.operator.Addr().String(),
		gate:            drain.NewGate(),
		options:         o,
		serveFor:        s.Shutdown.ServeFor,
		linger:          doneLinger,
		rows:            peer.NewRows(),
		timeline:        newTimeline(s),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	err := n.loadTLS(s.TLS)
	if err == nil && s.Platform.Protocol == settings.ProtocolMetadata {
		n.wireHosts(s, log, o, l)
	} else if err == nil {
		err = n.wire(s, log, o, l)
	}
	if err != nil {
		n.cancel()
		l.close()
		return nil, err
	}
	return n, nil
}

// newTimeline returns a recorder of the usual size, or of a smaller one where memory is
// scarce.
func newTimeline(s settings.Settings) *timeline.Recorder {
	requests, states := timeline.DefaultRequestEvents, timeline.DefaultStateEvents
	if s.Process.MemoryMB > 0 {
		requests, states = requests/scarceTimeline, states/scarceTimeline
	}
	return timeline.NewRecorder(s.Instance.ID, timeline.NewClock(time.Now), requests, states)
}

// scarceTimeline divides the events that are kept by a process with a memory limit.
const scarceTimeline = 8

func (n *Node) wire(s settings.Settings, log *logrus.Logger, o Options, l listeners) error {
	entry := log.WithField(telemetry.FieldInstance, s.Instance.ID)
	identity := n.identity(s)
	n.loop = control.NewLoop(identity)
	n.gate.OnPhase = func(p drain.Progress) { n.drainPhase(p, entry) }
	metrics := n.metrics()
	n.loop.SetObserver(control.Observer{Timeline: n.timeline, Tick: metrics.Tick})
	peers := peer.NewClient(identity.ID, s.Peer.Secret)
	peers.UseClock(n.timeline.Clock())
	if n.tls != nil {
		peers.UseTLS(n.tls.Dial)
	}
	if o.DialPeer != nil {
		peers.DialWith(o.DialPeer)
	}
	prefixes := routing.NewPrefixIndex()
	policy, err := routing.NewPolicy(cmp.Or(s.Policy.Name, routing.NameDefault), s.Policy.Weights(), prefixes)
	if err != nil {
		return err
	}
	n.dispatcher = &dispatch.Dispatcher{
		Snapshot:  n.loop.Snapshot,
		Relay:     relay.New(relay.DefaultLimits()),
		Forwarder: peers,
		ReportCrash: func(c quarantine.Crash) {
			ctx, cancel := context.WithTimeout(n.ctx, crashPostTimeout)
			defer cancel()
			n.loop.Post(ctx, control.CrashEvent{Crash: c})
		},
		Policy:   policy,
		Prefixes: prefixes,
		Timeline: n.timeline,
		Metrics:  metrics,
	}
	// A process is a borrower of its own, because its loan requests are numbered from 1.
	ledger := quota.NewLedger(identity.ID + "@" + strconv.FormatInt(identity.Incarnation, 36))
	n.recordRollouts(identity, n.dispatcher)
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
		Log:        entry,
		Drain:      n.gate,
		Timeline:   n.timeline,
		Metrics:    metrics,
		Now:        time.Now,
	})
	if err != nil {
		return err
	}
	server := &peer.Server{
		Identity: identity, Loop: n.loop, Dispatcher: n.dispatcher, Secret: s.Peer.Secret,
		Config: &configsync.Source{Loop: n.loop},
		Events: timeline.JSONSource{Recorder: n.timeline}, Timeline: n.timeline, Gate: n.gate,
		Log: entry, Ledger: ledger, Rows: n.rows, Writes: n.writes,
	}
	n.servers = append(n.servers,
		n.serve(l.caller, &http.Server{Handler: handler, TLSConfig: n.callerTLS()}, entry),
		n.serve(l.peer, &http.Server{Handler: server.Handler(), Protocols: n.peerProtocols(), TLSConfig: n.peerTLS()}, entry))
	n.operator = n.serve(l.operator, &http.Server{Handler: n.operatorHandler(s, metrics), TLSConfig: n.callerTLS()}, entry)
	n.followTLS(entry)
	n.runControl(s, o, entry, identity, peers, prefixes)
	return nil
}

func (n *Node) metrics() *telemetry.Metrics {
	return telemetry.NewMetrics(telemetry.Sources{
		InFlight:       func() float64 { return float64(n.gate.Progress().InFlight) },
		ConfigRevision: func() float64 { return float64(n.loop.Snapshot().Config.Revision) },
		ConfigAge:      func() float64 { return n.loop.Snapshot().ConfigAge.Seconds() },
		Peers:          func() float64 { return float64(len(n.loop.Snapshot().Peers)) },
	})
}

func (n *Node) operatorHandler(s settings.Settings, metrics *telemetry.Metrics) http.Handler {
	return operator.Handler(operator.Deps{
		Token:    s.Operator.Token,
		Snapshot: n.loop.Snapshot,
		Timeline: n.timeline,
		Gate:     n.gate,
		Metrics:  metrics.Handler(),
		Now:      time.Now,
	})
}

func (n *Node) identity(s settings.Settings) control.Identity {
	return control.Identity{
		ID:            s.Instance.ID,
		Region:        s.Instance.Region,
		FailureDomain: s.Instance.FailureDomain,
		PeerAddress:   cmp.Or(s.Listeners.AdvertisePeer, n.PeerAddress),
		CallerURL:     n.scheme() + cmp.Or(s.Listeners.AdvertiseCaller, n.CallerAddress),
		OperatorURL:   n.scheme() + n.OperatorAddress,
		Incarnation:   time.Now().UnixNano(),
		MaxIsolation:  isolationOf(s.Platform),

		StrictIsolation: s.Platform.StrictIsolation,
		ColdExcess:      s.Bounds.ColdExcess,
		ColdSlack:       s.Bounds.ColdSlack,
		CanaryShare:     s.Bounds.CanaryShare,
	}
}

// strictMargin is the used part of a bound on the age of the configuration. The rest
// covers the way of a request to its upstream.
const strictMargin = 0.8

func isolationOf(p settings.Platform) time.Duration {
	if p.StrictIsolation {
		return time.Duration(strictMargin * float64(p.MaxIsolation))
	}
	return p.MaxIsolation
}

func (n *Node) serve(listener net.Listener, server *http.Server, log *logrus.Entry) *http.Server {
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = cmp.Or(server.IdleTimeout, callerIdleTimeout)
	server.MaxHeaderBytes = maxHeaderBytes
	server.ErrorLog = telemetry.StandardLogger(log)
	n.done.Go(func() {
		if err := serveOn(server, listener); !errors.Is(err, http.ErrServerClosed) {
			log.WithField(telemetry.FieldEvent, "listener_closed").WithError(err).Error("listener failed")
		}
	})
	return server
}

// runControl starts the control goroutine and what feeds it.
func (n *Node) runControl(s settings.Settings, o Options, log *logrus.Entry, identity control.Identity, peers *peer.Client, prefixes *routing.PrefixIndex) {
	ctx := n.ctx
	store := etcdgw.New(s.Platform.Store)
	heartbeats := &peer.Heartbeater{Identity: identity, Loop: n.loop, Client: peers, Rows: n.rows, Seeds: func() []string { return s.Peer.Seeds }, Samples: n.recorder.List}
	syncer := &configsync.Syncer{
		Identity: identity, Store: store, Peers: peers, Loop: n.loop, Announce: heartbeats.Announce, Log: log,
	}
	list := httpsd.New(s.Platform.Instances)
	n.done.Go(func() { n.loop.Run(ctx) })
	n.done.Go(func() { syncer.Run(ctx) })
	n.done.Go(func() { heartbeats.Run(ctx) })
	n.lease = lease.New(store, lease.DomainKey(identity.FailureDomain), identity.ID, n.options.LeaseTTL, time.Now)
	n.done.Go(func() { n.lease.Run(ctx, syncer.IsWatcher) })
	n.slots = n.slotHolder(store, identity)
	n.done.Go(func() { n.writes.MaintainRecords(ctx) })
	n.done.Go(func() { n.slots.Run(ctx) })
	n.runRollouts(s, store, syncer, heartbeats, log)
	n.done.Go(func() { pollInstances(ctx, list, n.loop) })
	engines := &engineWatcher{loop: n.loop, client: engineapi.New(), prefixes: prefixes}
	n.done.Go(func() { engines.run(ctx) })
	if s.Platform.Directory != "" {
		directory := scim.New(s.Platform.Directory, scim.FilterInactive)
		n.done.Go(func() { pollDirectory(ctx, directory, n.loop, log) })
	}
	n.done.Go(func() { pollLoads(ctx, o.LoadInterval, engineapi.New(), n.loop) })
}

// slotHolder returns the claim of a slot of the own failure domain.
func (n *Node) slotHolder(store external.Store, identity control.Identity) *slotclaim.Holder {
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

// claimedSlots returns the slots that instances hold by the claims in the store.
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

// Ready reports whether a configuration is in force.
func (n *Node) Ready() bool { return n.loop.Snapshot().Ready }

// Snapshot returns the state that the traffic of the instance reads.
func (n *Node) Snapshot() *routing.Snapshot { return n.loop.Snapshot() }

// Forwarded returns how many requests the instance sent to another region.
func (n *Node) Forwarded() int64 { return n.dispatcher.ForwardedCount() }

// KnowsSlots reports whether the instance holds a slot, has collected the records of
// earlier writes, and knows which peer holds which slot.
func (n *Node) KnowsSlots() bool {
	s := n.loop.Snapshot()
	for _, p := range s.Peers {
		if p.Slot == "" {
			return false
		}
	}
	return s.Quota.Held && n.writes.Ready()
}
