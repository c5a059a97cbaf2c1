package retry

import (
	"sync"
	"time"
)

// Limits limit the retries to a service over all instances. In any window of 10 s, at most
// Share times the number of its requests plus Slack retries are allowed.
type Limits struct {
	Share float64
	Slack float64
}

// budgetSafetyFactor is the fraction of the limits that is used, because instances count at
// different times and a window may begin in the middle of a bucket.
const budgetSafetyFactor = 0.7

// resumeShare is the fraction of the retries to a service that only streams which have begun may use.
const resumeShare = 0.25

// Budgets holds one Budget for each service. The slack is divided evenly among the
// instances; the share needs no division, because each instance applies it to its own
// requests. It is safe for concurrent use.
type Budgets struct {
	limits Limits

	mu       sync.Mutex
	services map[string]*Budget
}

// NewBudgets returns Budgets with the given limits.
func NewBudgets(limits Limits) *Budgets {
	return &Budgets{limits: limits, services: map[string]*Budget{}}
}

// forService returns the budget of the service and creates it if needed.
func (b *Budgets) forService(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.services[service]
	if !ok {
		budget = &Budget{}
		b.services[service] = budget
	}
	return budget
}

// RecordRequest counts a request of a caller for the service.
func (b *Budgets) RecordRequest(now time.Time, service string) {
	b.forService(service).RecordRequest(now)
}

// RecordRetries counts retries to the service that were made without Take.
func (b *Budgets) RecordRetries(now time.Time, service string, n int) {
	b.forService(service).Record(now, n)
}

// Take reports whether one more retry to the service is allowed, and counts it if so.
func (b *Budgets) Take(now time.Time, service string, instances int) bool {
	return b.forService(service).take(now, b.limit(instances))
}

// TakeBeforeStream is Take for the retry of a stream of which the caller has received nothing. It leaves
// resumeShare of the limit to streams that have begun, which would be cut without a retry.
func (b *Budgets) TakeBeforeStream(now time.Time, service string, instances int) bool {
	limit := b.limit(instances)
	return b.forService(service).take(now, func(requests int64) float64 {
		whole := limit(requests)
		return min(whole, max(1, (1-resumeShare)*whole))
	})
}

// limit returns the limit of one of several instances by the number of its requests.
func (b *Budgets) limit(instances int) func(requests int64) float64 {
	share := b.limits.Share * budgetSafetyFactor
	floor := b.limits.Slack * budgetSafetyFactor / float64(max(instances, 1))
	return func(requests int64) float64 { return floor + share*float64(requests) }
}
