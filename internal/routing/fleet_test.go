package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/external"
)

// The model of an engine, with the figures measured on the servers of the larger of the two
// sites: a batch step takes stepBaseTime plus stepTimePerRequest for each running request,
// and computes up to maxStepPrefill prompt tokens at prefillRate tokens per millisecond.
const (
	stepBaseTime       = 3790 * time.Microsecond
	stepTimePerRequest = 89 * time.Microsecond
	maxStepPrefill     = 2048
	prefillRate        = 56.6
	maxBatchSize       = 64
	oneWayLatency      = 55 * time.Millisecond
	// cacheRetention is how long an engine caches an unused part of a prompt: its memory
	// holds about that much of this traffic.
	cacheRetention = 20 * time.Second
)

// fleetJob is one simulated request.
type fleetJob struct {
	objective, deadline time.Duration
	value               float64
	prefix              []uint64
	parts               []PromptPart
	tokens              int64
	responseTokens      int

	sent            time.Time
	prefilled       int64
	decoded         int
	onFirstByte     func(now time.Time)
	onEnd           func(now time.Time)
	timeToFirstByte time.Duration
	// rejections counts how often the request was rejected.
	rejections int
}

// fleetEngine is one simulated engine.
type fleetEngine struct {
	// slowness multiplies the time of each step.
	slowness         float64
	arrivals         int
	running, waiting []*fleetJob
	cached           map[uint64]time.Time
	stepping         bool
	prefilledTokens  int64
}

// fleet simulates a deployment of engines and entry instances in three regions.
type fleet struct {
	now       time.Time
	events    fleetEvents
	rng       *rand.Rand
	engines   map[string]*fleetEngine
	instances []*fleetInstance
	pick      func(i *fleetInstance, r *Request) (Choice, error)
	rejected  int
	// length is how long requests arrive.
	length time.Duration
}

// fleetInstance is one simulated entry instance.
type fleetInstance struct {
	snapshot *Snapshot
	policy   ServicePolicy
	scratch  *Scratch
}

// fleetEvent is an action at a simulated time.
type fleetEvent struct {
	at     time.Time
	action func()
}

// fleetEvents is a heap of events, earliest first.
type fleetEvents []fleetEvent

func (e fleetEvents) Len() int           { return len(e) }
func (e fleetEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e fleetEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)        { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *fleet) after(d time.Duration, action func()) {
	heap.Push(&f.events, fleetEvent{f.now.Add(d), action})
}

// fleetRegion is a region of a simulated deployment.
type fleetRegion struct {
	name               string
	engines, instances int
}

// newFleet returns a fleet of twelve engines and eight entry instances, as in buoylight-ops.
func newFleet(pick func(*fleetInstance, *Request) (Choice, error)) *fleet {
	return newFleetOf([]fleetRegion{{"a", 6, 3}, {"b", 4, 3}, {"c", 2, 2}}, pick)
}

func newFleetOf(regions []fleetRegion, pick func(*fleetInstance, *Request) (Choice, error)) *fleet {
	f := &fleet{now: testNow, rng: rand.New(rand.NewPCG(1, 1)), engines: map[string]*fleetEngine{}, pick: pick, length: 30 * time.Second}
	instances := 0
	for _, region := range regions {
		instances += region.instances
	}
	for r, region := range regions {
		for k := range region.engines {
			f.engines[fmt.Sprint(region.name, k)] = &fleetEngine{slowness: 1, cached: map[uint64]time.Time{}}
		}
		for k := range region.instances {
			var upstreams []Upstream
			for e := range region.engines {
				upstreams = append(upstreams, serviceUpstream(fmt.Sprint(region.name, e), func(u *Upstream) { u.Region = region.name }))
			}
			s := serviceSnapshot(upstreams...)
			s.InstanceCount = instances
			s.Region, s.SelfID = region.name, fmt.Sprint("entry-", region.name, k)
			f.instances = append(f.instances, &fleetInstance{s, ServicePolicy{Index: NewPrefixIndex()}, NewScratch(uint64(1000*r + k))})
		}
	}
	f.exchangeReports()
	return f
}

// exchangeReports makes all instances report their regions to each other once a second.
func (f *fleet) exchangeReports() {
	for _, i := range f.instances {
		known := map[string]*Counters{}
		for _, p := range i.snapshot.Peers {
			known[p.ID] = p.Counters
		}
		i.snapshot.Peers = nil
		for _, o := range f.instances {
			if o == i {
				continue
			}
			counters := known[o.snapshot.SelfID]
			if counters == nil {
				counters = &Counters{}
			}
			i.snapshot.Peers = append(i.snapshot.Peers, Peer{
				ID: o.snapshot.SelfID, Region: o.snapshot.Region, Counters: counters,
				RegionStatus: RegionStatus{RoundTripSeconds: (2 * oneWayLatency).Seconds()},
				Services:     o.snapshot.ServiceLoads(f.now.UnixNano()),
			})
		}
	}
	f.after(time.Second, f.exchangeReports)
}

// arrive handles a request at an entry instance. returnLatency is the time that the response
// takes back to the caller.
func (f *fleet) arrive(i *fleetInstance, j *fleetJob, visited []string, returnLatency time.Duration) {
	r := &Request{ID: fmt.Sprint(f.rng.Uint64()), Target: testService, Now: f.now.UnixNano(), PromptTokens: j.tokens, Prefix: j.prefix, Visited: visited,
		Service: &ServiceRequest{FirstByteObjective: j.objective, Parts: j.parts, Remaining: j.deadline - f.now.Sub(j.sent)}}
	choice, err := f.pick(i, r)
	switch {
	case err != nil:
		f.reject(j, errkind.From(err).RetryAfter)
	case choice.Peer >= 0:
		f.forward(i, j, &i.snapshot.Peers[choice.Peer], returnLatency)
	default:
		f.run(i, j, choice, returnLatency)
	}
}

// reject makes the caller retry once, after the time that it was told to wait.
func (f *fleet) reject(j *fleetJob, wait time.Duration) {
	f.rejected++
	j.rejections++
	if j.rejections == 1 && wait < (j.deadline-f.now.Sub(j.sent))/3 {
		f.after(wait+2*time.Millisecond, func() { f.arrive(f.instances[f.rng.IntN(len(f.instances))], j, nil, 0) })
	}
}

func (f *fleet) forward(i *fleetInstance, j *fleetJob, p *Peer, returnLatency time.Duration) {
	prefill := p.Counters.Begin(f.now, j.tokens, 0)
	f.after(oneWayLatency, func() {
		for _, o := range f.instances {
			if o.snapshot.SelfID == p.ID {
				f.arrive(o, j, []string{i.snapshot.SelfID}, returnLatency+oneWayLatency)
			}
		}
		prefill.End(f.now)
	})
}

func (f *fleet) run(i *fleetInstance, j *fleetJob, choice Choice, returnLatency time.Duration) {
	u := &i.snapshot.Upstreams[choice.Upstream]
	prefill := u.Counters.Begin(f.now, choice.PrefillTokens, choice.QueuedTokens)
	i.policy.Index.Add(f.now.UnixNano(), u.Counters.HolderID(), j.prefix)
	e := f.engines[u.ID]
	j.onFirstByte = func(now time.Time) {
		prefill.FirstByte(now)
		j.timeToFirstByte = now.Add(returnLatency).Sub(j.sent)
	}
	j.onEnd = func(now time.Time) {
		prefill.End(now)
		u.Counters.RecordLoad(now, external.Load{Running: len(e.running), Waiting: len(e.waiting)})
	}
	e.waiting = append(e.waiting, j)
	e.arrivals++
	if !e.stepping {
		f.step(e)
	}
}

// step simulates one batch step of an engine.
func (f *fleet) step(e *fleetEngine) {
	for len(e.waiting) > 0 && len(e.running) < maxBatchSize {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if f.now.Sub(j.sent) > j.deadline {
			j.onEnd(f.now)
			continue
		}
		j.prefilled = e.cachedTokens(j, f.now)
		e.running = append(e.running, j)
	}
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	chunk := int64(maxStepPrefill)
	took := stepBaseTime + time.Duration(len(e.running))*stepTimePerRequest
	var decoding []*fleetJob
	for _, j := range e.running {
		if part := min(chunk, j.tokens-j.prefilled); part > 0 {
			chunk -= part
			j.prefilled += part
			e.prefilledTokens += part
			took += time.Duration(float64(part) / prefillRate * float64(time.Millisecond))
		}
		if j.prefilled == j.tokens {
			decoding = append(decoding, j)
		}
	}
	took = time.Duration(float64(took) * e.slowness)
	f.after(took, func() { f.finish(e, decoding) })
}

func (f *fleet) finish(e *fleetEngine, decoding []*fleetJob) {
	for _, j := range decoding {
		if j.decoded == 0 {
			for _, hash := range j.prefix {
				e.cached[hash] = f.now
			}
			j.onFirstByte(f.now)
		}
		j.decoded++
	}
	left := e.running[:0]
	for _, j := range e.running {
		if j.decoded < j.responseTokens && f.now.Sub(j.sent) < j.deadline {
			left = append(left, j)
			continue
		}
		j.onEnd(f.now)
	}
	e.running = left
	f.step(e)
}

// cachedTokens returns the number of prompt tokens that the engine has cached.
func (e *fleetEngine) cachedTokens(j *fleetJob, now time.Time) int64 {
	tokens := int64(0)
	for k, hash := range j.prefix {
		used, ok := e.cached[hash]
		if !ok || now.Sub(used) > cacheRetention {
			break
		}
		e.cached[hash] = now
		tokens += j.parts[k].Tokens
	}
	return min(tokens, j.tokens-1)
}

// fleetOutcome is the result of a simulation.
type fleetOutcome struct {
	totalValue, onTimeValue float64
	// credit is the value of the responses on time, plus lateCredit times that of late ones,
	// minus rejectionPenalty times that of requests that were rejected again on retry.
	credit          float64
	prefilledTokens int64
	rejected        int
	// waits are the times to the first byte of all requests that got one, shortest first.
	waits []time.Duration
}

func (o fleetOutcome) String() string {
	return fmt.Sprintf("%.3f of the value on time, credit %.3f, %d rejections, %.1f million prompt tokens computed",
		o.onTimeValue/o.totalValue, o.credit/o.totalValue, o.rejected, float64(o.prefilledTokens)/1e6)
}

// lateCredit is the fraction of its value that a response after its objective counts for.
const lateCredit = 0.3

// rejectionPenalty is the fraction of its value that a second rejection of a request costs.
const rejectionPenalty = 0.3

// simulate sends the traffic of buoylight-ops, multiplied by factor, while requests arrive.
func (f *fleet) simulate(factor float64) fleetOutcome {
	var jobs []*fleetJob
	kinds := []struct {
		perSecond, value       float64
		shared, own            int64
		groups, responseTokens int
		objective, deadline    time.Duration
	}{
		{16.7, 6, 5382, 6610, 64, 384, 1200 * time.Millisecond, 15 * time.Second},
		{62.7, 1.9, 568, 1800, 330, 24, 800 * time.Millisecond, 3 * time.Second},
	}
	unique := uint64(1) << 40
	for k, kind := range kinds {
		for at := time.Duration(0); at < f.length; at += time.Duration(f.rng.ExpFloat64() / (factor * kind.perSecond) * float64(time.Second)) {
			unique++
			group := uint64(k+1)<<32 + uint64(f.rng.IntN(kind.groups))
			own := int64(float64(kind.own) * math.Exp(0.5*f.rng.NormFloat64()-0.125))
			j := &fleetJob{
				objective: kind.objective, deadline: kind.deadline, value: kind.value, responseTokens: kind.responseTokens, sent: testNow.Add(at),
				prefix: []uint64{group, unique}, parts: []PromptPart{{group, kind.shared}, {unique, own}}, tokens: kind.shared + own,
			}
			jobs = append(jobs, j)
			heap.Push(&f.events, fleetEvent{j.sent, func() { f.arrive(f.instances[f.rng.IntN(len(f.instances))], j, nil, 0) }})
		}
	}
	for end := testNow.Add(f.length + 15*time.Second); f.events.Len() > 0 && f.events[0].at.Before(end); {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.action()
	}
	o := fleetOutcome{rejected: f.rejected}
	for _, j := range jobs {
		o.totalValue += j.value
		if j.timeToFirstByte > 0 {
			o.waits = append(o.waits, j.timeToFirstByte)
		}
		switch {
		case j.timeToFirstByte > 0 && j.timeToFirstByte <= j.objective:
			o.onTimeValue += j.value
			o.credit += j.value
		case j.timeToFirstByte > 0:
			o.credit += lateCredit * j.value
		}
		if j.rejections > 1 {
			o.credit -= rejectionPenalty * j.value
		}
	}
	slices.Sort(o.waits)
	for _, e := range f.engines {
		o.prefilledTokens += e.prefilledTokens
	}
	return o
}

// pickByPolicy picks with ServicePolicy.
func pickByPolicy(i *fleetInstance, r *Request) (Choice, error) {
	return i.policy.Pick(i.snapshot, r, i.scratch)
}

// pickFewestOutstanding is the baseline. It picks the upstream of the local region with the
// fewest requests of this instance in flight.
func pickFewestOutstanding(i *fleetInstance, r *Request) (Choice, error) {
	best := 0
	for k := range i.snapshot.Upstreams {
		if i.snapshot.Upstreams[k].Counters.InFlight.Load() < i.snapshot.Upstreams[best].Counters.InFlight.Load() {
			best = k
		}
	}
	return Choice{Upstream: int32(best), Peer: none, PrefillTokens: r.PromptTokens}, nil
}

// Simulates a light load, the load at which the engines are just full, and twice that. Guards
// against routing and load shedding that serve fewer callers on time, or compute more prompt
// tokens, than sending each request to the upstream with the fewest in flight.
func TestFleetServesMoreOnTimeThanFewestOutstanding(t *testing.T) {
	for _, factor := range []float64{0.7, 1.5, 3} {
		policy, baseline := newFleet(pickByPolicy).simulate(factor), newFleet(pickFewestOutstanding).simulate(factor)
		t.Logf("load %.1f: policy %s; fewest outstanding %s", factor, policy, baseline)
		if policy.onTimeValue < baseline.onTimeValue {
			t.Errorf("load %.1f: less value on time than with fewest outstanding", factor)
		}
		if policy.prefilledTokens > baseline.prefilledTokens {
			t.Errorf("load %.1f: more prompt tokens computed than with fewest outstanding", factor)
		}
	}
}
