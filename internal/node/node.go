// Package node wires the parts of one entry instance.
package node

import (
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
	"heatherloom/internal/gateway"
	"heatherloom/internal/lease"
	"heatherloom/internal/peer"
	"heatherloom/internal/platform"
	"heatherloom/internal/platform/engineapi"
	"heatherloom/internal/platform/etcdgw"
	"heatherloom/internal/platform/httpsd"
	"heatherloom/internal/platform/scim"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
	"heatherloom/internal/settings"
)

const (
	// instancePollInterval is the time between two readings of the instance list.
	instancePollInterval = time.Second
	readHeaderTimeout    = 10 * time.Second
	callerIdleTimeout    = 90 * time.Second
	maxHeaderBytes       = 64 << 10
)

// Node is a running entry instance.
type Node struct {
	CallerAddress string
	PeerAddress   string

	loop       *control.Loop
	dispatcher *dispatch.Dispatcher
	lease      *lease.Holder
	servers    []*http.Server
	cancel     context.CancelFunc
	done       sync.WaitGroup
}

// Options change the parts of an entry instance for experiments and tests.
type Options struct {
	// DialPeer connects to other entry instances; nil for a plain TCP connection.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
}

// Start starts an entry instance and returns once its listeners are open.
func Start(s settings.Settings, log *logrus.Logger) (*Node, error) {
	return StartWith(s, log, Options{})
}

// StartWith starts an entry instance with options.
func StartWith(s settings.Settings, log *logrus.Logger, o Options) (*Node, error) {
	caller, err := net.Listen("tcp", s.Listeners.Caller)
	if err != nil {
		return nil, eris.Wrap(err, "open the caller listener")
	}
	peerListener, err := net.Listen("tcp", s.Listeners.Peer)
	if err != nil {
		_ = caller.Close()
		return nil, eris.Wrap(err, "open the peer listener")
	}
	n := &Node{CallerAddress: caller.Addr().String(), PeerAddress: peerListener.Addr().String()}
	if err := n.wire(s, log, o, caller, peerListener); err != nil {
		_ = caller.Close()
		_ = peerListener.Close()
		return nil, err
	}
	return n, nil
}

func (n *Node) wire(s settings.Settings, log *logrus.Logger, o Options, caller, peerListener net.Listener) error {
	entry := log.WithField("instance", s.Instance.ID)
	identity := n.identity(s)
	n.loop = control.NewLoop(identity)
	peers := peer.NewClient(identity.ID, s.Peer.Secret)
	if o.DialPeer != nil {
		peers.DialWith(o.DialPeer)
	}
	prefixes := routing.NewPrefixIndex()
	policy, err := routing.NewPolicy(s.Policy.Name, s.Policy.Weights(), prefixes)
	if err != nil {
		return err
	}
	dispatcher := &dispatch.Dispatcher{Snapshot: n.loop.Snapshot, Relay: relay.New(relay.DefaultLimits()), Forward: peers}
	n.dispatcher = dispatcher
	dispatcher.Policy = policy
	dispatcher.Prefixes = prefixes
	dispatcher.ReportCrash = func(c quarantine.Crash) {
		n.loop.Post(context.Background(), control.CrashEvent{Crash: c})
	}
	handler, err := gateway.New(gateway.Deps{
		Snapshot:   n.loop.Snapshot,
		Dispatcher: dispatcher,
		Buckets:    admission.NewBuckets(),
		Log:        entry,
		Now:        time.Now,
	})
	if err != nil {
		return err
	}
	server := &peer.Server{Identity: identity, Loop: n.loop, Dispatcher: dispatcher, Secret: s.Peer.Secret}
	server.Config = &configsync.Source{Loop: n.loop}
	n.serve(caller, &http.Server{Handler: handler}, entry)
	n.serve(peerListener, &http.Server{Handler: server.Handler(), Protocols: peerProtocols()}, entry)
	n.runControl(s, entry, identity, peers, prefixes)
	return nil
}

func (n *Node) identity(s settings.Settings) control.Identity {
	return control.Identity{
		ID:            s.Instance.ID,
		Region:        s.Instance.Region,
		FailureDomain: s.Instance.FailureDomain,
		PeerAddress:   n.PeerAddress,
		CallerURL:     "http://" + n.CallerAddress,
		OperatorURL:   "http://" + s.Listeners.Operator,
		Incarnation:   time.Now().UnixNano(),
		MaxIsolation:  s.Platform.MaxIsolation,
	}
}

func peerProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

func (n *Node) serve(listener net.Listener, server *http.Server, log *logrus.Entry) {
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = callerIdleTimeout
	server.MaxHeaderBytes = maxHeaderBytes
	n.servers = append(n.servers, server)
	n.done.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.WithField("event", "listener_closed").WithError(err).Error("listener failed")
		}
	})
}

// runControl starts the control goroutine and what feeds it.
func (n *Node) runControl(s settings.Settings, log *logrus.Entry, identity control.Identity, peers *peer.Client, prefixes *routing.PrefixIndex) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	store := etcdgw.New(s.Platform.Store)
	heartbeats := &peer.Heartbeater{Identity: identity, Loop: n.loop, Client: peers, Seeds: func() []string { return s.Peer.Seeds }}
	syncer := &configsync.Syncer{
		Identity: identity, Store: store, Peers: peers, Loop: n.loop, Announce: heartbeats.Announce, Log: log,
	}
	list := httpsd.New(s.Platform.Instances)
	n.done.Go(func() { n.loop.Run(ctx) })
	n.done.Go(func() { syncer.Run(ctx) })
	n.done.Go(func() { heartbeats.Run(ctx) })
	n.lease = lease.New(store, lease.DomainKey(identity.FailureDomain), identity.ID, lease.DefaultTTL, time.Now)
	n.done.Go(func() { n.lease.Run(ctx, syncer.IsWatcher) })
	n.done.Go(func() { pollInstances(ctx, list, n.loop) })
	engines := &engineWatcher{loop: n.loop, client: engineapi.New(), prefixes: prefixes}
	n.done.Go(func() { engines.run(ctx) })
	if s.Platform.Directory != "" {
		directory := scim.New(s.Platform.Directory, scim.FilterInactive)
		n.done.Go(func() { pollDirectory(ctx, directory, n.loop, log) })
	}
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

// Snapshot returns the state that the traffic of the instance reads.
func (n *Node) Snapshot() *routing.Snapshot { return n.loop.Snapshot() }

// Forwarded returns how many requests the instance sent to another region.
func (n *Node) Forwarded() int64 { return n.dispatcher.Forwarded() }

// Shutdown takes no new work, ends the requests that run, and stops the instance.
// It returns an error if ctx ends first.
func (n *Node) Shutdown(ctx context.Context) error {
	n.loop.Post(ctx, control.DrainEvent{})
	var failures []error
	for _, server := range n.servers {
		failures = append(failures, server.Shutdown(ctx))
	}
	n.cancel()
	n.done.Wait()
	n.lease.Release(ctx)
	return errors.Join(failures...)
}
