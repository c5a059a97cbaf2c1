package rolloutctl

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
	"heatherloom/internal/telemetry"
)

const (
	// serviceInterval is the time between two looks at the rollouts of services.
	serviceInterval = 500 * time.Millisecond
	// deputyDelay is the time that an instance leaves to those before it, in the order of
	// their rendezvous weights, to write a decision: a call to the store and its way.
	deputyDelay = 700 * time.Millisecond
)

// ServiceController decides the rollouts of services and writes their states for the
// operators. Every instance decides from the same evidence; one of them writes, and the
// others only if it does not. A write is conditional on the state that was read before, so
// that a state once final is never replaced by another.
type ServiceController struct {
	Identity  control.Identity
	Store     external.ChangeLog
	Documents external.Documents
	Loop      *control.Loop
	Recorder  *Recorder
	Log       *logrus.Entry

	// due is when this instance first wanted to write a state, by rollout and state.
	due map[external.RolloutState]time.Time
}

// Run follows the orders until ctx ends.
func (c *ServiceController) Run(ctx context.Context) {
	c.due = map[external.RolloutState]time.Time{}
	for ctx.Err() == nil {
		c.look(ctx, c.Loop.Snapshot(), clock.Now())
		clock.Sleep(ctx, serviceInterval)
	}
}

func (c *ServiceController) look(ctx context.Context, s *routing.Snapshot, now time.Time) {
	c.Recorder.keep(s)
	wanted := map[external.RolloutState]bool{}
	for _, order := range s.Orders {
		state, reason := rollout.JudgeService(order, c.evidence(s, order), now)
		if order.Recorded && order.State == state {
			continue
		}
		next := external.RolloutState{Service: order.Service, Version: order.Version, State: state}
		wanted[next] = true
		if c.mayWrite(s, next, now) {
			c.write(ctx, order, next, reason)
		}
	}
	for state := range c.due {
		if !wanted[state] {
			delete(c.due, state)
		}
	}
}

// evidence sums what this instance and its peers saw of an order.
func (c *ServiceController) evidence(s *routing.Snapshot, order rollout.ServiceOrder) rollout.Evidence {
	samples := rollout.Samples{}
	samples.Merge(c.Recorder.List())
	for _, reported := range s.Samples {
		samples.Merge(reported)
	}
	stops := 0
	for _, stop := range s.Stops {
		if stop.Move == order.ID() {
			stops++
		}
	}
	return rollout.Evidence{Routes: samples.Routes(order.ID(), 0), LocalStops: stops, Complete: true}
}

// mayWrite reports whether it is this instance's turn to write a state.
func (c *ServiceController) mayWrite(s *routing.Snapshot, state external.RolloutState, now time.Time) bool {
	if _, known := c.due[state]; !known {
		c.due[state] = now
	}
	ids := []string{c.Identity.ID}
	for _, p := range s.Peers {
		if !p.Suspect {
			ids = append(ids, p.ID)
		}
	}
	turn := slices.Index(membership.Ranked(state.Service, ids), c.Identity.ID)
	return now.Sub(c.due[state]) >= time.Duration(turn)*deputyDelay
}

func (c *ServiceController) write(ctx context.Context, order rollout.ServiceOrder, state external.RolloutState, reason string) {
	entry, err := c.Documents.EncodeRolloutState(state)
	if err != nil {
		c.log(state, reason).WithError(err).Error("state of a rollout cannot be encoded")
		return
	}
	unchanged := external.Condition{Key: entry.Key, Version: order.Revision}
	ok, _, err := c.Store.Commit(ctx, []external.Condition{unchanged}, []external.Write{{Key: entry.Key, Value: entry.Value}})
	switch {
	case err != nil:
		c.log(state, reason).WithError(err).Warn("state of a rollout could not be written, it is tried again")
	case ok:
		c.log(state, reason).Info("state of a rollout is written")
	}
}

func (c *ServiceController) log(state external.RolloutState, reason string) *logrus.Entry {
	return c.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent:   "service_rollout",
		telemetry.FieldService: state.Service,
		telemetry.FieldVersion: state.Version,
		telemetry.FieldState:   state.State,
		telemetry.FieldReason:  reason,
	})
}
