package node

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"heatherloom/internal/clock"
	"heatherloom/internal/intake"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/settings"
	"heatherloom/internal/telemetry"
)

const (
	// reservedDescriptors are those that are not for sockets, up to a fraction of all given by its divisor.
	reservedDescriptors       = 200
	reservedDescriptorDivisor = 4
	// defaultDescriptors applies if the limit of the process is not known, and maxDescriptors if there is none.
	defaultDescriptors = 1 << 10
	maxDescriptors     = 1 << 20
	// Divisors of the number of sockets for the connections of each listener. The rest is for those to upstreams, the
	// platform and other instances.
	callerConnectionDivisor   = 2
	peerConnectionDivisor     = 4
	entriesConnectionDivisor  = 8
	readyConnectionDivisor    = 32
	operatorConnectionDivisor = 32

	// Limits of the HTTP/2 connections of callers: what a connection may send that is not read yet.
	maxStreamsPerConnection = 100
	streamReceiveBytes      = 128 << 10
	connectionReceiveBytes  = 256 << 10

	// expiryInterval is the interval at which connections that are idle for too long are closed.
	expiryInterval = time.Second
	// intakeLogInterval is the shortest time between two log lines about callers that were let go.
	intakeLogInterval = 10 * time.Second
)

// limitReceiveBuffer limits the receive buffers of the connections that a listener accepts. It has the signature of
// net.ListenConfig.Control.
func limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	// Without the limit the listener still works.
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, intake.ReceiveBufferBytes)
	})
}

// maxSockets returns the number of sockets that the process may have.
func maxSockets(p settings.Process) int {
	limit := int(p.MaxDescriptors)
	if limit == 0 {
		limit = defaultDescriptors
		var r unix.Rlimit
		if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) == nil {
			limit = int(min(r.Cur, maxDescriptors))
		}
	}
	return limit - min(reservedDescriptors, limit/reservedDescriptorDivisor)
}

// limitConnections bounds the connections of all listeners.
func (n *Node) limitConnections(s settings.Settings, l *listeners) {
	sockets := maxSockets(s.Process)
	limits := func() opconfig.Limits { return n.loop.Snapshot().Config.Limits[opconfig.LimitsID] }
	idle := func() time.Duration { return limits().IdleTimeout }
	head := func() time.Duration { return limits().HeaderTimeout }
	secured := n.tls != nil
	n.listeners = map[string]*intake.Listener{}
	for _, limited := range []struct {
		name     string
		listener *net.Listener
		divisor  int
		options  intake.ListenerOptions
	}{
		{"caller", &l.caller, callerConnectionDivisor, intake.ListenerOptions{TLS: secured, IdleTimeout: idle, HeadTimeout: head}},
		{"peer", &l.peer, peerConnectionDivisor, intake.ListenerOptions{TLS: secured, Multiplexed: true}},
		{"operator", &l.operator, operatorConnectionDivisor, intake.ListenerOptions{TLS: secured}},
		{"entries", &l.entries, entriesConnectionDivisor, intake.ListenerOptions{IdleTimeout: idle, HeadTimeout: head}},
		{"ready", &l.ready, readyConnectionDivisor, intake.ListenerOptions{}},
	} {
		if *limited.listener == nil {
			continue
		}
		limited.options.MaxConnections = max(sockets/limited.divisor, 1)
		listener := n.requests.Listen(*limited.listener, limited.options)
		n.listeners[limited.name] = listener
		*limited.listener = listener
	}
	n.callerListener = l.caller
}

// openConnections returns the sources of the metric of open connections.
func (n *Node) openConnections() map[string]func() float64 {
	sources := map[string]func() float64{}
	for name, listener := range n.listeners {
		sources[name] = func() float64 { return float64(listener.Open()) }
	}
	return sources
}

// callersLetGo returns the sources of the metric of callers that were let go.
func (n *Node) callersLetGo() map[string]func() float64 {
	count := func(read func(intake.Counts) int) func() float64 {
		return func() float64 { return float64(read(n.requests.Counts())) }
	}
	return map[string]func() float64{
		telemetry.FieldRefused:            count(func(c intake.Counts) int { return c.Refused }),
		telemetry.FieldYielded:            count(func(c intake.Counts) int { return c.Yielded }),
		telemetry.FieldConnectionsRefused: count(func(c intake.Counts) int { return c.ConnectionsRefused }),
		telemetry.FieldConnectionsYielded: count(func(c intake.Counts) int { return c.ConnectionsYielded }),
		telemetry.FieldConnectionsExpired: count(func(c intake.Counts) int { return c.ConnectionsExpired }),
	}
}

// withoutBodies leaves the bodies of requests unread, to handlers that use none, and closes their connections.
func withoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

// unreadBodyTimeout bounds the reading of a body that no handler uses.
const unreadBodyTimeout = time.Second

// callerHTTP2 limits what a caller may send over one HTTP/2 connection. Peers, which are trusted and far away, have the
// defaults.
func callerHTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreamsPerConnection,
		MaxReceiveBufferPerStream:     streamReceiveBytes,
		MaxReceiveBufferPerConnection: connectionReceiveBytes,
	}
}

// trackConnections makes a server report its connections to the listener that accepts them.
func trackConnections(server *http.Server, listener net.Listener) {
	limited, ok := listener.(*intake.Listener)
	if !ok {
		return
	}
	record, newContext := server.ConnState, server.ConnContext
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if record != nil {
			record(c, state)
		}
		limited.ConnState(c, state)
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if newContext != nil {
			ctx = newContext(ctx, c)
		}
		return intake.NewContext(ctx, c)
	}
}

// watchIntake closes connections that are idle for too long, and logs how many callers were let go, until ctx is done.
func (n *Node) watchIntake(ctx context.Context, log *logrus.Entry) {
	var logged intake.Counts
	var loggedAt time.Time
	for ctx.Err() == nil {
		clock.Sleep(ctx, expiryInterval)
		n.requests.CloseExpired()
		counts := n.requests.Counts()
		if counts.LetGo() == logged.LetGo() || time.Since(loggedAt) < intakeLogInterval {
			continue
		}
		log.WithFields(logrus.Fields{
			telemetry.FieldEvent:              "callers_let_go",
			telemetry.FieldRefused:            counts.Refused - logged.Refused,
			telemetry.FieldYielded:            counts.Yielded - logged.Yielded,
			telemetry.FieldConnectionsRefused: counts.ConnectionsRefused - logged.ConnectionsRefused,
			telemetry.FieldConnectionsYielded: counts.ConnectionsYielded - logged.ConnectionsYielded,
			telemetry.FieldHeldBytes:          n.requests.Used(),
		}).Warn("callers were let go because requests or connections that did not end used up the memory or the descriptors")
		logged, loggedAt = counts, time.Now()
	}
}
