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
	// Policies are measured in turn with the same arrivals.
	Policies []string
	Seed     uint64
	Duration time.Duration
	// Rate is in requests per second of the clock over all regions; 0 for that of the
	// profile.
	Rate float64
	// Greedy is the factor by which one client account exceeds its rate; 0 for none.
	Greedy float64
	Fault  string
	Model  standin.ModelParams
}

const (
	// greedyAccount is the account that exceeds its rate: a large one that is not bound.
	greedyAccount = 1
	// readyTimeout bounds the start of a cluster, drainTimeout the wait for requests
	// after the last arrival and closeTimeout the end of a cluster.
	readyTimeout = 8 * time.Second
	drainTimeout = 2500 * time.Millisecond
	closeTimeout = 2 * time.Second
	// stallTimeout is how much longer than planned a run may take.
	stallTimeout = 5 * time.Second
	// DefaultTimeScale makes a run of 20 s cover 80 s and about 2,900 requests of the
	// derwent profile. At 8, stalls of a busy machine of 20 ms showed as 160 ms.
	DefaultTimeScale = 4
)

// NewPlan returns the plan of a profile with the default engine model.
func NewPlan(p Profile) Plan {
	model := standin.DefaultModelParams()
	model.TimeScale = DefaultTimeScale
	return Plan{Profile: p, Policies: []string{routing.NameDefault}, Seed: 1, Duration: 20 * time.Second, Fault: FaultNone, Model: model}
}

// Bounds of a plan, which keep the load on the machine and the memory small.
const (
	minDuration  = time.Second
	maxDuration  = 10 * time.Minute
	maxRate      = 5000.0
	maxGreedy    = 100.0
	minTimeScale = 0.1
	maxTimeScale = 50.0
)

// Check returns an error that names the first value out of bounds.
func (p Plan) Check() error {
	switch {
	case p.Duration < minDuration || p.Duration > maxDuration:
		return fmt.Errorf("duration %s is out of range; allowed is from %s to %s", p.Duration, minDuration, maxDuration)
	case p.Rate < 0 || p.Rate > maxRate:
		return fmt.Errorf("rate %g is out of range; allowed is from 0 to %g", p.Rate, maxRate)
	case p.Greedy < 0 || p.Greedy > maxGreedy:
		return fmt.Errorf("greedy factor %g is out of range; allowed is from 0 to %g", p.Greedy, maxGreedy)
	case p.Model.TimeScale < minTimeScale || p.Model.TimeScale > maxTimeScale:
		return fmt.Errorf("time scale %g is out of range; allowed is from %g to %g", p.Model.TimeScale, minTimeScale, maxTimeScale)
	}
	return checkFault(p.Fault)
}

func (p Plan) rate() float64 {
	if p.Rate > 0 {
		return p.Rate
	}
	return p.Profile.meanRate(p.Model) * p.Model.TimeScale
}

// greedy returns the index of the account that exceeds its rate, -1 for none.
func (p Plan) greedy() int {
	if p.Greedy > 0 {
		return greedyAccount
	}
	return -1
}

// limits returns the rate and burst of an account. Only the greedy one is limited: to
// the rate that it has in the profile and twice as much at once.
func (p Plan) limits(account int) (rate, burst float64) {
	if account != p.greedy() {
		return ampleRate, ampleRate
	}
	rate = p.rate() * p.Profile.Accounts[account].Share
	return rate, 2 * rate
}

// Run makes the experiment. It returns an error if a run stalls.
func Run(ctx context.Context, p Plan) (Report, error) {
	if err := p.Check(); err != nil {
		return Report{}, err
	}
	arrivals := plan(p.Profile, p.Seed, p.Duration, p.rate(), p.greedy(), max(p.Greedy, 1))
	if p.Fault == FaultCrashingRequest {
		arrivals = addCrashes(arrivals, p)
	}
	texts := newTexts(p.Profile, arrivals)
	clusters, err := startAll(ctx, p)
	if err != nil {
		return Report{}, err
	}
	report := Report{Plan: p, Floor: floor(p, arrivals)}
	for i, policy := range p.Policies {
		result, err := runOne(ctx, p, clusters[i], arrivals, texts)
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

// startAll starts a cluster for each policy before the first run, so that their start
// is not part of any run and all runs meet the same idle background.
func startAll(ctx context.Context, p Plan) ([]*cluster, error) {
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
// engines and that its caller sends again several times.
func addCrashes(arrivals []arrival, p Plan) []arrival {
	for i := range arrivals {
		if arrivals[i].at < p.Duration/3 || arrivals[i].kind != kindQuestion {
			continue
		}
		arrivals[i].crash = true
		for n := range crashCopies - 1 {
			again := arrivals[i]
			again.at += time.Duration(n+1) * p.Duration / (4 * crashCopies)
			arrivals = append(arrivals, again)
		}
		break
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// runOne sends all arrivals to one cluster.
func runOne(ctx context.Context, p Plan, c *cluster, arrivals []arrival, t *texts) (Result, error) {
	limit := p.Duration + drainTimeout + stallTimeout
	ctx, cancel := context.WithTimeoutCause(ctx, limit, fmt.Errorf("the run stalled and was ended after %s", limit))
	defer cancel()
	if p.Fault == FaultCrashingRequest {
		eachEngine(c, func(_ int, e *standin.ModelEngine) { e.SetFaults(standin.EngineFaults{CrashOn: crashMarker}) })
	}
	if err := warmUp(ctx, p, c); err != nil {
		return Result{}, err
	}
	// The readings of the warm-up may leave their region.
	warm := c.traffic()
	start := time.Now()
	faulted := make(chan error, 1)
	go func() { faulted <- injectFault(ctx, c, p.Fault, p.Duration) }()
	samples, err := sendAll(ctx, p, c, arrivals, t, start)
	if err != nil {
		return Result{}, err
	}
	if p.Fault != FaultNone {
		if err := <-faulted; err != nil {
			return Result{}, err
		}
	}
	return summarize(p, c, samples, warm), nil
}

// warmUp sends a status reading of each account to each entry instance, so that
// connections between instances are open and buckets have been used.
func warmUp(ctx context.Context, p Plan, c *cluster) error {
	client := newClient()
	defer client.CloseIdleConnections()
	t := &texts{profile: p.Profile}
	for account := range p.Profile.Accounts {
		for region, nodes := range c.nodes {
			for entry, n := range nodes {
				a := arrival{account: account, region: region, entry: entry, kind: kindStatus}
				s := send(ctx, client, "http://"+n.CallerAddress, p.Profile, t, &a, time.Now())
				if s.outcome != outcomeDone && s.outcome != string(errkind.RateLimited) {
					return fmt.Errorf("the first request of %q in %s ended with %q", p.Profile.Accounts[account].Name, p.Profile.Regions[region], s.outcome)
				}
			}
		}
	}
	return nil
}

// sendAll sends each arrival at its time, whatever became of the earlier ones, and
// waits for the answers.
func sendAll(ctx context.Context, p Plan, c *cluster, arrivals []arrival, t *texts, start time.Time) ([]sample, error) {
	sending, cancel := context.WithDeadline(ctx, start.Add(p.Duration+drainTimeout))
	defer cancel()
	client := newClient()
	defer client.CloseIdleConnections()
	samples := make([]sample, len(arrivals))
	var answers sync.WaitGroup
	for i := range arrivals {
		a := &arrivals[i]
		if !pause(ctx, time.Until(start.Add(a.at))) {
			return nil, context.Cause(ctx)
		}
		url := "http://" + c.nodes[a.region][a.entry].CallerAddress
		answers.Go(func() { samples[i] = send(sending, client, url, p.Profile, t, a, start) })
	}
	done := make(chan struct{})
	go func() {
		answers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return samples, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}
