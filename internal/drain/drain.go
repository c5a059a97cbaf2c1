// Package drain takes an instance out of service without interrupting a request.
//
// A drain has three phases. While it is announced, the instance still serves what
// callers with an older answer of GET /v1/entries send. Then it refuses new
// requests and waits for the running ones. When none is left, it is done and the
// listeners may close.
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
	Serving   Phase = "serving"
	Announced Phase = "announced"
	Refusing  Phase = "refusing"
	Drained   Phase = "done"
)

// Progress describes a drain.
type Progress struct {
	Phase Phase
	// Reason says who asked for the drain; empty while serving.
	Reason string
	// Since is the time of the request to drain.
	Since time.Time
	// RefusesAt is the end of the announced phase; zero before the drain runs.
	RefusesAt time.Time
	// InFlight is the number of requests that run now.
	InFlight int
}

// Gate counts the requests that run and refuses new ones in a drain. It is safe for
// concurrent use. A nil *Gate lets everything pass.
type Gate struct {
	// OnPhase is called after each change of the phase; nil for none. It is set
	// before the gate is used.
	OnPhase func(Progress)

	mu        sync.Mutex
	progress  Progress
	requested chan struct{}
	// idle is closed when the phase is Refusing and no request runs.
	idle     chan struct{}
	idleOnce sync.Once
}

// NewGate returns a gate in the phase Serving.
func NewGate() *Gate {
	return &Gate{
		progress:  Progress{Phase: Serving},
		requested: make(chan struct{}),
		idle:      make(chan struct{}),
	}
}

// Enter admits a request, which must call Leave when it ends. It returns an error
// of kind Draining if the instance refuses new requests.
func (g *Gate) Enter() *errkind.Error {
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.progress.Phase == Refusing || g.progress.Phase == Drained {
		return errkind.New(errkind.Draining, "this instance is being taken out of service; use another one of GET /v1/entries")
	}
	g.progress.InFlight++
	return nil
}

// Leave ends a request that Enter admitted.
func (g *Gate) Leave() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress.InFlight--
	g.closeIfIdle()
}

func (g *Gate) closeIfIdle() {
	if g.progress.Phase == Refusing && g.progress.InFlight == 0 {
		g.idleOnce.Do(func() { close(g.idle) })
	}
}

// Request asks for a drain. Only the first call has an effect.
func (g *Gate) Request(reason string) {
	g.mu.Lock()
	if g.progress.Phase != Serving {
		g.mu.Unlock()
		return
	}
	g.progress.Phase = Announced
	g.progress.Reason = reason
	g.progress.Since = time.Now()
	close(g.requested)
	g.mu.Unlock()
	g.report()
}

// Requested returns a channel that is closed once a drain was asked for.
func (g *Gate) Requested() <-chan struct{} { return g.requested }

// Progress returns the state of the drain.
func (g *Gate) Progress() Progress {
	if g == nil {
		return Progress{Phase: Serving}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.progress
}

// Run carries out the drain after Request: it waits for the announced period,
// refuses new requests, and waits until no request runs. It returns the error of
// ctx if ctx ends first.
func (g *Gate) Run(ctx context.Context, announced time.Duration) error {
	g.mu.Lock()
	g.progress.RefusesAt = time.Now().Add(announced)
	g.mu.Unlock()
	if err := waitFor(ctx, time.After(announced)); err != nil {
		return err
	}
	g.enterPhase(Refusing)
	if err := waitFor(ctx, g.idle); err != nil {
		return err
	}
	g.enterPhase(Drained)
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

func (g *Gate) enterPhase(p Phase) {
	g.mu.Lock()
	g.progress.Phase = p
	g.closeIfIdle()
	g.mu.Unlock()
	g.report()
}

func (g *Gate) report() {
	if g.OnPhase != nil {
		g.OnPhase(g.Progress())
	}
}
