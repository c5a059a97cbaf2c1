// Package rolloutctl executes version rollouts according to the decisions of package
// rollout.
//
// The leader of a failure domain, which holds the domain's leader lease, sends orders to
// the engines of the domain and writes the domain's evidence to the key-value service.
// The leader of the failure domain that owns a rollout also writes the rollout's states.
// All other instances learn the states from the watchers of their domain and from
// heartbeats, see package control.
package rolloutctl

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/external"
	"heatherloom/internal/lease"
	"heatherloom/internal/membership"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
)

// Timing holds the durations of a controller.
type Timing struct {
	// Interval is the time between two reconciliations. In each one, every watcher reads
	// the rollout states once, which is 142 reads/s at 284 watchers.
	Interval time.Duration
	// EvidenceInterval is the time between two writes of a domain's evidence.
	EvidenceInterval time.Duration
	// EvidenceMaxAge is the age above which the evidence of a domain counts as missing.
	EvidenceMaxAge time.Duration
	// OrderDelay is how long a new leader sends no engine orders. An engine that ignores fencing
	// tokens could otherwise receive a delayed order of the previous leader after them.
	OrderDelay time.Duration
	Rules      rollout.Rules
}

// orderMargin covers an engine order that the previous leader sent at the end of its lease (the
// call times out after 1 s) and a pause between its last check of the lease and the call.
const orderMargin = 2 * time.Second

// DefaultTiming returns the durations used in production.
func DefaultTiming() Timing {
	return Timing{
		Interval:         2 * time.Second,
		EvidenceInterval: 5 * time.Second,
		EvidenceMaxAge:   15 * time.Second,
		OrderDelay:       lease.DefaultTTL + orderMargin,
		Rules:            rollout.DefaultRules(),
	}
}

// Lease is the leader lease of the own failure domain.
type Lease interface {
	Valid() (token int64, ok bool)
}

// Controller runs the rollouts on one entry instance. Its methods are called only by the
// goroutine of Run.
type Controller struct {
	Identity control.Identity
	Loop     *control.Loop
	Store    external.Store
	Lease    Lease
	// IsWatcher reports whether this instance reads the states for its failure domain.
	IsWatcher func() bool
	Engines   external.EngineControl
	// Weights is asked for a version before engines load it; may be nil.
	Weights  external.WeightStore
	Recorder *Recorder
	// Probe sends a probe request and discards the response; nil disables probes.
	Probe func(ctx context.Context, r *dispatch.Request)
	// AnnounceToDomain immediately sends a heartbeat to the own failure domain.
	AnnounceToDomain func(ctx context.Context)
	Timing           Timing
	Log              *logrus.Entry

	term          leaseTerm
	reportChanges map[string]reportChange
	lastReport    time.Time
	nextLoad      time.Time
}

// leaseTerm is the period for which this instance has held the lease without
// interruption.
type leaseTerm struct {
	// token is the ModRevision of the lease key.
	token int64
	since time.Time
}

// Run executes rollouts until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.Timing.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.reconcile(ctx)
	}
}

func (c *Controller) reconcile(ctx context.Context) {
	snapshot := c.Loop.Snapshot()
	c.observeEngines(ctx, snapshot)
	c.Recorder.prune(snapshot)
	token, isLeader := c.Lease.Valid()
	if !isLeader {
		c.term, c.reportChanges = leaseTerm{}, nil
	}
	if !isLeader && !c.IsWatcher() {
		return
	}
	records, err := c.readRecords(ctx)
	if err != nil {
		c.warn("reading the rollout states failed; traffic shares stay as they are", err)
	}
	if !isLeader {
		return
	}
	c.beginTerm(token)
	if err == nil && snapshot.Ready {
		c.reportEvidence(ctx, snapshot, records)
		c.decide(ctx, snapshot, records)
	}
	c.orderEngines(ctx, snapshot)
}

func (c *Controller) beginTerm(token int64) {
	if c.term.token != token {
		c.term = leaseTerm{token: token, since: time.Now()}
		c.reportChanges = map[string]reportChange{}
	}
}

// holdsLease reports whether the lease under which the reconciliation began is still
// valid.
func (c *Controller) holdsLease() bool {
	token, ok := c.Lease.Valid()
	return ok && token == c.term.token
}

// owns reports whether the own failure domain owns the rollout with the given id.
func (c *Controller) owns(s *routing.Snapshot, rolloutID string) bool {
	var domains []string
	for name := range s.Config.FailureDomains {
		domains = append(domains, name)
	}
	if len(domains) == 0 {
		domains = liveDomains(s)
	}
	slices.Sort(domains)
	return membership.Owner(rolloutID, domains) == c.Identity.FailureDomain
}

// liveDomains returns the failure domains with at least one entry instance that is not
// suspected to have failed, including the own one.
func liveDomains(s *routing.Snapshot) []string {
	domains := []string{s.FailureDomain}
	for _, p := range s.Peers {
		if !p.Suspect && !slices.Contains(domains, p.FailureDomain) {
			domains = append(domains, p.FailureDomain)
		}
	}
	return domains
}

// decide creates the records of configured rollouts, advances the owned ones that are in
// progress, and deletes those that are no longer needed.
func (c *Controller) decide(ctx context.Context, s *routing.Snapshot, records records) {
	for id, configured := range s.Config.Rollouts {
		if _, exists := records[id]; !exists && c.owns(s, id) && c.canStart(s, records, configured) {
			c.create(ctx, s, records, configured)
		}
	}
	for id, r := range records {
		if !c.owns(s, id) {
			continue
		}
		rollouts := records.forTarget(r.state.Target)
		if control.Prunable(s.Config, r.state, rollouts) {
			c.deleteRecord(ctx, r)
		} else if active, ok := rollout.ActiveRollout(rollouts); ok && active.ID() == id {
			c.step(ctx, s, r)
		}
	}
}

// canStart reports whether a configured rollout without a record can start: its version
// does not serve the traffic yet, no other rollout of the target is in progress, and no
// other one waiting to start has an earlier deadline.
func (c *Controller) canStart(s *routing.Snapshot, records records, configured opconfig.Rollout) bool {
	model, known := s.Config.Models[configured.Target]
	rollouts := records.forTarget(configured.Target)
	if !known || rollout.RunningVersion(model.Version, rollouts) == configured.Version {
		return false
	}
	running := rollout.RunningVersion(model.Version, rollouts)
	for id, other := range s.Config.Rollouts {
		_, recorded := records[id]
		if other.Target == configured.Target && !recorded && other.Version != running {
			rollouts = append(rollouts, rollout.Rollout{Target: other.Target, Version: other.Version, Deadline: other.Deadline, State: rollout.Planned})
		}
	}
	first, _ := rollout.ActiveRollout(rollouts)
	return first.ID() == configured.ID()
}

func (c *Controller) create(ctx context.Context, s *routing.Snapshot, records records, configured opconfig.Rollout) {
	now := time.Now()
	r := rollout.Rollout{
		Target:    configured.Target,
		Version:   configured.Version,
		From:      rollout.RunningVersion(s.Config.Models[configured.Target].Version, records.forTarget(configured.Target)),
		Started:   now,
		Deadline:  configured.Deadline,
		State:     rollout.Planned,
		StepSince: now,
	}
	c.write(ctx, record{}, r)
}

func (c *Controller) step(ctx context.Context, s *routing.Snapshot, r record) {
	evidence, upstreams, err := c.collectEvidence(ctx, s, r.state)
	if err != nil {
		c.warn("reading the rollout evidence failed", err)
		return
	}
	now := time.Now()
	next := c.Timing.Rules.Step(r.state, upstreams, evidence, now)
	if next != r.state {
		c.write(ctx, r, next)
	}
	c.probe(ctx, next, evidence, now)
}

func (c *Controller) warn(message string, err error) {
	c.Log.WithField("event", "rollout").WithError(err).Warn(message)
}
