package routing

import (
	"testing"
	"time"

	"heatherloom/internal/estimate"
	"heatherloom/internal/external"
)

const testService = "s"

var testNow = time.Unix(1000, 0)

func serviceUpstream(id string, change func(*Upstream)) Upstream {
	u := Upstream{ID: id, Region: "a", Role: external.RoleService, Targets: []string{testService}, MaxConcurrency: 64, CachesPrompts: true, Counters: &Counters{}}
	if change != nil {
		change(&u)
	}
	return u
}

func serviceSnapshot(upstreams ...Upstream) *Snapshot {
	s := &Snapshot{Region: "a", SelfID: "me", Upstreams: upstreams}
	s.BuildIndexes()
	return s
}

func servicePeer(id, region string, wait time.Duration) Peer {
	return Peer{ID: id, Region: region, Counters: &Counters{},
		RegionStatus: RegionStatus{RoundTripSeconds: 0.11},
		Services:     map[string]ServiceLoad{testService: {Upstreams: 4, WaitSeconds: wait.Seconds(), QueueSeconds: wait.Seconds()}}}
}

func serviceRequest(allowedRegions ...string) *Request {
	return &Request{ID: "r", Target: testService, Now: testNow.UnixNano(), PromptTokens: 2000,
		Service: &ServiceRequest{AllowedRegions: allowedRegions, FirstByteObjective: 800 * time.Millisecond}}
}

// pickService returns the id of the picked upstream or peer; empty if the request is
// rejected.
func pickService(s *Snapshot, r *Request) string {
	choice, err := ServicePolicy{Index: NewPrefixIndex()}.Pick(s, r, NewScratch(1))
	switch {
	case err != nil:
		return ""
	case choice.Peer >= 0:
		return s.Peers[choice.Peer].ID
	default:
		return s.Upstreams[choice.Upstream].ID
	}
}

// Guards against a request that is rejected for the mean wait at a peer whose best upstream has room.
func TestServicePickJudgesAPeerByItsShortestQueue(t *testing.T) {
	for _, c := range []struct {
		queue time.Duration
		want  string
	}{{10 * time.Millisecond, "peer"}, {400 * time.Millisecond, ""}} {
		s := serviceSnapshot(serviceUpstream("own", func(u *Upstream) {
			u.Counters.RecordSign(testNow)
			u.Counters.PendingTokens.Store(45000)
		}))
		peer := servicePeer("peer", "b", 400*time.Millisecond)
		peer.Services[testService] = ServiceLoad{Upstreams: 4, WaitSeconds: 0.4, QueueSeconds: c.queue.Seconds()}
		s.Peers = []Peer{peer}
		r := serviceRequest()
		r.Service.Parts = []PromptPart{{ID: 1, Tokens: 2000}}
		if got := pickService(s, r); got != c.want {
			t.Errorf("queue of %s: picked %q, want %q", c.queue, got, c.want)
		}
	}
	busy := serviceUpstream("busy", func(u *Upstream) { u.Counters.PendingTokens.Store(45000) })
	if load := serviceSnapshot(busy, serviceUpstream("idle", nil)).ServiceLoads(testNow.UnixNano())[testService]; load.QueueSeconds != 0 || load.WaitSeconds < 0.4 {
		t.Errorf("a busy and an idle upstream are reported as %+v", load)
	}
}

// Guards against a request that has to pass the estimates of two instances because the first one reaches no
// upstream, and against one that is tried at all peers while there is too little for all.
func TestServicePickLeavesTheDecisionToOnePeerWhenItReachesNoUpstream(t *testing.T) {
	responded := func(u *Upstream) { u.Counters.RecordSign(testNow) }
	for _, c := range []struct {
		name  string
		own   func(*Upstream)
		tried []string
		want  string
	}{
		{"paused", func(u *Upstream) { responded(u); u.Down = true }, nil, "peer"},
		{"cold, without a response so far", func(u *Upstream) { u.Cold = true }, nil, "peer"},
		{"rejected by a peer", func(u *Upstream) { u.Down = true }, []string{"other"}, ""},
		{"slow", func(u *Upstream) { responded(u); u.Counters.Begin(testNow.Add(-time.Second), 0, 0) }, nil, ""},
	} {
		s := serviceSnapshot(serviceUpstream("u1", c.own))
		peer := servicePeer("peer", "b", 0)
		peer.Services[testService] = ServiceLoad{Upstreams: 4, WaitSeconds: 2, QueueSeconds: 2}
		s.Peers = []Peer{peer, servicePeer("other", "b", 0)}
		s.Peers[1].Suspect = true
		r := serviceRequest()
		r.Tried = c.tried
		r.Service.Parts = []PromptPart{{ID: 1, Tokens: 2000}}
		if got := pickService(s, r); got != c.want {
			t.Errorf("%s: picked %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against an instance that rejects requests when it reaches no upstream of its region although others
// of the region do, and against forwards within the region that are of no use.
func TestServicePickUsesItsRegionsInstancesWhenItReachesNoUpstream(t *testing.T) {
	down := func(u *Upstream) { u.Down = true }
	for _, c := range []struct {
		name      string
		upstreams []Upstream
		peer      func(*Peer)
		want      string
	}{
		{"all down", []Upstream{serviceUpstream("u1", down), serviceUpstream("u2", down)}, nil, "near"},
		{"all silent", []Upstream{serviceUpstream("u1", func(u *Upstream) { u.Counters.Begin(testNow.Add(-time.Second), 0, 0) })}, nil, "near"},
		{"no place at a brittle one", []Upstream{serviceUpstream("u1", down), serviceUpstream("u2", func(u *Upstream) { u.Brittle = true })}, nil, "near"},
		{"one reached", []Upstream{serviceUpstream("u1", down), serviceUpstream("u2", nil)}, nil, "u2"},
		{"one cold", []Upstream{serviceUpstream("u1", down), serviceUpstream("u2", func(u *Upstream) { u.Cold = true })}, nil, "far"},
		{"evacuated", []Upstream{serviceUpstream("u1", func(u *Upstream) { u.Evacuated = true })}, nil, "far"},
		{"the other reaches none either", []Upstream{serviceUpstream("u1", down)}, func(p *Peer) { p.Services = nil }, "far"},
		{"the other is suspect", []Upstream{serviceUpstream("u1", down)}, func(p *Peer) { p.Suspect = true }, "far"},
		{"the other leaves", []Upstream{serviceUpstream("u1", down)}, func(p *Peer) { p.Draining = true }, "far"},
	} {
		near := servicePeer("near", "a", 0)
		near.RegionStatus.RoundTripSeconds = 0.001
		if c.peer != nil {
			c.peer(&near)
		}
		s := serviceSnapshot(c.upstreams...)
		s.Peers = []Peer{servicePeer("far", "b", 0), near}
		if got := pickService(s, serviceRequest()); got != c.want {
			t.Errorf("%s: picked %q, want %q", c.name, got, c.want)
		}
		forwarded := serviceRequest()
		forwarded.Visited = []string{"first"}
		if got := pickService(s, forwarded); got == "near" || got == "far" {
			t.Errorf("%s: a forwarded request is forwarded to %q", c.name, got)
		}
	}
}

// Guards against a request that runs in an evacuated failure domain, at a draining, paused,
// stalled or cold upstream, or at a version under rollout that it is not assigned to.
func TestServicePickFilters(t *testing.T) {
	good := serviceUpstream("good", nil)
	for _, c := range []struct {
		name string
		bad  func(*Upstream)
	}{
		{"leaving", func(u *Upstream) { u.Draining = true }},
		{"paused", func(u *Upstream) { u.Down = true }},
		{"evacuated", func(u *Upstream) { u.Evacuated = true }},
		{"cold without a part", func(u *Upstream) { u.Cold = true }},
		{"silent", func(u *Upstream) { u.Counters.Begin(testNow.Add(-time.Second), 0, 0) }},
		{"candidate", func(u *Upstream) { u.Version = "v2" }},
	} {
		s := serviceSnapshot(serviceUpstream("bad", c.bad), good)
		s.ServiceSplits = map[string]ServiceSplit{testService: {Candidate: "v2"}}
		for range 20 {
			if got := pickService(s, serviceRequest()); got != "good" {
				t.Fatalf("%s: picked %q", c.name, got)
			}
		}
		if got := pickService(serviceSnapshot(serviceUpstream("bad", c.bad)), serviceRequest()); got != "" && c.name != "candidate" {
			t.Errorf("%s: picked %q as the only one", c.name, got)
		}
	}
}

// Guards against a request that runs in or is forwarded to a region that is not among its
// allowed regions.
func TestServicePickKeepsHomes(t *testing.T) {
	s := serviceSnapshot(serviceUpstream("local", nil))
	s.Peers = []Peer{servicePeer("b1", "b", 0), servicePeer("c1", "c", 0)}
	for range 20 {
		if got := pickService(s, serviceRequest("b")); got != "b1" {
			t.Fatalf("bound to b, picked %q", got)
		}
		if got := pickService(s, serviceRequest("a")); got != "local" {
			t.Fatalf("bound to a, picked %q", got)
		}
	}
	if got := pickService(s, serviceRequest("d")); got != "" {
		t.Errorf("bound to a region without instances, picked %q", got)
	}
}

// Guards against requests that run on a candidate, or are forwarded to a region that has only the
// candidate, because the running version is gone there.
func TestARegionWithOnlyTheCandidateServesItsShareAlone(t *testing.T) {
	s := serviceSnapshot(serviceUpstream("new", func(u *Upstream) { u.Version = "v2" }))
	s.ServiceSplits = map[string]ServiceSplit{testService: {Candidate: "v2", Share: 0.05}}
	if loads := s.ServiceLoads(testNow.UnixNano()); len(loads) != 0 {
		t.Errorf("reported to other regions: %+v", loads)
	}
	if got := pickService(s, serviceRequest()); got != "" {
		t.Errorf("picked %q in the only region", got)
	}
	s.Peers = []Peer{servicePeer("b1", "b", 0)}
	if got := pickService(s, serviceRequest()); got != "b1" {
		t.Errorf("picked %q although another region has the running version", got)
	}
	s.ServiceSplits[testService] = ServiceSplit{Candidate: "v2", Share: 1}
	if loads := s.ServiceLoads(testNow.UnixNano()); len(loads) != 1 {
		t.Error("a version that was rolled out is not reported to other regions")
	}
}

// Guards against a request that stays in a region with a long queue while another region is
// idle, and against one that is forwarded to another region without need.
func TestServicePickSpillsWhenAnotherRegionIsClearlyFaster(t *testing.T) {
	for _, c := range []struct {
		name   string
		queued int64
		remote time.Duration
		want   string
	}{
		{"free", 0, 0, "local"},
		{"a short queue", 5000, 0, "local"},
		{"a long queue", 60000, 0, "b1"},
		{"a long queue here and there", 60000, 2 * time.Second, "local"},
	} {
		local := serviceUpstream("local", nil)
		local.Counters.Begin(testNow, c.queued, 0)
		s := serviceSnapshot(local)
		s.Peers = []Peer{servicePeer("b1", "b", c.remote)}
		if got := pickService(s, serviceRequest()); got != c.want {
			t.Errorf("%s: picked %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against a cold upstream that gets more requests in any second than this instance's
// share of its limit.
func TestTakeColdBoundsEachSecond(t *testing.T) {
	u := &Upstream{Cold: true, ColdRateLimit: 2, Counters: &Counters{}}
	var taken []time.Time
	for ms := 0; ms < 5000; ms += 10 {
		now := testNow.Add(time.Duration(ms) * time.Millisecond)
		if u.reserveSend(now.UnixNano(), false) {
			u.ColdReservation(Choice{ColdReserved: true}, now).Sent(now)
			taken = append(taken, now)
		}
	}
	if len(taken) < 8 {
		t.Errorf("only %d requests sent in 5 s", len(taken))
	}
	for i := 2; i < len(taken); i++ {
		if taken[i].Sub(taken[i-2]) < time.Second {
			t.Errorf("three requests sent within %s", taken[i].Sub(taken[i-2]))
		}
	}
}

// Guards against requests that a process sends after it was frozen, before it can know what happened meanwhile.
func TestAPickAfterAFreezeCountsTheUpstreamAsCold(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{50 * time.Millisecond, true}, {MaxReportTime, true}, {3 * time.Second, false}} {
		s := &Snapshot{
			Published: testNow.Add(-c.age), ByTarget: map[string][]int32{"s": {0}},
			Upstreams: []Upstream{{ID: "u", MayBecomeCold: true, Counters: &Counters{}}},
		}
		request := &Request{ID: "r", Target: "s", Now: testNow.UnixNano(), Service: &ServiceRequest{Remaining: time.Second}}
		if _, err := (ServicePolicy{Index: NewPrefixIndex()}).Pick(s, request, NewScratch(1)); (err == nil) != c.want {
			t.Errorf("snapshot of %s: %v", c.age, err)
		}
	}
}

// Guards against a request that is sent although it was refused, because the connection is asked for again.
func TestARefusedSendStaysRefused(t *testing.T) {
	u := &Upstream{MayBecomeCold: true, Counters: &Counters{}}
	if !u.reserveSend(testNow.UnixNano(), false) {
		t.Fatal("a warm upstream gets no request")
	}
	r := u.ColdReservation(Choice{ColdReserved: true}, testNow)
	u.Counters.SuspectRestart(testNow)
	for range 2 {
		if r.MaySend(testNow, false) {
			t.Error("the request may be sent to an upstream of which this instance has no part")
		}
	}
}

// Guards against a cold upstream that gets two seconds' worth of requests at once because the first
// of them were held up on their way.
func TestColdSendsCountFromTheTimeTheyAreSent(t *testing.T) {
	u := &Upstream{Cold: true, ColdRateLimit: 2, Counters: &Counters{}}
	at := func(ms int) time.Time { return testNow.Add(time.Duration(ms) * time.Millisecond) }
	reserve := func(ms int) *ColdReservation {
		if !u.reserveSend(at(ms).UnixNano(), false) {
			return nil
		}
		return u.ColdReservation(Choice{ColdReserved: true}, testNow)
	}
	first, second := reserve(0), reserve(0)
	if reserve(1500) != nil {
		t.Error("a third request is allowed while two are held up")
	}
	first.Sent(at(2000))
	first.End(at(2100))
	second.End(at(2000))
	for ms, allowed := range map[int]bool{2050: false, 2900: false, 3050: false} {
		if got := reserve(ms) != nil; got != allowed {
			t.Errorf("%d ms: allowed %v, want %v", ms, got, allowed)
		}
	}
	third := reserve(3150)
	if third == nil {
		t.Fatal("no request is allowed after the second of the others")
	}
	third.Sent(at(3150))
	third.Sent(at(3200))
	if reserve(3250) != nil {
		t.Error("a request that the transport sent twice counts once")
	}
}

// Guards against instances that have the same shared parts computed at different upstreams,
// against an owner that gets requests while it is clearly slower than the others, and
// against an uneven distribution of shared parts over the upstreams.
func TestServicePickSendsSharedPartsToTheirOwner(t *testing.T) {
	request := func(id uint64) *Request {
		r := serviceRequest()
		r.PromptTokens, r.Prefix = 12000, []uint64{id, id + 1}
		r.Service.Parts = []PromptPart{{ID: id, Tokens: 5400}, {ID: id + 1, Tokens: 6600}}
		return r
	}
	fleet := func() *Snapshot {
		return serviceSnapshot(serviceUpstream("u1", nil), serviceUpstream("u2", nil), serviceUpstream("u3", nil), serviceUpstream("u4", nil))
	}
	counts := map[string]int{}
	for id := range uint64(200) {
		first := pickService(fleet(), request(1000*id))
		if second := pickService(fleet(), request(1000*id)); second != first {
			t.Fatalf("two instances send shared parts %d to %s and %s", id, first, second)
		}
		counts[first]++
		busy := fleet()
		for i := range busy.Upstreams {
			if busy.Upstreams[i].ID == first {
				busy.Upstreams[i].Counters.Begin(testNow, 60000, 0)
			}
		}
		if got := pickService(busy, request(1000*id)); got == first {
			t.Fatalf("shared parts %d are sent to their busy owner", id)
		}
	}
	for id, n := range counts {
		if n < 25 || n > 75 {
			t.Errorf("%s owns %d of 200 shared parts", id, n)
		}
	}
}

// Guards against a long prompt that is forwarded to another region although computing it
// takes just as long there.
func TestServicePickKeepsALongPromptInItsRegion(t *testing.T) {
	s := serviceSnapshot(serviceUpstream("local", nil))
	s.Peers = []Peer{servicePeer("b1", "b", 0)}
	r := serviceRequest()
	r.PromptTokens = 60000
	if got := pickService(s, r); got != "local" {
		t.Errorf("picked %q", got)
	}
}

// Guards against requests that are rejected because the version under rollout has no
// available upstream in the region, and against a fallback to a candidate that was rolled
// back.
func TestServicePickUsesTheVersionBeforeWhereTheCandidateCannotServe(t *testing.T) {
	old := serviceUpstream("old", func(u *Upstream) { u.Version = "v1" })
	paused := serviceUpstream("new", func(u *Upstream) { u.Version, u.Down = "v2", true })
	s := serviceSnapshot(old, paused)
	s.ServiceSplits = map[string]ServiceSplit{testService: {Candidate: "v2", Share: 1}}
	if got := pickService(s, serviceRequest()); got != "old" {
		t.Errorf("candidate paused: picked %q", got)
	}
	s = serviceSnapshot(serviceUpstream("old", func(u *Upstream) { u.Version, u.Down = "v1", true }), serviceUpstream("new", func(u *Upstream) { u.Version = "v2" }))
	s.ServiceSplits = map[string]ServiceSplit{testService: {Candidate: "v2", Share: 0}}
	if got := pickService(s, serviceRequest()); got != "" {
		t.Errorf("candidate rolled back: picked %q", got)
	}
}

// An engine runs a limited number of requests, and further ones wait for a free slot. Guards
// against a request that goes to a full engine because no prompt is queued there, and against
// one that is admitted although no engine has a free slot within its objective.
func TestServicePickCountsTheWaitForASlot(t *testing.T) {
	full := func(id string, running int) Upstream {
		u := serviceUpstream(id, nil)
		for range running {
			u.Counters.Begin(testNow, 0, 0).FirstByte(testNow)
		}
		return u
	}
	request := func() *Request {
		r := serviceRequest()
		r.Prefix, r.Service.Parts = []uint64{1}, []PromptPart{{ID: 1, Tokens: r.PromptTokens}}
		return r
	}
	reading := serviceUpstream("reading", nil)
	reading.Counters.Begin(testNow, 4000, 0)
	if got := pickService(serviceSnapshot(full("full", 66), reading), request()); got != "reading" {
		t.Errorf("picked %q, want the engine with a free slot", got)
	}
	if got := pickService(serviceSnapshot(full("one", 70), full("two", 70)), request()); got != "" {
		t.Errorf("picked %q although six requests wait for a slot at each engine", got)
	}
	if got := pickService(serviceSnapshot(full("one", 63)), request()); got != "one" {
		t.Errorf("rejected although a slot is free")
	}
}

// Guards against a service that rejects all requests for good after a burst: without requests no response reports that
// the load has passed.
func TestServicePickDoesNotRejectForABurstThatPassed(t *testing.T) {
	service := &estimate.Service{}
	var upstreams []Upstream
	for _, id := range []string{"u1", "u2", "u3"} {
		upstreams = append(upstreams, serviceUpstream(id, func(u *Upstream) {
			u.Counters.LearnFrom(service)
			u.Counters.Begin(testNow, 2000, 0).End(testNow)
			u.Counters.RecordSign(testNow)
			u.Counters.RecordLoad(testNow, external.Load{Running: 64, Waiting: 40, Slots: 64})
		}))
	}
	s := serviceSnapshot(upstreams...)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{100 * time.Millisecond, false}, {5 * time.Second, true}, {time.Minute, true}} {
		r := serviceRequest()
		r.Now = testNow.Add(c.after).UnixNano()
		s.Published = testNow.Add(c.after)
		r.Service.Parts = []PromptPart{{ID: 1, Tokens: 2000}}
		if got := pickService(s, r) != ""; got != c.want {
			t.Errorf("%s after the last report of a burst: served %t, want %t", c.after, got, c.want)
		}
	}
}

// Guards against a limit that ends while the upstream is cold, because its cold time is known too early by the time of a
// message and a health check at its end is not answered.
func TestABusyCheckEndsNoColdTimeThatMayBeKnownTooEarly(t *testing.T) {
	u := serviceUpstream("u", func(u *Upstream) { u.MayBecomeCold, u.ColdRateLimit = true, 1 })
	end := testNow.Add(3 * time.Second)
	u.Counters.RecordColdTime(testNow, 0)
	u.Counters.RecordColdUntil(end.Add(-MaxReportTime))
	for _, c := range []struct {
		sent time.Duration
		want bool
	}{{-MaxReportTime + 50*time.Millisecond, true}, {-50 * time.Millisecond, true}, {50 * time.Millisecond, false}} {
		u.Counters.RecordBusyCheck(end.Add(c.sent))
		if got := u.CountsAsCold(end.Add(c.sent + 500*time.Millisecond)); got != c.want {
			t.Errorf("after a check sent %s after the cold time: limited %t, want %t", c.sent, got, c.want)
		}
	}
}

// Guards against requests that are rejected under overload while another region is idle, because the limit of the queue of
// learned estimates is shorter than the way there.
func TestServicePickSpillsUnderOverloadWithLearnedEstimates(t *testing.T) {
	for _, c := range []struct {
		name   string
		learn  bool
		queued int64
		remote time.Duration
		want   string
	}{
		{"fixed, idle region", false, 45000, 0, "peer"},
		{"learned, idle region", true, 45000, 0, "peer"},
		{"learned, short queue", true, 6000, 0, "peer"},
		{"learned, no queue", true, 0, 0, "own"},
		{"learned, region that would reject it", true, 45000, 90 * time.Millisecond, ""},
		{"learned, busy region", true, 45000, 400 * time.Millisecond, ""},
	} {
		s := serviceSnapshot(serviceUpstream("own", func(u *Upstream) {
			if c.learn {
				u.Counters.LearnFrom(&estimate.Service{})
			}
			u.Counters.RecordSign(testNow)
			u.Counters.PendingTokens.Store(c.queued)
		}))
		s.InstanceCount = 64
		s.Peers = []Peer{servicePeer("peer", "b", c.remote)}
		r := serviceRequest()
		r.Service.FirstByteObjective = 520 * time.Millisecond
		r.Service.Parts = []PromptPart{{ID: 1, Tokens: 2000}}
		if got := pickService(s, r); got != c.want {
			t.Errorf("%s: picked %q, want %q", c.name, got, c.want)
		}
	}
}
