package probe

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/routing"
)

// Without a log line for each check, a paused upstream that never recovers looks the same as
// one that is never checked. Guards against a missing log line, and against an upstream that
// is returned to service because another one responds at its address.
func TestChecksThatFailAreLogged(t *testing.T) {
	for _, c := range []struct {
		name, answered, wantEvent string
		status                    int
	}{
		{"sound", "u-1", "upstream_back", http.StatusOK},
		{"another upstream", "u-2", "health_check_failed", http.StatusOK},
		{"not healthy", "u-1", "health_check_failed", http.StatusServiceUnavailable},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Answered-By", c.answered)
			w.WriteHeader(c.status)
		}))
		var lines bytes.Buffer
		logger := logrus.New()
		logger.SetOutput(&lines)
		ctx, cancel := context.WithCancel(t.Context())
		loop := control.NewLoop(control.Identity{ID: "i", Region: "r"})
		go loop.Run(ctx)
		p := &Prober{
			Loop:        loop,
			ParseHeader: func(h http.Header) Health { return Health{ID: h.Get("Answered-By")} },
			Log:         logrus.NewEntry(logger),
			client:      server.Client(),
		}
		p.checkUpstream(ctx, "u-1", server.URL)
		cancel()
		server.Close()
		if got := lines.String(); !strings.Contains(got, "event="+c.wantEvent) || !strings.Contains(got, "u-1") {
			t.Errorf("%s: logged %q, want event %s", c.name, got, c.wantEvent)
		}
	}
}

// Guards against an upstream that owes responses, is silent and stays in service, and against pausing one
// that is slow and answers its health check, with whatever status.
func TestSilentUpstreamsArePaused(t *testing.T) {
	for _, c := range []struct {
		name    string
		respond func(w http.ResponseWriter)
		want    bool
	}{
		{"silent", func(http.ResponseWriter) { time.Sleep(2 * checkTimeout) }, true},
		{"slow", func(w http.ResponseWriter) {}, false},
		{"full", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.respond(w) }))
		u := &routing.Upstream{ID: "u", Counters: &routing.Counters{}}
		u.Counters.Begin(time.Now().Add(-2*silenceToCheck), 0, 0)
		p := &Prober{Log: logrus.NewEntry(logrus.New()), client: newClient(), ParseHeader: func(http.Header) Health { return Health{} }}
		p.Log.Logger.SetOutput(io.Discard)
		p.checkSilent(t.Context(), u, server.URL)
		if got := u.Counters.ConsecutiveFailures.Load() >= routing.FailuresToPause; got != c.want {
			t.Errorf("%s: paused %v, want %v", c.name, got, c.want)
		}
		server.Close()
	}
}

// Guards against an upstream that counts as checked although the connection of its check broke as it ended.
func TestABrokenHealthCheckTellsNothingOfARestart(t *testing.T) {
	for _, c := range []struct {
		name     string
		respond  func(w http.ResponseWriter)
		reported bool
		want     bool
	}{
		{"connection closed", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, false, true},
		{"too busy to answer", func(http.ResponseWriter) { time.Sleep(2 * checkTimeout) }, false, false},
		{"too busy to answer, and reported", func(http.ResponseWriter) { time.Sleep(2 * checkTimeout) }, true, true},
		{"answered", func(http.ResponseWriter) {}, false, false},
		{"answered, and reported", func(http.ResponseWriter) {}, true, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.respond(w) }))
		server.Config.ErrorLog = log.New(io.Discard, "", 0)
		ctx, cancel := context.WithCancel(t.Context())
		loop := control.NewLoop(control.Identity{ID: "i", Region: "r"})
		go loop.Run(ctx)
		loop.Post(ctx, control.InstancesEvent{Instances: []external.Instance{{ID: "u", Role: external.RoleService, Region: "r", Service: "s", Address: "x"}}})
		for len(loop.Snapshot().Upstreams) == 0 {
			time.Sleep(time.Millisecond)
		}
		u := &loop.Snapshot().Upstreams[0]
		if suspected := time.Now().Add(-time.Second); c.reported {
			u.Counters.SuspectReportedRestart(suspected)
		} else {
			u.Counters.SuspectRestart(suspected)
		}
		p := &Prober{Loop: loop, ParseHeader: func(http.Header) Health { return Health{} }, Log: logrus.NewEntry(logrus.New()), client: newClient()}
		p.Log.Logger.SetOutput(io.Discard)
		p.checkRestarted(ctx, u, server.URL)
		time.Sleep(200 * time.Millisecond)
		if got := u.Counters.RestartSuspected(); got != c.want {
			t.Errorf("%s: suspected %v, want %v", c.name, got, c.want)
		}
		cancel()
		server.Close()
	}
}

// Guards against instances of the region that learn too late of a restart, and against reports of an instance that has
// lost its own links.
func TestRestartsAreReportedToTheRegion(t *testing.T) {
	for _, c := range []struct {
		name string
		// ended is true if nothing listens, and others is the number of other upstreams of the service, of which
		// suspected may have started again.
		ended             bool
		others, suspected int
		coldFor           time.Duration
		want              []time.Duration
	}{
		{"ended", true, 3, 0, 0, []time.Duration{0}},
		{"ended, no other", true, 0, 0, 0, []time.Duration{0}},
		{"half of them ended", true, 3, 1, 0, []time.Duration{0}},
		{"most of them ended, no other is reached", true, 3, 2, 0, nil},
		{"most of them ended, another is reached", true, 4, 3, 0, []time.Duration{0}},
		{"all of them ended", true, 3, 3, 0, nil},
		{"too many connections", false, 3, 0, -1, nil},
		{"cold", false, 3, 3, 3 * time.Second, []time.Duration{3 * time.Second}},
		{"warm", false, 3, 0, 0, nil},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if c.coldFor < 0 {
				panic(http.ErrAbortHandler)
			}
		}))
		server.Config.ErrorLog = log.New(io.Discard, "", 0)
		if c.ended {
			server.Close()
		}
		sound := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		ctx, cancel := context.WithCancel(t.Context())
		loop := control.NewLoop(control.Identity{ID: "i", Region: "r"})
		go loop.Run(ctx)
		list := []external.Instance{{ID: "u", Role: external.RoleService, Region: "r", Service: "s", Address: "x"}}
		for i := range c.others {
			list = append(list, external.Instance{ID: fmt.Sprint("v", i), Role: external.RoleService, Region: "r", Service: "s", Address: "127.0.0.1:1"})
		}
		if c.others == 4 {
			list[c.others].Address = sound.Listener.Addr().String()
		}
		loop.Post(ctx, control.InstancesEvent{Instances: list})
		for len(loop.Snapshot().Upstreams) == 0 {
			time.Sleep(time.Millisecond)
		}
		upstreams := loop.Snapshot().Upstreams
		for i := range c.suspected + 1 {
			upstreams[i].Counters.SuspectRestart(time.Now())
		}
		var got []time.Duration
		p := &Prober{
			Loop: loop, ParseHeader: func(http.Header) Health { return Health{ColdFor: c.coldFor} }, Log: logrus.NewEntry(logrus.New()), client: newClient(),
			ReportRestart: func(_ context.Context, r control.RestartReport) { got = append(got, r.ColdFor) },
		}
		p.Log.Logger.SetOutput(io.Discard)
		p.checkRestarted(ctx, &upstreams[0], server.URL)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: reported %v, want %v", c.name, got, c.want)
		}
		cancel()
		server.Close()
		sound.Close()
	}
}

// Guards against an upstream that said it leaves, started again instead, and is flooded because its health check counts
// as that of a warm one.
func TestAnUpstreamThatDoesNotLeaveAnyMoreMayBeCold(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	loop := control.NewLoop(control.Identity{ID: "i", Region: "r"})
	go loop.Run(t.Context())
	loop.Post(t.Context(), control.InstancesEvent{Instances: []external.Instance{{ID: "u", Role: external.RoleService, Region: "r", Service: "s", Address: "x"}}})
	for len(loop.Snapshot().Upstreams) == 0 {
		time.Sleep(time.Millisecond)
	}
	u := &loop.Snapshot().Upstreams[0]
	u.Counters.RecordLeaving(time.Now().Add(-time.Second))
	p := &Prober{Loop: loop, ParseHeader: func(http.Header) Health { return Health{ID: "u", ColdFor: 3 * time.Second} }, client: newClient()}
	p.checkLeaving(t.Context(), u, server.URL)
	for deadline := time.Now().Add(2 * time.Second); !loop.Snapshot().Upstreams[0].Cold; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the upstream is not cold 2 s after its health check told so")
		}
	}
	if u.Counters.SaysLeaving() {
		t.Error("the upstream still leaves")
	}
}

// Guards against an upstream that starts again just after a health check and is checked for it only when the next check
// of the first sign would be due.
func TestANewSignOfARestartIsCheckedAtOnce(t *testing.T) {
	var checks atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { checks.Add(1) }))
	defer server.Close()
	loop := control.NewLoop(control.Identity{ID: "i", Region: "r"})
	go loop.Run(t.Context())
	config := opconfig.New()
	config.Revision = 1
	config.Services["s"] = opconfig.Service{Name: "s", ColdRateLimit: 2, ColdFor: 3 * time.Second, HealthPath: "/h"}
	loop.Post(t.Context(), control.ConfigEvent{Config: config})
	loop.Post(t.Context(), control.InstancesEvent{Instances: []external.Instance{
		{ID: "u", Role: external.RoleService, Region: "r", Service: "s", Address: server.Listener.Addr().String()},
	}})
	for len(loop.Snapshot().Upstreams) == 0 {
		time.Sleep(time.Millisecond)
	}
	counters := loop.Snapshot().Upstreams[0].Counters
	p := &Prober{Loop: loop, ParseHeader: func(http.Header) Health { return Health{} }, Log: logrus.NewEntry(logrus.New()), client: newClient(), checks: map[string]*check{}}
	p.Log.Logger.SetOutput(io.Discard)
	for want := range int64(3) {
		counters.SuspectRestart(clock.Now())
		for started := time.Now(); checks.Load() <= want || counters.RestartSuspected(); time.Sleep(time.Millisecond) {
			p.scan(t.Context(), clock.Now())
			if time.Since(started) > initialDelay {
				t.Fatalf("%d health checks for %d signs of a restart", checks.Load(), want+1)
			}
		}
	}
}

// checkError makes each health check fail with an error.
type checkError struct{ err error }

// RoundTrip implements http.RoundTripper.
func (e checkError) RoundTrip(*http.Request) (*http.Response, error) { return nil, e.err }

// Guards against an instance that runs late, takes its own delay for the end of an upstream or for an upstream that is too
// busy to have just started, and tells the others of its region.
func TestAHealthCheckOfALateInstanceTellsNothing(t *testing.T) {
	for _, c := range []struct {
		err                         error
		paused, reported, suspected bool
	}{
		{errRanLate, false, false, true},
		{errDialTimeout, true, true, true},
		{errCheckTimeout, false, false, false},
	} {
		u := &routing.Upstream{ID: "u", Targets: []string{"s"}, Counters: &routing.Counters{}}
		u.Counters.SuspectRestart(time.Now().Add(-time.Second))
		reported := false
		p := &Prober{
			Loop: control.NewLoop(control.Identity{ID: "i", Region: "r"}), Log: logrus.NewEntry(logrus.New()),
			ReportRestart: func(context.Context, control.RestartReport) { reported = true },
			client:        &http.Client{Transport: checkError{c.err}},
		}
		p.Log.Logger.SetOutput(io.Discard)
		p.checkRestarted(t.Context(), u, "http://u/h")
		paused := u.Counters.ConsecutiveFailures.Load() >= routing.FailuresToPause
		if paused != c.paused || reported != c.reported || u.Counters.RestartSuspected() != c.suspected {
			t.Errorf("%v: paused %t, reported %t, suspected %t, want %t, %t, %t", c.err, paused, reported, u.Counters.RestartSuspected(), c.paused, c.reported, c.suspected)
		}
		u.Counters.ConsecutiveFailures.Store(0)
		u.Counters.Begin(time.Now().Add(-2*silenceToCheck), 0, 0)
		p.checkSilent(t.Context(), u, "http://u/h")
		if paused := u.Counters.ConsecutiveFailures.Load() > 0; paused == errors.Is(c.err, errRanLate) {
			t.Errorf("%v: a silent upstream is paused: %t", c.err, paused)
		}
	}
}

// Guards against a sign of a restart that the others of the region learn only after a slow health check, and against
// reports of what another instance reported.
func TestASignOfARestartIsReportedBeforeASlowHealthCheckEnds(t *testing.T) {
	for _, c := range []struct {
		name     string
		delay    time.Duration
		reported bool
		want     []time.Duration
	}{
		{"slow", 4 * maxUnreported, false, []time.Duration{0, 3 * time.Second}},
		{"slow, and reported by another instance", 4 * maxUnreported, true, []time.Duration{3 * time.Second}},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(c.delay) }))
		u := &routing.Upstream{ID: "u", Targets: []string{"s"}, Counters: &routing.Counters{}}
		if suspected := clock.Now().Add(-time.Second); c.reported {
			u.Counters.SuspectReportedRestart(suspected)
		} else {
			u.Counters.SuspectRestart(suspected)
		}
		reports := make(chan time.Duration, 4)
		p := &Prober{
			Loop: control.NewLoop(control.Identity{ID: "i", Region: "r"}), Log: logrus.NewEntry(logrus.New()), client: newClient(),
			ParseHeader:   func(http.Header) Health { return Health{ColdFor: 3 * time.Second} },
			ReportRestart: func(_ context.Context, r control.RestartReport) { reports <- r.ColdFor },
			maxUnreported: maxUnreported,
		}
		p.Log.Logger.SetOutput(io.Discard)
		p.checkRestarted(t.Context(), u, server.URL)
		// The first report may still be on its way from the goroutine of its timer.
		var got []time.Duration
		for timeout := time.After(5 * time.Second); len(got) < len(c.want); {
			select {
			case r := <-reports:
				got = append(got, r)
				continue
			case <-timeout:
			}
			break
		}
		for len(reports) > 0 {
			got = append(got, <-reports)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: reported %v, want %v", c.name, got, c.want)
		}
		server.Close()
	}
}
