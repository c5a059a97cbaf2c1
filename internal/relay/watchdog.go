package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/retry"
)

var (
	errNoProgress = errors.New("no progress within the time limit")
	errCallerLeft = errors.New("the caller has left and the upstream has got nothing")
)

const (
	// readGrace is the time after the end of a period in which bytes that have arrived are read, and
	// maxReadGrace the time in which it is started again because the process got no processor time.
	readGrace    = 20 * time.Millisecond
	maxReadGrace = 250 * time.Millisecond
	// maxTimerDelay is the delay of a timer above which the process counts as without processor time.
	maxTimerDelay = 5 * time.Millisecond
)

// watchdog cancels an attempt that makes no progress within a period. Once it has, pause and extend
// report it, so that nothing that is read later is delivered. In a process that got no processor time,
// timers and reads are due together; so the timer only starts a grace time in which the reads go first.
type watchdog struct {
	parent context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// mayGiveUp is asked before the attempt is canceled; nil to cancel it without asking. If it returns false,
	// it is asked again after another period.
	mayGiveUp func() bool

	mu sync.Mutex
	// running is false while the timer is paused and after the end of the attempt.
	running bool
	expired bool
	// due is when the timer should fire, and end the end of the period; between them is the grace time.
	due    time.Time
	end    time.Time
	period time.Duration
	// final is set once the period ends the attempt in any case.
	final bool
}

func newWatchdog(parent context.Context, first time.Duration, mayGiveUp func() bool) *watchdog {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{parent: parent, ctx: ctx, cancel: cancel, mayGiveUp: mayGiveUp, running: true}
	w.period, w.due = first, time.Now().Add(first)
	w.end = w.due
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, w.expire)
	return w
}

// expire cancels the attempt after the grace time, unless the timer was paused or restarted after it had fired.
func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.running || now.Before(w.due) || w.ctx.Err() != nil {
		return
	}
	if !w.final && w.needsGrace(now) {
		w.due = now.Add(readGrace)
		w.timer.Reset(readGrace)
		return
	}
	if !w.final && !w.allowed() {
		w.start(w.period)
		return
	}
	w.running, w.expired = false, true
	w.cancel(errNoProgress)
}

// allowed reports whether the attempt may be given up. It may if that cannot be found out.
func (w *watchdog) allowed() (ok bool) {
	if w.mayGiveUp == nil {
		return true
	}
	defer func() {
		if recover() != nil {
			ok = true
		}
	}()
	return w.mayGiveUp()
}

// extendFinal starts a last period of d, after which the attempt ends in any case: its outcome is known.
func (w *watchdog) extendFinal(d time.Duration) {
	w.mu.Lock()
	w.final = true
	w.mu.Unlock()
	w.extend(d)
}

// needsGrace reports whether bytes that have arrived may not have been read yet. The mutex must be held.
func (w *watchdog) needsGrace(now time.Time) bool {
	if w.due.Equal(w.end) {
		return true
	}
	return now.Sub(w.due) > maxTimerDelay && w.due.Sub(w.end) < maxReadGrace
}

// extend starts a period of d. It returns false if the attempt has timed out.
func (w *watchdog) extend(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.expired {
		return false
	}
	w.running = true
	w.start(d)
	return true
}

// start sets the timer. The mutex must be held.
func (w *watchdog) start(d time.Duration) {
	w.period, w.due = d, time.Now().Add(d)
	w.end = w.due
	w.timer.Reset(d)
}

// pause stops the timer until the next call of extend. It returns false if the attempt has timed out.
func (w *watchdog) pause() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = false
	w.timer.Stop()
	return !w.expired
}

// stop ends the attempt.
func (w *watchdog) stop() {
	w.pause()
	w.cancel(nil)
}

// timedOut reports whether the timer canceled the attempt.
func (w *watchdog) timedOut() bool { return errors.Is(context.Cause(w.ctx), errNoProgress) }

// requestEnded returns the result of the attempt if the caller has disconnected or the
// deadline of the request has passed. Neither is a fault of the upstream.
func (w *watchdog) requestEnded(err error, execution errkind.Execution, started bool) (Result, bool) {
	switch {
	case errors.Is(context.Cause(w.ctx), errCallerLeft):
		return CallerDisconnected(err, execution, started), true
	case errors.Is(w.parent.Err(), context.DeadlineExceeded):
		e := errkind.Wrap(err, errkind.UpstreamTimeout, execution, "the deadline of the request passed before the response was complete")
		return Result{Err: e, Outcome: retry.RequestEnded, Started: started}, true
	case w.parent.Err() != nil:
		return RequestCanceled(w.parent, err, execution, started), true
	default:
		return Result{}, false
	}
}
