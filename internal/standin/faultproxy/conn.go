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
	// chunkBytes is the largest part that is passed on at once.
	chunkBytes = 16 << 10
	// queueChunks bounds what is under way in one direction of a connection: 16 MB,
	// above the 14 MB that 2 Gbit/s fill at a one-way delay of 55 ms.
	queueChunks = 1024
)

// conn is one proxied connection.
type conn struct {
	proxy  *Proxy
	client *net.TCPConn
	ctx    context.Context
	cancel context.CancelFunc

	silenceOnce sync.Once
	// silent is closed when the connection goes silent for good.
	silent chan struct{}
	// readEnds counts the sides that have ended their stream.
	readEnds atomic.Int32

	mu     sync.Mutex
	target *net.TCPConn
	broken bool
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
	c.broken = true
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

// run passes bytes on until one side breaks, both have ended their streams, or the
// proxy resets the connection.
func (c *conn) run() {
	defer c.proxy.remove(c)
	defer c.cancel()
	if faults, _ := c.proxy.state(); faults.HalfOpen {
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
	if c.broken {
		_ = target.Close()
		return false
	}
	c.target = target.(*net.TCPConn)
	return true
}

// waitFor waits for the time that remaining returns for the fault switches in
// force. It returns false if the connection ends first.
func (c *conn) waitFor(remaining func(Faults) time.Duration) bool {
	for {
		faults, changed := c.proxy.state()
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

// waitAudible waits while the direction is silent. A connection that went silent
// for good waits until it ends.
func (c *conn) waitAudible(toTarget bool) bool {
	const untilChange = time.Hour
	audible := c.waitFor(func(f Faults) time.Duration {
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
		return audible
	}
}

// readEnded ends a connection that is silent for good once both sides have closed
// it, which no other event would do.
func (c *conn) readEnded() {
	if c.readEnds.Add(1) < 2 {
		return
	}
	select {
	case <-c.silent:
		c.cancel()
	default:
	}
}

func (f Faults) direction(toTarget bool) Direction {
	if toTarget {
		return f.ToTarget
	}
	return f.ToClient
}

// chunk is a part of a stream.
type chunk struct {
	data    []byte
	arrived time.Time
	// end marks the end of the stream and reset that its sender broke it.
	end   bool
	reset bool
}

// pump passes the bytes of one direction on.
type pump struct {
	conn     *conn
	from, to *net.TCPConn
	limiter  *rate.Limiter
	toTarget bool
}

// run reads and writes at the same time, so that a delay does not limit the bandwidth.
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
	for part := range queue {
		if !p.pass(part) {
			p.conn.reset()
			return
		}
	}
}

// pass applies the faults of the direction to one chunk and writes it. It returns
// false if the connection must be reset.
func (p *pump) pass(part chunk) bool {
	delayed := p.conn.waitFor(func(f Faults) time.Duration {
		delay := time.Duration(f.direction(p.toTarget).DelayMS) * time.Millisecond
		return time.Until(part.arrived.Add(delay))
	})
	if !delayed || !p.waitBandwidth(len(part.data)) || !p.conn.waitAudible(p.toTarget) {
		return false
	}
	if part.end {
		return !part.reset && p.to.CloseWrite() == nil
	}
	n, err := p.to.Write(part.data)
	p.conn.proxy.count(p.toTarget, n)
	return err == nil
}

// waitBandwidth waits until n bytes may pass. A change of the limit starts the wait
// again, so that a low limit does not outlast its removal.
func (p *pump) waitBandwidth(n int) bool {
	for n > 0 {
		_, changed := p.conn.proxy.state()
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
