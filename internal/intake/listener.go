package intake

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// connectionBytes is what a connection holds: the stack of its goroutine, the buffers of net/http, headBytes of a head
	// and a full receive buffer. With TLS it also holds the keys and the buffers of the records.
	connectionBytes    = 16<<10 + bufferOverhead*ReceiveBufferBytes
	tlsConnectionBytes = 32<<10 + connectionBytes
	// ReceiveBufferBytes is the receive buffer that a listener is to give its connections. Those that carry a large body
	// or HTTP/2 get bulkBufferBytes while there is memory.
	ReceiveBufferBytes = 16 << 10
	bulkBufferBytes    = 64 << 10
	// bufferOverhead is how much of a receive buffer the kernel uses for each byte of its size.
	bufferOverhead = 2
	// headBytes is the part of a head that counts as held by each connection, and the step in which more is taken.
	headBytes = 4 << 10
	// hardLimitDivisor is the fraction of the connections of a listener, as a divisor, that may be open beyond its
	// limit while others close.
	hardLimitDivisor = 8
)

// ListenerOptions bound the connections of one listener.
type ListenerOptions struct {
	// MaxConnections is the number of connections above which the one that is idle, or without progress, for longest is
	// closed for each new one.
	MaxConnections int
	// TLS is true if the connections use TLS.
	TLS bool
	// Multiplexed is true if one connection carries several requests at a time. Its heads are then not counted.
	Multiplexed bool
	// IdleTimeout returns the time after which an idle connection is closed, and HeadTimeout that in which the head of a
	// request must arrive; 0 for none. Both may be nil and must be safe for concurrent use.
	IdleTimeout, HeadTimeout func() time.Duration
}

// Listener counts the connections that it accepts. Its server must call ConnState and NewContext.
type Listener struct {
	net.Listener
	budget  *Budget
	options ListenerOptions
	// open and yielding, the connections that are about to close, are guarded by Budget.mu.
	open, yielding int
}

// Listen returns a listener whose connections count for the budget.
func (b *Budget) Listen(inner net.Listener, o ListenerOptions) *Listener {
	return &Listener{Listener: inner, budget: b, options: o}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.open
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// admit returns the connection with its share; nil if there is no room for it.
func (l *Listener) admit(inner net.Conn) *Conn {
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !l.makeRoom() {
		b.counts.ConnectionsRefused++
		return nil
	}
	c := &Conn{Conn: inner, listener: l}
	c.share = &Share{budget: b, conn: c, yield: c.endReads}
	c.share.held = l.connectionBytes()
	b.used += c.share.held
	c.share.enqueue(&b.idle)
	l.open++
	return c
}

// connectionBytes returns what an idle connection of the listener holds.
func (l *Listener) connectionBytes() int64 {
	if l.options.TLS {
		return tlsConnectionBytes
	}
	return connectionBytes
}

// makeRoom makes connections yield for a new one, and reports whether there is room for it. The new connection does not
// wait for them.
func (l *Listener) makeRoom() bool {
	b := l.budget
	if l.open >= l.options.MaxConnections+l.options.MaxConnections/hardLimitDivisor {
		return false
	}
	if l.open-l.yielding >= l.options.MaxConnections && !l.makeConnectionYield() {
		return false
	}
	n := l.connectionBytes()
	return b.used-b.yielding+n <= b.limit || b.makeYield(&Share{budget: b}, n)
}

// makeConnectionYield ends the connection of this listener that has been idle or without progress for longest.
func (l *Listener) makeConnectionYield() bool {
	var oldest *Share
	for e := l.budget.idle.Front(); e != nil && oldest == nil; e = e.Next() {
		if v := e.Value.(*Share); v.conn.listener == l {
			oldest = v
		}
	}
	for e := l.budget.unfinished.Front(); e != nil; e = e.Next() {
		v := e.Value.(*Share)
		if oldest != nil && v.progress.After(oldest.progress) {
			break
		}
		if v.conn != nil && v.conn.listener == l {
			oldest = v
			break
		}
	}
	if oldest == nil {
		return false
	}
	l.budget.takeBack(oldest)
	return true
}

// CloseExpired closes the connections that have been idle, or have sent the head of a request, for too long.
func (b *Budget) CloseExpired() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for e := b.idle.Front(); e != nil; {
		v := e.Value.(*Share)
		e = e.Next()
		b.closeExpired(v, now, v.conn.listener.options.IdleTimeout)
	}
	for e := b.unfinished.Front(); e != nil; {
		v := e.Value.(*Share)
		e = e.Next()
		if v.conn != nil && v.conn.share == v {
			b.closeExpired(v, now, v.conn.listener.options.HeadTimeout)
		}
	}
}

func (b *Budget) closeExpired(v *Share, now time.Time, timeout func() time.Duration) {
	if timeout == nil {
		return
	}
	if d := timeout(); d > 0 && now.Sub(v.progress) >= d {
		b.counts.ConnectionsExpired++
		b.end(v)
	}
}

// Phases of a connection.
const (
	// phaseIdle: nothing of the next request has arrived.
	phaseIdle = iota
	// phaseHead: a part of the head of a request has arrived.
	phaseHead
	// phaseServing: the head of a request has arrived, and its response is not complete.
	phaseServing
)

// Conn is a connection whose memory counts for a budget.
type Conn struct {
	net.Conn
	listener *Listener
	// share is the memory of the connection and of the head of its request.
	share *Share
	phase atomic.Int32
	// ended is set once the connection is to close unless a whole request has arrived.
	ended atomic.Bool
	// multiplexed is set while the connection carries HTTP/2.
	multiplexed atomic.Bool
	// kept is set if the connection does not yield while it is idle.
	kept atomic.Bool
	// served is true once a request has arrived. Only ConnState uses it.
	served bool
	// head is the number of bytes of the head that have arrived, and counted that of those in the share. Only the
	// goroutine that reads uses them.
	head, counted int64
	// yielding and closed, and bulk, the bytes of the share for a larger receive buffer, are guarded by Budget.mu.
	yielding, closed bool
	bulk             int64
}

// widen gives the connection a receive buffer for a large body if there is memory for it.
func (c *Conn) widen() {
	const more = bufferOverhead * (bulkBufferBytes - ReceiveBufferBytes)
	if c == nil || !c.share.take(more) {
		return
	}
	c.setReceiveBuffer(bulkBufferBytes)
}

// narrow makes the kernel keep no more for the connection than for others. What it has kept still counts.
func (c *Conn) narrow() {
	if c != nil && c.share.holdsBulk() {
		c.setReceiveBuffer(ReceiveBufferBytes)
	}
}

func (c *Conn) setReceiveBuffer(size int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(size)
	}
}

// take adds n bytes for a receive buffer to the share of a connection if they are free.
func (s *Share) take(n int64) bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.yielded || s.conn.bulk > 0 || s.conn.closed || b.used+n > b.limitOf(s.held+n) {
		return false
	}
	s.conn.bulk = n
	s.held += n
	b.used += n
	return true
}

func (s *Share) holdsBulk() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.conn.bulk > 0
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the connection for writing if it can. net/http uses it so that a rejection arrives although a part
// of the request is unread.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.ended.Load() {
		err = c.Conn.SetReadDeadline(time.Now())
	}
	return err
}

// endReads closes the connection unless a whole request has arrived.
func (c *Conn) endReads() {
	c.ended.Store(true)
	_ = c.Conn.SetReadDeadline(time.Now())
}

// Read implements net.Conn. It fails if there is no memory for the head of a request; net/http then closes the
// connection without a response, as after other errors of the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.phase.Load() != phaseServing && !c.multiplexed.Load() && !c.listener.options.Multiplexed && !c.countHead(int64(n)) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: ErrNoMemory}
	}
	return n, err
}

// countHead adds n bytes to the head that is arriving and reports whether there is memory for it.
func (c *Conn) countHead(n int64) bool {
	if c.phase.CompareAndSwap(phaseIdle, phaseHead) {
		c.head, c.counted = 0, headBytes
		c.share.arrive()
	}
	c.head += n
	for c.head > c.counted {
		if !c.share.Grow(headBytes) {
			return false
		}
		c.counted += headBytes
	}
	return true
}

// ConnState records the state of a connection. It has the signature of http.Server.ConnState.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	c := unwrap(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.phase.Store(phaseServing)
		if c.share.serve() {
			c.ended.Store(false)
		}
		// A deadline that was to end the wait for this request would cancel its context.
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.recordProtocol(conn)
	case http.StateIdle:
		c.phase.Store(phaseIdle)
		if c.share.rest(max(c.counted-headBytes, 0)) {
			c.setReceiveBuffer(ReceiveBufferBytes)
		}
		c.head, c.counted = 0, 0
	case http.StateClosed, http.StateHijacked:
		c.close()
	}
}

// recordProtocol finds out, at the first request of a connection, whether it carries HTTP/2.
func (c *Conn) recordProtocol(conn net.Conn) {
	if c.served {
		return
	}
	c.served = true
	if secured, ok := conn.(*tls.Conn); ok && secured.ConnectionState().NegotiatedProtocol == "h2" {
		c.multiplexed.Store(true)
		c.widen()
	}
}

// arrive records that a request begins to arrive on an idle connection.
func (s *Share) arrive() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if !s.yielded {
		s.enqueue(&s.budget.unfinished)
	}
}

// serve records that the head of a request has arrived. It reports whether the connection was told to yield in the
// meantime; it is kept then.
func (s *Share) serve() bool {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.dequeue()
	if !s.yielded {
		return false
	}
	s.yielded = false
	s.budget.yielding -= s.held
	s.conn.setYielding(false)
	return true
}

// rest records that a connection is idle, and returns the bytes of the head and of a larger receive buffer to the budget.
// It reports whether there was such a buffer.
func (s *Share) rest(head int64) (hadBulk bool) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.conn.bulk > 0 && !s.conn.multiplexed.Load() {
		head += s.conn.bulk
		s.conn.bulk, hadBulk = 0, true
	}
	s.shrink(head)
	if !s.conn.kept.Load() {
		s.enqueue(&s.budget.idle)
	}
	return hadBulk
}

// setYielding records whether the connection is about to close. Budget.mu must be held.
func (c *Conn) setYielding(yielding bool) {
	if c.closed || c.yielding == yielding {
		return
	}
	c.yielding = yielding
	if yielding {
		c.listener.yielding++
	} else {
		c.listener.yielding--
	}
}

func (c *Conn) close() {
	b := c.listener.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return
	}
	c.setYielding(false)
	c.closed = true
	c.listener.open--
	c.share.dequeue()
	c.share.shrink(c.share.held)
}

// unwrap returns the connection of a Listener that conn is or wraps; nil if there is none.
func unwrap(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

type connKey struct{}

// NewContext returns a context for the requests that arrive over a connection. It has the signature of
// http.Server.ConnContext.
func NewContext(ctx context.Context, conn net.Conn) context.Context {
	if c := unwrap(conn); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// KeepConn makes the connection of a request one that does not yield while it is idle. It still counts.
func KeepConn(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		c.kept.Store(true)
	}
}

// RequestConn returns the connection that a request has for itself; nil if it shares one, as in HTTP/2.
func RequestConn(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if r.ProtoMajor != 1 {
		return nil
	}
	return c
}
