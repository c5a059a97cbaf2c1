package external

import "context"

// Duty is a kind of call to the platform that one instance makes at a time.
type Duty string

// Duties that a platform may ask for.
const (
	// DutyUsageReport reports how many requests of each client account ran.
	DutyUsageReport Duty = "usage_report"
	// DutyAutoscaler orders the number of upstreams of each service.
	DutyAutoscaler Duty = "autoscaler"
)

// Fence identifies the holder of a duty in the calls that it makes.
type Fence struct {
	// Holder is the ID of the instance.
	Holder string
	// Token increases each time the duty changes hands, also if the store is restored from an
	// older copy in between.
	Token int64
}

// UsageReport holds the number of requests that upstreams began to run in a window of time.
type UsageReport struct {
	// Window is the number of the window. Window k begins k window lengths after the Unix epoch.
	Window int64 `json:"window"`
	// Counts are the requests by client account.
	Counts map[string]int64 `json:"counts"`
}

// CapacityOrder sets the number of upstreams of a service in a failure domain. It is idempotent,
// because it states the desired number rather than a change.
type CapacityOrder struct {
	Service       string
	FailureDomain string
	Desired       int
}

// DutyAPI is the API of the platform for calls that one instance makes at a time. Its calls return
// ErrStaleFence if the API has accepted a call with a higher token, a *RateLimitedError if its rate
// limit is exceeded, and ErrUnavailable without a response, after which the call may have taken
// effect. They are not repeated.
type DutyAPI interface {
	// ReportUsage reports the usage of a window. An exact repeat has no effect; a report with other
	// counts for the same window must never be sent.
	ReportUsage(ctx context.Context, f Fence, r UsageReport) error
	// OrderCapacity sets the number of upstreams of a service in a failure domain.
	OrderCapacity(ctx context.Context, f Fence, o CapacityOrder) error
}
