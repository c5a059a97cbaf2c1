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

// Completions remembers when requests, or requests with a part in their prompt, recently got their
// complete response. A request that
// crashes every upstream which runs it completes nowhere; one that does is sent often and was
// in flight by chance when upstreams crashed. It is safe for concurrent use.
type Completions struct {
	mu                sync.Mutex
	current, previous map[Fingerprint]time.Time
	rotated           time.Time
}

// NewCompletions returns an empty memory.
func NewCompletions() *Completions { return &Completions{current: map[Fingerprint]time.Time{}} }

// Add records a completion.
func (c *Completions) Add(now time.Time, f Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	if _, known := c.current[f]; known || len(c.current) < maxCompletions {
		c.current[f] = now
	}
}

// Has reports whether the request completed recently.
func (c *Completions) Has(now time.Time, f Fingerprint) bool {
	_, known := c.Last(now, f)
	return known
}

// Last returns when the request last completed; known is false if it did not recently.
func (c *Completions) Last(now time.Time, f Fingerprint) (at time.Time, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	if at, known = c.current[f]; !known {
		at, known = c.previous[f]
	}
	return at, known
}

// NotRecent returns the parts that did not complete within completionGrace.
func (c *Completions) NotRecent(now time.Time, parts []Fingerprint) (notRecent []Fingerprint) {
	for _, part := range parts {
		if at, known := c.Last(now, part); !known || now.Sub(at) > completionGrace {
			notRecent = append(notRecent, part)
		}
	}
	return notRecent
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
	c.current, c.rotated = map[Fingerprint]time.Time{}, now
}
