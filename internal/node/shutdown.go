package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/drain"
	"heatherloom/internal/gateway"
	"heatherloom/internal/invariant"
	"heatherloom/internal/telemetry"
	"heatherloom/internal/timeline"
)

const (
	// announceMargin is the time until every peer leaves the instance out of its
	// answers: two heartbeat intervals, so that one lost heartbeat does no harm.
	announceMargin = 2 * time.Second
	// announcedPeriod is how long a draining instance still serves new requests.
	announcedPeriod = gateway.EntriesValidity + announceMargin
	// doneLinger keeps the operator listener open after a drain, so that
	// `heatherloom drain`, which polls every 200 ms, sees its end.
	doneLinger = time.Second
	// releaseTimeout bounds the return of the slot while the store is out of reach. The
	// slot is then claimed again when its lease ends.
	releaseTimeout = 2 * time.Second
)

// drainPhase announces, logs and records a change of the drain phase.
func (n *Node) drainPhase(p drain.Progress, log *logrus.Entry) {
	if p.Phase == drain.Announced {
		n.loop.Post(n.ctx, control.DrainEvent{})
		if n.announce != nil {
			// Control publishes the drain at its next tick.
			time.AfterFunc(2*control.TickInterval, func() { n.announce(n.ctx) })
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

// DrainRequested returns a channel that is closed once POST /v1/drain or Drain asked
// for a drain.
func (n *Node) DrainRequested() <-chan struct{} { return n.gate.Requested() }

// Drain takes the instance out of service: it announces this, serves until no caller
// can hold an answer of GET /v1/entries that names the instance, then refuses new
// requests and waits for the running ones. It returns the error of ctx if ctx ends
// first. Shutdown follows it.
func (n *Node) Drain(ctx context.Context, reason string) error {
	n.gate.Request(reason)
	if err := n.gate.Run(ctx, cmp.Or(n.serveFor, announcedPeriod)); err != nil {
		return err
	}
	n.handOverWrites(ctx)
	return nil
}

func (n *Node) handOverWrites(ctx context.Context) {
	if n.writes == nil {
		return
	}
	if short := n.writes.HandOver(ctx); short > 0 {
		n.timeline.Record(timeline.Event{
			Kind:   timeline.KindDrain,
			Detail: fmt.Sprintf("%d records of writes have fewer than two other holders", short),
		})
	}
}

// Shutdown closes the listeners after the requests that run, and stops the instance.
// Without a Drain before it, callers that hold an older list of entry instances are
// refused by the network. It returns an error if ctx ends first.
func (n *Node) Shutdown(ctx context.Context) error {
	n.gate.Request("shutdown")
	var failures []error
	for _, server := range n.servers {
		failures = append(failures, n.stopServer(ctx, server))
	}
	// Nothing uses the slot any more once the listeners are closed.
	n.releaseSlot(ctx)
	if n.gate.Progress().Phase == drain.Drained {
		invariant.Check(n.gate.Progress().InFlight == 0, invariant.GracefulShutdown, "a request runs after the drain")
		clock.Sleep(ctx, n.linger)
	}
	failures = append(failures, n.stopServer(ctx, n.operator))
	n.cancel()
	n.done.Wait()
	if n.lease != nil {
		n.lease.Release(ctx)
	}
	return errors.Join(failures...)
}

// stopServer closes a listener. After a drain no request runs, so that idle connections
// need not be waited for.
func (n *Node) stopServer(ctx context.Context, server *http.Server) error {
	if n.linger == 0 && n.gate.Progress().Phase == drain.Drained {
		return server.Close()
	}
	return server.Shutdown(ctx)
}

// Kill ends the instance at once and gives nothing back, as a crash of the process
// does. It serves tests of failures.
func (n *Node) Kill() {
	n.cancel()
	for _, server := range n.servers {
		_ = server.Close()
	}
	_ = n.operator.Close()
	n.done.Wait()
}

// releaseSlot returns the slot, so that another instance can claim it at once.
func (n *Node) releaseSlot(ctx context.Context) {
	if n.slots == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	n.slots.Release(ctx)
}
