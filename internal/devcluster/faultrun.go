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
	// faultWorkers is the number of concurrent clients in a run with faults.
	faultWorkers = 16
	// attemptTimeout bounds an attempt before the client tries another entry instance.
	attemptTimeout = 4 * time.Second
	// maxAttempts bounds the attempts of a request that is safe to repeat.
	maxAttempts = 4
	// minFaultPause and maxFaultPause bound the time between the starts of two faults.
	minFaultPause = 200 * time.Millisecond
	maxFaultPause = 800 * time.Millisecond
	// maxFaultDuration bounds the duration of a fault.
	maxFaultDuration = 1500 * time.Millisecond
)

// FaultReport counts the outcomes of a run with faults.
type FaultReport struct {
	Sent     int
	Complete int
	// Rejected and Incomplete count requests without a complete response after all attempts.
	Rejected   int
	Incomplete int
	Wrong      int
	// FalseNotExecuted counts executed requests whose every attempt was rejected as not
	// executed.
	FalseNotExecuted int
	WriteRunsMax     int
	// Faults counts the injected faults by name.
	Faults   map[string]int
	Failures []string
}

// OK reports whether no response was wrong, no executed request was reported as not
// executed, no write ran twice and more than half of the requests completed.
func (r FaultReport) OK() bool {
	return r.Wrong == 0 && r.FalseNotExecuted == 0 && r.WriteRunsMax <= 1 && r.Complete > r.Sent/2
}

// String returns the report as one line of key=value pairs.
func (r FaultReport) String() string {
	total := 0
	for _, n := range r.Faults {
		total += n
	}
	return fmt.Sprintf("sent=%d complete=%d refused=%d broken=%d wrong=%d false_not_run=%d write_runs_max=%d faults=%d",
		r.Sent, r.Complete, r.Rejected, r.Incomplete, r.Wrong, r.FalseNotExecuted, r.WriteRunsMax, total)
}

// faultRun is the state of a run with faults.
type faultRun struct {
	cluster *Cluster
	rng     *rand.Rand
	client  *http.Client

	// mu guards down and the entry instances of the cluster, which change when one is
	// restarted.
	mu sync.Mutex
	// down marks entry instances that were killed and not yet restarted.
	down   map[int]bool
	faults map[string]int
}

// RunWithFaults sends the load with clients that retry requests that are safe to repeat,
// while faults of all kinds are injected in an order that the seed determines.
func RunWithFaults(ctx context.Context, c *Cluster, load LoadSpec) FaultReport {
	for _, engine := range c.Engines {
		engine.RecordExecutions()
	}
	run := &faultRun{
		cluster: c,
		rng:     rand.New(rand.NewPCG(load.Seed, 1)),
		client:  &http.Client{Timeout: attemptTimeout},
		down:    map[int]bool{},
		faults:  map[string]int{},
	}
	requests := GenerateRequests(c.Config, load)
	attempts := make([][]Outcome, len(requests))
	faultsCtx, stopFaults := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { run.inject(faultsCtx) })
	run.sendAll(ctx, requests, attempts)
	stopFaults()
	wg.Wait()
	return run.evaluate(requests, attempts)
}

func (f *faultRun) sendAll(ctx context.Context, requests []Request, attempts [][]Outcome) {
	indexes := make(chan int)
	var wg sync.WaitGroup
	for range faultWorkers {
		wg.Go(func() {
			for i := range indexes {
				attempts[i] = f.send(ctx, i, requests[i])
			}
		})
	}
	for i := range requests {
		indexes <- i
	}
	close(indexes)
	wg.Wait()
}

// send attempts a request on several entry instances. A write is repeated only with an
// idempotency key or after a rejection that reports it as not executed.
func (f *faultRun) send(ctx context.Context, i int, r Request) []Outcome {
	var outcomes []Outcome
	for attempt := range maxAttempts {
		o := Send(ctx, f.client, f.entryURL(i+attempt), r)
		outcomes = append(outcomes, o)
		if o.Result == ResultComplete || o.Result == ResultWrong {
			return outcomes
		}
		notExecuted := o.Result == ResultRejected && o.Execution == errkind.NotExecuted
		if r.IsWrite() && r.IdempotencyKey == "" && !notExecuted {
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

// fault is one kind of fault. inject starts it and returns a function that ends it.
type fault struct {
	name   string
	inject func(f *faultRun) (end func())
}

var faultKinds = []fault{
	{"engine_fails", engineFault(standin.EngineFaults{Fail: true})},
	{"engine_cuts", engineFault(standin.EngineFaults{CutAfterTokens: 5})},
	{"engine_silent", engineFault(standin.EngineFaults{SilentAfterTokens: 3})},
	{"engine_crossed", engineFault(standin.EngineFaults{Crossed: true})},
	{"engine_crossed_body", engineFault(standin.EngineFaults{CrossedBody: true})},
	{"engine_crossed_event", engineFault(standin.EngineFaults{CrossAfterTokens: 4})},
	{"engine_connections_lost", dropConnections},
	{"service_answer_lost", serviceFault(standin.ServiceFaults{DropResponse: true})},
	{"service_answer_cut", serviceFault(standin.ServiceFaults{TruncateResponse: true})},
	{"service_crossed", serviceFault(standin.ServiceFaults{Crossed: true})},
	{"service_slow", serviceFault(standin.ServiceFaults{DelayMS: 700})},
	{"store_outage", storeFault(standin.StoreFaults{Outage: true})},
	{"store_slow", storeFault(standin.StoreFaults{DelayMS: 400})},
	{"store_answers_lost", storeFault(standin.StoreFaults{DropResponses: 3})},
	{"entry_killed", killEntry},
	{"operators_race", concurrentApplies},
}

// inject starts faults until ctx is done. Several may be active at once.
func (f *faultRun) inject(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		chosen := faultKinds[f.rng.IntN(len(faultKinds))]
		f.faults[chosen.name]++
		end := chosen.inject(f)
		duration := time.Duration(f.rng.Int64N(int64(maxFaultDuration)))
		wg.Go(func() {
			_ = sleep(ctx, duration)
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

func dropConnections(f *faultRun) func() {
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

// killEntry kills an entry instance without a drain and restarts it with the same id.
func killEntry(f *faultRun) func() {
	i := f.rng.IntN(len(f.cluster.nodes))
	f.mu.Lock()
	n, alreadyDown := f.cluster.nodes[i], f.down[i]
	f.down[i] = true
	f.mu.Unlock()
	if alreadyDown {
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
		f.cluster.log.WithField("event", "restart").WithError(err).Error("failed to restart entry instance")
		return
	}
	f.down[i] = false
	f.cluster.nodes[i] = n
	f.cluster.Entries[i] = newEntryInstance(old.ID, old.Region, n)
}

// concurrentApplies makes two operators change the same client account concurrently.
func concurrentApplies(f *faultRun) func() {
	account := f.cluster.Config.Accounts[0]
	account.Burst += float64(f.rng.IntN(10))
	change, err := opconfig.Set(opconfig.TableAccounts, account.Name, account)
	if err != nil {
		return func() {}
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxFaultDuration)
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
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
		wg.Wait()
		cancel()
	}
}

// evaluate compares the outcomes with the executions that the upstreams recorded.
func (f *faultRun) evaluate(requests []Request, attempts [][]Outcome) FaultReport {
	serviceRuns := map[string]int{}
	for _, service := range f.cluster.Services {
		for body, n := range service.Executions() {
			serviceRuns[body] += n
		}
	}
	engineRuns := map[string]int{}
	for _, engine := range f.cluster.Engines {
		for body, n := range engine.Executions() {
			engineRuns[body] += n
		}
	}
	report := FaultReport{Faults: f.faults}
	for i, r := range requests {
		n := engineRuns[string(r.Body)]
		if r.IsWrite() {
			n = serviceRuns[string(r.Body)]
			report.WriteRunsMax = max(report.WriteRunsMax, n)
		}
		report.add(r, attempts[i], n)
	}
	return report
}

func (r *FaultReport) add(request Request, attempts []Outcome, executions int) {
	r.Sent++
	last := attempts[len(attempts)-1]
	switch last.Result {
	case ResultComplete:
		r.Complete++
	case ResultRejected:
		r.Rejected++
	case ResultIncomplete:
		r.Incomplete++
	case ResultWrong:
		r.Wrong++
		r.addFailure(request, last)
	}
	if len(request.Body) > 0 && executions > 0 && neverExecuted(attempts) {
		r.FalseNotExecuted++
		r.addFailure(request, last)
	}
	if request.IsWrite() && executions > 1 {
		r.addFailure(request, Outcome{Result: ResultWrong, Detail: fmt.Sprintf("executed %d times", executions)})
	}
	if request.IsWrite() && executions == 0 && last.Result == ResultComplete {
		r.Wrong++
		r.addFailure(request, Outcome{Result: ResultWrong, Detail: "got a response, but no service executed it"})
	}
}

// neverExecuted reports whether every attempt was rejected as not executed.
func neverExecuted(attempts []Outcome) bool {
	for _, o := range attempts {
		if o.Result != ResultRejected || o.Execution != errkind.NotExecuted {
			return false
		}
	}
	return true
}

func (r *FaultReport) addFailure(request Request, o Outcome) {
	if len(r.Failures) < maxFailures {
		r.Failures = append(r.Failures, fmt.Sprintf("%s %s %s: %s kind=%s ran=%s: %s",
			request.Method, request.Path, request.Body, o.Result, o.Kind, o.Execution, o.Detail))
	}
}
