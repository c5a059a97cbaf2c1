// Package dutystatus records what an instance does for the duties that it holds: the calls to the
// platform's API, for the status, the metrics and the log. It makes no decisions.
package dutystatus

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/external"
	"heatherloom/internal/operatorapi"
	"heatherloom/internal/telemetry"
)

// Outcomes of calls to the duty API, in the status, in metrics and in logs.
const (
	OutcomeAccepted    = "accepted"
	OutcomeStaleFence  = "stale_fence"
	OutcomeRateLimited = "rate_limited"
	// OutcomeNoResponse is the outcome of a call that may have taken effect.
	OutcomeNoResponse = "no_response"
	OutcomeRejected   = "rejected"
)

// Outcome returns the name of the outcome of a call to an external.DutyAPI.
func Outcome(err error) string {
	var limited *external.RateLimitedError
	switch {
	case err == nil:
		return OutcomeAccepted
	case errors.Is(err, external.ErrStaleFence):
		return OutcomeStaleFence
	case errors.As(err, &limited):
		return OutcomeRateLimited
	case errors.Is(err, external.ErrUnavailable):
		return OutcomeNoResponse
	}
	return OutcomeRejected
}

// Tracker passes calls on to an API and records them. It implements external.DutyAPI and is safe
// for concurrent use.
type Tracker struct {
	api     external.DutyAPI
	log     *logrus.Entry
	metrics *telemetry.DutyMetrics
	// window is the length of a window of usage.
	window time.Duration
	// now returns the true time.
	now func() time.Time

	mu    sync.Mutex
	calls map[external.Duty]lastCall
}

// lastCall is the last call for a duty.
type lastCall struct {
	outcome string
	at      time.Time
}

var _ external.DutyAPI = (*Tracker)(nil)

// New returns a tracker of the calls to api. window is the length of a window of usage, now the true
// time.
func New(api external.DutyAPI, window time.Duration, metrics *telemetry.DutyMetrics, log *logrus.Entry, now func() time.Time) *Tracker {
	return &Tracker{
		api: api, log: log, metrics: metrics, window: window, now: now,
		calls: map[external.Duty]lastCall{},
	}
}

// ReportUsage implements external.DutyAPI.
func (t *Tracker) ReportUsage(ctx context.Context, f external.Fence, r external.UsageReport) error {
	started := t.now()
	err := t.api.ReportUsage(ctx, f, r)
	t.record(external.DutyUsageReport, f, started, err, logrus.Fields{"window": r.Window, "accounts": len(r.Counts)})
	if err == nil {
		t.metrics.RecordUsageDelay(t.now().Sub(time.Unix(0, 0).Add(time.Duration(r.Window+1) * t.window)))
	}
	return err
}

// OrderCapacity implements external.DutyAPI.
func (t *Tracker) OrderCapacity(ctx context.Context, f external.Fence, o external.CapacityOrder) error {
	started := t.now()
	err := t.api.OrderCapacity(ctx, f, o)
	t.record(external.DutyAutoscaler, f, started, err, logrus.Fields{telemetry.FieldService: o.Service, "failure_domain": o.FailureDomain, "desired": o.Desired})
	return err
}

func (t *Tracker) record(duty external.Duty, f external.Fence, started time.Time, err error, fields logrus.Fields) {
	outcome, ended := Outcome(err), t.now()
	t.metrics.RecordCall(string(duty), outcome)
	t.mu.Lock()
	t.calls[duty] = lastCall{outcome, ended}
	t.mu.Unlock()
	fields[telemetry.FieldEvent] = "duty_call"
	fields["duty"], fields["token"], fields["outcome"] = duty, f.Token, outcome
	fields[telemetry.FieldMillis] = ended.Sub(started).Milliseconds()
	entry := t.log.WithFields(fields)
	if err == nil {
		entry.Debug("the platform accepted the call")
		return
	}
	entry.WithError(err).Warn("the platform did not accept the call, or its response did not arrive")
}

// Status returns the last call of this instance for a duty. The other fields are left empty.
func (t *Tracker) Status(duty external.Duty) operatorapi.Duty {
	status := operatorapi.Duty{Name: string(duty)}
	t.mu.Lock()
	defer t.mu.Unlock()
	if call, known := t.calls[duty]; known {
		status.LastCall, status.LastCallSeconds = call.outcome, t.now().Sub(call.at).Seconds()
	}
	return status
}
