package control

import (
	"context"
	"sync/atomic"
	"time"

	"heatherloom/internal/clock"
	"heatherloom/internal/routing"
)

const (
	// TickInterval is the time between two ticks.
	TickInterval = 50 * time.Millisecond
	// inboxCapacity is enough for several ticks of events at the design size.
	inboxCapacity = 4096
)

// Loop is the control loop of an entry instance.
type Loop struct {
	tables   *tables
	inbox    chan Event
	snapshot atomic.Pointer[routing.Snapshot]
	observer Observer
	// wallOffset is how far the wall clock was ahead of package clock when it was last set.
	wallOffset time.Duration
}

// NewLoop returns a loop whose first snapshot is not ready.
func NewLoop(id Identity) *Loop {
	l := &Loop{tables: newTables(id), inbox: make(chan Event, inboxCapacity)}
	l.publish(clock.Now())
	return l
}

// Post queues an event for the control goroutine. It blocks while the inbox is full and
// discards the event if ctx is done first.
func (l *Loop) Post(ctx context.Context, e Event) {
	select {
	case l.inbox <- e:
	case <-ctx.Done():
	}
}

// Snapshot returns the latest snapshot. It never returns nil.
func (l *Loop) Snapshot() *routing.Snapshot { return l.snapshot.Load() }

// Run executes a tick every TickInterval until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick(clock.Now())
		}
	}
}

// tick applies the queued events, runs the tick steps and publishes a snapshot.
func (l *Loop) tick(now time.Time) {
	started, previous := clock.Now(), l.Snapshot()
	l.drainInbox(now)
	for _, step := range tickSteps {
		step(l.tables, now)
	}
	l.publish(now)
	l.observe(previous, l.Snapshot(), clock.Now().Sub(started))
	l.observeWallClock(clock.WallOffset())
}

func (l *Loop) drainInbox(now time.Time) {
	for range inboxCapacity {
		select {
		case e := <-l.inbox:
			e.apply(l.tables, now)
		default:
			return
		}
	}
}

func (l *Loop) publish(now time.Time) {
	l.snapshot.Store(buildSnapshot(l.tables, now))
}
