// Package intake bounds what an instance holds for requests that arrive: the memory for their heads and bodies, and
// the connections that carry them.
//
// When a bound is reached, work that makes no progress yields to work that does: connections that wait for a request
// and requests that have not arrived whole, the one that has been without progress for longest first. A request that
// has arrived whole never yields. What the callers that are let go are told is decided by the packages that serve them.
package intake

import (
	"container/list"
	"sync"
	"time"
)

const (
	// StallTime is the time without progress after which an unfinished request also yields to large ones.
	StallTime = 500 * time.Millisecond
	// SmallBytes is the size up to which a request may take from the reserve, and up to which unfinished requests
	// yield to it whether they progress or not.
	SmallBytes = 128 << 10
	// reserveDivisor is the fraction of the budget, as a divisor, that only small requests may use.
	reserveDivisor = 16
	// yieldTimeout bounds the wait for memory of requests that yield. They do so as soon as they run.
	yieldTimeout = time.Second
)

// Budget is the memory for requests that arrive. A nil *Budget has no bound.
type Budget struct {
	limit int64
	// copying is held while a body is copied, so that no more than one is held twice.
	copying sync.Mutex

	mu   sync.Mutex
	used int64
	// yielding is the part of used whose holders were told to release it.
	yielding int64
	// unfinished are the shares of requests that have not arrived whole, and idle those of connections that wait for a
	// request; both begin with the one without progress for longest.
	unfinished, idle list.List
	// released is closed and replaced when memory is released or a share has to yield.
	released chan struct{}
	// waiting is the number of requests that wait for it.
	waiting int
	counts  Counts
	now     func() time.Time
}

// Counts are what a budget has done since the start of the process.
type Counts struct {
	// Refused is the number of requests that found no memory, and Yielded that of unfinished requests that gave up
	// theirs, or their connection, for others.
	Refused, Yielded int
	// ConnectionsRefused is the number of connections that were closed when they were opened, ConnectionsYielded that
	// of idle ones that were closed for others, and ConnectionsExpired that of those that were idle, or sent the head
	// of a request, for too long.
	ConnectionsRefused, ConnectionsYielded, ConnectionsExpired int
}

// LetGo returns the number of callers that were let go because memory or descriptors were used up.
func (c Counts) LetGo() int {
	return c.Refused + c.Yielded + c.ConnectionsRefused + c.ConnectionsYielded
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, released: make(chan struct{}), now: time.Now}
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Counts returns the counts since the start.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Share is the memory of one request. A nil *Share has no bound. Its methods are safe for concurrent use.
type Share struct {
	budget *Budget
	// yield makes the holder call Release soon. It is called at most once, while the budget is locked.
	yield func()
	held  int64
	// conn is the connection that ends when the share yields; nil for none.
	conn *Conn
	// queue is the list that holds element; both are nil while the share does not yield.
	queue    *list.List
	element  *list.Element
	progress time.Time
	yielded  bool
}

// NewShare returns the share of a request that has not arrived whole. conn is the connection that the request has for
// itself; nil for none. yield must make the holder release the share, and end the connection, soon; it must neither
// block nor call the share.
func (b *Budget) NewShare(conn *Conn, yield func()) *Share {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &Share{budget: b, conn: conn, yield: yield}
	s.enqueue(&b.unfinished)
	return s
}

// enqueue puts the share at the end of a queue.
func (s *Share) enqueue(queue *list.List) {
	s.dequeue()
	s.queue, s.element = queue, queue.PushBack(s)
	s.progress = s.budget.now()
}

// dequeue makes the share one that does not yield.
func (s *Share) dequeue() {
	if s.element != nil {
		s.queue.Remove(s.element)
		s.queue, s.element = nil, nil
	}
}

// Grow adds n bytes to the share and reports whether the request may hold them. It waits for other requests to yield
// where that makes room.
func (s *Share) Grow(n int64) bool {
	if s == nil || n == 0 {
		return true
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	var timeout <-chan time.Time
	for {
		if s.yielded {
			return false
		}
		limit := b.limitOf(s.held + n)
		if b.used+n <= limit {
			b.used += n
			s.held += n
			return true
		}
		if b.used-b.yielding+n > limit {
			if !b.makeYield(s, n) {
				b.counts.Refused++
				return false
			}
			continue
		}
		if timeout == nil {
			timer := time.NewTimer(yieldTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		if !b.waitForRelease(timeout) {
			b.counts.Refused++
			return false
		}
	}
}

// limitOf returns the part of the budget that a request of size bytes may use.
func (b *Budget) limitOf(size int64) int64 {
	if size <= SmallBytes {
		return b.limit
	}
	return b.limit - b.limit/reserveDivisor
}

// makeYield tells one request or connection to release its memory, so that s may grow by n bytes. It reports whether
// there was one.
func (b *Budget) makeYield(s *Share, n int64) bool {
	stalledSince := b.now()
	if s.held+n > SmallBytes {
		stalledSince = stalledSince.Add(-StallTime)
	}
	for _, queue := range []*list.List{&b.unfinished, &b.idle} {
		for e := queue.Front(); e != nil; e = e.Next() {
			v := e.Value.(*Share)
			if v.progress.After(stalledSince) {
				break
			}
			if v != s && v.held > 0 {
				b.takeBack(v)
				return true
			}
		}
	}
	return false
}

// takeBack tells the holder of a share to release it.
func (b *Budget) takeBack(v *Share) {
	if v.queue == &b.unfinished {
		b.counts.Yielded++
	} else {
		b.counts.ConnectionsYielded++
	}
	b.end(v)
}

// end makes the holder of a share release it.
func (b *Budget) end(v *Share) {
	v.dequeue()
	v.yielded = true
	b.yielding += v.held
	if v.conn != nil {
		v.conn.setYielding(true)
	}
	v.yield()
	b.signal()
}

// waitForRelease waits until memory is released. It reports false after the timeout.
func (b *Budget) waitForRelease(timeout <-chan time.Time) bool {
	released := b.released
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
	}()
	select {
	case <-released:
		return true
	case <-timeout:
		return false
	}
}

// signal wakes the requests that wait.
func (b *Budget) signal() {
	if b.waiting == 0 {
		return
	}
	close(b.released)
	b.released = make(chan struct{})
}

// Progress records that a part of the request has arrived.
func (s *Share) Progress() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.element != nil {
		s.enqueue(s.queue)
	}
}

// connection returns the connection that the request has for itself; nil for none.
func (s *Share) connection() *Conn {
	if s == nil {
		return nil
	}
	return s.conn
}

// Complete records that the request has arrived whole, and reports whether it keeps its memory. From then on it does
// not yield.
func (s *Share) Complete() bool {
	if s == nil {
		return true
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.dequeue()
	return !s.yielded
}

// Yielded reports whether the share was told to release its memory.
func (s *Share) Yielded() bool {
	if s == nil {
		return false
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.yielded
}

// lockCopies waits until no other body is copied, and returns the function that ends the copy of this one.
func (s *Share) lockCopies() func() {
	if s == nil {
		return func() {}
	}
	s.budget.copying.Lock()
	return s.budget.copying.Unlock
}

// Shrink returns n bytes of the share.
func (s *Share) Shrink(n int64) {
	if s == nil || n == 0 {
		return
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	s.shrink(n)
}

func (s *Share) shrink(n int64) {
	b := s.budget
	s.held -= n
	b.used -= n
	if s.yielded {
		b.yielding -= n
	}
	b.signal()
}

// Release returns all bytes of the share, which must not be used afterwards.
func (s *Share) Release() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.dequeue()
	s.shrink(s.held)
}
