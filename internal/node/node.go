// Package node wires the parts of one entry instance.
package node

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/admission"
	"heatherloom/internal/configsync"
	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/drain"
	"heatherloom/internal/gateway"
	"heatherloom/internal/idempotency"
	"heatherloom/internal/lease"
	"heatherloom/internal/operator"
	"heatherloom/internal/peer"
	"heatherloom/internal/platform"
	"heatherloom/internal/platform/engineapi"
	"heatherloom/internal/platform/etcdgw"
	"heatherloom/internal/platform/httpsd"
	"heatherloom/internal/platform/scim"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/relay"
	"heatherloom/internal/settings"
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

	loop     *control.Loop
	lease    *lease.Holder
	gate     *drain.Gate
	writes   *writes.Service
	timeline *timeline.Recorder
	// servers are the caller and peer listeners; operator outlives them, so that
	// the end of a drain can be seen.
	servers  []*http.Server
	operator *http.Server
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
	// tls is nil if the listeners do not use TLS.
	tls *tlsconfig.Source
}

// listeners are the open sockets of an instance.
type listeners struct {
	caller, peer, operator net.Listener
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
	} {
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
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Start starts an entry instance and returns once its listeners are open.
func Start(s settings.Settings, log *logrus.Logger) (*Node, error) {
	l, err := openListeners(s.Listeners)
	if err != nil {
		return nil, err
	}
	n := &Node{
		CallerAddress:   l.caller.Addr().String(),
		PeerAddress:     l.peer.Addr().String(),
		OperatorAddress: l.operator.Addr().String(),
		gate:            drain.NewGate(),
		timeline: timeline.NewRecorder(s.Instance.ID, timeline.NewClock(time.Now),
			timeline.DefaultRequestEvents, timeline.DefaultStateEvents),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	err = n.loadTLS(s.TLS)
	if err == nil {
		err = n.wire(s, log, l)
	}
	if err != nil {
		n.cancel()
		l.close()
		return nil, err
	}
	return n, nil
}

func (n *Node) wire(s settings.Settings, log *logrus.Logger, l listeners) error {
	entry := log.WithField(telemetry.FieldInstance, s.Instance.ID)
	identity := n.identity(s)
	n.loop = control.NewLoop(identity)
	n.gate.OnPhase = func(p drain.Progress) { n.drainPhase(p, entry) }
	metrics := n.metrics()
	n.loop.Observe(control.Observer{Timeline: n.timeline, Tick: metrics.Tick})
	peers := peer.NewClient(identity.ID, s.Peer.Secret)
	peers.UseClock(n.timeline.Clock())
	if n.tls != nil {
		peers.UseTLS(n.tls.Dial)
	}
	dispatcher := &dispatch.Dispatcher{
		Snapshot: n.loop.Snapshot,
		Relay:    relay.New(relay.DefaultLimits()),
		Forward:  peers,
		ReportCrash: func(c quarantine.Crash) {
			ctx, cancel := context.WithTimeout(n.ctx, crashPostTimeout)
			defer cancel()
			n.loop.Post(ctx, control.CrashEvent{Crash: c})
		},
		Timeline: n.timeline,
		Metrics:  metrics,
	}
	n.writes = &writes.Service{
		Snapshot:   n.loop.Snapshot,
		Dispatcher: dispatcher,
		Peers:      peers,
		Table:      idempotency.NewTable(time.Now()),
		Now:        time.Now,
		Log:        entry,
	}
	// The gateway gets n.writes once slot claims fill Snapshot.Slots. Until then no
	// instance could own a key and every write with one would be refused.
	handler, err := gateway.New(gateway.Deps{
		Snapshot:   n.loop.Snapshot,
		Dispatcher: dispatcher,
		Buckets:    admission.NewBuckets(),
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
		Identity: identity, Loop: n.loop, Dispatcher: dispatcher, Secret: s.Peer.Secret,
		Config: &configsync.Source{Loop: n.loop},
		Events: timeline.JSONSource{Recorder: n.timeline}, Timeline: n.timeline, Gate: n.gate,
		Log: entry, Writes: n.writes,
	}
	n.servers = append(n.servers,
		n.serve(l.caller, &http.Server{Handler: handler, TLSConfig: n.callerTLS()}, entry),
		n.serve(l.peer, &http.Server{Handler: server.Handler(), Protocols: n.peerProtocols(), TLSConfig: n.peerTLS()}, entry))
	n.operator = n.serve(l.operator, &http.Server{Handler: n.operatorHandler(s, metrics), TLSConfig: n.callerTLS()}, entry)
	n.followTLS(entry)
	n.runControl(s, entry, identity, peers)
	return nil
}

func (n *Node) metrics() *telemetry.Metrics {
	return telemetry.NewMetrics(telemetry.Sources{
		InFlight:       func() float64 { return float64(n.gate.Progress().InFlight) },
		ConfigRevision: func() float64 { return float64(n.loop.Snapshot().Config.Revision) },
		ConfigAge:      n.configAge,
		Peers:          func() float64 { return float64(len(n.loop.Snapshot().Peers)) },
	})
}

// configAge returns the age of the configuration in seconds; 0 if there is none.
func (n *Node) configAge() float64 {
	since := n.loop.ConfigSince()
	if since.IsZero() {
		return 0
	}
	return time.Since(since).Seconds()
}

func (n *Node) operatorHandler(s settings.Settings, metrics *telemetry.Metrics) http.Handler {
	return operator.Handler(operator.Deps{
		Token:       s.Operator.Token,
		Snapshot:    n.loop.Snapshot,
		ConfigSince: n.loop.ConfigSince,
		Timeline:    n.timeline,
		Gate:        n.gate,
		Metrics:     metrics.Handler(),
		Now:         time.Now,
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
		MaxIsolation:  s.Platform.MaxIsolation,
	}
}

func (n *Node) serve(listener net.Listener, server *http.Server, log *logrus.Entry) *http.Server {
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = callerIdleTimeout
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
func (n *Node) runControl(s settings.Settings, log *logrus.Entry, identity control.Identity, peers *peer.Client) {
	ctx := n.ctx
	store := etcdgw.New(s.Platform.Store)
	heartbeats := &peer.Heartbeater{Identity: identity, Loop: n.loop, Client: peers, Seeds: func() []string { return s.Peer.Seeds }}
	syncer := &configsync.Syncer{
		Identity: identity, Store: store, Peers: peers, Loop: n.loop, Announce: heartbeats.Announce, Log: log,
	}
	list := httpsd.New(s.Platform.Instances)
	n.done.Go(func() { n.loop.Run(ctx) })
	n.done.Go(func() { syncer.Run(ctx) })
	n.done.Go(func() { heartbeats.Run(ctx) })
	n.done.Go(func() { n.writes.Follow(ctx) })
	n.lease = lease.New(store, lease.DomainKey(identity.FailureDomain), identity.ID, lease.DefaultTTL, time.Now)
	n.done.Go(func() { n.lease.Run(ctx, syncer.IsWatcher) })
	n.done.Go(func() { pollInstances(ctx, list, n.loop) })
	if s.Platform.Directory != "" {
		directory := scim.New(s.Platform.Directory, scim.FilterInactive)
		n.done.Go(func() { pollDirectory(ctx, directory, n.loop, log) })
	}
	n.done.Go(func() { pollLoads(ctx, engineapi.New(), n.loop) })
}

func pollInstances(ctx context.Context, list platform.InstanceList, loop *control.Loop) {
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
