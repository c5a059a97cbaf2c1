package autoscale

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/telemetry"
)

const (
	// collectInterval is the time between two decisions, and collectTimeout the longest wait for responses, so that an
	// instance that does not respond delays no decision.
	collectInterval = time.Second
	collectTimeout  = 700 * time.Millisecond
	// callTimeout is the time limit of an order unless Autoscaler has another one. The permit has to be valid for as long.
	callTimeout = time.Second
	// repeatInterval is the time after which an order is repeated: a call without a response may have had no effect.
	repeatInterval = 30 * time.Second
	// rateLimitPause is the pause after a rejection that names no time.
	rateLimitPause = time.Second
	// rejectedPause is the pause after which an order is tried again that the API answered and rejected.
	rejectedPause = 5 * time.Second
	// maxCallsPerRound bounds the orders between two decisions. The API accepts 50 calls a second, also from the holder
	// of the other duty.
	maxCallsPerRound = 20
	// sendTime is the time after which a round sends no further order, so that a slow API delays no decision for long.
	sendTime = 2 * time.Second
)

// CollectFunc asks the instances of all regions for the load of services. It returns when all have responded or ctx ends.
type CollectFunc func(ctx context.Context, services []string) []RegionLoads

// Autoscaler orders upstreams while this instance holds the duty. Its exported fields are set before Run.
type Autoscaler struct {
	// Permit returns the fence of the duty and until when this instance may use it; ok is false if it may not.
	Permit func() (fence external.Fence, until time.Time, ok bool)
	API    external.DutyAPI
	// CallTimeout is the time limit of an order, which is shorter than a permit; 0 for callTimeout.
	CallTimeout time.Duration
	// ReportOutcome, if it is not nil, is called with the outcome of each call.
	ReportOutcome func(error)
	Collect       CollectFunc
	// Services returns the services of the operators' configuration. Those without Autoscale are left alone.
	Services func() map[string]opconfig.Service
	// Now is the clock of Permit.
	Now func() time.Time
	Log *logrus.Entry

	state State
	// token is that for which state holds, and staleToken one that the API no longer accepts; 0 for none.
	token, staleToken int64
	sent              map[subject]sentOrder
	pausedUntil       time.Time

	mu     sync.Mutex
	status []Status
}

type subject struct{ service, failureDomain string }

// sentOrder is the latest call for a subject.
type sentOrder struct {
	// accepted is true if the API accepted desired.
	accepted         bool
	desired, running int
	at               time.Time
	// pausedUntil is until when a rejected order is not tried again.
	pausedUntil time.Time
	outcome     string
}

// Status is the state of an order.
type Status struct {
	Order
	// Accepted is the number that the API accepted last, at AcceptedAt, which is zero if it accepted none.
	Accepted   int
	AcceptedAt time.Time
	// Outcome is that of the latest call; empty if there was none.
	Outcome string
}

// Status returns the orders, sorted by service and failure domain; none if this instance does not hold the duty.
func (a *Autoscaler) Status() []Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.status)
}

// Run decides and sends orders until ctx ends, while Permit allows it.
func (a *Autoscaler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := a.Now()
		a.round(ctx)
		clock.Sleep(ctx, max(collectInterval-a.Now().Sub(started), collectInterval/10))
	}
}

// round makes one decision and sends the orders that are due.
func (a *Autoscaler) round(ctx context.Context) {
	services := a.Services()
	names := Autoscaled(services)
	fence, _, ok := a.Permit()
	if !ok || fence.Token == a.staleToken || len(names) == 0 {
		a.reset(0)
		return
	}
	if fence.Token != a.token {
		a.reset(fence.Token)
	}
	loads := a.collect(ctx, names)
	a.state.retain(services)
	orders := Decide(a.Now(), &a.state, Pools(services, loads))
	a.send(ctx, orders)
	a.publish(orders)
}

func (a *Autoscaler) collect(ctx context.Context, services []string) []RegionLoads {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	return a.Collect(ctx, services)
}

// reset forgets what belongs to another token.
func (a *Autoscaler) reset(token int64) {
	a.token, a.state, a.sent = token, State{}, map[subject]sentOrder{}
	a.publish(nil)
}

// retain forgets services that may no longer be scaled.
func (s *State) retain(services map[string]opconfig.Service) {
	maps.DeleteFunc(s.pools, func(key poolKey, _ *poolState) bool { return services[key.service].Autoscale == nil })
}

// publish sets what Status returns.
func (a *Autoscaler) publish(orders []Order) {
	status := make([]Status, 0, len(orders))
	for _, o := range orders {
		s := Status{Order: o}
		last := a.sent[subject{o.Service, o.FailureDomain}]
		s.Outcome = last.outcome
		if last.accepted {
			s.Accepted, s.AcceptedAt = last.desired, last.at
		}
		status = append(status, s)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = status
}

// due returns the orders to send now: those of more upstreams first, then those that were sent longest ago.
func (a *Autoscaler) due(now time.Time, orders []Order) (due []Order) {
	last := func(o Order) sentOrder { return a.sent[subject{o.Service, o.FailureDomain}] }
	for _, o := range orders {
		l := last(o)
		// Upstreams that ended below the ordered number are asked for again without the wait.
		ended := o.Running < l.running && o.Running < o.Desired
		if now.Before(l.pausedUntil) || (l.accepted && l.desired == o.Desired && !ended && now.Sub(l.at) < repeatInterval) {
			continue
		}
		due = append(due, o)
	}
	rank := func(o Order) int {
		if o.Desired > max(last(o).desired, o.Running) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(due, func(x, y Order) int {
		return cmp.Or(cmp.Compare(rank(x), rank(y)), last(x).at.Compare(last(y).at))
	})
	return due[:min(len(due), maxCallsPerRound)]
}

// send sends the orders that are due. Nothing is queued: what cannot be sent now is decided anew in the next round.
func (a *Autoscaler) send(ctx context.Context, orders []Order) {
	started := a.Now()
	if started.Before(a.pausedUntil) {
		return
	}
	for _, o := range a.due(started, orders) {
		fence, until, ok := a.Permit()
		checked, timeout := a.Now(), cmp.Or(a.CallTimeout, callTimeout)
		if !ok || checked.Sub(started) >= sendTime || fence.Token != a.token || until.Sub(checked) < timeout || ctx.Err() != nil {
			return
		}
		if !a.call(ctx, fence, o, checked.Add(timeout)) {
			return
		}
	}
}

// call sends an order before a deadline by the clock of Permit, and reports whether another one may follow at once.
func (a *Autoscaler) call(ctx context.Context, fence external.Fence, o Order, deadline time.Time) bool {
	callCtx, cancel := context.WithDeadline(ctx, deadline)
	err := a.API.OrderCapacity(callCtx, fence, external.CapacityOrder{Service: o.Service, FailureDomain: o.FailureDomain, Desired: o.Desired})
	cancel()
	if a.ReportOutcome != nil {
		a.ReportOutcome(err)
	}
	now := a.Now()
	key := subject{o.Service, o.FailureDomain}
	last := a.sent[key]
	var limited *external.RateLimitedError
	next := true
	switch {
	case err == nil:
		if !last.accepted || last.desired != o.Desired {
			a.log(o).Info("ordered another number of upstreams")
		}
		last = sentOrder{accepted: true, desired: o.Desired, running: o.Running, at: now, outcome: "accepted"}
	case errors.As(err, &limited):
		last.outcome, next = "rate limited", false
		a.pausedUntil = now.Add(cmp.Or(max(limited.RetryAfter, 0), rateLimitPause))
	case errors.Is(err, external.ErrStaleFence):
		last.outcome, next = "stale token", false
		a.staleToken = fence.Token
		a.log(o).WithError(err).Warn("the API has accepted an order of a later holder; no more orders with this token")
	case errors.Is(err, external.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded):
		// The number that the API has now is not known.
		last.accepted, last.outcome, next = false, "no response", false
	default:
		last.outcome, last.pausedUntil = "rejected", now.Add(rejectedPause)
		a.log(o).WithError(err).Warn("the API rejected an order")
	}
	a.sent[key] = last
	return next
}

func (a *Autoscaler) log(o Order) *logrus.Entry {
	return a.Log.WithFields(logrus.Fields{
		telemetry.FieldEvent:   "capacity_ordered",
		telemetry.FieldService: o.Service,
		"failure_domain":       o.FailureDomain,
		"desired":              o.Desired,
		"running":              o.Running,
		telemetry.FieldReason:  o.Reason,
	})
}
