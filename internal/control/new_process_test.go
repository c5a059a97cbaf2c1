package control

import (
	"testing"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
)

// rowDelay is the time from the start of a process to its row.
const rowDelay = 2 * time.Second

// startedAgain returns a listed upstream whose process started again at a time, and the event of its new row.
func startedAgain(x *tables, now time.Time) (newRow InstancesEvent) {
	started := func(at time.Time) InstancesEvent {
		return listedUpstream(func(i *external.Instance) { i.StartedAtUnixMilli, i.MaxConcurrency = at.UnixMilli(), 4 })
	}
	started(now.Add(-time.Minute)).apply(x, now.Add(-time.Minute))
	return started(now)
}

// Guards against what a process that started again said of itself being forgotten when its row shows it.
func TestWhatANewProcessSaidOutlastsTheArrivalOfItsRow(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		says  func(c *routing.Counters, at time.Time)
		known func(u *routing.Upstream, at time.Time) bool
	}{
		{"that it leaves", func(c *routing.Counters, at time.Time) { c.RecordLeaving(at) },
			func(u *routing.Upstream, _ time.Time) bool { return u.Draining }},
		{"that it wants a pause", func(c *routing.Counters, at time.Time) { c.RecordRetryAfter(at, 10*time.Second) },
			func(u *routing.Upstream, at time.Time) bool { return u.Counters.PausedFor(at.UnixNano()) > 0 }},
		{"its rate", func(c *routing.Counters, at time.Time) { c.RecordNamedRate(at, at, 1, true) },
			func(u *routing.Upstream, _ time.Time) bool { return u.RateLimited }},
		{"that it is brittle", func(c *routing.Counters, at time.Time) { c.RecordBrittle(at, at, true) },
			func(u *routing.Upstream, _ time.Time) bool { return u.Brittle }},
	} {
		for _, said := range []struct {
			when string
			at   time.Duration
		}{{"before its row", rowDelay / 2}, {"in response to a request sent before its row", rowDelay + time.Second}} {
			x := newServiceTables("e0", 2)
			newRow := startedAgain(x, now)
			counters := testUpstream(x).counters
			if said.at < rowDelay {
				c.says(counters, now.Add(said.at))
			}
			newRow.apply(x, now.Add(rowDelay))
			if said.at > rowDelay {
				c.says(counters, now.Add(said.at))
			}
			at := now.Add(rowDelay + 2*time.Second)
			if u := &buildSnapshot(x, at).Upstreams[0]; !c.known(u, at) {
				t.Errorf("it said %s %s, which is not known any more", c.name, said.when)
			}
		}
	}
}

// Guards against more requests than a brittle upstream has places because those since before its row do not count.
func TestRequestsThatANewProcessRunsTakePlacesAfterItsRow(t *testing.T) {
	now := time.Unix(1000, 0)
	x := newServiceTables("e0", 1)
	newRow := startedAgain(x, now)
	for range 4 {
		testUpstream(x).counters.Begin(now.Add(rowDelay/2), 0, 0).FirstByte(now.Add(rowDelay / 2))
	}
	newRow.apply(x, now.Add(rowDelay))
	at := now.Add(rowDelay + 100*time.Millisecond)
	testUpstream(x).counters.RecordBrittle(at, at, true)
	s := buildSnapshot(x, at)
	request := &routing.Request{ID: "r", Target: "s", Now: at.UnixNano(), Service: &routing.ServiceRequest{Remaining: time.Second}}
	if _, err := (routing.ServicePolicy{Index: routing.NewPrefixIndex()}).Pick(s, request, routing.NewScratch(1)); err == nil {
		t.Errorf("a fifth request goes to an upstream with %d places that runs four", s.Upstreams[0].Places)
	}
}

// Guards against a faulty version that gets requests again because its upstream started again in place.
func TestAVersionThatStartsAgainGetsNothingAfterBadAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	x := newServiceTables("e0", 8)
	x.identity.CanaryShare = 0.1
	row := func(started time.Time) InstancesEvent {
		event := listedUpstream(func(i *external.Instance) { i.Version, i.StartedAtUnixMilli = "v2", started.UnixMilli() })
		event.Instances = append(event.Instances, external.Instance{ID: "old", Role: external.RoleService, Region: "a", Service: "s", Version: "v1", State: external.InstanceLive})
		return event
	}
	row(now.Add(-time.Minute)).apply(x, now)
	ServiceRolloutsEvent{Rollouts: []rollout.ServiceRollout{{Service: "s", Version: "v2", State: rollout.Serving}}}.apply(x, now)
	for range 5 {
		testUpstream(x).counters.ObserveAttempt(true)
	}
	if got := buildSnapshot(x, now).ServiceSplits["s"].Share; got != 0 {
		t.Fatalf("share %v after five failed attempts at each of eight instances", got)
	}
	row(now).apply(x, now.Add(rowDelay))
	if got := buildSnapshot(x, now.Add(rowDelay)).ServiceSplits["s"].Share; got != 0 {
		t.Errorf("share %v after the upstream started again", got)
	}
}

// Guards against failed attempts that are lost because they end after the row of the next process, and against a version
// that is judged by those at another one.
func TestFailedAttemptsCountForTheirVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		next string
		want int64
	}{{"v2", 1}, {"v3", 0}} {
		x := newServiceTables("e0", 8)
		ServiceRolloutsEvent{Rollouts: []rollout.ServiceRollout{{Service: "s", Version: c.next, State: rollout.Serving}}}.apply(x, now)
		listedUpstream(func(i *external.Instance) { i.Version, i.StartedAtUnixMilli = "v2", 1 }).apply(x, now)
		former := testUpstream(x).counters
		listedUpstream(func(i *external.Instance) { i.Version, i.StartedAtUnixMilli = c.next, 2 }).apply(x, now)
		former.ObserveAttempt(true)
		if got := testUpstream(x).counters.FailedAttempts().Load(); got != c.want {
			t.Errorf("%d failed attempts at %s after one at v2, want %d", got, c.next, c.want)
		}
	}
}

// Guards against a flood of a cold upstream because its row is followed by one of its former process.
func TestARowOfAFormerProcessDoesNotReplaceThatOfALaterOne(t *testing.T) {
	now := time.Unix(1000, 0)
	x := newServiceTables("e0", 3)
	row := func(started, listed time.Time, coldFor time.Duration) InstancesEvent {
		return listedUpstream(func(i *external.Instance) {
			i.StartedAtUnixMilli, i.ListedAt, i.ColdFor = started.UnixMilli(), listed, coldFor
		})
	}
	row(now.Add(-time.Minute), now.Add(-time.Minute), 0).apply(x, now.Add(-time.Minute))
	row(now, now.Add(time.Second), 5*time.Second).apply(x, now.Add(time.Second))
	late := now.Add(2 * time.Second)
	row(now.Add(-time.Minute), late, 0).apply(x, late)
	if u := buildSnapshot(x, late).Upstreams[0]; !u.Cold || u.StartedAt != now.UnixMilli() {
		t.Errorf("cold %t, started at %d, the later process at %d", u.Cold, u.StartedAt, now.UnixMilli())
	}
	setBack := now.Add(2 * formerRowGrace)
	row(now.Add(-time.Minute), setBack, 0).apply(x, setBack)
	if u := buildSnapshot(x, setBack).Upstreams[0]; u.StartedAt == now.UnixMilli() {
		t.Error("a process whose clock was set back is never believed")
	}
}
