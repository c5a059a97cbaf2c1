package usage

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"
)

const testWindow = 5 * time.Second

// at returns a time in the window with the given number.
func at(window int64, offset time.Duration) time.Time {
	return windowStart(window, testWindow).Add(offset)
}

// Guards against counts that depend on the order of copies, or that a repeated or partial copy changes.
func TestCopiesMergeInAnyOrderAndRepeatedly(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 200 {
		from := NewLedger(Process{Instance: "a", Started: 1}, testWindow)
		var messages [][]Part
		to := Process{Instance: "b", Started: 1}
		for second := range 20 {
			now := at(100, time.Duration(second)*time.Second)
			for range rng.IntN(20) {
				from.Record(fmt.Sprint("account", rng.IntN(5)), now)
			}
			parts, mark := from.Changes(to, now)
			messages = append(messages, parts)
			if rng.IntN(2) == 0 {
				from.Acknowledge(to, mark)
			}
		}
		end := at(104, 200*time.Millisecond)
		from.Forget(to)
		last, _ := from.Changes(to, end)
		messages = append(messages, last)
		for range 10 {
			messages = append(messages, messages[rng.IntN(len(messages))])
		}
		rng.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
		copied := NewLedger(to, testWindow)
		for _, parts := range messages {
			copied.Merge(from.Self(), parts, false, end)
		}
		q := Query{Windows: []int64{102, 103}, CopiesOf: []string{"a"}, CopiesOnly: true}
		for _, part := range copied.Answer(q, end, end).Parts {
			own := from.Own(part.Window, end)
			if !maps.Equal(part.Counts, own.Counts) || !part.complete() {
				t.Fatalf("round %d, window %d: copy %v (complete %t), counted %v", round, part.Window, part.Counts, part.complete(), own.Counts)
			}
		}
	}
}

// Guards against a copy that counts as complete while a message with some of its counts was lost.
func TestACopyThatLacksCountsIsNotComplete(t *testing.T) {
	from, to := NewLedger(Process{Instance: "a"}, testWindow), Process{Instance: "b"}
	from.Record("x", at(10, 0))
	_, mark := from.Changes(to, at(10, time.Second))
	from.Acknowledge(to, mark) // The recipient has restarted since and lost it.
	from.Record("y", at(10, 2*time.Second))
	parts, _ := from.Changes(to, at(11, time.Second))
	copied := NewLedger(to, testWindow)
	copied.Merge(from.Self(), parts, false, at(11, time.Second))
	answer := copied.Answer(Query{Windows: []int64{10}, CopiesOf: []string{"a"}, CopiesOnly: true}, at(11, time.Second), at(11, time.Second))
	if len(answer.Parts) != 1 || answer.Parts[0].complete() {
		t.Fatalf("parts %+v, want one that is not complete", answer.Parts)
	}
}

// Guards against counts of a killed instance that the holder does not learn of, and against copies of running ones in
// each answer.
func TestAnswersHoldCopiesOfSilentAndEndedProcesses(t *testing.T) {
	now := at(20, 0)
	l := NewLedger(Process{Instance: "self"}, testWindow)
	part := func(p Process) []Part {
		return []Part{{Process: p, Window: 19, Counts: map[string]int64{"x": 1}, Total: 1}}
	}
	running, silent, older, newer, stopped := Process{"running", 1}, Process{"silent", 1}, Process{"again", 1}, Process{"again", 2}, Process{"stopped", 1}
	l.Merge(silent, part(silent), false, now.Add(-silentAfter-time.Millisecond))
	for _, p := range []Process{running, older, newer} {
		l.Merge(p, part(p), false, now)
	}
	l.Merge(stopped, part(stopped), true, now)
	l.Merge(stopped, nil, false, now)
	processes := func(q Query) (found []string) {
		for _, p := range l.Answer(q, now, now).Parts {
			found = append(found, fmt.Sprint(p.Instance, p.Started))
		}
		return found
	}
	if got, want := processes(Query{Windows: []int64{19}}), []string{"again1", "self0", "silent1", "stopped1"}; !slices.Equal(got, want) {
		t.Errorf("got the parts of %v, want %v", got, want)
	}
	if got := processes(Query{Windows: []int64{19}, CopiesOf: []string{"running"}, CopiesOnly: true}); !slices.Contains(got, "running1") || slices.Contains(got, "self0") {
		t.Errorf("got the parts of %v, want those of running and not the own ones", got)
	}
	ended := l.Answer(Query{}, now, now).Ended
	if !slices.Contains(ended, older) || !slices.Contains(ended, stopped) || len(ended) != 2 {
		t.Errorf("ended %v, want %v and %v", ended, older, stopped)
	}
}

// Guards against windows that are dropped before they are reported, and against counts that are never dropped.
func TestCountsExpire(t *testing.T) {
	l := NewLedger(Process{Instance: "a"}, testWindow)
	for window := range int64(200) {
		l.Record("x", at(window, 0))
	}
	now := at(200, 0)
	l.Expire(now, now)
	if got, want := len(l.own), int(maxRetention/testWindow)+1; got != want {
		t.Errorf("%d windows are kept, want %d while nothing is reported", got, want)
	}
	l.Answer(Query{SettledThrough: 199}, now, now)
	l.Expire(now, now)
	if got, want := len(l.own), int(retention/testWindow)+1; got != want {
		t.Errorf("%d windows are kept, want %d", got, want)
	}
}

// Guards against two instances that take over each other's wrong time, and against a jump of one clock that moves others.
func TestClocksAreCorrectedByTheMedian(t *testing.T) {
	for _, c := range []struct {
		ahead []time.Duration
		want  time.Duration
	}{
		{nil, 0},
		{[]time.Duration{99 * time.Millisecond, 99 * time.Millisecond}, 0},
		{[]time.Duration{2 * time.Second}, time.Second},
		{[]time.Duration{-2 * time.Second}, -time.Second},
		{[]time.Duration{5 * time.Second, 0, time.Millisecond}, 0},
		{[]time.Duration{3 * time.Second, 3 * time.Second, 3 * time.Second, -time.Hour}, 3 * time.Second},
	} {
		if got := correction(c.ahead); got != c.want {
			t.Errorf("differences %v: correction %s, want %s", c.ahead, got, c.want)
		}
	}
	clock, local := NewClock(), at(3, 0)
	for i := range 3 {
		clock.Observe(fmt.Sprint(i), local.Add(4*time.Second), local, 200*time.Millisecond)
	}
	if got := clock.Date(local).Sub(local); got != 4100*time.Millisecond {
		t.Errorf("date is %s ahead, want 4.1s", got)
	}
	clock.Observe("late", local.Add(time.Hour), local.Add(differenceAge+time.Second), time.Millisecond)
	if got := len(clock.differences); got != 1 {
		t.Errorf("%d differences are kept, want 1", got)
	}
}

// BenchmarkRecord measures what a request costs, with many accounts and all cores.
func BenchmarkRecord(b *testing.B) {
	l := NewLedger(Process{Instance: "a"}, testWindow)
	clock := NewClock()
	accounts := make([]string, 44_000)
	for i := range accounts {
		accounts[i] = fmt.Sprint("account", i)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := rand.IntN(len(accounts)); pb.Next(); i = (i + 1) % len(accounts) {
			l.Record(accounts[i], clock.Date(time.Now()))
		}
	})
}

// Guards against requests that are counted twice, or a crash, when one is counted while the counts are read.
func TestRequestsAreCountedOnceWhileCountsAreRead(t *testing.T) {
	const requests = 2000
	l := NewLedger(Process{Instance: "a", Started: 1}, time.Second)
	at := time.Unix(10, 0)
	var recording sync.WaitGroup
	recording.Go(func() {
		for range requests {
			l.Record("t", at)
			runtime.Gosched()
		}
	})
	for l.Own(10, at).Counts["t"] < requests && !t.Failed() {
		if n := l.Own(10, at).Total; n > requests {
			t.Errorf("%d requests counted, %d made", n, requests)
		}
	}
	recording.Wait()
	if n := l.Own(10, at).Total; n != requests {
		t.Errorf("%d requests counted, %d made", n, requests)
	}
}
