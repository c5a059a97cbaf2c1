package control

import (
	"fmt"
	"math"
	"testing"
	"time"

	"heatherloom/internal/external"
	"heatherloom/internal/membership"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/rollout"
	"heatherloom/internal/routing"
)

func newServiceTables(id string, instances int) *tables {
	t := newTables(Identity{ID: id, Region: "a", ColdExcess: 1.5, ColdSlack: 3})
	t.coldSendsFrom = time.Unix(900, 0)
	t.config = opconfig.New()
	t.config.Revision = 1
	t.config.Services["s"] = opconfig.Service{Name: "s", ColdRateLimit: 2.5, ColdFor: 3 * time.Second, HealthPath: "/h"}
	for i := range instances {
		other := fmt.Sprint("e", i)
		if other != id {
			t.members.RecordHeartbeat(time.Unix(1000, 0), membership.Member{ID: other, Region: "a"})
		}
	}
	return t
}

func testUpstream(t *tables) *upstreamRow { return t.upstreams["u"] }

func listedUpstream(change func(*external.Instance)) InstancesEvent {
	i := external.Instance{ID: "u", Role: external.RoleService, Region: "a", FailureDomain: "a1", Service: "s", Address: "x", StartedAtUnixMilli: 1}
	if change != nil {
		change(&i)
	}
	return InstancesEvent{Instances: []external.Instance{i}}
}

// Guards against instances that together exceed a cold upstream's limit of 2.5 x 1.5 + 3
// requests per second.
func TestColdSendsOfAllInstancesStayBelowTheLimit(t *testing.T) {
	for _, instances := range []int{1, 2, 3, 6, 7, 13, 30} {
		sum := 0
		for i := range instances {
			tables := newServiceTables(fmt.Sprint("e", i), instances)
			listedUpstream(nil).apply(tables, time.Unix(1000, 0))
			sum += (&regionBudget{tables: tables, now: time.Unix(1000, 0)}).coldRequests(testUpstream(tables), true)
		}
		if sum < 1 || sum > 6 {
			t.Errorf("%d instances send %d requests a second", instances, sum)
		}
	}
}

// Guards against instances that together send more or less than the rate that an upstream names.
func TestRequestRatesOfAllInstancesAddUp(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, rate := range []float64{0.25, 1, 2.4, 40} {
		for _, instances := range []int{1, 2, 3, 8, 30, 200} {
			sum, senders := 0.0, 0
			for i := range instances {
				tables := newServiceTables(fmt.Sprint("e", i), instances)
				listedUpstream(nil).apply(tables, now)
				testUpstream(tables).counters.RecordNamedRate(now, now, rate, true)
				part, limited := (&regionBudget{tables: tables, now: now}).requestRate(testUpstream(tables))
				if !limited {
					t.Fatalf("rate %v: not limited", rate)
				}
				sum += part
				if part > 0 {
					senders++
				}
			}
			if math.Abs(sum-rate) > 1e-9 || float64(senders) > 2*rate+5 {
				t.Errorf("%d instances, of which %d may send, send %v requests a second, want %v", instances, senders, sum, rate)
			}
		}
	}
}

// Guards against instances that together have more or fewer places at a brittle upstream than it has, and
// against one that uses its places while requests from before its restart may still run.
func TestPlacesOfAllInstancesAddUp(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, slots := range []int{1, 4, 64} {
		for _, instances := range []int{1, 2, 3, 8, 30, 200} {
			sum := 0
			for i := range instances {
				tables := newServiceTables(fmt.Sprint("e", i), instances)
				listedUpstream(func(u *external.Instance) { u.MaxConcurrency = slots }).apply(tables, now)
				budget := &regionBudget{tables: tables, now: now}
				part, _ := budget.places(testUpstream(tables))
				sum += part
				tables.coldSendsFrom = now.Add(time.Second)
				if part, _ := budget.places(testUpstream(tables)); part != 0 {
					t.Fatalf("%d places shortly after the start", part)
				}
			}
			if sum != slots {
				t.Errorf("%d instances have %d places, the upstream %d", instances, sum, slots)
			}
		}
	}
}

// Guards against an upstream whose rate is forgotten because its row was missing for a moment.
func TestRequestRatesOutlastAMissingRow(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		missing time.Duration
		change  func(*external.Instance)
		want    bool
	}{
		{"the same process", time.Second, nil, true},
		{"another process", time.Second, func(i *external.Instance) { i.StartedAtUnixMilli = 2 }, false},
		{"missing for long", 2 * rateRetention, nil, false},
	} {
		tables := newServiceTables("e0", 2)
		listedUpstream(nil).apply(tables, now)
		testUpstream(tables).counters.RecordNamedRate(now, now, 1, true)
		InstancesEvent{}.apply(tables, now)
		InstancesEvent{}.apply(tables, now.Add(c.missing))
		listedUpstream(c.change).apply(tables, now.Add(c.missing))
		if _, got := testUpstream(tables).counters.NamedRate(); got != c.want {
			t.Errorf("%s: limited %t, want %t", c.name, got, c.want)
		}
	}
}

// Guards against treating an upstream as warm after a restart, after a pause or after the
// evacuation of its domain.
func TestUpstreamsAreColdAfterTheyReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		event func(*tables)
	}{
		{"cold time in the instance list", func(x *tables) {
			listedUpstream(func(i *external.Instance) { i.ColdFor, i.ListedAt, i.StartedAtUnixMilli = 2*time.Second, now, 2 }).apply(x, now)
		}},
		{"cold time in a health check", func(x *tables) {
			HealthCheckPassedEvent{Upstream: "u", Sent: now, ColdFor: 2 * time.Second}.apply(x, now)
		}},
		{"end of the evacuation", func(x *tables) {
			EvacuationEvent{Domains: map[string]struct{}{"a1": {}}}.apply(x, now)
			EvacuationEvent{}.apply(x, now)
		}},
	} {
		x := newServiceTables("e0", 3)
		listedUpstream(nil).apply(x, now)
		c.event(x)
		if s := buildSnapshot(x, now.Add(time.Second)); !s.Upstreams[0].Cold || s.Upstreams[0].ColdRateLimit != 2 {
			t.Errorf("%s: got %+v", c.name, s.Upstreams[0])
		}
	}
}

// Guards against an upstream that returns to service after failures without passing a
// health check, and against one that never returns.
func TestPausedUpstreamWaitsForItsHealthCheck(t *testing.T) {
	now := time.Unix(1000, 0)
	x := newServiceTables("e0", 1)
	listedUpstream(nil).apply(x, now)
	testUpstream(x).counters.ConsecutiveFailures.Store(routing.FailuresToPause)
	updateHealth(x, now)
	later := now.Add(10 * pauseDuration)
	updateHealth(x, later)
	if !buildSnapshot(x, later).Upstreams[0].Down {
		t.Fatal("the upstream returned without a health check")
	}
	HealthCheckPassedEvent{Upstream: "u"}.apply(x, later)
	updateHealth(x, later)
	if buildSnapshot(x, later).Upstreams[0].Down {
		t.Error("still paused after a health check")
	}
}

// Guards against a candidate that receives more than its share, and against one
// that keeps receiving requests after its failures were detected.
func TestVersionsGetASmallShareAndNothingAfterBadAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	x := newServiceTables("e0", 8)
	x.identity.CanaryShare = 0.1
	both := listedUpstream(func(i *external.Instance) { i.Version = "v2" })
	both.Instances = append(both.Instances, external.Instance{ID: "old", Role: external.RoleService, Region: "a", Service: "s", Version: "v1", State: external.InstanceLive})
	both.apply(x, now)
	r := rollout.ServiceRollout{Service: "s", Version: "v2", State: rollout.Serving}
	ServiceRolloutsEvent{Rollouts: []rollout.ServiceRollout{r}}.apply(x, now)
	split := func() float64 { return buildSnapshot(x, now).ServiceSplits["s"].Share }
	if got := split(); got <= 0 || got > 0.1 {
		t.Errorf("share %v before any response", got)
	}
	for range 5 {
		testUpstream(x).counters.ObserveAttempt(true)
	}
	if got := split(); got != 0 {
		t.Errorf("share %v after five failed attempts at each of eight instances", got)
	}
	for _, c := range []struct {
		state rollout.State
		want  float64
	}{{rollout.Done, 1}, {rollout.RolledBack, 0}} {
		r.State = c.state
		ServiceRolloutsEvent{Rollouts: []rollout.ServiceRollout{r}}.apply(x, now)
		if got := split(); got != c.want {
			t.Errorf("share %v in state %s", got, c.state)
		}
	}
}

// Guards against a candidate that gets all requests of a region whose upstreams of the running
// version leave or have crashed.
func TestACandidateGetsOnlyItsShareWhereTheRunningVersionIsGone(t *testing.T) {
	now := time.Unix(1000, 0)
	x := newServiceTables("e0", 8)
	x.identity.CanaryShare = 0.1
	listed := listedUpstream(func(i *external.Instance) { i.Version, i.State = "v2", external.InstanceLive })
	running := external.Instance{ID: "old", Role: external.RoleService, Region: "a", Service: "s", Version: "v1", State: external.InstanceDraining}
	ServiceRolloutsEvent{Rollouts: []rollout.ServiceRollout{{Service: "s", Version: "v2", State: rollout.Serving}}}.apply(x, now)
	for name, event := range map[string]InstancesEvent{
		"leaving": {Instances: append(listed.Instances, running)},
		"crashed": listed,
	} {
		event.apply(x, now)
		if split := buildSnapshot(x, now).ServiceSplits["s"]; split.Candidate != "v2" || split.Share <= 0 || split.Share > 0.1 {
			t.Errorf("%s: the split is %+v", name, split)
		}
	}
	ServiceRolloutsEvent{Rollouts: []rollout.ServiceRollout{{Service: "s", Version: "v2", State: rollout.Serving, OnlyVersion: true}}}.apply(x, now)
	if _, split := buildSnapshot(x, now).ServiceSplits["s"]; split {
		t.Error("the version gets only a share although no region has another one")
	}
}

// Guards against a cold upstream that is flooded because its row was missing for a moment.
func TestAnUpstreamWhoseRowVanishesForAMomentStaysCold(t *testing.T) {
	now := time.Unix(1000, 0)
	x := newServiceTables("e0", 3)
	listedUpstream(nil).apply(x, now)
	EvacuationEvent{Domains: map[string]struct{}{"a1": {}}}.apply(x, now)
	EvacuationEvent{}.apply(x, now)
	InstancesEvent{}.apply(x, now.Add(500*time.Millisecond))
	listedUpstream(nil).apply(x, now.Add(time.Second))
	if s := buildSnapshot(x, now.Add(time.Second)); !s.Upstreams[0].Cold {
		t.Error("the same process is no longer cold")
	}
	listedUpstream(func(i *external.Instance) { i.StartedAtUnixMilli = 2 }).apply(x, now.Add(time.Second))
	if s := buildSnapshot(x, now.Add(time.Second)); s.Upstreams[0].Cold {
		t.Error("another process with the same id is cold")
	}
}

// Guards against a cold upstream that is flooded by instances that restart and no longer know
// what they sent, or that start for the first time and are not yet counted by the others.
func TestAStartingInstanceSendsNothingToColdUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		listed bool
		after  time.Duration
		sends  bool
	}{
		{"restarted, at once", true, 0, false},
		{"restarted, within the second of its last requests", true, time.Second, false},
		{"restarted, later", true, 1200 * time.Millisecond, true},
		{"new, not yet known to all", false, 3400 * time.Millisecond, false},
		{"new, later", false, 5 * time.Second, true},
	} {
		x := newTables(Identity{ID: "e0", Region: "a", ColdExcess: 1.5, ColdSlack: 3})
		x.config.Services["s"] = opconfig.Service{Name: "s", ColdRateLimit: 2.5}
		event := listedUpstream(func(i *external.Instance) { i.ColdFor, i.ListedAt = time.Minute, now })
		if c.listed {
			event.Instances = append(event.Instances, external.Instance{ID: "e0", Role: external.RoleEntry, Region: "a"})
		}
		event.apply(x, now)
		event.Instances = append(event.Instances, external.Instance{ID: "e0", Role: external.RoleEntry, Region: "a"})
		event.apply(x, now.Add(50*time.Millisecond))
		if limit := buildSnapshot(x, now.Add(c.after)).Upstreams[0].ColdRateLimit; (limit > 0) != c.sends {
			t.Errorf("%s: %d requests a second", c.name, limit)
		}
	}
}

// Guards against an instance that detected a faulty version itself but keeps sending to it
// because the fleet has not decided yet.
func TestAVersionGetsNothingWhereItWasStopped(t *testing.T) {
	now := time.Unix(1000, 0)
	x := newServiceTables("e0", 8)
	x.identity.CanaryShare = 0.1
	listedUpstream(func(i *external.Instance) { i.Version, i.State = "v1", external.InstanceLive }).apply(x, now)
	r := rollout.ServiceRollout{Service: "s", Version: "v2", State: rollout.Serving}
	ServiceRolloutsEvent{Rollouts: []rollout.ServiceRollout{r}}.apply(x, now)
	LocalStopsEvent{Stops: []rollout.Stop{{RolloutID: r.ID(), Instance: "e5"}}}.apply(x, now)
	pruneRollouts(x, now)
	if got := buildSnapshot(x, now).ServiceSplits["s"].Share; got == 0 {
		t.Error("a local stop of another instance stopped the version here")
	}
	LocalStopsEvent{Stops: []rollout.Stop{{RolloutID: r.ID(), Instance: "e0"}}}.apply(x, now)
	pruneRollouts(x, now)
	if got := buildSnapshot(x, now).ServiceSplits["s"].Share; got != 0 {
		t.Errorf("share %v after a local stop of this instance", got)
	}
}

// Guards against an instance without access to the store that sends full traffic to
// upstreams that have since become cold, or whose failure domain is evacuated.
func TestPeersTellOfColdUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	informed, cutOff := newServiceTables("e0", 3), newServiceTables("e1", 3)
	for _, x := range []*tables{informed, cutOff} {
		listedUpstream(nil).apply(x, now)
	}
	EvacuationEvent{Domains: map[string]struct{}{"a1": {}}}.apply(informed, now)
	remaining := buildSnapshot(informed, now).Upstreams[0].ColdFor(now)
	HeartbeatEvent{Peer: routing.Peer{ID: "e0", Region: "a"}, ColdFor: map[string]time.Duration{"u": remaining}}.apply(cutOff, now)
	if s := buildSnapshot(cutOff, now.Add(time.Second)); !s.Upstreams[0].Cold {
		t.Error("the upstream of an evacuated domain is not treated as cold")
	}
}

// In a large fleet an instance receives reports from only a few members of other regions.
// Guards against counting the remaining members as having no demand, which would let all
// instances together admit several times the rate of a client account.
func TestDemandOfMembersThatWereNotHeardIsEstimated(t *testing.T) {
	now := time.Unix(1000, 0)
	x := newServiceTables("e0", 1)
	receive := func(id, region string, at time.Time, demand float64) {
		HeartbeatEvent{Peer: routing.Peer{ID: id, Region: region, FailureDomain: region}, Demands: map[string]float64{"t": demand},
			Services: map[string]routing.ServiceLoad{}}.apply(x, at)
	}
	for i := range 4 {
		receive(fmt.Sprint("a", i), "a", now.Add(-time.Second), 10)
	}
	receive("b0", "b", now.Add(-3*time.Second), 20)
	receive("b1", "b", now.Add(-6*time.Second), 500)
	x.listedInstances = map[string]external.Instance{"b2": {ID: "b2", Region: "b"}, "c0": {ID: "c0", Region: "c"}, "c1": {ID: "c1", Region: "c"}, "e0": {ID: "e0", Region: "a"}}
	s := buildSnapshot(x, now)
	// Region a has four reports of 10, region b one of 20 for its three members, and the
	// two members of c are each assumed to have 12, the mean of all five reports.
	if got, want := s.PeerDemand["t"], 40.0+60+24; math.Abs(got-want) > 1e-9 {
		t.Errorf("demand %v, want %v", got, want)
	}
	if want := 1400 * time.Millisecond; s.PeerDemandAge != want {
		t.Errorf("age %s, want %s", s.PeerDemandAge, want)
	}
}

// Guards against instances that together exceed the limit of an upstream that may have started again.
func TestInstancesDivideTheLimitOfAnUpstreamThatMayHaveStartedAgain(t *testing.T) {
	const limit = 6
	now := time.Unix(1000, 0)
	for _, instances := range []int{1, 3, limit, 26} {
		total := 0
		for i := range instances {
			x := newServiceTables(fmt.Sprint("e", i), instances)
			listedUpstream(nil).apply(x, now)
			testUpstream(x).counters.SuspectRestart(now)
			total += buildSnapshot(x, now).Upstreams[0].ColdRateLimit
		}
		if total == 0 || total > limit {
			t.Errorf("%d instances: %d requests in a second, at most %d are allowed", instances, total, limit)
		}
	}
}

// Guards against a cold upstream that is flooded before the next snapshot, or after a check older than its restart.
func TestColdUpstreamIsLimitedFromItsHealthCheckOn(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name      string
		suspected time.Time
		coldFor   time.Duration
		limited   bool
	}{
		{"cold", now, 2 * time.Second, true},
		{"warm, sign of a restart since the check", now.Add(20 * time.Millisecond), 0, true},
		{"warm", now, 0, false},
	} {
		x := newServiceTables("e0", 3)
		listedUpstream(nil).apply(x, now)
		s := buildSnapshot(x, now)
		later := now.Add(50 * time.Millisecond)
		testUpstream(x).counters.SuspectRestart(c.suspected)
		RestartCheckedEvent{Upstream: "u", Sent: now.Add(10 * time.Millisecond), ColdFor: c.coldFor}.apply(x, later)
		picked := 0
		for range 10 {
			request := &routing.Request{Target: "s", Now: later.UnixNano(), Service: &routing.ServiceRequest{Remaining: time.Second}}
			if _, err := (routing.ServicePolicy{Index: routing.NewPrefixIndex()}).Pick(s, request, routing.NewScratch(1)); err == nil {
				picked++
			}
		}
		if limited := picked < 10; limited != c.limited {
			t.Errorf("%s: %d of 10 requests were sent to the upstream by the snapshot before the check", c.name, picked)
		}
	}
}

// Guards against totals of failure domains that count members twice, replace better ones, or outlast their age.
func TestTotalsOfFailureDomainsReplaceTheReportsOfTheirMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	x := newServiceTables("e0", 0)
	x.identity.FailureDomain = "a1"
	members := membership.MaxDomainMesh + 4
	receive := func(id, region, domain string, at time.Time, demands map[string]float64, total routing.DomainDemand) {
		HeartbeatEvent{Peer: routing.Peer{ID: id, Region: region, FailureDomain: domain}, Demands: demands, DomainDemand: total,
			Services: map[string]routing.ServiceLoad{}}.apply(x, at)
	}
	total := func(domain string, demand float64, instances int, at time.Time) routing.DomainDemand {
		return routing.DomainDemand{FailureDomain: domain, Demands: map[string]float64{"t": demand}, Instances: instances, At: at}
	}
	for i := range members {
		var demands map[string]float64
		if i < 2 {
			demands = map[string]float64{"t": 500}
		}
		receive(fmt.Sprint("a", i), "a", "a1", now, demands, routing.DomainDemand{})
		receive(fmt.Sprint("b", i), "b", "b1", now, demands, routing.DomainDemand{})
	}
	receive("a0", "a", "a1", now, nil, total("a1", 40, members, now.Add(-time.Second)))
	receive("a1", "a", "a1", now, nil, total("a1", 1, 1, now.Add(-500*time.Millisecond)))
	receive("b0", "b", "b1", now, nil, total("b1", 30, members/2, now.Add(-2*time.Second)))
	if got, want := buildSnapshot(x, now).PeerDemand["t"], 40.0+60; math.Abs(got-want) > 1e-9 {
		t.Errorf("the demand is %v, want %v", got, want)
	}
	for i := range members {
		receive(fmt.Sprint("a", i), "a", "a1", now, map[string]float64{"t": 3}, routing.DomainDemand{})
	}
	x.publishing = publishing{}
	s := buildSnapshot(x, now)
	if got, want := s.PeerDemand["t"], 3*float64(members)+60; !s.CollectsDemand || math.Abs(got-want) > 1e-9 {
		t.Errorf("the demand is %v with reports of all members, want %v", got, want)
	}
	x.publishing = publishing{}
	if got := buildSnapshot(x, now.Add(2*maxReportAge)).PeerDemand["t"]; got != 0 {
		t.Errorf("the demand is %v when all reports are too old, want 0", got)
	}
}

// Guards against instances that leave out an upstream for good because it named a request rate of which they have no part:
// they send it nothing, and so get no response that tells that the rate ended.
func TestAnInstanceWithoutAPartOfANamedRateLearnsOfItsEnd(t *testing.T) {
	const instances = 24
	start := time.Unix(1000, 0)
	silent := 0
	for i := range instances {
		x := newServiceTables(fmt.Sprint("e", i), instances)
		listedUpstream(nil).apply(x, start)
		testUpstream(x).counters.RecordNamedRate(start, start.Add(-time.Millisecond), 2, true)
		sends := false
		for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(time.Second) {
			for k := range instances {
				if k != i {
					x.members.RecordHeartbeat(now, membership.Member{ID: fmt.Sprint("e", k), Region: "a"})
				}
			}
			for _, step := range tickSteps {
				step(x, now)
			}
			sends = sends || buildSnapshot(x, now).Upstreams[0].TakeRequest(now.UnixNano())
		}
		if !sends {
			silent++
		}
	}
	if silent > 0 {
		t.Errorf("%d of %d instances send neither a request nor a health check within 10 min", silent, instances)
	}
}
