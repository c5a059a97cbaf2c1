package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// LoadSwitches set how an engine schedules requests and reports its load.
type LoadSwitches struct {
	// LagMS is how late the report shows the load, in milliseconds.
	LagMS int64 `json:"lag_ms"`
	// Slots is the number of requests that run at once, others wait; 0 for no limit.
	Slots int `json:"slots"`
	// Outage refuses the report.
	Outage bool `json:"outage"`
}

// loadSample is the load from a point in time on.
type loadSample struct {
	at               time.Time
	running, waiting int
}

// loadHistory schedules the requests of an engine and keeps its recent load.
type loadHistory struct {
	mu       sync.Mutex
	switches LoadSwitches
	now      loadSample
	samples  []loadSample
	freed    chan struct{}
}

// SetLoad replaces the switches of scheduling and load report.
func (e *Engine) SetLoad(s LoadSwitches) { e.load.Set(s) }

// Set replaces the switches.
func (l *loadHistory) Set(s LoadSwitches) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.switches = s
	l.wake()
}

// wake lets waiting requests check for a free slot. The lock is held.
func (l *loadHistory) wake() {
	if l.freed != nil {
		close(l.freed)
	}
	l.freed = make(chan struct{})
}

// change records a change of the load. The lock is held.
func (l *loadHistory) change(running, waiting int) {
	now := time.Now()
	l.now = loadSample{at: now, running: l.now.running + running, waiting: l.now.waiting + waiting}
	l.samples = append(l.samples, l.now)
	oldest := now.Add(-time.Duration(l.switches.LagMS) * time.Millisecond)
	for len(l.samples) > 1 && l.samples[1].at.Before(oldest) {
		l.samples = l.samples[1:]
	}
}

// scheduled runs a request once a slot is free.
func (l *loadHistory) scheduled(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !l.enter(r) {
			return
		}
		defer l.leave()
		next(w, r)
	}
}

// enter waits for a slot. It returns false if the caller went away first.
func (l *loadHistory) enter(r *http.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.change(0, 1)
	for l.switches.Slots > 0 && l.now.running >= l.switches.Slots {
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

func (l *loadHistory) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.change(-1, 0)
	l.wake()
}

func (l *loadHistory) running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now.running
}

// reported returns the load as it was LagMS ago.
func (l *loadHistory) reported(now time.Time) loadSample {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now.Add(-time.Duration(l.switches.LagMS) * time.Millisecond)
	var sample loadSample
	for _, s := range l.samples {
		if s.at.After(at) {
			break
		}
		sample = s
	}
	return sample
}

func (l *loadHistory) down() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.switches.Outage
}

func (l *loadHistory) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	if l.down() {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	sample := l.reported(time.Now())
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running %d\n"+
		"# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting %d\n", sample.running, sample.waiting)
}
