package quarantine

import (
	"testing"
	"time"
)

// Guards against an upstream that ends silently and is not noticed, and against taking an
// upstream that is only slow, cut off or leaving for one that ended.
func TestAttemptsFindSilentEnds(t *testing.T) {
	start := time.Unix(100_000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	old, restarted := Process{Upstream: "a", StartedAt: 1}, Process{Upstream: "a", StartedAt: 2}
	listed := map[Process]bool{old: false}
	gone, back := map[Process]bool{}, map[Process]bool{restarted: false}
	abandon := func(_ *Attempts, a *Attempt) { a.Abandon(at(0.5)) }
	respond := func(s float64) func(*Attempts, *Attempt) {
		return func(tracker *Attempts, a *Attempt) {
			abandon(tracker, a)
			tracker.Begin(at(0), old, func() Subject { return Subject{Request: 8} }).Progress(at(s))
		}
	}
	for _, c := range []struct {
		name string
		act  func(*Attempts, *Attempt)
		list map[Process]bool
		when float64
		want int
	}{
		{"abandoned, then gone", abandon, gone, 4, 1},
		{"abandoned, then restarted", abandon, back, 4, 1},
		{"abandoned, still listed", abandon, listed, 4, 0},
		{"abandoned long before it was gone", func(tracker *Attempts, a *Attempt) {
			abandon(tracker, a)
			tracker.Sweep(at(11), listed)
		}, gone, 14, 0},
		{"abandoned, others are served later", respond(1.6), gone, 4, 0},
		{"abandoned, a response that was under way", respond(0.6), gone, 4, 1},
		{"abandoned, draining when last listed", func(tracker *Attempts, a *Attempt) {
			abandon(tracker, a)
			tracker.Sweep(at(1), map[Process]bool{old: true})
		}, gone, 4, 0},
		{"still running, gone", func(*Attempts, *Attempt) {}, gone, 4, 1},
		{"still running, gone a moment ago", func(*Attempts, *Attempt) {}, gone, 1, 0},
		{"still running, sends parts", func(_ *Attempts, a *Attempt) { a.Progress(at(3)) }, gone, 4, 0},
		{"sent to a process that was silent already", func(tracker *Attempts, a *Attempt) {
			a.Finish(at(0.4))
			tracker.Begin(at(0.6), old, func() Subject { return Subject{Request: 7} }).Abandon(at(0.8))
		}, gone, 4, 0},
		{"sent to a process that had nothing to do", func(tracker *Attempts, a *Attempt) {
			a.Finish(at(0.4))
			tracker.Begin(at(2.6), old, func() Subject { return Subject{Request: 7} }).Abandon(at(2.8))
		}, gone, 5, 1},
		{"complete", func(_ *Attempts, a *Attempt) { a.Finish(at(0.5)) }, gone, 4, 0},
	} {
		tracker := NewAttempts()
		a := tracker.Begin(at(0), old, func() Subject { return Subject{Request: 7} })
		c.act(tracker, a)
		crashes, _ := tracker.Sweep(at(c.when), c.list)
		if got := count(crashes, 7); got != c.want {
			t.Errorf("%s: %d crashes, want %d", c.name, got, c.want)
		}
		if again, _ := tracker.Sweep(at(c.when), c.list); count(again, 7) != 0 {
			t.Errorf("%s: the crash was reported again", c.name)
		}
	}
}

// Guards against taking a response that ended with its upstream for a complete one, and the reverse.
func TestAttemptsSettleResponsesThatEndWithTheConnection(t *testing.T) {
	start := time.Unix(100_000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	p := Process{Upstream: "a", StartedAt: 1}
	listed, gone := map[Process]bool{p: false}, map[Process]bool{}
	begin := func(tracker *Attempts, request Fingerprint, s float64) *Attempt {
		return tracker.Begin(at(s), p, func() Subject { return Subject{Request: request} })
	}
	progress := func(s float64) func(*Attempts) {
		return func(tracker *Attempts) { begin(tracker, 8, s).Progress(at(s)) }
	}
	for _, c := range []struct {
		name             string
		act              func(*Attempts)
		list             map[Process]bool
		when             float64
		crash, completed int
	}{
		{"gone", func(*Attempts) {}, gone, 4, 1, 0},
		{"still listed", func(*Attempts) {}, listed, 4, 0, 0},
		{"others are served a second later", progress(1.6), listed, 2, 0, 1},
		{"others are served a second later, then gone", progress(1.6), gone, 4, 0, 1},
		{"others were being served", progress(0.6), gone, 4, 1, 0},
		{"restarted under its id", progress(3.5), listed, 4, 0, 0},
		{"another connection breaks", func(tracker *Attempts) { begin(tracker, 8, 0).Break(at(0.6)) }, listed, 1.2, 1, 0},
		{"another connection breaks a moment ago", func(tracker *Attempts) { begin(tracker, 8, 0).Break(at(0.6)) }, listed, 0.9, 0, 0},
		{"another connection breaks, others are served", func(tracker *Attempts) {
			begin(tracker, 8, 0).Break(at(0.6))
			progress(0.7)(tracker)
		}, listed, 1.2, 0, 0},
		{"another connection breaks later", func(tracker *Attempts) { begin(tracker, 8, 0).Break(at(1.5)) }, listed, 2.5, 0, 0},
		{"draining", func(tracker *Attempts) { tracker.Sweep(at(1), map[Process]bool{p: true}) }, gone, 4, 0, 0},
	} {
		tracker := NewAttempts()
		a := begin(tracker, 7, 0)
		a.Progress(at(0.5))
		a.FinishUnproven(at(0.5), 200)
		c.act(tracker)
		crashes, completed := tracker.Sweep(at(c.when), c.list)
		if got := count(crashes, 7); got != c.crash || len(completed) != c.completed {
			t.Errorf("%s: %d crashes and %d completions, want %d and %d", c.name, got, len(completed), c.crash, c.completed)
		}
	}
}

func count(crashes []Crash, f Fingerprint) (n int) {
	for _, c := range crashes {
		if c.Fingerprint == f {
			n++
		}
	}
	return n
}
