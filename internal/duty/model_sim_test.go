package duty

import (
	"container/heap"
	"errors"
	"iter"
	"math/rand/v2"
	"time"
)

// The model runs the holders, a store, an API and a minimal reporter in simulated time. Each loop of an
// instance is a coroutine that waits for a time or for the response to a call. A sequence depends only
// on its events and its seed.

// errKilled unwinds the coroutines of a killed process.
var errKilled = errors.New("the process was killed")

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is the simulated time with the events that are due.
type simulation struct {
	rng   *rand.Rand
	now   time.Duration
	queue eventQueue
	seq   int
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + max(d, 0), s.seq, do})
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// upTo returns a random time.
func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }

// coroutine is a loop of a process. It does not run while its process is frozen.
type coroutine struct {
	sim    *simulation
	frozen func() time.Duration
	next   func() (struct{}, bool)
	stop   func()
	yield  func(struct{}) bool
	// wait numbers the waits, so that an event wakes only the wait that it belongs to.
	wait int
	dead bool
}

func (s *simulation) start(frozen func() time.Duration, run func(*coroutine)) *coroutine {
	c := &coroutine{sim: s, frozen: frozen}
	c.next, c.stop = iter.Pull(func(yield func(struct{}) bool) {
		c.yield = yield
		defer func() {
			if r := recover(); r != nil && r != errKilled {
				panic(r)
			}
		}()
		run(c)
	})
	first := c.wait
	s.after(0, func() { c.wake(first) })
	return c
}

// wake continues the coroutine if it still is in the given wait, at the earliest when its process
// is not frozen.
func (c *coroutine) wake(wait int) {
	if c.dead || wait != c.wait {
		return
	}
	if until := c.frozen(); c.sim.now < until {
		c.sim.after(until-c.sim.now, func() { c.wake(wait) })
		return
	}
	c.wait++
	c.next()
}

// block waits until one of the wakers of this wait is called, at most for limit.
func (c *coroutine) block(limit time.Duration) {
	wait := c.wait
	c.sim.after(limit, func() { c.wake(wait) })
	if !c.yield(struct{}{}) {
		panic(errKilled)
	}
}

// waker returns a function that ends the next block of the coroutine.
func (c *coroutine) waker() func() {
	wait := c.wait
	return func() { c.sim.after(0, func() { c.wake(wait) }) }
}

func (c *coroutine) kill() {
	c.dead = true
	c.stop()
}
