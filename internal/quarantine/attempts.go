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
	// restartPeriod is the least time in which an upstream that ended is started again under its id.
	restartPeriod = 2 * time.Second
	// breakPeriod is how long an upstream must have sent nothing after a connection broke. It sends
	// something within it if only that connection was reset.
	breakPeriod = 500 * time.Millisecond
	// abandonedRetention is how long an abandoned attempt is kept. The row of an upstream that
	// fell silent disappears within it.
	abandonedRetention = 10 * time.Second
	// unresponsivePeriod is how long a process with requests may send nothing before requests
	// that are sent to it later are not held responsible for its end.
	unresponsivePeriod = 500 * time.Millisecond
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

// Attempts tracks the attempts of one instance whose end does not show what became of the upstream, and
// finds those during which it ended: attempts without a complete response, and those whose response
// ended with the connection. That an upstream ended is known from the instance list, which names
// another process or none; silence alone proves nothing. It is safe for concurrent use, and times are passed in.
type Attempts struct {
	mu sync.Mutex
	// open holds the attempts that run or were abandoned, abandoned the number of the latter.
	open      map[*Attempt]struct{}
	abandoned int
	processes map[Process]*processState
}

// processState is what the attempts on a process tell about it.
type processState struct {
	running int
	// lastResponse is when the process last sent a part of a response, and lastEnd when the last
	// attempt ended.
	lastResponse, lastEnd time.Time
	// lastBreak is when a connection with a request last broke.
	lastBreak time.Time
	// waitingSince is when the first attempt since lastResponse began; zero if there is none.
	waitingSince time.Time
}

// begin records the start of an attempt and reports whether the process is unresponsive.
func (p *processState) begin(now time.Time) bool {
	idle := p.running == 0 && now.Sub(p.lastEnd) >= silentPeriod
	if p.waitingSince.IsZero() || idle {
		p.waitingSince = now
	}
	p.running++
	return now.Sub(p.waitingSince) >= unresponsivePeriod
}

func (p *processState) respond(now time.Time) { p.lastResponse, p.waitingSince = now, time.Time{} }

func (p *processState) end(now time.Time) {
	p.running--
	p.lastEnd = now
}

// Completion is a response that ended with its connection and turned out to be complete.
type Completion struct {
	Subject
	Status int
}

// Attempt is one attempt of a request on an upstream.
type Attempt struct {
	owner   *Attempts
	process Process
	subject func() Subject
	began   time.Time
	// abandonedAt is when the attempt ended without a response that proves that the upstream lived on;
	// zero while it runs.
	abandonedAt time.Time
	// draining is true if the upstream announced that it leaves.
	draining bool
	// late is true if the process was unresponsive when the attempt began.
	late bool
	// unproven is true if the response ended with its connection, as it also does if the upstream ended.
	unproven bool
	// status is that of the delivered unproven response; 0 if none was delivered.
	status int16
}

// NewAttempts returns a tracker without attempts.
func NewAttempts() *Attempts {
	return &Attempts{open: map[*Attempt]struct{}{}, processes: map[Process]*processState{}}
}

// Begin records the start of an attempt. subject is called only if it is needed.
func (t *Attempts) Begin(now time.Time, p Process, subject func() Subject) *Attempt {
	a := &Attempt{owner: t, process: p, subject: subject, began: now}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.processes[p] == nil {
		t.processes[p] = &processState{}
	}
	a.late = t.processes[p].begin(now)
	t.open[a] = struct{}{}
	return a
}

// Progress records that the upstream sent a part of the response.
func (a *Attempt) Progress(now time.Time) {
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	a.owner.state(a.process).respond(now)
}

// Finish records that the attempt ended and that its end shows what became of it.
func (a *Attempt) Finish(now time.Time) {
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	a.owner.state(a.process).end(now)
	delete(a.owner.open, a)
}

// Break records that the attempt ended because its connection broke.
func (a *Attempt) Break(now time.Time) {
	a.Finish(now)
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	a.owner.state(a.process).lastBreak = now
}

// FinishUnproven records that the response of the attempt ended with its connection. Sweep tells later
// whether the upstream ended with it. status is that of the response; 0 if it was not delivered.
func (a *Attempt) FinishUnproven(now time.Time, status int) {
	a.Abandon(now)
	a.owner.mu.Lock()
	defer a.owner.mu.Unlock()
	a.unproven, a.status = true, int16(status)
}

// Abandon records that the attempt was given up while the upstream may have been executing the
// request.
func (a *Attempt) Abandon(now time.Time) {
	t := a.owner
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(a.process).end(now)
	if _, open := t.open[a]; !open {
		return
	}
	if t.abandoned >= maxAbandoned {
		delete(t.open, a)
		return
	}
	// The closure would keep the request and its body in memory.
	value := a.subject()
	a.subject = func() Subject { return value }
	a.abandonedAt = now
	t.abandoned++
}

// state returns the state of a process, a fresh one if it was forgotten.
func (t *Attempts) state(p Process) *processState {
	if s, ok := t.processes[p]; ok {
		return s
	}
	return &processState{}
}

func (t *Attempts) remove(a *Attempt) {
	delete(t.open, a)
	if !a.abandonedAt.IsZero() {
		t.abandoned--
	}
}

// Sweep returns the crashes that the current instance list, and the responses and broken connections
// since the last call, reveal, and the unproven responses that turned out to be complete. The
// map holds the listed processes and whether each of them is draining. Each attempt is returned at
// most once.
func (t *Attempts) Sweep(now time.Time, listed map[Process]bool) (crashes []Crash, completed []Completion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a := range t.open {
		draining, present := listed[a.process]
		a.draining = a.draining || draining
		switch {
		case a.unproven && t.answeredLater(a):
			t.remove(a)
			if a.status != 0 {
				completed = append(completed, Completion{a.subject(), int(a.status)})
			}
		case a.draining || t.survived(a, now, present):
			if !a.abandonedAt.IsZero() {
				t.remove(a)
			}
		case a.unproven && t.broke(a, now), !present && t.silent(a, now):
			t.remove(a)
			if !a.late {
				crashes = append(crashes, t.crash(a))
			}
		}
	}
	t.forgetProcesses(now, listed)
	return crashes, completed
}

// crash returns the report of a crash under the attempt.
func (t *Attempts) crash(a *Attempt) Crash {
	subject := a.subject()
	return Crash{
		Fingerprint: subject.Request, AtService: subject.AtService, AtHost: subject.AtHost, Parts: subject.Parts,
		Upstream: a.process.Upstream, StartedAt: a.process.StartedAt, SeenAt: t.lastSign(a).UnixNano(),
	}
}

// answeredLater reports whether the upstream responded to others so soon after the end of the attempt
// that it cannot have been started again in between.
func (t *Attempts) answeredLater(a *Attempt) bool {
	since := t.state(a.process).lastResponse.Sub(a.abandonedAt)
	return since >= survivalPeriod && since < restartPeriod
}

// broke reports whether a connection of another attempt broke when this one ended, and the upstream
// has not responded since.
func (t *Attempts) broke(a *Attempt, now time.Time) bool {
	p := t.state(a.process)
	return p.lastBreak.Sub(a.abandonedAt).Abs() < sameCause && now.Sub(p.lastBreak) >= breakPeriod && !p.lastResponse.After(p.lastBreak)
}

// survived reports whether an abandoned attempt did not end its upstream: the upstream responded
// to others later, or is still listed after the retention.
func (t *Attempts) survived(a *Attempt, now time.Time, present bool) bool {
	if a.abandonedAt.IsZero() {
		return false
	}
	if t.state(a.process).lastResponse.Sub(a.abandonedAt) >= survivalPeriod {
		return true
	}
	return present && now.Sub(a.abandonedAt) >= abandonedRetention
}

// silent reports whether the upstream has sent nothing for silentPeriod since the attempt began
// or was abandoned.
func (t *Attempts) silent(a *Attempt, now time.Time) bool {
	return now.Sub(later(t.lastSign(a), a.abandonedAt)) >= silentPeriod
}

// lastSign returns when the upstream last showed that it was running, or when the attempt began.
func (t *Attempts) lastSign(a *Attempt) time.Time {
	return later(a.began, t.state(a.process).lastResponse)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// forgetProcesses drops the state of processes that are gone.
func (t *Attempts) forgetProcesses(now time.Time, listed map[Process]bool) {
	for p, s := range t.processes {
		if _, present := listed[p]; !present && s.running == 0 && now.Sub(s.lastEnd) >= abandonedRetention {
			delete(t.processes, p)
		}
	}
}
