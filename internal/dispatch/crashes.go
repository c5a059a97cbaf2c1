package dispatch

// This file detects upstreams that end while they execute a request.

import (
	"context"
	"sync"
	"time"

	"heatherloom/internal/clock"
	"heatherloom/internal/errkind"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
)

// crashState holds what is known of the attempts of this instance. The zero value is ready to
// use.
type crashState struct {
	once        sync.Once
	attempts    *quarantine.Attempts
	completions *quarantine.Completions
}

// maxCompletionBytes is the size of a body up to which completions are remembered. Longer bodies
// are rarely sent twice, and hashing each of them costs time.
const maxCompletionBytes = 4 << 10

// crashSweepInterval is the time between two searches for upstreams that ended silently.
const crashSweepInterval = 250 * time.Millisecond

// DetectCrashes reports upstreams that ended silently, until ctx ends.
func (d *Dispatcher) DetectCrashes(ctx context.Context) {
	for ctx.Err() == nil {
		for _, c := range d.openAttempts().Sweep(clock.Now(), listedProcesses(d.Snapshot())) {
			d.reportCrash(c, "the upstream fell silent and is no longer listed")
		}
		clock.Sleep(ctx, crashSweepInterval)
	}
}

// listedProcesses returns the processes of the listed upstreams and whether each is draining.
func listedProcesses(s *routing.Snapshot) map[quarantine.Process]bool {
	listed := make(map[quarantine.Process]bool, len(s.Upstreams))
	for i := range s.Upstreams {
		listed[processOf(&s.Upstreams[i])] = s.Upstreams[i].Draining
	}
	return listed
}

func processOf(u *routing.Upstream) quarantine.Process {
	return quarantine.Process{Upstream: u.ID, Address: u.Address, StartedAt: u.StartedAt}
}

func (d *Dispatcher) openAttempts() *quarantine.Attempts { return d.crashes().attempts }

func (d *Dispatcher) crashes() *crashState {
	s := &d.crashState
	s.once.Do(func() { s.attempts, s.completions = quarantine.NewAttempts(), quarantine.NewCompletions() })
	return s
}

func (d *Dispatcher) beginAttempt(r *Request, u *routing.Upstream) *quarantine.Attempt {
	return d.openAttempts().Begin(clock.Now(), processOf(u), r.Fingerprint)
}

// endAttempt records how an attempt ended. Nothing is known of the request if the upstream sent
// no complete response and kept the connection open.
func (d *Dispatcher) endAttempt(r *Request, a *quarantine.Attempt, result relay.Result) {
	unanswered := result.Outcome == retry.TimedOut || result.Outcome == retry.RequestEnded
	if unanswered && result.Err.Execution != errkind.NotExecuted {
		a.Abandon(clock.Now())
		return
	}
	if result.Err == nil && len(r.Body) <= maxCompletionBytes {
		d.crashes().completions.Add(clock.Now(), r.Fingerprint())
	}
	if result.Outcome == retry.Delivered || result.Outcome == retry.Rejected || result.Outcome == retry.Failed {
		a.Progress(clock.Now())
	}
	a.Finish(clock.Now())
}

// countCrash records in result that the connection to the upstream broke, and reports it as a
// crash. A break in the middle of the response counts as well: the upstream may have ended
// under the request, whether or not the stream can be resumed elsewhere.
func (d *Dispatcher) countCrash(r *Request, u *routing.Upstream, result *relay.Result) {
	broken := result.Outcome == retry.Crashed || (result.Outcome == retry.Truncated && result.ConnectionBroken)
	if !broken {
		return
	}
	result.Crashes = 1
	d.reportCrash(quarantine.Crash{
		Fingerprint: r.Fingerprint(), Upstream: u.ID, StartedAt: u.StartedAt, SeenAt: clock.Now().UnixNano(),
	}, "the connection broke")
}

// reportCrash reports a crash unless the request recently completed elsewhere.
func (d *Dispatcher) reportCrash(c quarantine.Crash, reason string) {
	if d.ReportCrash != nil && !d.crashes().completions.Has(clock.Now(), c.Fingerprint) {
		d.ReportCrash(c, reason)
	}
}
