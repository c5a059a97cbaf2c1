package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"heatherloom/internal/retry"
)

// Simulates eight instances on which every request asks for a retry. Guards against more
// retries over all instances in any window than the share and the slack allow.
func TestBudgetsKeepTheLimitOverAllInstances(t *testing.T) {
	const (
		instances = 8
		window    = 10 * time.Second
	)
	limits := retry.Limits{Share: 0.2, Slack: 56}
	rng := rand.New(rand.NewPCG(1, 1))
	budgets := make([]*retry.Budgets, instances)
	for i := range budgets {
		budgets[i] = retry.NewBudgets(limits)
	}
	now := time.Unix(1000, 0)
	var requests, retries []time.Time
	for range 6000 {
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
		i := rng.IntN(instances)
		budgets[i].RecordRequest(now, "s")
		requests = append(requests, now)
		if budgets[i].Take(now, "s", instances) {
			retries = append(retries, now)
		}
	}
	for _, from := range retries {
		in := func(times []time.Time) (n int) {
			for _, at := range times {
				if !at.Before(from) && at.Before(from.Add(window)) {
					n++
				}
			}
			return n
		}
		if used, allowed := float64(in(retries)), limits.Share*float64(in(requests))+limits.Slack; used > allowed {
			t.Fatalf("%v retries in a window, limit %v", used, allowed)
		}
	}
	if len(retries) == 0 {
		t.Error("no retry was allowed")
	}
}

// Guards against a budget that allows more retries because some were made without asking it.
func TestBudgetsChargeRetriesMadeWithoutAsking(t *testing.T) {
	budgets := retry.NewBudgets(retry.Limits{Slack: 10})
	now := time.Unix(1000, 0)
	budgets.RecordRetries(now, "s", 6)
	if !budgets.Take(now, "s", 1) || budgets.Take(now, "s", 1) {
		t.Error("want one more retry of seven after six")
	}
}
