// Package faultproxy provides a TCP proxy that injects network faults between two
// processes. It contains no policy: it applies the configured faults, which can be changed
// at run time from Go and over an HTTP control endpoint.
package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
)

// dialTimeout bounds the time to connect to the target.
const dialTimeout = 5 * time.Second

// Proxy forwards connections to a target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	cancel   context.CancelFunc
	running  sync.WaitGroup
	toTarget *rate.Limiter
	toClient *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	conns   map[*conn]struct{}
	counts  Counts
}

// Start listens at address, as host:port, and forwards connections to target.
func Start(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Proxy{
		listener: listener,
		target:   target,
		cancel:   cancel,
		toTarget: rate.NewLimiter(rate.Inf, chunkBytes),
		toClient: rate.NewLimiter(rate.Inf, chunkBytes),
		changed:  make(chan struct{}),
		conns:    map[*conn]struct{}{},
	}
	p.running.Go(func() { p.accept(ctx) })
	return p, nil
}

// Address returns host:port of the listener.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Faults returns the current faults.
func (p *Proxy) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults. They apply to open connections as well.
func (p *Proxy) SetFaults(f Faults) {
	p.mu.Lock()
	p.faults = f
	p.toTarget.SetLimit(limitOf(f.ToTarget))
	p.toClient.SetLimit(limitOf(f.ToClient))
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	if f.Cut {
		p.ResetConnections()
	}
}

func limitOf(d DirectionFaults) rate.Limit {
	if d.BytesPerSecond <= 0 {
		return rate.Inf
	}
	return rate.Limit(d.BytesPerSecond)
}

// ResetConnections resets all open connections once.
func (p *Proxy) ResetConnections() {
	for _, c := range p.openConns() {
		c.reset()
	}
}

// SilenceConnections permanently silences all open connections in both directions, while new
// ones work.
func (p *Proxy) SilenceConnections() {
	for _, c := range p.openConns() {
		c.silence()
	}
}

func (p *Proxy) openConns() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	return conns
}

// Counts returns the counters since the start.
func (p *Proxy) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.Open = int64(len(p.conns))
	return counts
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	p.cancel()
	_ = p.listener.Close()
	p.ResetConnections()
	p.running.Wait()
}

func (p *Proxy) accept(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := newConn(ctx, p, client.(*net.TCPConn))
		if !p.register(c) {
			c.reset()
			continue
		}
		p.running.Go(c.run)
	}
}

// register adds the connection unless the link is cut. The check and the addition are
// atomic, so that no connection escapes a cut.
func (p *Proxy) register(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Accepted++
	if p.faults.Cut || p.faults.Refuse {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// watchFaults returns the current faults and a channel that is closed when they change.
func (p *Proxy) watchFaults() (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults, p.changed
}

func (p *Proxy) countBytes(toTarget bool, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if toTarget {
		p.counts.BytesToTarget += int64(n)
		return
	}
	p.counts.BytesToClient += int64(n)
}
