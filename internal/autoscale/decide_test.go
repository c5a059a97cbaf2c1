package autoscale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	testStart  = time.Unix(1000, 0)
	testBounds = Bounds{Min: 2, Max: 15, Startup: 8 * time.Second, Cold: 3 * time.Second}
)

// testPool returns a pool with serving upstreams in two failure domains and the load of a share of their slots.
func testPool(a, b int, share float64) Pool {
	return Pool{
		Service: "s", Region: "r", Bounds: testBounds,
		Domains: []Domain{{Name: "r-a", Serving: a}, {Name: "r-b", Serving: b}},
		Load:    Load{Running: share * 64 * float64(a+b), SlotsPerUpstream: 64, Arrivals: 10 * float64(a+b), Complete: true},
	}
}

// totals sums the orders.
func totals(orders []Order) (total int) {
	for _, o := range orders {
		total += o.Desired
	}
	return total
}

// Guards against orders without a cause, too late or too small, releases that a peak forbids, and numbers out of bounds.
func TestDecide(t *testing.T) {
	with := func(p Pool, change func(p *Pool)) Pool { change(&p); return p }
	for _, c := range []struct {
		name string
		// before and its length in seconds come before the pool, which is decided on for the given number of seconds.
		before        Pool
		beforeSeconds int
		pool          Pool
		seconds       int
		want          int
	}{
		{"usual load", testPool(6, 6, .6), 20, testPool(6, 6, .6), 60, 12},
		{"high for one sample", testPool(6, 6, .6), 20, testPool(6, 6, .9), 1, 12},
		{"high for 1 s", testPool(6, 6, .6), 20, testPool(6, 6, .9), 2, 18},
		{"nothing is ordered twice while upstreams start", testPool(6, 6, .6), 20, testPool(6, 6, .9), 10, 18},
		{"requests wait", testPool(6, 6, .6), 20, with(testPool(6, 6, .6), func(p *Pool) { p.Load.Waiting = 24 }), 1, 13},
		{"requests are rejected", testPool(6, 6, .6), 20, with(testPool(6, 6, .6), func(p *Pool) { p.Load.Rejected = 60 }), 1, 18},
		{"rejections without load have another cause", testPool(6, 6, .3), 20, with(testPool(6, 6, .2), func(p *Pool) { p.Load.Rejected = 10 }), 20, 12},
		{"prompts are read slowly", testPool(6, 6, .3), 20, with(testPool(6, 6, .3), func(p *Pool) { p.Load.PromptTokens = 12 * .9 * assumedReadRate }), 2, 18},
		{"the maximum bounds", testPool(15, 14, .6), 20, with(testPool(15, 14, .6), func(p *Pool) { p.Load.Rejected = 1000 }), 3, 30},
		{"the minimum bounds", testPool(2, 2, 0), 20, testPool(2, 2, 0), 200, 4},
		{"below the minimum, one of two domains is decided", testPool(2, 1, .1), 1, testPool(2, 1, .1), 1, 2},
		{"low for less than two starts", testPool(8, 8, .45), 130, testPool(8, 8, .2), 22, 16},
		{"low for two starts", testPool(8, 8, .45), 130, testPool(8, 8, .2), 23, 14},
		{"low since the holder changed", testPool(8, 8, .2), 20, testPool(8, 8, .2), 100, 16},
		{"low after a peak that needed 17", testPool(8, 8, .61), 120, testPool(8, 8, .1), 55, 15},
		{"low for long", testPool(8, 8, .74), 20, testPool(8, 8, .1), 600, 4},
		{"low with too few responses", testPool(8, 8, .45), 130, with(testPool(8, 8, .2), func(p *Pool) { p.Load.Complete = false }), 60, 16},
		{"a failure domain is evacuated", testPool(6, 6, .4), 20, with(testPool(6, 6, .4), func(p *Pool) {
			p.Domains[1] = Domain{Name: "r-b", Unavailable: 6}
		}), 2, 14},
		{"upstreams leave, which the order replaces", testPool(6, 6, .6), 20, with(testPool(4, 4, .9), func(p *Pool) {
			p.Domains[0].Leaving, p.Domains[1].Leaving = 2, 2
		}), 20, 12},
		{"upstreams leave while the load rises", testPool(6, 6, .6), 20, with(testPool(4, 4, 1.2), func(p *Pool) {
			p.Domains[0].Leaving, p.Domains[1].Leaving = 2, 2
		}), 3, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			state, now := &State{}, testStart
			var orders []Order
			for i := range c.beforeSeconds + c.seconds {
				p := c.pool
				if i < c.beforeSeconds {
					p = c.before
				}
				orders = Decide(now, state, []Pool{p})
				now = now.Add(time.Second)
			}
			if got := totals(orders); got != c.want {
				t.Errorf("%d upstreams are ordered, want %d: %+v", got, c.want, orders)
			}
		})
	}
}

// Guards against a new holder that cancels upstreams which the former one ordered and which are not listed yet.
func TestANewHolderOrdersNothingUntilEarlierOrdersAreThere(t *testing.T) {
	state, now := &State{}, testStart
	for range 16 {
		if orders := Decide(now, state, []Pool{testPool(6, 6, .5)}); len(orders) > 0 {
			t.Fatalf("%s after the start the orders are %+v", now.Sub(testStart), orders)
		}
		now = now.Add(time.Second)
	}
	if got := totals(Decide(now, state, []Pool{testPool(8, 8, .4)})); got != 16 {
		t.Errorf("the first orders are for %d upstreams, want the 16 that run", got)
	}
}

// Guards against a failure domain without upstreams to give, which keeps the others from getting more.
func TestOrdersMoveToADomainThatDelivers(t *testing.T) {
	state, now, pool := &State{}, testStart, testPool(4, 4, 1.5)
	for range 25 {
		orders := Decide(now, state, []Pool{pool})
		for _, o := range orders {
			if o.FailureDomain == "r-a" {
				pool.Domains[0].Serving = o.Desired
			}
		}
		now = now.Add(time.Second)
	}
	if pool.Domains[0].Serving < testBounds.Max {
		t.Errorf("the failure domain that delivers has %d upstreams, want all %d that it may have", pool.Domains[0].Serving, testBounds.Max)
	}
}

const playStep = 100 * time.Millisecond

// playServer is an upstream of a play.
type playServer struct{ bornAt time.Duration }

// playRegion is a region of a play, with one queue: prompts are read at the rate of all warm upstreams, and requests
// then hold a slot.
type playRegion struct {
	name         string
	servers      map[string][]playServer
	requests     float64
	unread, sent float64
	rejected     float64
	served, lost float64
	history      []int
}

const (
	playReadRate   = 50_000.0
	playPrompt     = 4_500.0
	playSlotTime   = 3.0
	playWaitLimit  = 0.32
	playRegionMean = 66.0
)

func (r *playRegion) count(now time.Duration, warm bool) (n int) {
	for _, list := range r.servers {
		for _, s := range list {
			if age := now - s.bornAt; age >= testBounds.warmUp() || (!warm && age >= testBounds.Startup) {
				n++
			}
		}
	}
	return n
}

// arrive lets requests arrive in a step, and returns those for which the region has no room.
func (r *playRegion) arrive(now time.Duration, requests float64) (rejected float64) {
	warm := float64(r.count(now, true))
	room := max(0, min(warm*playReadRate*playWaitLimit/playPrompt-r.unread, warm*64-r.requests-r.unread))
	taken := min(requests, room)
	r.unread += taken
	r.sent += taken
	r.served += taken
	return requests - taken
}

func (r *playRegion) step(now time.Duration) {
	read := min(r.unread, float64(r.count(now, true))*playReadRate/playPrompt*playStep.Seconds())
	r.unread -= read
	r.requests += read - r.requests/playSlotTime*playStep.Seconds()
}

func (r *playRegion) pool(now time.Duration) Pool {
	p := Pool{Service: "s", Region: r.name, Bounds: testBounds}
	for _, domain := range []string{r.name + "-a", r.name + "-b"} {
		d := Domain{Name: domain}
		for _, s := range r.servers[domain] {
			switch age := now - s.bornAt; {
			case age >= testBounds.warmUp():
				d.Serving++
			case age >= testBounds.Startup:
				d.Cold++
			}
		}
		p.Domains = append(p.Domains, d)
	}
	p.Load = Load{
		Running: r.requests, Waiting: max(0, r.unread-float64(r.count(now, true))), SlotsPerUpstream: 64, Complete: true,
		Arrivals: r.sent, Rejected: r.rejected, PromptTokens: r.sent * playPrompt, ReadRate: playReadRate,
	}
	r.sent, r.rejected = 0, 0
	return p
}

// deliver applies an order: new upstreams start, and the newest ones end.
func (r *playRegion) deliver(now time.Duration, domain string, desired int) {
	list := r.servers[domain]
	for len(list) < desired {
		list = append(list, playServer{bornAt: now})
	}
	r.servers[domain] = list[:desired]
}

// play is a run of regions under changing demand.
type play struct {
	regions []*playRegion
	// demand is the demand of a region as a multiple of its mean.
	demand func(region int, now time.Duration) float64
	// apiAway is true while no order arrives, and holderChanges while the state is lost.
	apiAway       func(now time.Duration) bool
	holderChanges func(now time.Duration) bool
	spill         bool
	arrivals      *rand.Rand
}

// poisson returns a random number of arrivals.
func (p *play) poisson(mean float64) (n float64) {
	for product := p.arrivals.Float64(); product > math.Exp(-mean); product *= p.arrivals.Float64() {
		n++
	}
	return n
}

func newPlay(regions, servers int) *play {
	p := &play{arrivals: rand.New(rand.NewPCG(1, 2)), apiAway: func(time.Duration) bool { return false }, holderChanges: func(time.Duration) bool { return false }}
	for i := range regions {
		r := &playRegion{name: fmt.Sprintf("r%d", i), servers: map[string][]playServer{}}
		for _, d := range []string{"-a", "-b"} {
			r.deliver(-time.Minute, r.name+d, servers)
		}
		p.regions = append(p.regions, r)
	}
	return p
}

func (p *play) run(t *testing.T, length time.Duration) {
	state, sentAt, sent := &State{}, map[string]time.Duration{}, map[string]int{}
	for now := time.Duration(0); now < length; now += playStep {
		for i, r := range p.regions {
			rejected := r.arrive(now, p.poisson(p.demand(i, now)*playRegionMean*playStep.Seconds()))
			r.rejected += rejected
			for _, other := range p.regions {
				if p.spill && other != r {
					rejected = other.arrive(now, rejected)
				}
			}
			r.lost += rejected
			r.step(now)
		}
		if now%time.Second != 0 {
			continue
		}
		if p.holderChanges(now) {
			state, sent = &State{}, map[string]int{}
			continue
		}
		var pools []Pool
		for _, r := range p.regions {
			pools = append(pools, r.pool(now))
		}
		for _, o := range Decide(testStart.Add(now), state, pools) {
			if o.Desired < testBounds.Min || o.Desired > testBounds.Max {
				t.Fatalf("%s: %d upstreams are ordered in %s, out of bounds", now, o.Desired, o.FailureDomain)
			}
			if last, ok := sent[o.FailureDomain]; p.apiAway(now) || (ok && last == o.Desired && now-sentAt[o.FailureDomain] < 30*time.Second) {
				continue
			}
			sent[o.FailureDomain], sentAt[o.FailureDomain] = o.Desired, now
			for _, r := range p.regions {
				if _, ok := r.servers[o.FailureDomain]; ok {
					r.deliver(now, o.FailureDomain, o.Desired)
				}
			}
		}
		for _, r := range p.regions {
			total := 0
			for _, list := range r.servers {
				total += len(list)
			}
			r.history = append(r.history, total)
		}
	}
}

// turns counts the changes of direction of a series.
func turns(series []int) (n int) {
	direction := 0
	for i := 1; i < len(series); i++ {
		change := series[i] - series[i-1]
		if change*direction < 0 {
			n++
		}
		if change != 0 {
			direction = change
		}
	}
	return n
}

func mean(series []int) (m float64) {
	for _, n := range series {
		m += float64(n) / float64(len(series))
	}
	return m
}

// lostShare returns the share of requests that got no answer.
func (p *play) lostShare() float64 {
	lost, served := 0.0, 0.0
	for _, r := range p.regions {
		lost, served = lost+r.lost, served+r.served
	}
	return lost / (lost + served)
}

// demandSteps is the demand of a region in steps of 15 s, whose peaks come at different times in the regions.
func demandSteps(region int, now time.Duration) float64 {
	levels := []float64{.23, .4, .8, 1.5, 2.5, 1.8, 1, .5, .3, .23}
	return levels[(int(now/(15*time.Second))+region*3)%len(levels)]
}

// randomLevels is the demand of a region at random levels that last 10 to 20 s.
func randomLevels(region int, now time.Duration) float64 {
	levels := rand.New(rand.NewPCG(uint64(region), 7))
	for at := time.Duration(0); ; {
		level := .23 * math.Pow(2.5/.23, levels.Float64())
		if at += 10*time.Second + time.Duration(levels.Int64N(int64(10*time.Second))); at > now {
			return level
		}
	}
}

// Guards against upstreams that come too late for callers, a number that oscillates, and orders out of bounds, under
// demand in steps, bursts, an API that is away, changes of the holder, and a region that takes another's peak.
func TestPlaysOfDemand(t *testing.T) {
	during := func(from, to time.Duration) func(time.Duration) bool {
		return func(now time.Duration) bool { return now >= from && now < to }
	}
	for _, c := range []struct {
		name    string
		servers int
		length  time.Duration
		change  func(p *play)
		// maxLost bounds the share of lost requests, and maxTurns the changes of direction in each region.
		maxLost  float64
		maxTurns int
	}{
		{"steps", 5, 10 * time.Minute, func(p *play) { p.demand = demandSteps }, .005, 4},
		{"steps with spill", 5, 10 * time.Minute, func(p *play) { p.demand, p.spill = demandSteps, true }, .001, 4},
		{"random levels", 5, 20 * time.Minute, func(p *play) { p.demand = randomLevels }, .01, 12},
		{"random levels with spill", 5, 20 * time.Minute, func(p *play) { p.demand, p.spill = randomLevels, true }, .005, 12},
		{"constant", 5, 5 * time.Minute, func(p *play) { p.demand = func(int, time.Duration) float64 { return 1 } }, 0, 0},
		// No order can serve a burst that is over before a new upstream serves: it loses the same with any number.
		{"few upstreams, constant", 2, 5 * time.Minute, func(p *play) { p.demand = func(int, time.Duration) float64 { return .4 } }, .002, 1},
		{"burst of 4 s", 5, 3 * time.Minute, func(p *play) {
			p.demand = func(_ int, now time.Duration) float64 {
				if during(60*time.Second, 64*time.Second)(now) {
					return 3
				}
				return .8
			}
		}, .04, 1},
		{"bursts of 4 s, each minute", 5, 10 * time.Minute, func(p *play) {
			p.demand = func(_ int, now time.Duration) float64 {
				if during(30*time.Second, 34*time.Second)(now % time.Minute) {
					return 2.5
				}
				return .8
			}
		}, .01, 2},
		{"API away for 40 s", 5, 10 * time.Minute, func(p *play) {
			p.demand, p.apiAway = demandSteps, during(30*time.Second, 70*time.Second)
		}, .03, 4},
		{"holder changes each 70 s", 5, 10 * time.Minute, func(p *play) {
			p.demand = demandSteps
			p.holderChanges = func(now time.Duration) bool { return now%(70*time.Second) < 3*time.Second }
		}, .005, 8},
		{"a region takes another's peak", 5, 3 * time.Minute, func(p *play) {
			p.spill = true
			p.demand = func(region int, now time.Duration) float64 {
				if region == 0 && now > 40*time.Second {
					return 6
				}
				return .8
			}
		}, .04, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlay(3, c.servers)
			c.change(p)
			p.run(t, c.length)
			if share := p.lostShare(); share > c.maxLost || math.IsNaN(share) {
				t.Errorf("%.2f%% of the requests are lost, at most %.2f%% are allowed", 100*share, 100*c.maxLost)
			}
			for _, r := range p.regions {
				if n := turns(r.history); n > c.maxTurns {
					t.Errorf("the number of upstreams of %s changes its direction %d times, at most %d are allowed: %v", r.name, n, c.maxTurns, r.history)
				}
			}
			t.Logf("lost %.3f%%, upstreams at the end %d, mean %.1f, turns %d", 100*p.lostShare(), p.regions[0].history[len(p.regions[0].history)-1], mean(p.regions[0].history), turns(p.regions[0].history))
		})
	}
}
