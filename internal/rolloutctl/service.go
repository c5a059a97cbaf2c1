package rolloutctl

import (
	"context"
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
	// serviceInterval is the time between two evaluations of the rollouts of services.
	serviceInterval = 500 * time.Millisecond
	// takeoverDelay is how long an instance waits for each instance ranked before it, by
	// rendezvous hashing, to write a decision. It covers a store call and its network
	// latency.
	takeoverDelay = 700 * time.Millisecond
)

// ServiceController decides on the rollouts of services and writes their states for the
// operators. Every instance decides from the same evidence; one of them writes, and the
// others write only if it does not. A write is conditional on the state that was read
// before, so that a final state is never replaced.
type ServiceController struct {
	Identity  control.Identity
	Store     external.PollingStore
	Documents external.DocumentCodec
	Loop      *control.Loop
	Recorder  *Recorder
	Log       *logrus.Entry

	// pendingSince is when this instance first wanted to write a state.
	pendingSince map[external.RolloutState]time.Time
}

// Run evaluates the rollouts of services until ctx ends.
func (c *ServiceController) Run(ctx context.Context) {
	c.pendingSince = map[external.RolloutState]time.Time{}
	for ctx.Err() == nil {
		c.evaluate(ctx, c.Loop.Snapshot(), clock.Now())
		clock.Sleep(ctx, serviceInterval)
	}
}

func (c *ServiceController) evaluate(ctx context.Context, s *routing.Snapshot, now time.Time) {
	c.Recorder.prune(s)
	wanted := map[external.RolloutState]bool{}
	for _, r := range s.ServiceRollouts {
		state, reason := rollout.EvaluateService(r, c.evidence(s, r), now)
		if r.Recorded && r.State == state {
			continue
		}
		if state == rollout.RolledBack && !r.Final() {
			c.stopLocally(ctx, s, r, reason)
		}
		next := external.RolloutState{Service: r.Service, Version: r.Version, State: state}
		wanted[next] = true
		if c.mayWrite(s, next, now) {
			c.write(ctx, r, next, reason)
		}
	}
	for state := range c.pendingSince {
		if !wanted[state] {
			delete(c.pendingSince, state)
		}
	}
}

// stopLocally stops this instance from sending to the candidate. The rollback itself takes effect only
// once it was written to the store and read from there.
func (c *ServiceController) stopLocally(ctx context.Context, s *routing.Snapshot, r rollout.ServiceRollout, reason string) {
	for _, stop := range s.RolloutStops {
		if stop.RolloutID == r.ID() && stop.Instance == c.Identity.ID {
			return
		}
	}
	stop := rollout.Stop{RolloutID: r.ID(), Instance: c.Identity.ID, Reason: reason, SeenAt: clock.Now().UnixNano()}
	c.Loop.Post(ctx, control.LocalStopsEvent{Stops: []rollout.Stop{stop}})
}

// evidence merges the samples and local stops of this instance and its peers for a rollout.
func (c *ServiceController) evidence(s *routing.Snapshot, r rollout.ServiceRollout) rollout.Evidence {
	samples := rollout.Samples{}
	samples.Merge(c.Recorder.List())
	for _, reported := range s.PeerSamples {
		samples.Merge(reported)
	}
	stops := 0
	for _, stop := range s.RolloutStops {
		if stop.RolloutID == r.ID() {
			stops++
		}
	}
	return rollout.Evidence{Routes: samples.Routes(r.ID(), 0), LocalStops: stops, Complete: true}
}

// mayWrite reports whether this instance may write a state now, by its rendezvous rank.
func (c *ServiceController) mayWrite(s *routing.Snapshot, state external.RolloutState, now time.Time) bool {
	if _, known := c.pendingSince[state]; !known {
		c.pendingSince[state] = now
	}
	ids := []string{c.Identity.ID}
	for _, p := range s.Peers {
		if !p.Suspect {
			ids = append(ids, p.ID)
		}
	}
	rank := membership.Rank(state.Service, c.Identity.ID, ids)
	return now.Sub(c.pendingSince[state]) >= time.Duration(rank)*takeoverDelay
}

func (c *ServiceController) write(ctx context.Context, r rollout.ServiceRollout, state external.RolloutState, reason string) {
	entry, err := c.Documents.EncodeRolloutState(state)
	if err != nil {
		c.log(state, reason).WithError(err).Error("encoding a rollout state failed")
		return
	}
	unchanged := external.Condition{Key: entry.Key, ModRevision: r.Revision}
	ok, _, err := c.Store.Commit(ctx, []external.Condition{unchanged}, []external.Write{{Key: entry.Key, Value: entry.Value}})
	switch {
	case err != nil:
		c.log(state, reason).WithError(err).Warn("writing a rollout state failed; the next evaluation decides again from the state last read")
	case ok:
		c.log(state, reason).Info("rollout state written")
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
