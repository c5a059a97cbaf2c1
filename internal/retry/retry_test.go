package retry

import (
	"testing"
	"time"
)

// Guards against a write that is sent twice, a stream that is restarted after its caller
// received a part, and a request that crashes a third upstream.
func TestDecide(t *testing.T) {
	base := Attempt{Number: 1, Repeatable: true, Remaining: time.Second}
	for name, c := range map[string]struct {
		change func(*Attempt)
		want   Decision
	}{
		"delivered":                     {func(a *Attempt) { a.Outcome = Delivered }, Stop},
		"not sent":                      {func(a *Attempt) { a.Outcome = NotSent }, Again},
		"write not sent":                {func(a *Attempt) { a.Outcome = NotSent; a.Repeatable = false }, Again},
		"write that may have run":       {func(a *Attempt) { a.Outcome = Crashed; a.Repeatable = false }, Stop},
		"write that went silent":        {func(a *Attempt) { a.Outcome = TimedOut; a.Repeatable = false }, Stop},
		"silent":                        {func(a *Attempt) { a.Outcome = TimedOut }, Again},
		"first crash":                   {func(a *Attempt) { a.Outcome = Crashed; a.Crashes = 1 }, Again},
		"second crash":                  {func(a *Attempt) { a.Outcome = Crashed; a.Crashes = 2; a.Number = 2 }, Stop},
		"last attempt":                  {func(a *Attempt) { a.Outcome = Failed; a.Number = MaxAttempts }, Stop},
		"refused":                       {func(a *Attempt) { a.Outcome = NotRetryable }, Stop},
		"caller gone":                   {func(a *Attempt) { a.Outcome = RequestEnded }, Stop},
		"deadline passed":               {func(a *Attempt) { a.Outcome = Failed; a.Remaining = 0 }, Stop},
		"deadline too near":             {func(a *Attempt) { a.Outcome = Failed; a.Estimate = 2 * time.Second }, Stop},
		"stream cut":                    {func(a *Attempt) { a.Outcome = Truncated; a.ResponseStarted = true; a.Resumable = true }, Resume},
		"stream cut that cannot resume": {func(a *Attempt) { a.Outcome = Truncated; a.ResponseStarted = true }, Stop},
		"resume not limited by full length": {func(a *Attempt) {
			a.Outcome = Truncated
			a.ResponseStarted = true
			a.Resumable = true
			a.Estimate = time.Minute
		}, Resume},
	} {
		a := base
		c.change(&a)
		got, reason := Decide(a)
		if got != c.want {
			t.Errorf("%s: got %d, want %d", name, got, c.want)
		}
		if (reason == StopNone) != (got != Stop) {
			t.Errorf("%s: decision %d for the reason %q", name, got, reason)
		}
	}
}

// Guards against a retry storm while every request fails.
func TestBudget(t *testing.T) {
	var b Budget
	now := time.Unix(1000, 0)
	allowed := 0
	for i := range 2000 {
		at := now.Add(time.Duration(i) * 5 * time.Millisecond)
		b.RecordRequest(at)
		if b.Take(at) {
			allowed++
		}
	}
	if allowed < 195 || allowed > 203 {
		t.Fatalf("%d retries of 2000 requests, want about 10%%", allowed)
	}
	quiet := now.Add(time.Minute)
	for i := range budgetFloor {
		if !b.Take(quiet) {
			t.Fatalf("retry %d without traffic was not allowed", i)
		}
	}
	if b.Take(quiet) {
		t.Fatal("a retry above the floor was allowed")
	}
}

// Guards against rejecting requests because of a single slow response or an outdated
// service time.
func TestEstimates(t *testing.T) {
	var e Estimates
	now := time.Unix(1000, 0)
	for i := range minEstimateSamples {
		if got := e.Shortest(now, "m"); got != 0 {
			t.Fatalf("estimate %s from %d samples", got, i)
		}
		e.Observe(now, "m", time.Duration(9-i)*time.Second)
	}
	if got := e.Shortest(now, "m"); got != 5*time.Second {
		t.Fatalf("estimate %s, want the shortest, 5s", got)
	}
	if got := e.Shortest(now.Add(6*time.Second), "m"); got != 5*time.Second {
		t.Fatalf("estimate %s after 6s, want 5s", got)
	}
	if got := e.Shortest(now.Add(30*time.Second), "m"); got != 0 {
		t.Fatalf("estimate %s after 30s, want none", got)
	}
}
