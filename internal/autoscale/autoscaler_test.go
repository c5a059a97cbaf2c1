package autoscale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/routing"
)

// apiCall is an order that a testAPI received.
type apiCall struct {
	at    time.Duration
	token int64
	external.CapacityOrder
}

// rig is an Autoscaler on a clock of its own, with one service in one region.
type rig struct {
	*Autoscaler
	t        *testing.T
	now      time.Time
	held     bool
	token    int64
	validFor time.Duration
	// fail is what the API returns.
	fail     error
	calls    []apiCall
	outcomes []error
	// serving are the upstreams in each of two failure domains, and share the share of their slots in use.
	serving int
	share   float64
	silent  bool
	service opconfig.Service
	domains []string
	// callTime is how long the API takes.
	callTime time.Duration
}

func (r *rig) ReportUsage(context.Context, external.Fence, external.UsageReport) error { return nil }

func (r *rig) OrderCapacity(ctx context.Context, f external.Fence, o external.CapacityOrder) error {
	// A deadline by another clock than that of the permit is wrong by the time for which the machine was suspended.
	if deadline, ok := ctx.Deadline(); !ok || !deadline.Equal(r.now.Add(cmp.Or(r.CallTimeout, callTimeout))) {
		r.t.Errorf("the deadline of a call is %v, want %v", deadline, r.now.Add(cmp.Or(r.CallTimeout, callTimeout)))
	}
	r.calls = append(r.calls, apiCall{at: r.now.Sub(testStart), token: f.Token, CapacityOrder: o})
	r.now = r.now.Add(r.callTime)
	return r.fail
}

func newRig(t *testing.T) *rig {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &rig{t: t, now: testStart, held: true, token: 7, validFor: 2 * time.Second, serving: 6, share: .5, domains: []string{"r-a", "r-b"}}
	r.service = opconfig.Service{ColdFor: testBounds.Cold, Autoscale: &opconfig.Autoscale{Min: 2, Max: 15, Startup: testBounds.Startup}}
	r.Autoscaler = &Autoscaler{
		Permit: func() (external.Fence, time.Time, bool) {
			return external.Fence{Holder: "i", Token: r.token}, r.now.Add(r.validFor), r.held
		},
		API:           r,
		ReportOutcome: func(err error) { r.outcomes = append(r.outcomes, err) },
		Services:      func() map[string]opconfig.Service { return map[string]opconfig.Service{"s": r.service} },
		Now:           func() time.Time { return r.now },
		Log:           logrus.NewEntry(log),
		Collect: func(context.Context, []string) []RegionLoads {
			load := RegionLoads{Region: "r", Instances: 1, Asked: 1}
			if r.silent {
				return []RegionLoads{load}
			}
			var response InstanceLoad
			for _, domain := range r.domains {
				response.Domains = append(response.Domains, DomainLoad{
					Service: "s", Domain: Domain{Name: domain, Serving: r.serving}, Slots: 64 * r.serving, InFlight: int(64 * r.share * float64(r.serving)),
				})
			}
			load.Responses = append(load.Responses, response)
			return []RegionLoads{load}
		},
	}
	return r
}

// run makes rounds for a number of seconds and returns the calls in them.
func (r *rig) run(seconds int) []apiCall {
	before := len(r.calls)
	for range seconds {
		r.round(context.Background())
		r.now = r.now.Add(time.Second)
	}
	return r.calls[before:]
}

// Guards against orders that are not sent, are sent too often, or are sent when they must not be.
func TestOrdersAreSentWhenTheyMay(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *rig)
		// run is the time in seconds after the change, in which the number of calls is from min to max.
		run, min, max int
	}{
		{"nothing changes", func(*rig) {}, 25, 0, 0},
		{"repeated after 30 s", func(*rig) {}, 35, 2, 2},
		{"the number changes", func(r *rig) { r.share = .95 }, 3, 2, 2},
		{"an upstream ends", func(r *rig) { r.serving = 5 }, 3, 2, 2},
		{"the duty is lost", func(r *rig) { r.share, r.held = .95, false }, 60, 0, 0},
		{"the permit ends during a call", func(r *rig) { r.share, r.validFor = .95, 999*time.Millisecond }, 60, 0, 0},
		{"rate limited", func(r *rig) {
			r.share, r.fail = .95, &external.RateLimitedError{RetryAfter: 10 * time.Second}
		}, 20, 2, 2},
		{"rate limited without a time", func(r *rig) { r.share, r.fail = .95, &external.RateLimitedError{} }, 6, 3, 5},
		{"stale token", func(r *rig) { r.share, r.fail = .95, external.ErrStaleFence }, 60, 1, 1},
		{"API away", func(r *rig) { r.share, r.fail = .95, external.ErrUnavailable }, 11, 10, 10},
		{"rejected", func(r *rig) { r.share, r.fail = .95, errors.New("unknown service") }, 11, 4, 4},
		{"no instance responds", func(r *rig) { r.share, r.silent = .95, true }, 25, 0, 0},
		{"the service is no longer scaled", func(r *rig) { r.share, r.service.Autoscale = .95, nil }, 60, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			if calls := r.run(18); len(calls) != 2 {
				t.Fatalf("the calls after the start are %+v, want one for each failure domain", calls)
			}
			c.change(r)
			if calls := r.run(c.run); len(calls) < c.min || len(calls) > c.max {
				t.Errorf("%d calls in %d s, want %d to %d: %+v", len(calls), c.run, c.min, c.max, calls)
			}
			if len(r.outcomes) != len(r.calls) {
				t.Errorf("%d of %d outcomes are reported", len(r.outcomes), len(r.calls))
			}
		})
	}
}

// Guards against orders that wait while the API is away and are sent when another number is correct.
func TestTheFirstOrderAfterTheAPIWasAwayIsCorrectThen(t *testing.T) {
	r := newRig(t)
	r.run(18)
	r.share, r.fail = .95, external.ErrUnavailable
	r.run(5)
	r.share = 1.4
	r.run(5)
	r.fail = nil
	calls := r.run(1)
	want := totals(Decide(r.now, &r.state, nil))
	if len(calls) != 2 || calls[0].Desired+calls[1].Desired != want || want != 28 {
		t.Errorf("the calls are %+v, want two for %d upstreams in all, of which 28 are needed", calls, want)
	}
	if status := r.Status(); len(status) != 2 || status[0].Accepted != calls[0].Desired || status[0].Outcome != "accepted" {
		t.Errorf("the status is %+v", status)
	}
}

// Guards against a slow API that keeps the load from being seen, and against orders of more upstreams that wait behind
// repeated ones.
func TestASlowAPIDelaysNoOrderOfMore(t *testing.T) {
	r := newRig(t)
	for i := range 28 {
		r.domains = append(r.domains, fmt.Sprintf("r-c%02d", i))
	}
	if calls := r.run(19); len(calls) != 20+10 {
		t.Fatalf("%d calls in two rounds, want one for each of 30 failure domains", len(calls))
	}
	r.now, r.callTime = r.now.Add(30*time.Second), 900*time.Millisecond
	r.run(1)
	r.share = .95
	for _, calls := range [][]apiCall{r.run(1), r.run(1), r.run(1)} {
		if len(calls) > 3 {
			t.Errorf("a round made %d calls of %s", len(calls), r.callTime)
		}
	}
	if calls := r.run(1); !slices.ContainsFunc(calls, func(c apiCall) bool { return c.Desired > r.serving }) {
		t.Errorf("the round after high load has the calls %+v, want one for more upstreams", calls)
	}
}

// Guards against a holder that acts on the loads and orders of an earlier term.
func TestANewTokenForgetsEarlierOrders(t *testing.T) {
	r := newRig(t)
	r.run(18)
	r.token, r.serving = 8, 4
	if calls := r.run(16); len(calls) > 0 {
		t.Fatalf("calls after the change: %+v", calls)
	}
	calls := r.run(2)
	if len(calls) != 2 || slices.ContainsFunc(calls, func(c apiCall) bool { return c.token != 8 || c.Desired != 4 }) {
		t.Errorf("the calls are %+v, want the four upstreams that run in each failure domain", calls)
	}
	r.held = false
	r.run(1)
	if status := r.Status(); len(status) != 0 {
		t.Errorf("the status without the duty is %+v", status)
	}
}

// Guards against loads that miss the requests of silent instances, or count upstreams by a row that one instance lacks.
func TestPoolsCombineResponses(t *testing.T) {
	services := map[string]opconfig.Service{"s": {Autoscale: &opconfig.Autoscale{Min: 1, Max: 9, Startup: time.Second}}, "fixed": {}}
	response := func(serving, inFlight, running, waiting int) InstanceLoad {
		return InstanceLoad{
			Rejected: map[string]float64{"s": 1},
			Domains: []DomainLoad{
				{Service: "s", Domain: Domain{Name: "r-a", Serving: serving}, Slots: 64 * serving, InFlight: inFlight, Reporting: serving,
					Running: running, Waiting: waiting, Arrivals: 10, PromptTokens: 1000, ReadTokens: 5000, ReadSeconds: .125},
				{Service: "fixed", Domain: Domain{Name: "r-a", Serving: 9}, InFlight: 99},
			},
		}
	}
	for _, c := range []struct {
		name             string
		instances, asked int
		responses        []InstanceLoad
		serving          int
		want             Load
	}{
		{"all respond", 3, 3, []InstanceLoad{response(4, 20, 50, 8), response(4, 20, 50, 4), response(3, 20, 36, 10)}, 4,
			Load{Running: 52, Waiting: 8, Rejected: 3, Arrivals: 30, PromptTokens: 3000, Complete: true}},
		{"one of four is silent", 4, 4, []InstanceLoad{response(4, 20, 50, 8), response(4, 20, 50, 4), response(4, 20, 50, 6)}, 4,
			Load{Running: 74, Waiting: 6, Rejected: 4, Arrivals: 40, PromptTokens: 4000, Complete: true}},
		{"most are silent", 4, 4, []InstanceLoad{response(4, 20, 100, 20)}, 4,
			Load{Running: 100, Waiting: 20, Rejected: 4, Arrivals: 40, PromptTokens: 4000}},
		{"few of many are asked", 40, 2, []InstanceLoad{response(4, 5, 100, 20), response(4, 5, 100, 20)}, 4,
			Load{Running: 180, Waiting: 20, Rejected: 40, Arrivals: 400, PromptTokens: 40000, Complete: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.want.SlotsPerUpstream, c.want.ReadRate = 64, 40_000
			pools := Pools(services, []RegionLoads{
				{Region: "r", Instances: c.instances, Asked: c.asked, Responses: c.responses}, {Region: "cut off", Instances: 3, Asked: 3},
			})
			if len(pools) != 1 || len(pools[0].Domains) != 1 || pools[0].Domains[0].Serving != c.serving {
				t.Fatalf("the pools are %+v", pools)
			}
			if got := pools[0].Load; got != c.want {
				t.Errorf("the load is %+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against upstreams that count as serving although they get no requests, and reports without a bound.
func TestLoadOfCountsUpstreamsByState(t *testing.T) {
	now := time.Unix(3000, 0)
	upstream := func(domain string, change func(u *routing.Upstream)) routing.Upstream {
		u := routing.Upstream{ID: domain, FailureDomain: domain, Targets: []string{"s"}, MaxConcurrency: 64, Counters: &routing.Counters{}}
		u.Counters.Begin(now.Add(-time.Second), 3000, 0)
		u.Counters.RecordLoad(now, external.Load{Running: 5, Waiting: 2})
		change(&u)
		return u
	}
	s := &routing.Snapshot{Upstreams: []routing.Upstream{
		upstream("a", func(*routing.Upstream) {}),
		upstream("a", func(u *routing.Upstream) { u.Counters.RecordLoad(now.Add(-2*time.Second), external.Load{Running: 9}) }),
		upstream("a", func(u *routing.Upstream) { u.Cold = true }),
		upstream("a", func(u *routing.Upstream) { u.Down = true }),
		upstream("a", func(u *routing.Upstream) { u.Evacuated = true }),
		upstream("a", func(u *routing.Upstream) { u.Draining = true }),
		upstream("a", func(u *routing.Upstream) { u.Targets = []string{"other"} }),
	}}
	for i := range 2 * maxReportedDomains {
		s.Upstreams = append(s.Upstreams, upstream(fmt.Sprintf("b-%03d", i), func(*routing.Upstream) {}))
	}
	s.BuildIndexes()
	load := LoadOf(s, nil, []string{"s"}, now)
	want := DomainLoad{
		Service: "s", Domain: Domain{Name: "a", Serving: 2, Cold: 1, Unavailable: 2, Leaving: 1}, Slots: 5 * 64, InFlight: 6,
		Reporting: 1, Running: 5, Waiting: 2, Arrivals: 3, PromptTokens: 9000,
	}
	if len(load.Domains) != maxReportedDomains || load.Domains[0] != want {
		t.Errorf("%d failure domains, the first is %+v, want %+v", len(load.Domains), load.Domains[0], want)
	}
}

// Guards against a holder that never orders because its permits are shorter than the usual timeout of a call.
func TestOrdersWithThePermitsOfAShortLease(t *testing.T) {
	r := newRig(t)
	r.CallTimeout, r.validFor = 300*time.Millisecond, 500*time.Millisecond
	if calls := r.run(18); len(calls) == 0 {
		t.Error("no order is sent")
	}
}
