package control

import (
	"fmt"
	"testing"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/routing"
)

// Guards against an instance that counts as informed although it started, slept or was cut off, and against one that
// never counts as informed again.
func TestAnInstanceKnowsWhenReportsMayHaveMissedIt(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	const never = 1 << 30
	for name, c := range map[string]struct {
		// responses are the times in ms at which heartbeats were sent to which the region responded.
		responses []int
		// pausedFrom and pausedTo bound a time without ticks.
		pausedFrom, pausedTo int
		alone                bool
		want                 map[int]bool
	}{
		"started":                   {pausedFrom: never, want: map[int]bool{0: false, 2000: false}},
		"response after the start":  {responses: []int{100}, pausedFrom: never, want: map[int]bool{50: false, 150: true, 2500: true, 2800: false}},
		"alone":                     {alone: true, pausedFrom: never, want: map[int]bool{0: true, 2700: true, 20000: true}},
		"alone after a pause":       {alone: true, pausedFrom: 1200, pausedTo: 3000, want: map[int]bool{1150: true, 3000: false, 5700: true}},
		"short pause":               {responses: []int{100, 1100, 2100}, pausedFrom: 1200, pausedTo: 2100, want: map[int]bool{2200: true}},
		"long pause":                {responses: []int{100, 1100}, pausedFrom: 1200, pausedTo: 3000, want: map[int]bool{1150: true, 3000: false, 3200: false}},
		"response after the pause":  {responses: []int{100, 1100, 3100}, pausedFrom: 1200, pausedTo: 3000, want: map[int]bool{3050: false, 3200: true}},
		"response while cut off":    {responses: []int{100, 9000}, pausedFrom: never, want: map[int]bool{2800: false, 8000: false, 9100: true}},
		"response before the start": {responses: []int{-500}, pausedFrom: never, want: map[int]bool{1000: false}},
	} {
		var a reportAccess
		for ms := 0; ms <= 20000; ms += 50 {
			if ms > c.pausedFrom && ms < c.pausedTo {
				continue
			}
			for _, sent := range c.responses {
				if sent < ms {
					a.respondedAt = latest(a.respondedAt, at(sent))
				}
			}
			a.update(at(ms), c.alone)
			if want, ok := c.want[ms]; ok && (a.uninformedSince() == 0) != want {
				t.Errorf("%s: after %d ms informed %t, want %t", name, ms, !want, want)
			}
		}
	}
}

// Guards against an instance without a part of the limit that sends to an upstream which may have started again while
// reports did not reach it, and against one that is kept from a warm upstream after a health check.
func TestAnInstanceThatMissedReportsSendsAsToAColdUpstream(t *testing.T) {
	x := newServiceTables("e0", 3)
	start := time.Unix(1000, 0)
	listedUpstream(nil).apply(x, start)
	tick := func(now time.Time) *routing.Upstream {
		for _, step := range tickSteps {
			step(x, now)
		}
		return &buildSnapshot(x, now).Upstreams[0]
	}
	sends := func(now time.Time) (n int) {
		u := tick(now)
		request := &routing.Request{ID: "r", Target: "s", Now: now.UnixNano(), Service: &routing.ServiceRequest{Remaining: time.Second}}
		for ; n < 20; n++ {
			choice, err := routing.ServicePolicy{Index: routing.NewPrefixIndex()}.Pick(buildSnapshot(x, now), request, routing.NewScratch(1))
			if err != nil {
				break
			}
			u.ColdReservation(choice, now).Sent(now)
		}
		return n
	}
	if got := sends(start); got > scheduleLimit {
		t.Errorf("%d requests in the first second of an instance that knows nothing", got)
	}
	checked := start.Add(100 * time.Millisecond)
	RestartCheckedEvent{Upstream: "u", Sent: checked}.apply(x, checked)
	if got := sends(checked); got != 20 {
		t.Errorf("%d requests after a health check that tells no cold time, want all of 20", got)
	}
}

// Guards against instances that use the whole limit of an upstream which started again under its id, so that one
// request of an instance that has not noticed is too many.
func TestPartOfTheLimitIsLeftAfterARestartInPlace(t *testing.T) {
	const instances = 24
	for _, c := range []struct {
		name            string
		cold, restarted bool
		want            int
	}{
		{"new", true, false, scheduleLimit},
		{"started again", true, true, scheduleLimit - scheduleLimit/restartReserve},
		{"may have started again", false, false, scheduleLimit - scheduleLimit/restartReserve},
	} {
		sum, now := 0, time.Unix(1000, 0)
		for i := range instances {
			x := newServiceTables(fmt.Sprint("e", i), instances)
			listedUpstream(nil).apply(x, now)
			row := testUpstream(x)
			row.restarted = c.restarted
			if c.cold {
				row.coldUntil = now.Add(time.Second)
			}
			sum += (&regionBudget{tables: x, now: now}).coldLimit(row, c.cold)
		}
		if sum != c.want {
			t.Errorf("%s: all instances send %d requests a second, want %d", c.name, sum, c.want)
		}
	}
}

// Guards against an instance that missed a report, takes the next heartbeat for all that it missed, and sends to an
// upstream which has ended and starts again, and against heartbeats that make each instance check an upstream.
func TestAHeartbeatTellsAnInstanceThatMissedReportsOfEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, missed := range []bool{true, false} {
		x := newServiceTables("e0", 3)
		listedUpstream(nil).apply(x, start)
		if missed {
			x.reports.since = start
		}
		HeartbeatEvent{Peer: routing.Peer{ID: "e1", Region: "a"}, Incarnation: 1, RequestSentAt: start, Ended: []string{"u", "v"}}.apply(x, start)
		if got := testUpstream(x).counters.RestartSuspected(); got != missed {
			t.Errorf("missed reports %t: suspected %t", missed, got)
		}
	}
}

// Guards against instances that leave a part of the limit of each new upstream unused because heartbeats name it.
func TestANewColdUpstreamDidNotStartAgain(t *testing.T) {
	start := time.Unix(1000, 0)
	x := newServiceTables("e0", 3)
	listedUpstream(func(i *external.Instance) { i.ColdFor, i.ListedAt = 3*time.Second, start }).apply(x, start)
	cold := HeartbeatEvent{Peer: routing.Peer{ID: "e1", Region: "a"}, Incarnation: 1, ColdFor: map[string]time.Duration{"u": 2 * time.Second}}
	cold.apply(x, start.Add(time.Second))
	if testUpstream(x).restarted {
		t.Error("an upstream that is cold by its row counts as one that started again")
	}
	cold.apply(x, start.Add(10*time.Second))
	if !testUpstream(x).restarted {
		t.Error("an upstream that became cold later does not count as one that started again")
	}
}

// Guards against a cold time that instances which apply heartbeats late pass to each other without end.
func TestColdTimesDoNotGrowWithLateHeartbeats(t *testing.T) {
	const late = 300 * time.Millisecond
	start := time.Unix(1000, 0)
	instances := []*tables{newServiceTables("e0", 3), newServiceTables("e1", 3)}
	for _, x := range instances {
		listedUpstream(nil).apply(x, start)
	}
	RestartCheckedEvent{Upstream: "u", Sent: start, ColdFor: scheduleCold}.apply(instances[0], start.Add(late))
	for now := start.Add(late); now.Before(start.Add(2 * scheduleCold)); now = now.Add(2 * late) {
		for i, x := range instances {
			u := &buildSnapshot(instances[1-i], now).Upstreams[0]
			if cold := u.ColdFor(now); cold > 0 {
				HeartbeatEvent{
					Peer: routing.Peer{ID: instances[1-i].identity.ID, Region: "a"}, Incarnation: 1, RequestSentAt: now.Add(-late),
					ColdFor: map[string]time.Duration{"u": cold},
				}.apply(x, now.Add(late))
			}
		}
	}
	for _, x := range instances {
		if end := testUpstream(x).coldUntil; end.After(start.Add(scheduleCold+late)) || end.Before(start.Add(scheduleCold-maxMessageAge)) {
			t.Errorf("%s: the cold time ends after %s, the upstream said %s", x.identity.ID, end.Sub(start), scheduleCold)
		}
	}
}

// Guards against requests that exceed the limit because the cold time that another instance told ends before the tick that
// applies it.
func TestAReportedColdTimeEndsWithAHealthCheck(t *testing.T) {
	start := time.Unix(1000, 0)
	var c routing.Counters
	c.RecordColdUntil(start)
	if now := start.Add(time.Second); !c.CheckWanted(now) {
		t.Error("no health check is wanted after a reported cold time")
	}
	c.RecordColdTime(start.Add(time.Second), 0)
	if now := start.Add(2 * time.Second); c.CheckWanted(now) {
		t.Error("a health check is wanted after one told that the upstream is warm")
	}
}

// Guards against instances that know of a restart and add their parts of the limit to the requests of those that do not,
// against a limit that nobody uses, and against a pause where each instance has a part.
func TestInstancesThatKnowOfARestartLeaveTheLimitToOthersAtFirst(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		instances int
		after     time.Duration
		allowed   bool
	}{
		{24, 500 * time.Millisecond, false}, {24, 1500 * time.Millisecond, true}, {3, 500 * time.Millisecond, true},
	} {
		sent := 0
		for i := range c.instances {
			x := newServiceTables(fmt.Sprint("e", i), c.instances)
			listedUpstream(nil).apply(x, start)
			x.coldSendsFrom = start
			RestartCheckedEvent{Upstream: "u", Sent: start, ColdFor: scheduleCold}.apply(x, start)
			now := start.Add(c.after)
			request := &routing.Request{ID: "r", Target: "s", Now: now.UnixNano(), Service: &routing.ServiceRequest{Remaining: time.Second}}
			if _, err := (routing.ServicePolicy{Index: routing.NewPrefixIndex()}).Pick(buildSnapshot(x, now), request, routing.NewScratch(1)); err == nil {
				sent++
			}
		}
		if (sent > 0) != c.allowed || sent > scheduleLimit {
			t.Errorf("%d of %d instances send %s after the start", sent, c.instances, c.after)
		}
	}
}

// Guards against an instance that does not use a warm upstream after a freeze, because a response to a heartbeat waited
// for it that told of a cold time.
func TestAColdTimeIsNotProlongedByAFreeze(t *testing.T) {
	start := time.Unix(1000, 0)
	x := newServiceTables("e0", 3)
	listedUpstream(nil).apply(x, start)
	thawed := start.Add(10 * time.Second)
	HeartbeatEvent{
		Peer: routing.Peer{ID: "e1", Region: "a"}, Incarnation: 1, RequestSentAt: start, ReceivedAt: thawed,
		ColdFor: map[string]time.Duration{"u": scheduleCold},
	}.apply(x, thawed)
	if end := testUpstream(x).coldUntil; end.After(start.Add(scheduleCold)) {
		t.Errorf("the cold time ends %s after the request, the peer said %s in response", end.Sub(start), scheduleCold)
	}
}
