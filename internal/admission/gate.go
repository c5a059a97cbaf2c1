package admission

import (
	"context"
	"errors"
	"sync"
)

// ErrOverloaded reports that a request was not let in because too many run and wait.
var ErrOverloaded = errors.New("too many requests run and wait")

// GateLimits bound the requests of an instance.
type GateLimits struct {
	// Running is the number of requests that run at the same time.
	Running int
	// Waiting is the number of requests that wait for a running one to end.
	Waiting int
}

// DefaultGateLimits returns the limits of an entry instance. 67,000 requests/s over
// 920 instances with a mean of 10 s each are about 730 at a time.
func DefaultGateLimits() GateLimits { return GateLimits{Running: 2048, Waiting: 256} }

// Gate bounds the requests that run at the same time. Above the bound, client
// accounts take turns, so that one that sends much does not hold up the others. It
// is safe for concurrent use.
type Gate struct {
	limits GateLimits

	mu      sync.Mutex
	running int
	waiting int
	queues  map[string][]chan bool
	// turns lists the accounts that have waiting requests, the next one first.
	turns []string
}

// NewGate returns an empty gate.
func NewGate(limits GateLimits) *Gate {
	return &Gate{limits: limits, queues: map[string][]chan bool{}}
}

// Enter waits until the request may run. It returns ErrOverloaded if the queue is
// full or ctx ends first. After success the caller must call Leave once.
func (g *Gate) Enter(ctx context.Context, account string) error {
	turn, err := g.enter(account)
	if err != nil || turn == nil {
		return err
	}
	select {
	case admitted := <-turn:
		return orOverloaded(admitted)
	case <-ctx.Done():
	}
	if g.withdraw(account, turn) {
		return ErrOverloaded
	}
	return orOverloaded(<-turn)
}

func orOverloaded(admitted bool) error {
	if admitted {
		return nil
	}
	return ErrOverloaded
}

// enter returns nil if the request may run at once, or else the channel that tells
// whether it may run.
func (g *Gate) enter(account string) (chan bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running < g.limits.Running {
		g.running++
		return nil, nil
	}
	if g.waiting >= g.limits.Waiting && !g.displace(account) {
		return nil, ErrOverloaded
	}
	turn := make(chan bool, 1)
	if len(g.queues[account]) == 0 {
		g.turns = append(g.turns, account)
	}
	g.queues[account] = append(g.queues[account], turn)
	g.waiting++
	return turn, nil
}

// displace refuses the latest request of the account with the longest queue, if
// that queue stays no shorter than the one of account.
func (g *Gate) displace(account string) bool {
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

// withdraw removes a waiting request and reports whether it still waited.
func (g *Gate) withdraw(account string, turn chan bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	queue := g.queues[account]
	for i, waiting := range queue {
		if waiting == turn {
			g.setQueue(account, append(queue[:i:i], queue[i+1:]...))
			g.waiting--
			return true
		}
	}
	return false
}

// Leave ends a running request and lets the next one in.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.turns) == 0 {
		g.running--
		return
	}
	account := g.turns[0]
	g.turns = g.turns[1:]
	queue := g.queues[account]
	queue[0] <- true
	g.waiting--
	if len(queue) == 1 {
		delete(g.queues, account)
		return
	}
	g.queues[account] = queue[1:]
	g.turns = append(g.turns, account)
}

func (g *Gate) setQueue(account string, queue []chan bool) {
	if len(queue) > 0 {
		g.queues[account] = queue
		return
	}
	delete(g.queues, account)
	for i, name := range g.turns {
		if name == account {
			g.turns = append(g.turns[:i:i], g.turns[i+1:]...)
			return
		}
	}
}
