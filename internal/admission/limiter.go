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

// NewLimiter returns a Limiter without any requests.
func NewLimiter(limits Limits) *Limiter {
	return &Limiter{limits: limits, queues: map[string][]chan bool{}}
}

// Acquire waits until the request may run. It returns ErrOverloaded if the queue is
// full or ctx ends first. After success the caller must call Release once.
func (l *Limiter) Acquire(ctx context.Context, account string) error {
	decision, err := l.tryAcquire(account)
	if err != nil || decision == nil {
		return err
	}
	select {
	case admitted := <-decision:
		return errorUnlessAdmitted(admitted)
	case <-ctx.Done():
	}
	if l.cancelWait(account, decision) {
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

// tryAcquire returns nil if the request may run immediately, or else a channel that receives
// whether the request is admitted.
func (l *Limiter) tryAcquire(account string) (chan bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running < l.limits.MaxRunning {
		l.running++
		return nil, nil
	}
	if l.waiting >= l.limits.MaxWaiting && !l.displaceLongest(account) {
		return nil, ErrOverloaded
	}
	decision := make(chan bool, 1)
	if len(l.queues[account]) == 0 {
		l.rotation = append(l.rotation, account)
	}
	l.queues[account] = append(l.queues[account], decision)
	l.waiting++
	return decision, nil
}

// displaceLongest rejects the latest request of the account with the longest queue, if that
// queue remains at least as long as the queue of account including its new request. It
// reports whether it did.
func (l *Limiter) displaceLongest(account string) bool {
	longest := ""
	for name, queue := range l.queues {
		if len(queue) > len(l.queues[longest]) {
			longest = name
		}
	}
	queue := l.queues[longest]
	if len(queue) <= len(l.queues[account])+1 {
		return false
	}
	last := len(queue) - 1
	queue[last] <- false
	l.queues[longest] = queue[:last]
	l.waiting--
	return true
}

// cancelWait removes a waiting request and reports whether it was still waiting.
func (l *Limiter) cancelWait(account string, decision chan bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queues[account]
	for i, waiting := range queue {
		if waiting == decision {
			l.setQueue(account, append(queue[:i:i], queue[i+1:]...))
			l.waiting--
			return true
		}
	}
	return false
}

// Release ends a running request and admits the next waiting one.
func (l *Limiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.rotation) == 0 {
		l.running--
		return
	}
	account := l.rotation[0]
	l.rotation = l.rotation[1:]
	queue := l.queues[account]
	queue[0] <- true
	l.waiting--
	if len(queue) == 1 {
		delete(l.queues, account)
		return
	}
	l.queues[account] = queue[1:]
	l.rotation = append(l.rotation, account)
}

func (l *Limiter) setQueue(account string, queue []chan bool) {
	if len(queue) > 0 {
		l.queues[account] = queue
		return
	}
	delete(l.queues, account)
	for i, name := range l.rotation {
		if name == account {
			l.rotation = append(l.rotation[:i:i], l.rotation[i+1:]...)
			return
		}
	}
}
