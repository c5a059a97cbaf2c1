package devcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"heatherloom/internal/configsync"
	"heatherloom/internal/errkind"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/node"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/standin"
)

const (
	// faultWorkers is the number of callers of a run with faults.
	faultWorkers = 16
	// callerTimeout is the patience of a caller before it asks another entry instance.
	callerTimeout = 4 * time.Second
	// maxTries bounds how often a caller sends a request that may be sent again.
	maxTries = 4
	// minFaultPause and maxFaultPause bound the time between two faults.
	minFaultPause = 200 * time.Millisecond
	maxFaultPause = 800 * time.Millisecond
	// maxFaultTime bounds how long a fault lasts.
	maxFaultTime = 1500 * time.Millisecond
)

// FaultReport counts the outcomes of a run with faults.
type FaultReport struct {
	Sent     int
	Complete int
	// Refused and Broken are requests without a whole answer after all tries.
	Refused int
	Broken  int
	Wrong   int
	// FalseNotRun counts refusals that said "not run" of a request that ran.
	FalseNotRun  int
	WriteRunsMax int
	// Faults counts the injected faults by name.
	Faults   map[string]int
	Failures []string
}

// OK reports whether no answer was wrong, no statement false and no write ran twice.
func (r FaultReport) OK() bool {
	return r.Wrong == 0 && r.FalseNotRun == 0 && r.WriteRunsMax <= 1 && r.Complete > r.Sent/2
}

// String returns the report as one line of key=value pairs.
func (r FaultReport) String() string {
	total := 0
	for _, n := range r.Faults {
		total += n
	}
	return fmt.Sprintf("sent=%d complete=%d refused=%d broken=%d wrong=%d false_not_run=%d write_runs_max=%d faults=%d",
		r.Sent, r.Complete, r.Refused, r.Broken, r.Wrong, r.FalseNotRun, r.WriteRunsMax, total)
}

// faultRun is the state of a run with faults.
type faultRun struct {
	cluster *Cluster
	rng     *rand.Rand
	client  *http.Client

	// mu guards the entries of the cluster, which change when one is restarted.
	mu sync.Mutex
	// down marks entry instances that were killed and not yet started again.
	down   map[int]bool
	faults map[string]int
}

// RunWithFaults sends the load through callers that try again as they may, while
// faults of every kind are injected in seeded order.
func RunWithFaults(ctx context.Context, c *Cluster, load Load) FaultReport {
	for _, engine := range c.Engines {
		engine.RecordRuns()
	}
	run := &faultRun{
		cluster: c,
		rng:     rand.New(rand.NewPCG(load.Seed, 1)),
		client:  &http.Client{Timeout: callerTimeout},
		down:    map[int]bool{},
		faults:  map[string]int{},
	}
	requests := Plan(c.Config, load)
	tries := make([][]Outcome, len(requests))
	faultsCtx, stop := context.WithCancel(ctx)
	var injecting sync.WaitGroup
	injecting.Go(func() { run.inject(faultsCtx) })
	run.sendAll(ctx, requests, tries)
	stop()
	injecting.Wait()
	return run.judge(requests, tries)
}

func (f *faultRun) sendAll(ctx context.Context, requests []Request, tries [][]Outcome) {
	next := make(chan int)
	var running sync.WaitGroup
	for range faultWorkers {
		running.Go(func() {
			for i := range next {
				tries[i] = f.send(ctx, i, requests[i])
			}
		})
	}
	for i := range requests {
		next <- i
	}
	close(next)
	running.Wait()
}

// send tries a request at several entry instances. A write is sent again only with
// an idempotency key, or after an answer that it did not run.
func (f *faultRun) send(ctx context.Context, i int, r Request) []Outcome {
	var outcomes []Outcome
	for try := range maxTries {
		o := Send(ctx, f.client, f.entryURL(i+try), r)
		outcomes = append(outcomes, o)
		if o.Result == Complete || o.Result == Wrong {
			return outcomes
		}
		notRun := o.Result == Refused && o.Ran == errkind.NotExecuted
		if r.IsWrite() && r.IdempotencyKey == "" && !notRun {
			return outcomes
		}
		_ = sleep(ctx, 50*time.Millisecond)
	}
	return outcomes
}

func (f *faultRun) entryURL(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cluster.Entries[i%len(f.cluster.Entries)].URL
}

// fault is one kind of fault. inject starts it and returns how to end it.
type fault struct {
	name   string
	inject func(f *faultRun) (end func())
}

var runFaults = []fault{
	{"engine_fails", engineFault(standin.EngineFaults{Fail: true})},
	{"engine_cuts", engineFault(standin.EngineFaults{CutAfterTokens: 5})},
	{"engine_silent", engineFault(standin.EngineFaults{SilentAfterTokens: 3})},
	{"engine_crossed", engineFault(standin.EngineFaults{Crossed: true})},
	{"engine_crossed_body", engineFault(standin.EngineFaults{CrossedBody: true})},
	{"engine_crossed_event", engineFault(standin.EngineFaults{CrossAfterTokens: 4})},
	{"engine_connections_lost", loseConnections},
	{"service_answer_lost", serviceFault(standin.ServiceFaults{LoseAnswer: true})},
	{"service_answer_cut", serviceFault(standin.ServiceFaults{CutAnswer: true})},
	{"service_crossed", serviceFault(standin.ServiceFaults{Crossed: true})},
	{"service_slow", serviceFault(standin.ServiceFaults{DelayMS: 700})},
	{"store_outage", storeFault(standin.StoreFaults{Outage: true})},
	{"store_slow", storeFault(standin.StoreFaults{DelayMS: 400})},
	{"store_answers_lost", storeFault(standin.StoreFaults{LoseAnswers: 3})},
	{"entry_killed", killEntry},
	{"operators_race", operatorsRace},
}

// inject starts faults until ctx ends. Several may be in force at once.
func (f *faultRun) inject(ctx context.Context) {
	var active sync.WaitGroup
	defer active.Wait()
	for ctx.Err() == nil {
		chosen := runFaults[f.rng.IntN(len(runFaults))]
		f.faults[chosen.name]++
		end := chosen.inject(f)
		lasts := time.Duration(f.rng.Int64N(int64(maxFaultTime)))
		active.Go(func() {
			_ = sleep(ctx, lasts)
			end()
		})
		pause := minFaultPause + time.Duration(f.rng.Int64N(int64(maxFaultPause-minFaultPause)))
		_ = sleep(ctx, pause)
	}
}

func engineFault(faults standin.EngineFaults) func(*faultRun) func() {
	return func(f *faultRun) func() {
		engine := f.cluster.Engines[f.rng.IntN(len(f.cluster.Engines))]
		engine.SetFaults(faults)
		return func() { engine.SetFaults(standin.EngineFaults{}) }
	}
}

func loseConnections(f *faultRun) func() {
	f.cluster.Engines[f.rng.IntN(len(f.cluster.Engines))].CloseConnections()
	return func() {}
}

func serviceFault(faults standin.ServiceFaults) func(*faultRun) func() {
	return func(f *faultRun) func() {
		service := f.cluster.Services[f.rng.IntN(len(f.cluster.Services))]
		service.SetFaults(faults)
		return func() { service.SetFaults(standin.ServiceFaults{}) }
	}
}

func storeFault(faults standin.StoreFaults) func(*faultRun) func() {
	return func(f *faultRun) func() {
		f.cluster.Store.SetFaults(faults)
		return func() { f.cluster.Store.SetFaults(standin.StoreFaults{}) }
	}
}

// killEntry ends an entry instance without notice and starts it again under its id.
func killEntry(f *faultRun) func() {
	i := f.rng.IntN(len(f.cluster.nodes))
	f.mu.Lock()
	n, already := f.cluster.nodes[i], f.down[i]
	f.down[i] = true
	f.mu.Unlock()
	if already {
		return func() {}
	}
	n.Kill()
	return func() { f.restartEntry(i) }
}

func (f *faultRun) restartEntry(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.cluster.Entries[i]
	n, err := node.Start(f.cluster.settings(old.ID, old.Region), f.cluster.log)
	if err != nil {
		f.cluster.log.WithField("event", "restart").WithError(err).Error("entry instance did not restart")
		return
	}
	f.down[i] = false
	f.cluster.nodes[i] = n
	f.cluster.Entries[i] = entryOf(old.ID, old.Region, n)
}

// operatorsRace lets two operators change the same client account at once.
func operatorsRace(f *faultRun) func() {
	account := f.cluster.Config.Accounts[0]
	account.Burst += float64(f.rng.IntN(10))
	change, err := opconfig.Set(opconfig.TableAccounts, account.Name, account)
	if err != nil {
		return func() {}
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxFaultTime)
	var applying sync.WaitGroup
	for range 2 {
		applying.Go(func() {
			store := etcdgw.New(f.cluster.Store.URL())
			config, err := configsync.Load(ctx, store)
			if err != nil {
				return
			}
			publisher := &configsync.Publisher{Store: store}
			_, _ = publisher.Apply(ctx, config.Revision, []opconfig.Change{change})
		})
	}
	return func() {
		applying.Wait()
		cancel()
	}
}

// judge compares the outcomes with what the upstreams ran.
func (f *faultRun) judge(requests []Request, tries [][]Outcome) FaultReport {
	runs := map[string]int{}
	for _, service := range f.cluster.Services {
		for body, n := range service.Runs() {
			runs[body] += n
		}
	}
	engineRuns := map[string]int{}
	for _, engine := range f.cluster.Engines {
		for body, n := range engine.Runs() {
			engineRuns[body] += n
		}
	}
	report := FaultReport{Faults: f.faults}
	for i, r := range requests {
		n := engineRuns[string(r.Body)]
		if r.IsWrite() {
			n = runs[string(r.Body)]
			report.WriteRunsMax = max(report.WriteRunsMax, n)
		}
		report.add(r, tries[i], n)
	}
	return report
}

func (r *FaultReport) add(request Request, tries []Outcome, ran int) {
	r.Sent++
	last := tries[len(tries)-1]
	switch last.Result {
	case Complete:
		r.Complete++
	case Refused:
		r.Refused++
	case Broken:
		r.Broken++
	case Wrong:
		r.Wrong++
		r.describe(request, last)
	}
	if len(request.Body) > 0 && ran > 0 && neverRan(tries) {
		r.FalseNotRun++
		r.describe(request, last)
	}
	if request.IsWrite() && ran > 1 {
		r.describe(request, Outcome{Result: Wrong, Detail: fmt.Sprintf("ran %d times", ran)})
	}
	if request.IsWrite() && ran == 0 && last.Result == Complete {
		r.Wrong++
		r.describe(request, Outcome{Result: Wrong, Detail: "answered, but no service ran it"})
	}
}

// neverRan reports whether every try was refused with the statement that it did not run.
func neverRan(tries []Outcome) bool {
	for _, o := range tries {
		if o.Result != Refused || o.Ran != errkind.NotExecuted {
			return false
		}
	}
	return true
}

func (r *FaultReport) describe(request Request, o Outcome) {
	if len(r.Failures) < maxFailures {
		r.Failures = append(r.Failures, fmt.Sprintf("%s %s %s: %s kind=%s ran=%s: %s",
			request.Method, request.Path, request.Body, o.Result, o.Kind, o.Ran, o.Detail))
	}
}
