package admission

import (
	"context"
	"errors"
	"sync"
)

// ErrOverloaded reports that a request was rejected because too many requests are running
// and waiting.
var ErrOverloaded = errors.New("too many requests are running and waiting")

// Limits bounds the concurrent requests of an instance.
type Limits struct {
	// MaxRunning is the maximum number of requests that run concurrently.
	MaxRunning int
	// MaxWaiting is the maximum number of requests that wait for a running one to end.
	MaxWaiting int
}

// DefaultLimits returns the limits of an entry instance. 67,000 requests/s over 920
// instances with a mean duration of 10 s are about 730 concurrent requests per instance.
func DefaultLimits() Limits { return Limits{MaxRunning: 2048, MaxWaiting: 256} }

// Limiter limits the number of concurrent requests. Waiting requests are admitted round-robin
// by client account, so that an account with many requests does not starve the others. It
// is safe for concurrent use.
type Limiter struct {
	limits Limits

	mu      sync.Mutex
	running int
	waiting int
	queues  map[string][]chan bool
	// rotation lists the accounts with waiting requests in the order in which they are
	// served.
	rotation []string
}

// NewLimiter returns a Gate without any requests.
func NewLimiter(limits Limits) *Limiter {
	return &Limiter{limits: limits, queues: map[string][]chan bool{}}
}

// Acquire waits until the request may run. It returns ErrOverloaded if the queue is
// full or ctx ends first. After success the caller must call Leave once.
func (g *Limiter) Acquire(ctx context.Context, account string) error {
	decision, err := g.tryEnter(account)
	if err != nil || decision == nil {
		return err
	}
	select {
	case admitted := <-decision:
		return errorUnlessAdmitted(admitted)
	case <-ctx.Done():
	}
	if g.cancelWait(account, decision) {
		return ErrOverloaded
	}
	return errorUnlessAdmitted(<-decision)
}

func errorUnlessAdmitted(admitted bool) error {
	if admitted {
		return nil
	}
	return ErrOverloaded
}

// tryEnter returns nil if the request may run immediately, or else a channel that receives
// whether the request is admitted.
func (g *Limiter) tryEnter(account string) (chan bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running < g.limits.MaxRunning {
		g.running++
		return nil, nil
	}
	if g.waiting >= g.limits.MaxWaiting && !g.displaceLongest(account) {
		return nil, ErrOverloaded
	}
	decision := make(chan bool, 1)
	if len(g.queues[account]) == 0 {
		g.rotation = append(g.rotation, account)
	}
	g.queues[account] = append(g.queues[account], decision)
	g.waiting++
	return decision, nil
}

// displaceLongest rejects the latest request of the account with the longest queue, if that
// queue remains at least as long as the queue of account including its new request. It
// reports whether it did.
func (g *Limiter) displaceLongest(account string) bool {
	longest := ""
	for name, queue := range g.queues {
		if len(queue) > len(g.queues[longest]) {
			longest = name
		}
	}
	queue := g.queues[longest]
	if len(queue) <= len(g.queues[account])+1 {
		return false
	}
	last := len(queue) - 1
	queue[last] <- false
	g.queues[longest] = queue[:last]
	g.waiting--
	return true
}

// cancelWait removes a waiting request and reports whether it was still waiting.
func (g *Limiter) cancelWait(account string, decision chan bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	queue := g.queues[account]
	for i, waiting := range queue {
		if waiting == decision {
			g.setQueue(account, append(queue[:i:i], queue[i+1:]...))
			g.waiting--
			return true
		}
	}
	return false
}

// Release ends a running request and admits the next waiting one.
func (g *Limiter) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.rotation) == 0 {
		g.running--
		return
	}
	account := g.rotation[0]
	g.rotation = g.rotation[1:]
	queue := g.queues[account]
	queue[0] <- true
	g.waiting--
	if len(queue) == 1 {
		delete(g.queues, account)
		return
	}
	g.queues[account] = queue[1:]
	g.rotation = append(g.rotation, account)
}

func (g *Limiter) setQueue(account string, queue []chan bool) {
	if len(queue) > 0 {
		g.queues[account] = queue
		return
	}
	delete(g.queues, account)
	for i, name := range g.rotation {
		if name == account {
			g.rotation = append(g.rotation[:i:i], g.rotation[i+1:]...)
			return
		}
	}
}
