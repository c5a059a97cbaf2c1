// Package drain takes an instance out of service without interrupting a request.
//
// A drain has three phases. While it is announced, the instance still serves requests
// from callers with an older response of GET /v1/entries. Then it rejects new requests
// and waits for the running ones. When none is left, the drain is done and the listeners
// can be closed.
package drain

import (
	"context"
	"sync"
	"time"

	"heatherloom/internal/errkind"
)

// Phase is the state of a drain.
type Phase string

// The phases, in order.
const (
	Serving Phase = "serving"
	// Announced means that a drain was requested. The instance still admits requests.
	Announced Phase = "announced"
	// Rejecting means that new requests are rejected while admitted ones are finished.
	Rejecting Phase = "refusing"
	// Drained means that no request is running and new ones are rejected.
	Drained Phase = "done"
)

// Progress describes a drain.
type Progress struct {
	Phase Phase
	// Reason names the origin of the drain request; empty while serving.
	Reason string
	// RequestedAt is the time at which the drain was requested.
	RequestedAt time.Time
	// RejectsAt is the end of the announced phase; zero before Run is called.
	RejectsAt time.Time
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
	// Unanswered requests still ran when the drain no longer waited for them.
	Unanswered int
}

// Controller counts the running requests and rejects new ones during a drain. It is safe for
// concurrent use. Acquire and Release of a nil *Controller admit every request.
type Controller struct {
	// OnPhaseChange is called after each change of the phase; may be nil. It must be set
	// before the Controller is used.
	OnPhaseChange func(Progress)

	mu        sync.Mutex
	progress  Progress
	requested chan struct{}
	// idle is closed when the phase is Rejecting and no request runs.
	idle     chan struct{}
	idleOnce sync.Once
}

// NewController returns a Controller in the phase Serving.
func NewController() *Controller {
	return &Controller{
		progress:  Progress{Phase: Serving},
		requested: make(chan struct{}),
		idle:      make(chan struct{}),
	}
}

// Acquire admits a request; Release must be called when the request ends. It returns an error
// of kind Draining if the instance rejects new requests.
func (c *Controller) Acquire() *errkind.Error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.progress.Phase == Rejecting || c.progress.Phase == Drained {
		c.progress.Counts.Rejected++
		return errkind.New(errkind.Draining, "this instance is draining; use another instance listed by GET /v1/entries")
	}
	c.progress.InFlight++
	return nil
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

// Progress returns the state of the drain.
func (c *Controller) Progress() Progress {
	if c == nil {
		return Progress{Phase: Serving}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress
}

// Run performs the drain after RequestDrain: it waits for the announced period, in which
// requests are still admitted, then rejects new requests and waits until none is running. It
// returns the error of ctx if ctx is done first.
func (c *Controller) Run(ctx context.Context, announced time.Duration) error {
	c.mu.Lock()
	c.progress.RejectsAt = time.Now().Add(announced)
	c.mu.Unlock()
	if err := waitFor(ctx, time.After(announced)); err != nil {
		return err
	}
	c.setPhase(Rejecting)
	if err := waitFor(ctx, c.idle); err != nil {
		c.mu.Lock()
		c.progress.Counts.Unanswered = c.progress.InFlight
		c.mu.Unlock()
		return err
	}
	c.setPhase(Drained)
	return nil
}

func waitFor[T any](ctx context.Context, done <-chan T) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
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
