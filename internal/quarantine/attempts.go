package quarantine

import (
	"sync"
	"time"
)

const (
	// silentPeriod is how long an upstream that is no longer listed must have sent nothing before
	// it counts as ended. One that leaves in order completes its requests in the meantime.
	silentPeriod = 2 * time.Second
	// survivalPeriod is the time after the end of an attempt at which an upstream that still
	// responds has survived it.
	survivalPeriod = time.Second
	// abandonedRetention is how long an abandoned attempt is kept. The row of an upstream that
	// fell silent disappears within it.
	abandonedRetention = 10 * time.Second
	// maxAbandoned bounds the number of abandoned attempts that are kept.
	maxAbandoned = 2048
)

// Process identifies one process of an upstream.
type Process struct {
	Upstream string
	Address  string
	// StartedAt is the start of the process in Unix milliseconds; 0 if not known.
	StartedAt int64
}

// Attempts tracks the attempts of one instance that have no complete response, and finds those
// during which the upstream ended without closing the connection. That an upstream ended is
// known from the instance list, which names another process or none; silence alone proves
// nothing. It is safe for concurrent use, and times are passed in.
type Attempts struct {
	mu sync.Mutex
	// open holds the attempts that run or were abandoned, abandoned the number of the latter.
	open      map[*Attempt]struct{}
	abandoned int
	// lastResponse is when each process last sent a part of a response.
	lastResponse map[Process]time.Time
}

// Attempt is one attempt of a request on an upstream.
type Attempt struct {
	owner       *Attempts
	process     Process
	fingerprint func() Fingerprint
	began       time.Time
	// abandonedAt is when the attempt ended without a response; zero while it runs.
	abandonedAt time.Time
	// draining is true if the upstream announced that it leaves.
	draining bool
}

// NewAttempts returns a tracker without attempts.
func NewAttempts() *Attempts {
	return &Attempts{open: map[*Attempt]struct{}{}, lastResponse: map[Process]time.Time{}}
}

// Begin records the start of an attempt. fingerprint is called only if it is needed.
func (t *Attempts) Begin(now time.Time, p Process, fingerprint func() Fingerprint) *Attempt {
	a := &Attempt{owner: t, process: p, fingerprint: fingerprint, began: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[a] = struct{}{}
	return a
}

// Progress records that the upstream sent a part of the response.
func (a *Attempt) Progress(now time.Time) {
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	a.owner.lastResponse[a.process] = now
}

// Finish records that the attempt ended and that its end shows what became of it.
func (a *Attempt) Finish() {
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	a.owner.remove(a)
}

// Abandon records that the attempt was given up while the upstream may have been executing the
// request.
func (a *Attempt) Abandon(now time.Time) {
	t := a.owner
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.open[a]; !open {
		return
	}
	if t.abandoned >= maxAbandoned {
		t.remove(a)
		return
	}
	// The closure would keep the request and its body in memory.
	value := a.fingerprint()
	a.fingerprint = func() Fingerprint { return value }
	a.abandonedAt = now
	t.abandoned++
}

func (t *Attempts) remove(a *Attempt) {
	if _, open := t.open[a]; !open {
		return
	}
	delete(t.open, a)
	if !a.abandonedAt.IsZero() {
		t.abandoned--
	}
}

// Sweep returns the crashes that the current instance list reveals. The map holds the listed
// processes and whether each of them is draining. Each attempt is returned at most once.
func (t *Attempts) Sweep(now time.Time, listed map[Process]bool) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var crashes []Crash
	for a := range t.open {
		draining, present := listed[a.process]
		a.draining = a.draining || draining
		switch {
		case a.draining || t.survived(a, now, present):
			if !a.abandonedAt.IsZero() {
				t.remove(a)
			}
		case !present && t.silent(a, now):
			t.remove(a)
			crashes = append(crashes, Crash{
				Fingerprint: a.fingerprint(), Upstream: a.process.Upstream, StartedAt: a.process.StartedAt, SeenAt: now.UnixNano(),
			})
		}
	}
	t.forgetProcesses(now, listed)
	return crashes
}

// survived reports whether an abandoned attempt did not end its upstream: the upstream responded
// to others later, or is still listed after the retention.
func (t *Attempts) survived(a *Attempt, now time.Time, present bool) bool {
	if a.abandonedAt.IsZero() {
		return false
	}
	if t.lastResponse[a.process].Sub(a.abandonedAt) >= survivalPeriod {
		return true
	}
	return present && now.Sub(a.abandonedAt) >= abandonedRetention
}

// silent reports whether the upstream has sent nothing for silentPeriod since the attempt began
// or was abandoned.
func (t *Attempts) silent(a *Attempt, now time.Time) bool {
	since := a.began
	for _, at := range []time.Time{a.abandonedAt, t.lastResponse[a.process]} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since) >= silentPeriod
}

// forgetProcesses drops the times of processes that are gone.
func (t *Attempts) forgetProcesses(now time.Time, listed map[Process]bool) {
	for p, at := range t.lastResponse {
		if _, present := listed[p]; !present && now.Sub(at) >= abandonedRetention {
			delete(t.lastResponse, p)
		}
	}
}
