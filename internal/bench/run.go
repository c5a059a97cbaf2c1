package bench

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"heatherloom/internal/errkind"
	"heatherloom/internal/routing"
	"heatherloom/internal/standin"
)

// Plan describes an experiment.
type Plan struct {
	Profile Profile
	// Policies are measured one after the other with the same arrivals.
	Policies []string
	Seed     uint64
	Duration time.Duration
	// Rate is in requests per wall clock second over all regions; 0 for the rate of the
	// profile.
	Rate float64
	// GreedyFactor is the factor by which one client account exceeds its rate limit; 0 for none.
	GreedyFactor float64
	Fault        string
	Simulation   standin.SimulationParams
}

const (
	// greedyAccount is the index of the account that exceeds its rate limit: a large one
	// without a home region.
	greedyAccount = 1
	// readyTimeout bounds the start of the clusters, drainTimeout the wait for requests
	// after the last arrival and closeTimeout the shutdown of the clusters.
	readyTimeout = 8 * time.Second
	drainTimeout = 2500 * time.Millisecond
	closeTimeout = 2 * time.Second
	// stallTimeout is how much longer than planned a run may take before it is aborted.
	stallTimeout = 5 * time.Second
	// DefaultTimeScale makes a run of 20 s cover 80 s and about 2,900 requests of the
	// derwent profile. At 8, stalls of 20 ms on a busy machine appeared as 160 ms.
	DefaultTimeScale = 4
)

// NewPlan returns the plan of a profile with the default simulation parameters.
func NewPlan(p Profile) Plan {
	model := standin.DefaultSimulationParams()
	model.TimeScale = DefaultTimeScale
	return Plan{Profile: p, Policies: []string{routing.NameDefault}, Seed: 1, Duration: 20 * time.Second, Fault: FaultNone, Simulation: model}
}

// Bounds of a plan, which limit the load and memory use on the machine.
const (
	minDuration  = time.Second
	maxDuration  = 10 * time.Minute
	maxRate      = 5000.0
	maxGreedy    = 100.0
	minTimeScale = 0.1
	maxTimeScale = 50.0
)

// Validate returns an error for the first value that is out of bounds.
func (p Plan) Validate() error {
	switch {
	case p.Duration < minDuration || p.Duration > maxDuration:
		return fmt.Errorf("duration %s is out of range; allowed is from %s to %s", p.Duration, minDuration, maxDuration)
	case p.Rate < 0 || p.Rate > maxRate:
		return fmt.Errorf("rate %g is out of range; allowed is from 0 to %g", p.Rate, maxRate)
	case p.GreedyFactor < 0 || p.GreedyFactor > maxGreedy:
		return fmt.Errorf("greedy factor %g is out of range; allowed is from 0 to %g", p.GreedyFactor, maxGreedy)
	case p.Simulation.TimeScale < minTimeScale || p.Simulation.TimeScale > maxTimeScale:
		return fmt.Errorf("time scale %g is out of range; allowed is from %g to %g", p.Simulation.TimeScale, minTimeScale, maxTimeScale)
	}
	return checkFault(p.Fault)
}

func (p Plan) rate() float64 {
	if p.Rate > 0 {
		return p.Rate
	}
	return p.Profile.meanRate(p.Simulation) * p.Simulation.TimeScale
}

// greedyIndex returns the index of the account that exceeds its rate limit, -1 for none.
func (p Plan) greedyIndex() int {
	if p.GreedyFactor > 0 {
		return greedyAccount
	}
	return -1
}

// limits returns the rate limit and burst of an account. Only the greedy account is limited:
// to its rate in the profile and a burst of twice that rate.
func (p Plan) limits(account int) (rate, burst float64) {
	if account != p.greedyIndex() {
		return unlimitedRate, unlimitedRate
	}
	rate = p.rate() * p.Profile.Accounts[account].Share
	return rate, 2 * rate
}

// Run runs the experiment. It returns an error if a run stalls.
func Run(ctx context.Context, p Plan) (Report, error) {
	if err := p.Validate(); err != nil {
		return Report{}, err
	}
	arrivals := planArrivals(p.Profile, p.Seed, p.Duration, p.rate(), p.greedyIndex(), max(p.GreedyFactor, 1))
	if p.Fault == FaultCrashingRequest {
		arrivals = addCrashes(arrivals, p)
	}
	bodies := newBodyBuilder(p.Profile, arrivals)
	clusters, err := startClusters(ctx, p)
	if err != nil {
		return Report{}, err
	}
	report := Report{Plan: p, MinTTFT: minTTFT(p, arrivals)}
	for i, policy := range p.Policies {
		result, err := runPolicy(ctx, p, clusters[i], arrivals, bodies)
		if err != nil {
			return report, eris.Wrapf(err, "policy %s", policy)
		}
		result.Policy = policy
		report.Results = append(report.Results, result)
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	var closing sync.WaitGroup
	for _, c := range clusters {
		closing.Go(func() { c.close(ctx) })
	}
	closing.Wait()
	return report, nil
}

// startClusters starts a cluster for each policy before the first run, so that no run
// includes a start and all runs have the same idle clusters in the background.
func startClusters(ctx context.Context, p Plan) ([]*cluster, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	clusters := make([]*cluster, len(p.Policies))
	failures := make([]error, len(p.Policies))
	var starting sync.WaitGroup
	for i, policy := range p.Policies {
		starting.Go(func() { clusters[i], failures[i] = startCluster(ctx, p, policy) })
	}
	starting.Wait()
	for i, err := range failures {
		if err != nil {
			return nil, eris.Wrapf(err, "start the cluster of policy %s", p.Policies[i])
		}
	}
	return clusters, nil
}

// addCrashes turns one question in the middle of the run into a request that crashes
// engines and that its caller sends crashCopies times.
func addCrashes(arrivals []arrival, p Plan) []arrival {
	for i := range arrivals {
		if arrivals[i].at < p.Duration/3 || arrivals[i].kind != kindQuestion {
			continue
		}
		arrivals[i].crash = true
		for n := range crashCopies - 1 {
			repeated := arrivals[i]
			repeated.at += time.Duration(n+1) * p.Duration / (4 * crashCopies)
			arrivals = append(arrivals, repeated)
		}
		break
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// runPolicy sends all arrivals to the cluster of one policy.
func runPolicy(ctx context.Context, p Plan, c *cluster, arrivals []arrival, b *bodyBuilder) (Result, error) {
	limit := p.Duration + drainTimeout + stallTimeout
	ctx, cancel := context.WithTimeoutCause(ctx, limit, fmt.Errorf("the run stalled and was aborted after %s", limit))
	defer cancel()
	if p.Fault == FaultCrashingRequest {
		forEachEngine(c, func(_ int, e *standin.SimulatedEngine) { e.SetFaults(standin.EngineFaults{CrashOn: crashMarker}) })
	}
	if err := warmUp(ctx, p, c); err != nil {
		return Result{}, err
	}
	// The status requests of the warm-up may be forwarded to another region.
	warmUpTraffic := c.traffic()
	start := time.Now()
	faultEnded := make(chan error, 1)
	go func() { faultEnded <- injectFault(ctx, c, p.Fault, p.Duration) }()
	samples, err := sendAll(ctx, p, c, arrivals, b, start)
	if err != nil {
		return Result{}, err
	}
	if p.Fault != FaultNone {
		if err := <-faultEnded; err != nil {
			return Result{}, err
		}
	}
	return summarize(p, c, samples, warmUpTraffic), nil
}

// warmUp sends a status request of each account to each entry instance, so that
// connections between instances are open and rate limit buckets have been used.
func warmUp(ctx context.Context, p Plan, c *cluster) error {
	client := newClient()
	defer client.CloseIdleConnections()
	b := &bodyBuilder{profile: p.Profile}
	for account := range p.Profile.Accounts {
		for region, nodes := range c.nodes {
			for entry, n := range nodes {
				a := arrival{account: account, region: region, entry: entry, kind: kindStatus}
				s := send(ctx, client, "http://"+n.CallerAddress, p.Profile, b, &a, time.Now())
				if s.outcome != outcomeDone && s.outcome != string(errkind.RateLimited) {
					return fmt.Errorf("warm-up request of %q in %s ended with %q", p.Profile.Accounts[account].Name, p.Profile.Regions[region], s.outcome)
				}
			}
		}
	}
	return nil
}

// sendAll sends each arrival at its planned time, independently of earlier requests, and
// waits for all responses.
func sendAll(ctx context.Context, p Plan, c *cluster, arrivals []arrival, b *bodyBuilder, start time.Time) ([]sample, error) {
	requestCtx, cancel := context.WithDeadline(ctx, start.Add(p.Duration+drainTimeout))
	defer cancel()
	client := newClient()
	defer client.CloseIdleConnections()
	samples := make([]sample, len(arrivals))
	var requests sync.WaitGroup
	for i := range arrivals {
		a := &arrivals[i]
		if !sleep(ctx, time.Until(start.Add(a.at))) {
			return nil, context.Cause(ctx)
		}
		url := "http://" + c.nodes[a.region][a.entry].CallerAddress
		requests.Go(func() { samples[i] = send(requestCtx, client, url, p.Profile, b, a, start) })
	}
	done := make(chan struct{})
	go func() {
		requests.Wait()
		close(done)
	}()
	select {
	case <-done:
		return samples, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
