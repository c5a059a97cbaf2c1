package peer

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/routing"
)

// newRestartReporter returns a reporter of an instance in region r that knows one upstream, and its loop.
func newRestartReporter(t *testing.T) (*RestartReporter, *control.Loop) {
	t.Helper()
	identity := control.Identity{ID: "i0", Region: "r", PeerAddress: "a0"}
	loop := control.NewLoop(identity)
	go loop.Run(t.Context())
	config := opconfig.New()
	config.Revision = 1
	config.Services["s"] = opconfig.Service{Name: "s", ColdRateLimit: 2, ColdFor: 3 * time.Second, HealthPath: "/h"}
	loop.Post(t.Context(), control.ConfigEvent{Config: config})
	loop.Post(t.Context(), control.InstancesEvent{Instances: []external.Instance{{ID: "u", Role: external.RoleService, Region: "r", Service: "s", Address: "x"}}})
	for len(loop.Snapshot().Upstreams) == 0 {
		time.Sleep(time.Millisecond)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &RestartReporter{Identity: identity, Loop: loop, Client: NewClient("i0", ""), Log: logrus.NewEntry(log)}, loop
}

// Guards against an instance that takes an upstream for the process that it knew although another one told it of its
// end, and against reports that undo what a later health check told.
func TestAReportedRestartActsAtOnce(t *testing.T) {
	for _, c := range []struct {
		name          string
		report        *peerv1.RestartReport
		checkedBefore bool
		want          bool
	}{
		{"ended", &peerv1.RestartReport{Upstream: "u", AgeMs: 50}, false, true},
		{"ended before the last health check", &peerv1.RestartReport{Upstream: "u", AgeMs: 50}, true, false},
		{"another upstream", &peerv1.RestartReport{Upstream: "v", AgeMs: 50}, false, false},
	} {
		r, loop := newRestartReporter(t)
		counters := loop.Snapshot().Upstreams[0].Counters
		if c.checkedBefore {
			counters.RecordColdTime(time.Now(), 0)
		}
		if _, err := (&Server{Restarts: r}).ReportRestarts(t.Context(), connect.NewRequest(&peerv1.ReportRestartsRequest{Reports: []*peerv1.RestartReport{c.report}})); err != nil {
			t.Fatal(err)
		}
		if got := counters.RestartSuspected(); got != c.want {
			t.Errorf("%s: suspected %t, want %t", c.name, got, c.want)
		}
	}
	r, loop := newRestartReporter(t)
	r.receive(t.Context(), []control.RestartReport{{Upstream: "u", NoticedAt: time.Now(), ColdFor: 3 * time.Second}})
	for deadline := time.Now().Add(2 * time.Second); !loop.Snapshot().Upstreams[0].Cold; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("a reported cold time is not in force after 2 s")
		}
	}
}

// Guards against a storm of reports of the same restart, and against one of the next restart that is held for the
// same.
func TestARestartIsReportedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	end := func(ms int) control.RestartReport {
		return control.RestartReport{Upstream: "u", NoticedAt: start.Add(time.Duration(ms) * time.Millisecond)}
	}
	cold := func(ms, coldMS int) control.RestartReport {
		r := end(ms)
		r.ColdFor = time.Duration(coldMS) * time.Millisecond
		return r
	}
	r := &RestartReporter{}
	for i, c := range []struct {
		report        control.RestartReport
		checked, want bool
	}{
		{end(0), false, true}, {end(30), false, false}, {end(-20), true, false}, {end(300), true, true}, {end(310), false, false},
		{cold(1200, 3000), false, true}, {cold(1500, 2690), false, false}, {cold(1600, 2000), false, false}, {cold(1700, 3000), false, true},
		{end(2500), false, true}, {end(2600), false, false},
	} {
		if got := r.isNew(c.report, c.checked); got != c.want {
			t.Errorf("report %d: new %t, want %t", i, got, c.want)
		}
	}
	r.prune(start.Add(time.Minute))
	if len(r.known) != 0 {
		t.Errorf("%d reports are kept for a minute", len(r.known))
	}
}

// Guards against reports that go to other regions, to this instance, or to one instance twice, and against instances
// of the region that get none because no heartbeat named them.
func TestReportsGoToTheListedAndLiveInstancesOfTheRegion(t *testing.T) {
	s := &routing.Snapshot{
		Peers:       []routing.Peer{{Region: "r", PeerAddress: "a1"}, {Region: "q", PeerAddress: "a2"}},
		ListedPeers: []membership.Contact{{Region: "r", PeerAddress: "a1"}, {Region: "r", PeerAddress: "a3"}, {Region: "q", PeerAddress: "a4"}, {Region: "r", PeerAddress: "a0"}},
	}
	if got := fmt.Sprint(regionAddresses(s, control.Identity{Region: "r", PeerAddress: "a0"})); got != "[a1 a3]" {
		t.Errorf("reports go to %s", got)
	}
}

// Guards against reports that late instances of a large region pass round without end: the times of a report are later with
// each hop, so that it counts as new where the restart is known and checked.
func TestLateReportsAreNotPassedRoundWithoutEnd(t *testing.T) {
	const instances, minDelay, maxDelay, settled, maxMessages = 50, 400 * time.Millisecond, time.Second, 6 * time.Second, 3000
	type message struct {
		at  time.Duration
		to  int
		req *peerv1.ReportRestartsRequest
	}
	start := time.Unix(1000, 0)
	for _, coldFor := range []time.Duration{0, 3 * time.Second} {
		rng := rand.New(rand.NewPCG(1, 2))
		reporters := make([]RestartReporter, instances)
		var messages []message
		send := func(now time.Duration, to int, reports []control.RestartReport) {
			at := now + minDelay + time.Duration(rng.Int64N(int64(maxDelay-minDelay)))
			messages = append(messages, message{at, to, encodeRestarts(reports, start.Add(now))})
		}
		for to := 1; to <= maxReportTargets; to++ {
			send(0, to, []control.RestartReport{{Upstream: "u", NoticedAt: start, ColdFor: coldFor}})
		}
		for len(messages) > 0 {
			slices.SortFunc(messages, func(a, b message) int { return cmp.Compare(a.at, b.at) })
			m := messages[0]
			messages = messages[1:]
			if m.at > settled || len(messages) > maxMessages {
				t.Errorf("cold for %s: a report arrives %s after the restart, %d more are on their way", coldFor, m.at, len(messages))
				break
			}
			var fresh []control.RestartReport
			for _, report := range decodeRestarts(m.req, start.Add(m.at)) {
				if reporters[m.to].isNew(report, true) {
					fresh = append(fresh, report)
				}
			}
			if passed := passedOn(fresh); len(passed) > 0 {
				for range passedOnTo {
					send(m.at, rng.IntN(instances), passed)
				}
			}
		}
		told := 0
		for i := range reporters {
			told += min(len(reporters[i].known), 1)
		}
		if told < instances*9/10 {
			t.Errorf("cold for %s: %d of %d instances are told", coldFor, told, instances)
		}
	}
}

// Guards against instances that missed reports and renew each other's suspicion of a restart with heartbeats, and against
// one that keeps to itself what it noticed.
func TestHeartbeatsTellOnlyOfSignsThatTheirSenderNoticed(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		suspect func(c *routing.Counters)
		want    bool
	}{
		{"noticed", func(c *routing.Counters) { c.SuspectRestart(now) }, true},
		{"reported by another instance", func(c *routing.Counters) { c.SuspectReportedRestart(now) }, false},
		{"noticed, then reported", func(c *routing.Counters) { c.SuspectRestart(now); c.SuspectReportedRestart(now) }, true},
		{"noticed, then checked", func(c *routing.Counters) { c.SuspectRestart(now); c.RecordColdTime(now, 0) }, false},
	} {
		u := routing.Upstream{ID: "u", MayBecomeCold: true, Counters: &routing.Counters{}}
		c.suspect(u.Counters)
		_, ended := decodeColdUpstreams(newHostReport(&routing.Snapshot{Config: opconfig.New(), Upstreams: []routing.Upstream{u}}, nil, now, nil).status)
		if got := len(ended) == 1; got != c.want {
			t.Errorf("%s: told %t, want %t", c.name, got, c.want)
		}
	}
}
