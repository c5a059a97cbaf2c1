package probe

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/routing"
)

// Guards against a flood of a cold upstream whose health check, made for another reason, told that it is cold.
func TestEveryHealthCheckTellsOfColdTime(t *testing.T) {
	const coldFor = 3 * time.Second
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	for name, check := range map[string]func(context.Context, *Prober, *routing.Upstream){
		"it said that it leaves": func(ctx context.Context, p *Prober, u *routing.Upstream) {
			u.Counters.RecordLeaving(clock.Now().Add(-time.Second))
			p.checkLeaving(ctx, u, server.URL)
		},
		"it owed responses": func(ctx context.Context, p *Prober, u *routing.Upstream) {
			u.Counters.Begin(clock.Now().Add(-2*silenceToCheck), 0, 0)
			p.checkSilent(ctx, u, server.URL)
		},
		"it was paused": func(ctx context.Context, p *Prober, u *routing.Upstream) {
			p.checkUpstream(ctx, u.ID, server.URL)
		},
		"a connection broke": func(ctx context.Context, p *Prober, u *routing.Upstream) {
			u.Counters.SuspectRestart(clock.Now())
			p.checkRestarted(ctx, u, server.URL)
		},
	} {
		t.Run(name, func(t *testing.T) {
			loop := control.NewLoop(control.Identity{ID: "i", Region: "r", ColdExcess: 1.5, ColdSlack: 3})
			go loop.Run(t.Context())
			config := opconfig.New()
			config.Revision = 1
			config.Services["s"] = opconfig.Service{Name: "s", ColdRateLimit: 2.5, ColdFor: coldFor, HealthPath: "/h"}
			loop.Post(t.Context(), control.ConfigEvent{Config: config})
			loop.Post(t.Context(), control.InstancesEvent{Instances: []external.Instance{{ID: "u", Role: external.RoleService, Region: "r", Service: "s", Address: "x"}}})
			for len(loop.Snapshot().Upstreams) == 0 || !loop.Snapshot().Upstreams[0].MayBecomeCold {
				time.Sleep(time.Millisecond)
			}
			log := logrus.New()
			log.SetOutput(io.Discard)
			p := &Prober{Loop: loop, Log: logrus.NewEntry(log), client: newClient(),
				ParseHeader: func(http.Header) Health { return Health{ID: "u", ColdFor: coldFor} }}
			check(t.Context(), p, &loop.Snapshot().Upstreams[0])
			time.Sleep(200 * time.Millisecond)
			if u := &loop.Snapshot().Upstreams[0]; !u.Cold && !u.Counters.RestartSuspected() {
				t.Errorf("the upstream gets any number of requests, leaving %t", u.Draining)
			}
		})
	}
}
