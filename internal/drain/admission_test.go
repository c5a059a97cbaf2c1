package drain

import (
	"context"
	"testing"
	"time"

	"heatherloom/internal/errkind"
)

// announced returns a controller of which the phase Announced began a time ago, as it interrupts
// requests after 7 s.
func announced(ago time.Duration, others bool) *Controller {
	c := NewController()
	c.OthersServe = func() bool { return others }
	for range 20 {
		c.Observe("quick", 20*time.Millisecond)
		c.Observe("long", 9*time.Second)
	}
	c.RequestDrain("test")
	c.progress.RequestedAt = time.Now().Add(-ago)
	c.schedule(Schedule{Announced: 1500*time.Millisecond - ago, Interrupt: 7*time.Second - ago})
	return c
}

func TestDrainAdmitsNothingThatItWouldInterrupt(t *testing.T) {
	const timeout = 15 * time.Second
	for name, c := range map[string]struct {
		demand Demand
		ago    time.Duration
		others bool
		want   bool
	}{
		"quick read":                           {Demand{Kind: "quick", Longest: timeout, Repeatable: true}, 0, true, true},
		"long read":                            {Demand{Kind: "long", Longest: timeout, Repeatable: true}, 0, true, false},
		"read of unknown length":               {Demand{Kind: "new", Longest: timeout, Repeatable: true}, 0, true, false},
		"read with a short deadline":           {Demand{Kind: "new", Longest: 3 * time.Second, Repeatable: true}, 0, true, true},
		"write that may take long":             {Demand{Kind: "quick", Longest: timeout}, 0, true, false},
		"write with a short deadline":          {Demand{Kind: "long", Longest: 3 * time.Second}, 0, true, true},
		"late stream":                          {Demand{Kind: "quick", Longest: timeout, Repeatable: true, Stream: true}, 4 * time.Second, true, false},
		"early stream":                         {Demand{Kind: "quick", Longest: timeout, Repeatable: true, Stream: true}, 0, true, true},
		"long read, no other instance":         {Demand{Kind: "long", Longest: timeout, Repeatable: true}, 0, false, true},
		"long write, no other instance":        {Demand{Kind: "long", Longest: timeout}, 0, false, false},
		"quick write, no other instance":       {Demand{Kind: "quick", Longest: timeout}, 0, false, true},
		"late stream, no other instance":       {Demand{Kind: "quick", Longest: timeout, Repeatable: true, Stream: true}, 4 * time.Second, false, false},
		"late short stream, no other instance": {Demand{Kind: "quick", Longest: 2 * time.Second, Repeatable: true, Stream: true}, 4 * time.Second, false, true},
		"late quick read, no other instance":   {Demand{Kind: "quick", Longest: timeout, Repeatable: true}, 4 * time.Second, false, true},
	} {
		err := announced(c.ago, c.others).Acquire(c.demand)
		if (err == nil) != c.want {
			t.Errorf("%s: admitted %v, want %v", name, err == nil, c.want)
		}
		if err != nil && (err.Kind != errkind.Draining || err.Execution != errkind.NotExecuted) {
			t.Errorf("%s: rejected as %s, ran %s", name, err.Kind, err.Execution)
		}
	}
}

func TestDrainServesWhileNoOtherInstanceDoes(t *testing.T) {
	c := NewController()
	others := make(chan struct{})
	c.OthersServe = func() bool {
		select {
		case <-others:
			return true
		default:
			return false
		}
	}
	c.RequestDrain("test")
	done := make(chan error, 1)
	go func() {
		done <- c.Run(context.Background(), Schedule{Announced: time.Millisecond, Interrupt: time.Minute, Respond: time.Second})
	}()
	time.Sleep(3 * othersPollInterval)
	if err := c.Acquire(Demand{Longest: time.Second}); err != nil {
		t.Fatalf("rejected although no other instance serves: %v", err)
	}
	c.Release()
	close(others)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if c.Acquire(Demand{}) == nil {
		t.Error("admitted after the drain")
	}
}
