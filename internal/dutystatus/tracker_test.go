package dutystatus

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/external"
	"heatherloom/internal/telemetry"
)

// fixedAPI is an API whose calls all have the same result.
type fixedAPI struct{ err error }

func (a *fixedAPI) ReportUsage(context.Context, external.Fence, external.UsageReport) error {
	return a.err
}

func (a *fixedAPI) OrderCapacity(context.Context, external.Fence, external.CapacityOrder) error {
	return a.err
}

func newTracker(api external.DutyAPI, now time.Time) (*Tracker, *telemetry.Metrics) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	metrics := telemetry.NewMetrics(telemetry.Sources{})
	duties := metrics.RegisterDuties(telemetry.DutySources{
		Held:    map[string]func() float64{"usage_report": func() float64 { return 1 }},
		Windows: func() map[string]int64 { return map[string]int64{"in_time": 4} },
		Ordered: func() []telemetry.OrderedCapacity {
			return []telemetry.OrderedCapacity{{Service: "s", FailureDomain: "a", Upstreams: 6}}
		},
	})
	return New(api, 5*time.Second, duties, logrus.NewEntry(log), func() time.Time { return now }), metrics
}

// Guards against a call that may have taken effect and is shown as rejected, or the other way round.
func TestOutcome(t *testing.T) {
	for want, err := range map[string]error{
		OutcomeAccepted:    nil,
		OutcomeStaleFence:  fmt.Errorf("wrapped: %w", external.ErrStaleFence),
		OutcomeRateLimited: &external.RateLimitedError{},
		OutcomeNoResponse:  errors.Join(external.ErrUnavailable, io.EOF),
		OutcomeRejected:    errors.New("status 500"),
	} {
		if got := Outcome(err); got != want {
			t.Errorf("%v is %s, want %s", err, got, want)
		}
	}
}

// Guards against a delay that counts from the wrong end of the window or from a call without an effect, and against
// metrics under other names than the documented ones.
func TestUsageMetrics(t *testing.T) {
	api := &fixedAPI{}
	tracker, metrics := newTracker(api, time.Unix(1003, 0))
	_ = tracker.ReportUsage(t.Context(), external.Fence{}, external.UsageReport{Window: 199})
	api.err = external.ErrUnavailable
	_ = tracker.ReportUsage(t.Context(), external.Fence{}, external.UsageReport{Window: 200})
	if status := tracker.Status(external.DutyUsageReport); status.LastCall != OutcomeNoResponse || status.LastCallSeconds != 0 {
		t.Errorf("status %+v", status)
	}
	w := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`heatherloom_duty_held{duty="usage_report"} 1`, `heatherloom_duty_calls_total{duty="usage_report",outcome="no_response"} 1`,
		`heatherloom_usage_windows_total{outcome="in_time"} 4`, `heatherloom_usage_delay_seconds_sum 3`, `heatherloom_usage_delay_seconds_count 1`,
		`heatherloom_capacity_ordered{failure_domain="a",service="s"} 6`,
	} {
		if !strings.Contains(w.Body.String(), line+"\n") {
			t.Errorf("the metrics lack %s", line)
		}
	}
}
