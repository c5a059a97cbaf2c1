// Package drain takes an instance out of service without leaving a request unanswered.
//
// A drain has three phases. While it is announced, the instance still serves requests
// from callers with an older response of GET /v1/entries, if they can end in time. Then it
// rejects new requests and waits for the running ones. Those that are left when the time of
// the drain is over are interrupted, so that each of them still gets a response. When none is
// left, the drain is done and the listeners can be closed.
package drain

import (
	"context"
	"errors"
	"sync"
	"time"

	"heatherloom/internal/errkind"
)

// Phase is the state of a drain.
type Phase string

// The phases, in order.
const (
	Serving Phase = "serving"
	// Announced means that a drain was requested. The instance still admits requests that can
	// end in time.
	Announced Phase = "announced"
	// Rejecting means that new requests are rejected while admitted ones are finished.
	Rejecting Phase = "refusing"
	// Drained means that no request is running, or that the drain no longer waits for those
	// that are, and new ones are rejected.
	Drained Phase = "done"
)

// ErrInterrupted is the cause with which Controller.Context ends, and the result of a drain
// whose time was over before all requests had ended.
var ErrInterrupted = errors.New("the instance stops and interrupts its running requests")

// othersPollInterval is the time between two looks for another instance.
const othersPollInterval = 50 * time.Millisecond

// noInstanceRetryDelay is the delay before a retry if no other instance serves: about the time that
// an instance takes to start.
const noInstanceRetryDelay = 500 * time.Millisecond

// Progress describes a drain.
type Progress struct {
	Phase Phase
	// Reason names the origin of the drain request; empty while serving.
	Reason string
	// RequestedAt is the time at which the drain was requested.
	RequestedAt time.Time
	// RejectsAt is the earliest end of the announced phase; zero before Run is called.
	RejectsAt time.Time
	// InterruptsAt is the time at which running requests are interrupted; zero for never.
	InterruptsAt time.Time
	// RejectedAt and DrainedAt are the starts of the phases Rejecting and Drained; zero before.
	RejectedAt, DrainedAt time.Time
	// InFlight is the number of running requests.
	InFlight int
	// Counts are the requests that the drain affected so far.
	Counts Counts
}

// Counts are numbers of requests that a drain affected, by what their callers saw.
type Counts struct {
	// Rejected requests were not admitted.
	Rejected int
	// NotExecuted and ExecutionUnknown were interrupted and answered: no upstream executed the
	// former, and one may have executed the latter.
	NotExecuted, ExecutionUnknown int
	// Cut requests were interrupted after their response had begun.
	Cut int
	// Unanswered requests still ran when the drain no longer waited for them.
	Unanswered int
}

// Interrupted returns the number of requests that were interrupted and have ended.
func (c Counts) Interrupted() int { return c.NotExecuted + c.ExecutionUnknown + c.Cut }

// Schedule is the timing of a drain, counted from the call of Run.
type Schedule struct {
	// Announced is the duration of the phase Announced. It is longer while no other instance can
	// serve the callers.
	Announced time.Duration
	// Interrupt is the time at which running requests are interrupted; 0 for never.
	Interrupt time.Duration
	// Respond is how long interrupted requests get to write their responses.
	Respond time.Duration
}

// Demand describes a request that asks for admission.
type Demand struct {
	// Kind names requests that are expected to take equally long; see Observe.
	Kind string
	// Longest is the time after which the request ends in any case.
	Longest time.Duration
	// Repeatable is false for a request that may be executed only once.
	Repeatable bool
	// Stream is true if the response is sent while it is produced, so that an interrupt cuts it.
	Stream bool
}

// Controller counts the running requests and rejects new ones during a drain. It is safe for
// concurrent use. A nil *Controller admits every request.
type Controller struct {
	// OnPhaseChange is called after each change of the phase; may be nil. It must be set
	// before the Controller is used.
	OnPhaseChange func(Progress)
	// OthersServe reports whether another instance can serve the callers of this one; nil if
	// one always can. It must be set before the Controller is used.
	OthersServe func() bool

	durations durations
	context   context.Context
	cancel    context.CancelCauseFunc

	mu        sync.Mutex
	progress  Progress
	requested chan struct{}
	// idle is closed when the phase is Rejecting and no request runs.
	idle     chan struct{}
	idleOnce sync.Once
}

// NewController returns a Controller in the phase Serving.
func NewController() *Controller {
	c := &Controller{
		progress:  Progress{Phase: Serving},
		requested: make(chan struct{}),
		idle:      make(chan struct{}),
	}
	c.context, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// Context returns the context of all requests. It ends with the cause ErrInterrupted when the
// requests that still run are interrupted.
func (c *Controller) Context() context.Context { return c.context }

// Acquire admits a request; Release must be called when the request ends. It returns an error
// of kind Draining if the instance rejects the request.
func (c *Controller) Acquire(d Demand) *errkind.Error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.admits(d) {
		c.progress.Counts.Rejected++
		err := errkind.New(errkind.Draining, "this instance is draining; use another instance listed by GET /v1/entries")
		if !c.othersServe() {
			err.RetryAfter = noInstanceRetryDelay
		}
		return err
	}
	c.progress.InFlight++
	return nil
}

// admits reports whether a request is admitted in the current phase. With other instances to turn
// to, it is only if it ends in time, which must be certain for a write and for a stream that comes
// late. The mutex must be held.
func (c *Controller) admits(d Demand) bool {
	p := &c.progress
	switch {
	case p.Phase == Serving:
		return true
	case p.Phase != Announced:
		return false
	case p.InterruptsAt.IsZero():
		return true
	}
	now := time.Now()
	left := p.InterruptsAt.Sub(now)
	certain := d.Longest < left
	likely := d.expected(c.durations.high(now, d.Kind)) < left
	late := now.Sub(p.RequestedAt) > p.InterruptsAt.Sub(p.RequestedAt)/3
	switch {
	case d.Stream && late:
		return certain
	case now.After(p.RejectsAt):
		return certain || likely
	case c.othersServe():
		return certain || (likely && d.Repeatable)
	default:
		return likely || d.Repeatable
	}
}

// expected returns how long the request is expected to take, given how long requests of its
// kind usually take; 0 if that is not known.
func (d Demand) expected(usual time.Duration) time.Duration {
	if usual == 0 || d.Longest < usual {
		return d.Longest
	}
	return usual
}

func (c *Controller) othersServe() bool { return c.OthersServe == nil || c.OthersServe() }

// Observe records how long a complete request of a kind took.
func (c *Controller) Observe(kind string, took time.Duration) {
	if c != nil {
		c.durations.observe(time.Now(), kind, took)
	}
}

// CountInterrupted counts an interrupted request. cut is true if its response had begun.
func (c *Controller) CountInterrupted(execution errkind.Execution, cut bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch counts := &c.progress.Counts; {
	case cut:
		counts.Cut++
	case execution == errkind.NotExecuted:
		counts.NotExecuted++
	default:
		counts.ExecutionUnknown++
	}
}

// Release marks the end of a request that Acquire admitted.
func (c *Controller) Release() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.InFlight--
	c.closeIfIdle()
}

func (c *Controller) closeIfIdle() {
	if c.progress.Phase == Rejecting && c.progress.InFlight == 0 {
		c.idleOnce.Do(func() { close(c.idle) })
	}
}

// RequestDrain requests a drain. Only the first call has an effect.
func (c *Controller) RequestDrain(reason string) {
	c.mu.Lock()
	if c.progress.Phase != Serving {
		c.mu.Unlock()
		return
	}
	c.progress.Phase = Announced
	c.progress.Reason = reason
	c.progress.RequestedAt = time.Now()
	close(c.requested)
	c.mu.Unlock()
	c.notifyPhase()
}

// DrainRequested returns a channel that is closed once a drain is requested.
func (c *Controller) DrainRequested() <-chan struct{} { return c.requested }

// Draining reports whether a drain was requested.
func (c *Controller) Draining() bool { return c.Progress().Phase != Serving }

// Progress returns the state of the drain.
func (c *Controller) Progress() Progress {
	if c == nil {
		return Progress{Phase: Serving}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress
}

// Interrupt interrupts the running requests; a drain under way then ends early.
func (c *Controller) Interrupt() { c.cancel(ErrInterrupted) }

// Run performs the drain after RequestDrain: it waits for the announced period, in which
// requests are still admitted, then rejects new requests and waits until none is running. It
// returns ErrInterrupted if it had to interrupt requests, and the error of ctx if ctx is done
// first.
func (c *Controller) Run(ctx context.Context, s Schedule) error {
	if s.Interrupt > 0 {
		timer := time.AfterFunc(s.Interrupt, c.Interrupt)
		defer timer.Stop()
	}
	c.schedule(s)
	if err := c.waitAnnounced(ctx, s.Announced); err != nil {
		return err
	}
	c.setPhase(Rejecting)
	result := c.waitIdle(ctx, s.Respond)
	if result == nil || errors.Is(result, ErrInterrupted) {
		c.setPhase(Drained)
	}
	return result
}

func (c *Controller) schedule(s Schedule) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.progress.RejectsAt = now.Add(s.Announced)
	if s.Interrupt > 0 {
		c.progress.InterruptsAt = now.Add(s.Interrupt)
	}
}

// waitAnnounced waits for the end of the phase Announced.
func (c *Controller) waitAnnounced(ctx context.Context, announced time.Duration) error {
	next := time.After(announced)
	for {
		select {
		case <-next:
			if c.othersServe() {
				return nil
			}
			next = time.After(othersPollInterval)
		case <-c.context.Done():
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitIdle waits until no request runs, after an interrupt for the given time at most.
func (c *Controller) waitIdle(ctx context.Context, respond time.Duration) error {
	select {
	case <-c.idle:
		return nil
	case <-c.context.Done():
	case <-ctx.Done():
		c.countUnanswered()
		return ctx.Err()
	}
	select {
	case <-c.idle:
	case <-time.After(respond):
		c.countUnanswered()
	case <-ctx.Done():
		c.countUnanswered()
		return ctx.Err()
	}
	return ErrInterrupted
}

func (c *Controller) countUnanswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.Counts.Unanswered = c.progress.InFlight
}

func (c *Controller) setPhase(p Phase) {
	c.mu.Lock()
	c.progress.Phase = p
	switch p {
	case Rejecting:
		c.progress.RejectedAt = time.Now()
	case Drained:
		c.progress.DrainedAt = time.Now()
	}
	c.closeIfIdle()
	c.mu.Unlock()
	c.notifyPhase()
}

func (c *Controller) notifyPhase() {
	if c.OnPhaseChange != nil {
		c.OnPhaseChange(c.Progress())
	}
}
