package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// LoadOptions configure how a stand-in schedules requests and reports its load.
type LoadOptions struct {
	// LagMS is the delay of the load report, in milliseconds.
	LagMS int64 `json:"lag_ms"`
	// Slots is the maximum number of concurrent requests, others wait; 0 for no limit.
	Slots int `json:"slots"`
	// Outage makes the load report fail with status 503.
	Outage bool `json:"outage"`
}

// loadSample is the load since a point in time.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// scheduler limits the concurrent requests of a stand-in and keeps its recent load.
type scheduler struct {
	mu      sync.Mutex
	options LoadOptions
	current loadSample
	samples []loadSample
	freed   chan struct{}
}

// SetLoad replaces the options of scheduling and load report.
func (e *Engine) SetLoad(s LoadOptions) { e.scheduler.Set(s) }

// Set replaces the options.
func (l *scheduler) Set(s LoadOptions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.options = s
	l.wake()
}

// wake lets waiting requests check for a free slot. The caller holds the lock.
func (l *scheduler) wake() {
	if l.freed != nil {
		close(l.freed)
	}
	l.freed = make(chan struct{})
}

// change records a change of the load. The caller holds the lock.
func (l *scheduler) change(running, waiting int) {
	now := time.Now()
	l.current = loadSample{at: now, running: l.current.running + running, waiting: l.current.waiting + waiting}
	l.samples = append(l.samples, l.current)
	oldest := now.Add(-time.Duration(l.options.LagMS) * time.Millisecond)
	for len(l.samples) > 1 && l.samples[1].at.Before(oldest) {
		l.samples = l.samples[1:]
	}
}

// limit returns a handler that calls next once a slot is free.
func (l *scheduler) limit(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !l.acquire(r) {
			return
		}
		defer l.release()
		next(w, r)
	}
}

// acquire waits for a slot. It returns false if the caller disconnects first.
func (l *scheduler) acquire(r *http.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.change(0, 1)
	for l.options.Slots > 0 && l.current.running >= l.options.Slots {
		if l.freed == nil {
			l.freed = make(chan struct{})
		}
		freed := l.freed
		l.mu.Unlock()
		select {
		case <-freed:
		case <-r.Context().Done():
		}
		l.mu.Lock()
		if r.Context().Err() != nil {
			l.change(0, -1)
			return false
		}
	}
	l.change(1, -1)
	return true
}

func (l *scheduler) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.change(-1, 0)
	l.wake()
}

func (l *scheduler) running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.running
}

// reported returns the load as it was LagMS ago.
func (l *scheduler) reported(now time.Time) loadSample {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now.Add(-time.Duration(l.options.LagMS) * time.Millisecond)
	var sample loadSample
	for _, s := range l.samples {
		if s.at.After(at) {
			break
		}
		sample = s
	}
	return sample
}

func (l *scheduler) down() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.options.Outage
}

func (l *scheduler) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	if l.down() {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	sample := l.reported(time.Now())
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running %d\n"+
		"# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting %d\n", sample.running, sample.waiting)
}
