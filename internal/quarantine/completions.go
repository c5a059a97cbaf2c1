package quarantine

import (
	"sync"
	"time"
)

const (
	// completionPeriod is how long a completion is remembered at least; it is forgotten after
	// twice that time. It covers the detection of an upstream that ended silently.
	completionPeriod = 8 * time.Second
	// maxCompletions bounds the completions that are remembered in one period.
	maxCompletions = 4096
)

// Completions remembers which requests recently got their complete response. A request that
// crashes every upstream which runs it completes nowhere; one that does is sent often and was
// in flight by chance when upstreams crashed. It is safe for concurrent use.
type Completions struct {
	mu                sync.Mutex
	current, previous map[Fingerprint]struct{}
	rotated           time.Time
}

// NewCompletions returns an empty memory.
func NewCompletions() *Completions { return &Completions{current: map[Fingerprint]struct{}{}} }

// Add records a completion.
func (c *Completions) Add(now time.Time, f Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	if len(c.current) < maxCompletions {
		c.current[f] = struct{}{}
	}
}

// Has reports whether the request completed recently.
func (c *Completions) Has(now time.Time, f Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	_, current := c.current[f]
	_, previous := c.previous[f]
	return current || previous
}

func (c *Completions) rotate(now time.Time) {
	age := now.Sub(c.rotated)
	if age < completionPeriod {
		return
	}
	c.previous = nil
	if age < 2*completionPeriod {
		c.previous = c.current
	}
	c.current, c.rotated = map[Fingerprint]struct{}{}, now
}
