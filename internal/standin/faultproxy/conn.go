package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// chunkBytes is the maximum number of bytes forwarded at once.
	chunkBytes = 16 << 10
	// queueChunks bounds the data in flight in one direction of a connection: 16 MB, above
	// the bandwidth-delay product of 14 MB at 2 Gbit/s and a one-way delay of 55 ms.
	queueChunks = 1024
)

// conn is one proxied connection.
type conn struct {
	proxy  *Proxy
	client *net.TCPConn
	ctx    context.Context
	cancel context.CancelFunc

	silenceOnce sync.Once
	// silent is closed when the connection becomes permanently silent.
	silent chan struct{}
	// endedReads counts the sides that have ended their stream.
	endedReads atomic.Int32

	mu       sync.Mutex
	target   *net.TCPConn
	wasReset bool
}

func newConn(ctx context.Context, p *Proxy, client *net.TCPConn) *conn {
	ctx, cancel := context.WithCancel(ctx)
	return &conn{proxy: p, client: client, ctx: ctx, cancel: cancel, silent: make(chan struct{})}
}

// reset closes both sides with a TCP reset.
func (c *conn) reset() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wasReset = true
	resetTCP(c.client)
	if c.target != nil {
		resetTCP(c.target)
	}
}

func resetTCP(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func (c *conn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

// run forwards bytes until one side fails, both sides have ended their streams, or the
// proxy resets the connection.
func (c *conn) run() {
	defer c.proxy.remove(c)
	defer c.cancel()
	if faults, _ := c.proxy.watchFaults(); faults.HalfOpen {
		_, _ = io.Copy(io.Discard, c.client)
		c.reset()
		return
	}
	if !c.connect() {
		c.reset()
		return
	}
	toTarget := &pump{conn: c, from: c.client, to: c.target, limiter: c.proxy.toTarget, toTarget: true}
	toClient := &pump{conn: c, from: c.target, to: c.client, limiter: c.proxy.toClient}
	var running sync.WaitGroup
	running.Go(toTarget.run)
	running.Go(toClient.run)
	running.Wait()
	_ = c.client.Close()
	_ = c.target.Close()
}

func (c *conn) connect() bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(c.ctx, "tcp", c.proxy.target)
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wasReset {
		_ = target.Close()
		return false
	}
	c.target = target.(*net.TCPConn)
	return true
}

// waitFor waits until remaining returns 0 for the current faults, and calls it again when
// they change. It returns false if the connection ends first.
func (c *conn) waitFor(remaining func(Faults) time.Duration) bool {
	for {
		faults, changed := c.proxy.watchFaults()
		wait := remaining(faults)
		if wait <= 0 {
			return c.ctx.Err() == nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-c.ctx.Done():
			timer.Stop()
			return false
		case <-changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// waitWhileSilent waits while the direction is silent. A permanently silent connection
// waits until it ends.
func (c *conn) waitWhileSilent(toTarget bool) bool {
	const untilChange = time.Hour
	connected := c.waitFor(func(f Faults) time.Duration {
		if f.direction(toTarget).Silent {
			return untilChange
		}
		return 0
	})
	select {
	case <-c.silent:
		<-c.ctx.Done()
		return false
	default:
		return connected
	}
}

// readEnded ends a permanently silent connection once both sides have closed it, which no
// other event would do.
func (c *conn) readEnded() {
	if c.endedReads.Add(1) < 2 {
		return
	}
	select {
	case <-c.silent:
		c.cancel()
	default:
	}
}

func (f Faults) direction(toTarget bool) DirectionFaults {
	if toTarget {
		return f.ToTarget
	}
	return f.ToClient
}

// chunk is a part of a stream with its arrival time.
type chunk struct {
	data    []byte
	arrived time.Time
	// end marks the end of the stream; reset is set if reading failed before EOF.
	end   bool
	reset bool
}

// pump forwards the bytes of one direction.
type pump struct {
	conn     *conn
	from, to *net.TCPConn
	limiter  *rate.Limiter
	toTarget bool
	// resetSeen is true once the connection was reset by the side that is read from.
	resetSeen atomic.Bool
}

// run reads and writes concurrently, so that a delay does not limit the bandwidth.
func (p *pump) run() {
	queue := make(chan chunk, queueChunks)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(queue)
		p.read(queue)
	})
	p.write(queue)
	reading.Wait()
}

func (p *pump) read(queue chan<- chunk) {
	for {
		buf := make([]byte, chunkBytes)
		n, err := p.from.Read(buf)
		if n > 0 && !p.enqueue(queue, chunk{data: buf[:n], arrived: time.Now()}) {
			return
		}
		if err != nil {
			p.resetSeen.Store(!errors.Is(err, io.EOF))
			p.conn.readEnded()
			p.enqueue(queue, chunk{arrived: time.Now(), end: true, reset: !errors.Is(err, io.EOF)})
			return
		}
	}
}

func (p *pump) enqueue(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-p.conn.ctx.Done():
		return false
	}
}

func (p *pump) write(queue <-chan chunk) {
	for c := range queue {
		if !p.forward(c) {
			p.conn.reset()
			return
		}
	}
}

// forward applies the faults of the direction to one chunk and writes it. It returns
// false if the connection must be reset. What a silent direction held when its connection was reset is lost, as the
// kernel of the sender would have discarded it; an ordinary close leaves it.
func (p *pump) forward(c chunk) bool {
	faults, _ := p.conn.proxy.watchFaults()
	held := faults.direction(p.toTarget).Silent
	delayed := p.conn.waitFor(func(f Faults) time.Duration {
		delay := time.Duration(f.direction(p.toTarget).DelayMS) * time.Millisecond
		return time.Until(c.arrived.Add(delay))
	})
	if !delayed || !p.waitBandwidth(len(c.data)) || !p.conn.waitWhileSilent(p.toTarget) {
		return false
	}
	if held && p.resetSeen.Load() {
		return false
	}
	if c.end {
		return !c.reset && p.to.CloseWrite() == nil
	}
	n, err := p.to.Write(c.data)
	p.conn.proxy.countBytes(p.toTarget, n)
	return err == nil
}

// waitBandwidth waits until the limit allows n bytes. A change of the faults restarts the
// wait, so that a low limit does not delay bytes after its removal.
func (p *pump) waitBandwidth(n int) bool {
	for n > 0 {
		_, changed := p.conn.proxy.watchFaults()
		reservation := p.limiter.ReserveN(time.Now(), n)
		timer := time.NewTimer(reservation.Delay())
		select {
		case <-p.conn.ctx.Done():
			timer.Stop()
			return false
		case <-changed:
			timer.Stop()
			reservation.Cancel()
		case <-timer.C:
			return true
		}
	}
	return true
}
