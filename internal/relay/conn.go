package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"heatherloom/internal/abortive"
)

var errSealed = errors.New("the connection was sealed because its attempt has ended")

// conn counts its writes and can be sealed, which rejects all further writes. If the count
// did not change before the connection was sealed, the request was provably never sent.
type conn struct {
	*abortive.Conn
	pool    *connPool
	address string

	// received is the number of bytes read.
	received atomic.Int64

	mu     sync.Mutex
	writes uint64
	sealed bool
	closed bool
	// start holds the first bytes that were read since the last write, last is the last byte
	// read, and ended is true once a read has failed.
	start []byte
	last  byte
	ended bool
	// users counts the attempts that use the connection. net/http may assign it to the next
	// attempt before the previous one has ended.
	users int
	// exchanges counts the attempts that were assigned the connection, and named those whose response had
	// the id of its request.
	exchanges, named int
	// lastRead is when bytes last arrived, or the connection was established.
	lastRead time.Time
	// announced is the idle timeout that the upstream stated last; 0 if it states none.
	announced time.Duration
	// maxIdle is how long the connection may stay idle if announced is 0.
	maxIdle time.Duration
	// idleTimer ends the connection when it has been idle for idleLimit.
	idleTimer *time.Timer
}

// announcedIdleMargin is how much earlier than the upstream states an idle connection is closed, so that no request
// crosses the close. Upstreams state whole seconds.
const announcedIdleMargin = 1500 * time.Millisecond

// idleLimit returns how long the connection may stay idle. The mutex must be held.
func (c *conn) idleLimit() time.Duration {
	if c.announced == 0 {
		return c.maxIdle
	}
	return min(max(c.announced-announcedIdleMargin, c.announced/2), idleConnTimeout)
}

// closeIdle closes the connection if no attempt uses it.
func (c *conn) closeIdle() {
	c.mu.Lock()
	idle := c.users == 0
	c.sealed = c.sealed || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}

// recordKeepAlive records the idle timeout that a response stated.
func (c *conn) recordKeepAlive(header http.Header) {
	announced := keepAliveTimeout(header)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced = announced
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header; 0 if there is none.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, value := range header.Values("Keep-Alive") {
		for parameter := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			seconds, err := strconv.ParseUint(strings.Trim(text, `" `), 10, 31)
			if strings.EqualFold(strings.TrimSpace(name), "timeout") && err == nil {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && !c.ended && c.closedWhileIdle(err) {
		c.pool.recordIdleClose(IdleClose{Address: c.address, Idle: time.Since(c.lastRead), Announced: c.announced})
	}
	c.ended = c.ended || err != nil
	if n > 0 {
		c.lastRead = time.Now()
		c.last = p[n-1]
		c.start = append(c.start, p[:min(n, len(statusLineStart)-len(c.start))]...)
	}
	return n, err
}

// closedWhileIdle reports whether a failed read means that the upstream closed the connection while it was
// idle. The mutex must be held.
func (c *conn) closedWhileIdle(err error) bool {
	return c.users == 0 && !c.sealed && !errors.Is(err, net.ErrClosed)
}

// statusLineStart begins the head of each response.
const statusLineStart = "HTTP/1."

// endedInsideLine reports whether the connection ended inside a line of the head of a response.
// net/http reports the part of the line as a malformed one.
func (c *conn) endedInsideLine() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended && len(c.start) > 0 && c.last != '\n' && strings.HasPrefix(statusLineStart, string(c.start))
}

// hasEnded reports whether a read has failed.
func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.start = c.start[:0]
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.pool.remove(c)
	c.mu.Lock()
	c.closed = true
	c.idleTimer.Stop()
	c.mu.Unlock()
	return c.Conn.Close()
}

// use registers a user and returns the numbers of writes and of exchanges so far.
func (c *conn) use() (writes uint64, exchanges int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users++
	c.idleTimer.Stop()
	c.exchanges++
	return c.writes, c.exchanges - 1
}

// recordNamed records that an exchange ended with a response that had the id of its request.
func (c *conn) recordNamed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.named++
}

// namedExchanges returns how many exchanges ended with a response that had the id of its request.
func (c *conn) namedExchanges() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.named
}

func (c *conn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users--
	if c.users == 0 && !c.closed && !c.ended {
		c.idleTimer.Reset(c.idleLimit())
	}
}

// seal closes the connection, rejects further writes, and returns the number of writes.
func (c *conn) seal() uint64 {
	c.mu.Lock()
	c.sealed = true
	writes := c.writes
	c.mu.Unlock()
	_ = c.Close()
	return writes
}

// sealUnused is seal if the number of writes is still the given one. It reports whether it is.
func (c *conn) sealUnused(writes uint64) bool {
	c.mu.Lock()
	unused := c.writes == writes
	c.sealed = c.sealed || unused
	c.mu.Unlock()
	if unused {
		_ = c.Close()
	}
	return unused
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.users == 0
}

// connPool tracks the open connections by upstream address.
type connPool struct {
	dialer net.Dialer
	mu     sync.Mutex
	conns  map[string]map[*conn]struct{}
	// onIdleClose is that of Relay.OnIdleClose; nil if it was not called.
	onIdleClose atomic.Pointer[func(IdleClose)]
}

// IdleClose is the end of an idle connection that its upstream closed.
type IdleClose struct {
	// Address is the host:port of the upstream.
	Address string
	// Idle is the time since it last sent something on the connection.
	Idle time.Duration
	// Announced is the idle timeout that the upstream stated; 0 if it stated none.
	Announced time.Duration
}

func (p *connPool) recordIdleClose(c IdleClose) {
	if f := p.onIdleClose.Load(); f != nil {
		(*f)(c)
	}
}

func newConnPool(dialer net.Dialer) *connPool {
	return &connPool{dialer: dialer, conns: map[string]map[*conn]struct{}{}}
}

// dial connects to an upstream. The connection may stay idle for maxIdle unless the upstream states a timeout.
func (p *connPool) dial(ctx context.Context, network, address string, maxIdle time.Duration) (net.Conn, error) {
	raw, err := p.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: abortive.New(raw), pool: p, address: address, maxIdle: maxIdle, lastRead: time.Now()}
	c.idleTimer = time.AfterFunc(maxIdle, c.closeIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == nil {
		p.conns[address] = map[*conn]struct{}{}
	}
	p.conns[address][c] = struct{}{}
	return c, nil
}

func (p *connPool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns[c.address], c)
	if len(p.conns[c.address]) == 0 {
		delete(p.conns, c.address)
	}
}

// dropIdle closes the idle connections to an upstream. If one connection stops responding,
// the others on the same network path are likely to be dead as well.
func (p *connPool) dropIdle(address string) {
	p.mu.Lock()
	var idle []*conn
	for c := range p.conns[address] {
		if c.idle() {
			idle = append(idle, c)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.seal()
	}
}

// sendTracker tracks whether any byte of one attempt may have been sent.
type sendTracker struct {
	mu   sync.Mutex
	uses []connUse
	// unknownConn is true if the attempt used a connection of an unknown type.
	unknownConn bool
	// onSent is Attempt.OnSent, and maySend is Attempt.MaySend.
	onSent  func()
	maySend func(again bool) bool
	// whole is true once the request was written completely to a connection.
	whole bool
	// refused is true once maySend has returned false.
	refused bool
	// abandoned is true once abandon has succeeded; connections that come later are not used.
	abandoned bool
	// written is closed when the writing of the request to the latest connection has ended, with writeErr.
	written  chan struct{}
	writeErr error
}

type connUse struct {
	conn *conn
	// writesBefore is the number of writes, and receivedBefore that of received bytes, before
	// the attempt used the connection.
	writesBefore   uint64
	receivedBefore int64
	// exchangesBefore is the number of exchanges on the connection before this one.
	exchangesBefore int
}

func (s *sendTracker) withTrace(ctx context.Context) context.Context {
	trace := &httptrace.ClientTrace{GotConn: s.gotConn, WroteRequest: func(info httptrace.WroteRequestInfo) {
		s.recordWritten(info.Err)
		if s.onSent != nil && !s.wasRefused() {
			s.onSent()
		}
	}}
	return httptrace.WithClientTrace(ctx, trace)
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		s.unknownConn = true
		return
	}
	if !s.refused && !s.abandoned && s.maySend != nil {
		s.refused = !s.maySend(s.wrote())
	}
	if s.abandoned || s.refused {
		c.seal()
	}
	s.written, s.writeErr = make(chan struct{}), nil
	writes, exchanges := c.use()
	s.uses = append(s.uses, connUse{conn: c, writesBefore: writes, receivedBefore: c.received.Load(), exchangesBefore: exchanges})
}

// recordWritten records the end of the writing of the request to the latest connection.
func (s *sendTracker) recordWritten(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.whole = s.whole || err == nil
	if s.written != nil {
		s.writeErr = err
		close(s.written)
		s.written = nil
	}
}

const (
	// writeEndPoll is the interval at which receivedWhole looks for bytes that the upstream has not acknowledged, and
	// writeEndTimeout how long it waits for the end of a write that no such byte holds up.
	writeEndPoll    = time.Millisecond
	writeEndTimeout = time.Second
)

// receivedWhole reports, after the end of the response, whether the kernel of the upstream has received the whole
// request. The goroutine that writes may record the end of its last write after the response has been read.
func (s *sendTracker) receivedWhole() bool {
	s.mu.Lock()
	written, uses := s.written, s.uses
	s.mu.Unlock()
	if len(uses) == 0 {
		return false
	}
	last := uses[len(uses)-1].conn
	if written != nil && !waitForWrite(written, last) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeErr == nil && !last.Pending()
}

// waitForWrite waits for the end of a write. It returns false if the upstream holds it up.
func waitForWrite(written <-chan struct{}, c *conn) bool {
	poll := time.NewTicker(writeEndPoll)
	defer poll.Stop()
	timeout := time.NewTimer(writeEndTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-written:
			return true
		case <-timeout.C:
			return false
		case <-poll.C:
			if c.Pending() {
				return false
			}
		}
	}
}

// sentWhole reports whether the request was written completely to a connection.
func (s *sendTracker) sentWhole() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.whole
}

// wasRefused reports whether Attempt.MaySend kept the attempt from a connection.
func (s *sendTracker) wasRefused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// recordKeepAlive records the idle timeout that the response states for its connection.
func (s *sendTracker) recordKeepAlive(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.uses) > 0 {
		s.uses[len(s.uses)-1].conn.recordKeepAlive(header)
	}
}

// recordNamed records that the response had the id of the request.
func (s *sendTracker) recordNamed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.uses) > 0 {
		s.uses[len(s.uses)-1].conn.recordNamed()
	}
}

// followsNamedOnly reports whether all earlier responses on the connection had the ids of their requests, so
// that a response without an id repeats none of them.
func (s *sendTracker) followsNamedOnly() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unknownConn || len(s.uses) == 0 {
		return false
	}
	last := s.uses[len(s.uses)-1]
	return last.conn.namedExchanges() == last.exchangesBefore
}

// received returns the number of bytes that the connection of the response has received since
// the attempt began.
func (s *sendTracker) received() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.uses) == 0 {
		return 0
	}
	last := s.uses[len(s.uses)-1]
	return last.conn.received.Load() - last.receivedBefore
}

// endedInsideLine reports whether the connection of the response ended inside a line of its head.
func (s *sendTracker) endedInsideLine() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.uses) > 0 && s.uses[len(s.uses)-1].conn.endedInsideLine()
}

// connectionEnded reports whether the connection of the response has ended.
func (s *sendTracker) connectionEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.uses) > 0 && s.uses[len(s.uses)-1].conn.hasEnded()
}

// unwritten reports whether no byte was written to the connection of the response since the attempt was
// assigned it.
func (s *sendTracker) unwritten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unknownConn || len(s.uses) == 0 {
		return false
	}
	last := s.uses[len(s.uses)-1]
	return last.conn.writeCount() == last.writesBefore
}

// sealAndCheckUnsent seals the connections and reports whether provably no byte was sent.
func (s *sendTracker) sealAndCheckUnsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unsent := !s.unknownConn
	for _, u := range s.uses {
		if u.conn.seal() != u.writesBefore {
			unsent = false
		}
	}
	return unsent
}

// abandon prevents the attempt from being sent and reports whether it has: provably no byte was sent so far, and
// none will be.
func (s *sendTracker) abandon() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unknownConn {
		return false
	}
	for _, u := range s.uses {
		if !u.conn.sealUnused(u.writesBefore) {
			return false
		}
	}
	s.abandoned = true
	return true
}

// wrote reports whether a byte may have been sent on one of the connections. The mutex must be held.
func (s *sendTracker) wrote() bool {
	for _, u := range s.uses {
		if u.conn.writeCount() != u.writesBefore {
			return true
		}
	}
	return s.unknownConn
}

// pending reports whether the upstream is known not to have acknowledged what was sent.
func (s *sendTracker) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unknownConn && len(s.uses) > 0 && s.uses[len(s.uses)-1].conn.Pending()
}

// unsent reports whether provably no byte was sent so far.
func (s *sendTracker) unsent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.wrote()
}

// resends returns how often net/http sent the request again by itself. It does so for a request
// that may be repeated if a pooled connection breaks before the response.
func (s *sendTracker) resends() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.uses[:max(len(s.uses)-1, 0)] {
		if u.conn.writeCount() != u.writesBefore {
			n++
		}
	}
	if s.refused {
		return max(n-1, 0)
	}
	return n
}

// seal seals the connections, so that no other attempt uses them.
func (s *sendTracker) seal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.uses {
		u.conn.seal()
	}
}

// release unregisters the attempt from its connections.
func (s *sendTracker) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.uses {
		u.conn.release()
	}
}
