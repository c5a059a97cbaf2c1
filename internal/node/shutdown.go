package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/drain"
	"heatherloom/internal/gateway"
	"heatherloom/internal/invariant"
	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
	"heatherloom/internal/timeline"
)

const (
	// announceMargin is the time until every peer omits the instance from its responses of
	// GET /v1/entries: two heartbeat intervals, which tolerates one lost heartbeat.
	announceMargin = 2 * time.Second
	// defaultAnnouncedPeriod is the duration of the phase Announced of a drain, in which the
	// instance still accepts new requests, unless the settings give another one.
	defaultAnnouncedPeriod = gateway.EntriesValidity + announceMargin
	// defaultOperatorLinger is how long the operator listener stays open after a drain, so
	// that `heatherloom drain`, which polls every 200 ms, observes its end.
	defaultOperatorLinger = time.Second
	// endFraction is the fraction of the time for a drain and the shutdown that is kept for their
	// end. Half of it is for the responses of interrupted requests.
	endFraction = 1.0 / 8
	// maxEnd bounds that time.
	maxEnd = 4 * time.Second
	// callerCloseTimeout is how long the connections of the callers of a drained instance may take
	// to close.
	callerCloseTimeout = 250 * time.Millisecond
	// closeTimeout is the same for the other listeners. Connections of HTTP/2 peers stay open until
	// then.
	closeTimeout = 100 * time.Millisecond
	// closeParts is the number of parts into which the time that is left is divided for these steps.
	closeParts = 3
	// slotReleaseTimeout bounds the release of the slot if the store is unreachable. The
	// slot then becomes claimable when its lease expires.
	slotReleaseTimeout = 2 * time.Second
)

// LogStop logs the end of the instance: how long it took, and what the drain meant for requests.
// err is what Drain or Shutdown returned.
func (n *Node) LogStop(log *logrus.Logger, err error) {
	p := n.drain.Progress()
	entry := log.WithFields(logrus.Fields{
		telemetry.FieldEvent:       "stopped",
		telemetry.FieldInstance:    n.id,
		telemetry.FieldComplete:    err == nil && p.Counts.Interrupted()+p.Counts.Unanswered == 0,
		telemetry.FieldMillis:      time.Since(p.RequestedAt).Milliseconds(),
		telemetry.FieldRejected:    p.Counts.Rejected,
		telemetry.FieldNotRun:      p.Counts.NotExecuted,
		telemetry.FieldUnknown:     p.Counts.ExecutionUnknown,
		telemetry.FieldCut:         p.Counts.Cut,
		telemetry.FieldUnanswered:  p.Counts.Unanswered,
		telemetry.FieldAnnouncedMS: millisUntil(p.RejectedAt, p),
		telemetry.FieldDrainedMS:   millisUntil(p.DrainedAt, p),
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("entry instance stopped")
}

// millisUntil returns the time from the request of a drain to the start of a phase; 0 if the drain
// did not reach it.
func millisUntil(start time.Time, p drain.Progress) int64 {
	if start.IsZero() {
		return 0
	}
	return start.Sub(p.RequestedAt).Milliseconds()
}

// drainOutcomes returns the sources of the metric of requests that the drain affected.
func (n *Node) drainOutcomes() map[string]func() float64 {
	count := func(read func(drain.Counts) int) func() float64 {
		return func() float64 { return float64(read(n.drain.Progress().Counts)) }
	}
	return map[string]func() float64{
		telemetry.FieldRejected:   count(func(c drain.Counts) int { return c.Rejected }),
		telemetry.FieldNotRun:     count(func(c drain.Counts) int { return c.NotExecuted }),
		telemetry.FieldUnknown:    count(func(c drain.Counts) int { return c.ExecutionUnknown }),
		telemetry.FieldCut:        count(func(c drain.Counts) int { return c.Cut }),
		telemetry.FieldUnanswered: count(func(c drain.Counts) int { return c.Unanswered }),
	}
}

// onDrainPhase handles a change of the drain phase: it announces the drain to the peers,
// logs the phase and records it in the timeline.
func (n *Node) onDrainPhase(p drain.Progress, log *logrus.Entry) {
	if p.Phase == drain.Announced {
		n.loop.Post(n.ctx, control.DrainEvent{})
		if n.announceDrain != nil {
			// The control loop publishes the drain at its next tick.
			time.AfterFunc(2*control.TickInterval, func() { n.announceDrain(n.ctx) })
		}
	}
	n.timeline.Record(timeline.Event{Kind: timeline.KindDrain, Detail: string(p.Phase) + " by " + p.Reason})
	log.WithFields(logrus.Fields{
		telemetry.FieldEvent:    "drain",
		telemetry.FieldPhase:    p.Phase,
		telemetry.FieldCause:    p.Reason,
		telemetry.FieldInFlight: p.InFlight,
	}).Info("drain phase entered")
}

// DrainRequested returns a channel that is closed once POST /v1/drain, Drain or Shutdown
// has requested a drain.
func (n *Node) DrainRequested() <-chan struct{} { return n.drain.DrainRequested() }

// Drain takes the instance out of service. It announces the drain and keeps serving until
// no caller can have a valid response of GET /v1/entries that lists the instance. Then it
// rejects new requests and waits for the running ones. It returns the error of ctx if ctx
// is done first. Call Shutdown afterwards.
func (n *Node) Drain(ctx context.Context, reason string) error {
	n.drain.RequestDrain(reason)
	err := n.drain.Run(ctx, n.drainSchedule(ctx))
	if n.drain.Progress().InFlight == 0 {
		n.handOverWrites(ctx)
	}
	return err
}

// InterruptDrain ends the drain under way: each running request gets its response now.
func (n *Node) InterruptDrain() { n.drain.Interrupt() }

// drainSchedule divides the time until the deadline of ctx. Without one, requests are never
// interrupted.
func (n *Node) drainSchedule(ctx context.Context) drain.Schedule {
	s := drain.Schedule{Announced: cmp.Or(n.announcedPeriod, defaultAnnouncedPeriod)}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		end := endTime(left)
		s.Interrupt, s.Respond = left-end, end/2
	}
	return s
}

// endTime returns the part of the time for a drain and the shutdown that is kept for their end.
func endTime(total time.Duration) time.Duration {
	return min(time.Duration(endFraction*float64(total)), maxEnd)
}

// otherInstancesServe reports whether another instance can serve the callers of this one.
func (n *Node) otherInstancesServe() bool {
	s := n.loop.Snapshot()
	return slices.ContainsFunc(s.Peers, func(p routing.Peer) bool {
		return p.Region == s.Region && !p.Draining && !p.Suspect && p.AcceptsKeys
	})
}

func (n *Node) handOverWrites(ctx context.Context) {
	if n.writes == nil {
		return
	}
	if underReplicated := n.writes.HandOver(ctx); underReplicated > 0 {
		n.timeline.Record(timeline.Event{
			Kind:   timeline.KindDrain,
			Detail: fmt.Sprintf("%d idempotency records have copies at fewer than two other instances", underReplicated),
		})
	}
}

// Shutdown closes the listeners, waits for the running requests and stops the instance.
// Without a preceding Drain, callers with an older list of entry instances get connection
// errors. It returns an error if ctx is done first.
func (n *Node) Shutdown(ctx context.Context) error {
	n.drain.RequestDrain("shutdown")
	failures := n.stopServers(ctx)
	n.duties.flush(ctx)
	// The slot is no longer in use once the listeners are closed.
	n.releaseSlot(ctx)
	if p := n.drain.Progress(); p.Phase == drain.Drained && n.drain.Context().Err() == nil {
		invariant.Check(p.InFlight == 0, invariant.GracefulShutdown, "a request is still running after the drain")
		clock.Sleep(ctx, n.operatorLinger)
	}
	failures = append(failures, n.stopServer(ctx, n.operator))
	n.cancel()
	n.wg.Wait()
	if n.lease != nil {
		n.lease.Release(ctx)
	}
	return errors.Join(failures...)
}

// stopServers stops all servers except the operator's; the first one is that of the callers.
func (n *Node) stopServers(ctx context.Context) []error {
	failures := make([]error, len(n.servers))
	var wg sync.WaitGroup
	for i, server := range n.servers {
		wg.Go(func() {
			if i == 0 {
				n.closeCallerConns(ctx)
			}
			failures[i] = n.stopServer(ctx, server)
		})
	}
	wg.Wait()
	return failures
}

// closeCallerConns closes the connections of the callers of a drained instance, so that each request
// which is read gets its rejection. With TLS, they may be HTTP/2 and are closed by stopServer.
func (n *Node) closeCallerConns(ctx context.Context) {
	if n.tls != nil || n.drain.Progress().Phase != drain.Drained {
		return
	}
	ctx, cancel := withPartOfTime(ctx, callerCloseTimeout)
	defer cancel()
	_ = n.callerListener.Close()
	n.callerConns.close(ctx)
}

// stopServer closes a listener and waits for the requests on it. After a drain only rejections and
// the ends of responses are left, for which it waits no longer than closeTimeout.
func (n *Node) stopServer(ctx context.Context, server *http.Server) error {
	if n.drain.Progress().Phase != drain.Drained {
		return server.Shutdown(ctx)
	}
	ctx, cancel := withPartOfTime(ctx, closeTimeout)
	defer cancel()
	if server.Shutdown(ctx) == nil {
		return nil
	}
	return server.Close()
}

// withPartOfTime returns a context that ends after the timeout, or after a part of the time that ctx
// has left, so that the steps that follow have some too.
func withPartOfTime(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/closeParts)
	}
	return context.WithTimeout(ctx, timeout)
}

// Kill stops the instance immediately without releasing its slot or lease, like a crash of
// the process. It is used by failure tests.
func (n *Node) Kill() {
	n.cancel()
	for _, server := range n.servers {
		_ = server.Close()
	}
	_ = n.operator.Close()
	n.wg.Wait()
}

// releaseSlot releases the slot, so that another instance can claim it immediately.
func (n *Node) releaseSlot(ctx context.Context) {
	if n.slots == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, slotReleaseTimeout)
	defer cancel()
	n.slots.Release(ctx)
}
