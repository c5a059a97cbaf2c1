package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/external"
)

// The engines of the fleet, as the servers of the larger of the two sites were measured: a
// step of the batch takes stepBase and stepSlot for each running request, and reads up to
// stepChunk tokens of prompts at readRate tokens a millisecond.
const (
	stepBase   = 3790 * time.Microsecond
	stepSlot   = 89 * time.Microsecond
	stepChunk  = 2048
	readRate   = 56.6
	batchSlots = 64
	oneWay     = 55 * time.Millisecond
	// kept is how long an engine keeps a part that nothing uses: its memory holds about
	// that much of this traffic.
	kept = 20 * time.Second
)

// fleetJob is one request in the simulation.
type fleetJob struct {
	objective, deadline time.Duration
	worth               float64
	prefix              []uint64
	parts               []PromptPart
	tokens              int64
	answer              int

	sent   time.Time
	read   int64
	made   int
	first  func(now time.Time)
	ended  func(now time.Time)
	served time.Duration
	// refusals counts how often it was refused.
	refusals int
}

// fleetEngine is one engine.
type fleetEngine struct {
	running, waiting []*fleetJob
	cached           map[uint64]time.Time
	stepping         bool
	readTokens       int64
}

// fleet is a simulated deployment: three regions with engines and entry instances.
type fleet struct {
	now       time.Time
	events    fleetEvents
	rng       *rand.Rand
	engines   map[string]*fleetEngine
	instances []*fleetInstance
	place     func(i *fleetInstance, r *Request) (Choice, error)
	refused   int
}

type fleetInstance struct {
	snapshot *Snapshot
	policy   ServicePolicy
	scratch  *Scratch
}

type fleetEvent struct {
	at time.Time
	do func()
}

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

func (f *fleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, fleetEvent{f.now.Add(d), do})
}

var fleetRegions = []struct {
	name    string
	engines int
}{{"a", 6}, {"b", 4}, {"c", 2}}

// newFleet has twelve engines and eight entry instances, as buoylight-ops.
func newFleet(place func(*fleetInstance, *Request) (Choice, error)) *fleet {
	f := &fleet{now: testNow, rng: rand.New(rand.NewPCG(1, 1)), engines: map[string]*fleetEngine{}, place: place}
	for r, region := range fleetRegions {
		for k := range region.engines {
			f.engines[fmt.Sprint(region.name, k)] = &fleetEngine{cached: map[uint64]time.Time{}}
		}
		for k := range 3 - r/2 {
			var upstreams []Upstream
			for e := range region.engines {
				upstreams = append(upstreams, serviceUpstream(fmt.Sprint(region.name, e), func(u *Upstream) { u.Region = region.name }))
			}
			s := serviceSnapshot(upstreams...)
			s.Region, s.SelfID = region.name, fmt.Sprint("entry-", region.name, k)
			f.instances = append(f.instances, &fleetInstance{s, ServicePolicy{Index: NewPrefixIndex()}, NewScratch(uint64(10*r + k))})
		}
	}
	f.exchange()
	return f
}

// exchange lets all instances report their regions to each other, once a second.
func (f *fleet) exchange() {
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
				Remote:   Remote{RoundTripSeconds: (2 * oneWay).Seconds()},
				Services: o.snapshot.ServiceLoads(f.now.UnixNano()),
			})
		}
	}
	f.after(time.Second, f.exchange)
}

// arrive places a request at an entry instance. lag is how long its answer travels back.
func (f *fleet) arrive(i *fleetInstance, j *fleetJob, visited []string, lag time.Duration) {
	r := &Request{ID: fmt.Sprint(f.rng.Uint64()), Target: testService, Now: f.now.UnixNano(), Tokens: j.tokens, Prefix: j.prefix, Visited: visited,
		Service: &ServiceRequest{Objective: j.objective, Parts: j.parts, Remaining: j.deadline - f.now.Sub(j.sent)}}
	choice, err := f.place(i, r)
	switch {
	case err != nil:
		f.refuse(j, errkind.From(err).RetryAfter)
	case choice.Peer >= 0:
		f.forward(i, j, &i.snapshot.Peers[choice.Peer], lag)
	default:
		f.run(i, j, choice, lag)
	}
}

// refuse lets a caller come back once, when it was told to.
func (f *fleet) refuse(j *fleetJob, wait time.Duration) {
	f.refused++
	j.refusals++
	if j.refusals == 1 && wait < (j.deadline-f.now.Sub(j.sent))/3 {
		f.after(wait+2*time.Millisecond, func() { f.arrive(f.instances[f.rng.IntN(len(f.instances))], j, nil, 0) })
	}
}

func (f *fleet) forward(i *fleetInstance, j *fleetJob, p *Peer, lag time.Duration) {
	prefill := p.Counters.Begin(f.now, j.tokens, 0)
	f.after(oneWay, func() {
		for _, o := range f.instances {
			if o.snapshot.SelfID == p.ID {
				f.arrive(o, j, []string{i.snapshot.SelfID}, lag+oneWay)
			}
		}
		prefill.End()
	})
}

func (f *fleet) run(i *fleetInstance, j *fleetJob, choice Choice, lag time.Duration) {
	u := &i.snapshot.Upstreams[choice.Upstream]
	prefill := u.Counters.Begin(f.now, choice.Tokens, choice.Ahead)
	i.policy.Index.Add(f.now.UnixNano(), u.Counters.Number(), j.prefix)
	e := f.engines[u.ID]
	j.first = func(now time.Time) {
		prefill.FirstByte(now)
		j.served = now.Add(lag).Sub(j.sent)
	}
	j.ended = func(now time.Time) {
		prefill.End()
		u.Counters.Report(now, external.Load{Running: len(e.running), Waiting: len(e.waiting)})
	}
	e.waiting = append(e.waiting, j)
	if !e.stepping {
		f.step(e)
	}
}

// step plays one step of an engine's batch.
func (f *fleet) step(e *fleetEngine) {
	for len(e.waiting) > 0 && len(e.running) < batchSlots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if f.now.Sub(j.sent) > j.deadline {
			j.ended(f.now)
			continue
		}
		j.read = e.holds(j, f.now)
		e.running = append(e.running, j)
	}
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	chunk := int64(stepChunk)
	took := stepBase + time.Duration(len(e.running))*stepSlot
	var decoding []*fleetJob
	for _, j := range e.running {
		if part := min(chunk, j.tokens-j.read); part > 0 {
			chunk -= part
			j.read += part
			e.readTokens += part
			took += time.Duration(float64(part) / readRate * float64(time.Millisecond))
		}
		if j.read == j.tokens {
			decoding = append(decoding, j)
		}
	}
	f.after(took, func() { f.finish(e, decoding) })
}

func (f *fleet) finish(e *fleetEngine, decoding []*fleetJob) {
	for _, j := range decoding {
		if j.made == 0 {
			for _, hash := range j.prefix {
				e.cached[hash] = f.now
			}
			j.first(f.now)
		}
		j.made++
	}
	left := e.running[:0]
	for _, j := range e.running {
		if j.made < j.answer && f.now.Sub(j.sent) < j.deadline {
			left = append(left, j)
			continue
		}
		j.ended(f.now)
	}
	e.running = left
	f.step(e)
}

// holds returns the tokens of the prompt that the engine has cached.
func (e *fleetEngine) holds(j *fleetJob, now time.Time) int64 {
	tokens := int64(0)
	for k, hash := range j.prefix {
		used, ok := e.cached[hash]
		if !ok || now.Sub(used) > kept {
			break
		}
		e.cached[hash] = now
		tokens += j.parts[k].Tokens
	}
	return min(tokens, j.tokens-1)
}

// fleetOutcome is what callers got.
type fleetOutcome struct {
	asked, onTime float64
	// credit counts late answers with lateCredit of their worth, and takes againPrice of it
	// off for requests that were refused after they had come back.
	credit     float64
	readTokens int64
	refused    int
}

func (o fleetOutcome) String() string {
	return fmt.Sprintf("on time %.3f of the worth, credit %.3f, %d refused, %.1f million tokens read",
		o.onTime/o.asked, o.credit/o.asked, o.refused, float64(o.readTokens)/1e6)
}

// lateCredit is the part of its worth that an answer has after its objective.
const lateCredit = 0.3

// againPrice is the part of its worth that a second refusal costs.
const againPrice = 0.3

// play sends the traffic of buoylight-ops, times a factor, for half a minute.
func (f *fleet) play(factor float64) fleetOutcome {
	var jobs []*fleetJob
	kinds := []struct {
		perSecond, worth    float64
		shared, own         int64
		groups, answer      int
		objective, deadline time.Duration
	}{
		{16.7, 6, 5382, 6610, 64, 384, 1200 * time.Millisecond, 15 * time.Second},
		{62.7, 1.9, 568, 1800, 330, 24, 800 * time.Millisecond, 3 * time.Second},
	}
	const length = 30 * time.Second
	unique := uint64(1) << 40
	for k, kind := range kinds {
		for at := time.Duration(0); at < length; at += time.Duration(f.rng.ExpFloat64() / (factor * kind.perSecond) * float64(time.Second)) {
			unique++
			group := uint64(k+1)<<32 + uint64(f.rng.IntN(kind.groups))
			own := int64(float64(kind.own) * math.Exp(0.5*f.rng.NormFloat64()-0.125))
			j := &fleetJob{
				objective: kind.objective, deadline: kind.deadline, worth: kind.worth, answer: kind.answer, sent: testNow.Add(at),
				prefix: []uint64{group, unique}, parts: []PromptPart{{group, kind.shared}, {unique, own}}, tokens: kind.shared + own,
			}
			jobs = append(jobs, j)
			heap.Push(&f.events, fleetEvent{j.sent, func() { f.arrive(f.instances[f.rng.IntN(len(f.instances))], j, nil, 0) }})
		}
	}
	for end := testNow.Add(length + 15*time.Second); f.events.Len() > 0 && f.events[0].at.Before(end); {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.do()
	}
	o := fleetOutcome{refused: f.refused}
	for _, j := range jobs {
		o.asked += j.worth
		switch {
		case j.served > 0 && j.served <= j.objective:
			o.onTime += j.worth
			o.credit += j.worth
		case j.served > 0:
			o.credit += lateCredit * j.worth
		}
		if j.refusals > 1 {
			o.credit -= againPrice * j.worth
		}
	}
	for _, e := range f.engines {
		o.readTokens += e.readTokens
	}
	return o
}

func byPolicy(i *fleetInstance, r *Request) (Choice, error) {
	return i.policy.Pick(i.snapshot, r, i.scratch)
}

// byOutstanding is the baseline: the upstream of the own region with the fewest requests of
// this instance.
func byOutstanding(i *fleetInstance, r *Request) (Choice, error) {
	best := 0
	for k := range i.snapshot.Upstreams {
		if i.snapshot.Upstreams[k].Counters.InFlight.Load() < i.snapshot.Upstreams[best].Counters.InFlight.Load() {
			best = k
		}
	}
	return Choice{Upstream: int32(best), Peer: none, Tokens: r.Tokens}, nil
}

// Plays a light load, the load at which the engines are just full, and twice that. Guards
// against placing and refusing that serve fewer callers on time than sending each request
// to the upstream with the fewest would, and against prompts that are read more often.
func TestFleetServesMoreOnTimeThanFewestOutstanding(t *testing.T) {
	for _, factor := range []float64{0.7, 1.5, 3} {
		policy, baseline := newFleet(byPolicy).play(factor), newFleet(byOutstanding).play(factor)
		t.Logf("load %.1f: policy %s; fewest outstanding %s", factor, policy, baseline)
		if policy.onTime < baseline.onTime {
			t.Errorf("load %.1f: less on time than with the fewest outstanding requests", factor)
		}
		if policy.readTokens > baseline.readTokens {
			t.Errorf("load %.1f: more prompt tokens read than with the fewest outstanding requests", factor)
		}
	}
}
