// Package soak runs entry instances as separate processes against stand-ins of the users'
// platform and injects faults from the outside: killed, paused and restarted processes,
// silent, one-way, slow and reset links, faulty servers, a faulty store, and configuration
// changes. The faults come in seeded series that overlap. The guarantees of docs/platform.md
// are checked against what callers, servers and the operator recorded.
//
// The wall clock is not stepped: that needs privileges that a test must not have, and the
// gateway reads a monotonic clock, which such steps do not change.
package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"heatherloom/platform/standin"
)

const (
	callersPerRegion = 8
	limitedCallers   = 4
	startTimeout     = 20 * time.Second
	// maxRecoveryTime is the time after the last fault within which recoveryRequests in a row
	// must succeed.
	maxRecoveryTime  = 12 * time.Second
	recoveryRequests = 50
	pollInterval     = 50 * time.Millisecond
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// InstancesPerRegion is the number of entry instances in each of the two regions.
	InstancesPerRegion int
	// Binary is the path of the heatherloom binary.
	Binary string
	// Dir is the directory for settings files and logs.
	Dir string
}

// Report is the outcome of a run.
type Report struct {
	Options    Options
	Faults     map[string]int
	Requests   int
	Results    map[result]int
	Violations []Violation
}

// OK reports whether no rule was violated.
func (r Report) OK() bool { return len(r.Violations) == 0 }

// String returns the report as one line of key=value pairs.
func (r Report) String() string {
	total := 0
	for _, n := range r.Faults {
		total += n
	}
	return fmt.Sprintf("seed=%d duration=%s processes=%d faults=%d requests=%d whole=%d refused=%d failed=%d broken=%d violations=%d",
		r.Options.Seed, r.Options.Duration, r.Options.InstancesPerRegion*len(regions), total, r.Requests,
		r.Results[valid], r.Results[rejected], r.Results[failed], r.Results[incomplete], len(r.Violations))
}

// Print writes the fault counts by name, the violations and the line of String.
func (r Report) Print(out io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(out, "fault=%s count=%d\n", name, r.Faults[name])
	}
	for _, v := range r.Violations {
		fmt.Fprintf(out, "violation=%s detail=%q\n", v.Rule, v.Detail)
	}
	fmt.Fprintln(out, r)
}

// runner holds the state of a run.
type runner struct {
	options  Options
	cluster  *cluster
	operator *operator
	callers  *callerGroup
	faults   *faultLog
	// started is when all instances were ready.
	started time.Time
}

// Run performs one run. It returns an error only for failures of the test setup; those of
// the gateway are violations in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	cluster, err := startCluster(o.Dir, o.Binary, o.InstancesPerRegion, drawServerEnds(o.Seed))
	if cluster != nil {
		defer cluster.close()
	}
	if err != nil {
		return Report{}, err
	}
	file, err := os.Create(filepath.Join(o.Dir, "faults.log"))
	if err != nil {
		return Report{}, eris.Wrap(err, "create the fault log")
	}
	defer file.Close()
	s := &runner{options: o, cluster: cluster, operator: newOperator(cluster), faults: &faultLog{file: file, counts: map[string]int{}}}
	s.callers = &callerGroup{cluster: cluster, operator: s.operator}
	if err := cluster.startProcesses(); err != nil {
		return Report{}, err
	}
	if err := s.waitReady(ctx); err != nil {
		return Report{}, err
	}
	s.started = time.Now()
	if o.Seed%3 == 2 {
		cluster.nameRate()
	}
	if err := s.injectFaults(ctx); err != nil {
		return Report{}, err
	}
	recovered, dutiesRecovered := s.checkRecovery(), s.checkDutyRecovery()
	return s.buildReport(recovered, dutiesRecovered), nil
}

// waitReady waits until every instance is ready.
func (s *runner) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range s.cluster.nodes {
		for !isReady(ctx, e) {
			if ctx.Err() != nil {
				return eris.Errorf("entry instance %q was not ready within %s", e.id, startTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func isReady(ctx context.Context, e *node) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.readyAddress+standin.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// injectFaults sends requests and injects faults for the duration of the run.
func (s *runner) injectFaults(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Duration)
	defer cancel()
	failures := make(chan error, 1)
	var calling, injecting sync.WaitGroup
	callersCtx, stopCallers := context.WithCancel(context.Background())
	defer stopCallers()
	s.startCallers(callersCtx, &calling)
	for i, faults := range faultSeries {
		d := &injector{cluster: s.cluster, operator: s.operator, rng: s.newRand("faults", i), log: s.faults, failures: failures}
		injecting.Go(func() { d.run(ctx, faults, pauseFactors[i]) })
	}
	injected := make(chan struct{})
	go func() {
		injecting.Wait()
		close(injected)
	}()
	var failure error
	select {
	case <-injected:
	case failure = <-failures:
		cancel()
		<-injected
	}
	stopCallers()
	calling.Wait()
	return failure
}

func (s *runner) startCallers(ctx context.Context, running *sync.WaitGroup) {
	for n := range callersPerRegion * len(regions) {
		c := s.callers.newCaller(fmt.Sprintf("c%d", n), regions[n%len(regions)], s.newRand("caller", n))
		running.Go(func() { c.run(ctx, pickMain, maxCallPause) })
	}
	for n := range limitedCallers {
		c := s.callers.newCaller(fmt.Sprintf("m%d", n), regions[n%len(regions)], s.newRand("metered", n))
		running.Go(func() { c.run(ctx, pickLimited, maxLimitedPause) })
	}
	harmful := s.callers.newCaller("h", regions[0], s.newRand("harmful", 0))
	running.Go(func() { harmful.run(ctx, pickHarmful(), maxHarmfulPause) })
	part := s.callers.newCaller("p", regions[0], s.newRand("harmful part", 0))
	running.Go(func() { part.run(ctx, pickHarmfulPart(), maxHarmfulPause) })
}

// newRand returns the random source of one part of the run.
func (s *runner) newRand(part string, n int) *rand.Rand {
	var salt uint64
	for _, b := range []byte(part) {
		salt = salt*256 + uint64(b)
	}
	return rand.New(rand.NewPCG(s.options.Seed, salt+uint64(n)))
}

// checkRecovery reports whether requests succeed again soon after the last fault.
func (s *runner) checkRecovery() bool {
	c := s.callers.newCaller("recovery", regions[0], s.newRand("recovery", 0))
	served := 0
	for end := time.Now().Add(maxRecoveryTime); time.Now().Before(end) && served < recoveryRequests; {
		if c.send(kindRead, mainKey) == valid {
			served++
			continue
		}
		served = 0
		time.Sleep(pollInterval)
	}
	return served == recoveryRequests
}

func (s *runner) buildReport(recovered, dutiesRecovered bool) Report {
	r := Report{Options: s.options, Faults: s.faults.counts, Results: map[result]int{}}
	e := s.collectHistory()
	for _, c := range e.calls {
		r.Requests++
		r.Results[c.result]++
	}
	r.Violations = checkRules(e)
	if !recovered {
		r.Violations = append(r.Violations, Violation{"recovery", fmt.Sprintf("requests did not succeed again within %s of the last fault", maxRecoveryTime)})
	}
	if !dutiesRecovered {
		r.Violations = append(r.Violations, Violation{"duty_recovery", fmt.Sprintf("no %d windows of usage in a row that began after the last fault were accepted in time within %s", recoveryWindows, maxDutyRecoveryTime)})
	}
	for _, v := range s.cluster.duties.Violations() {
		if v.Rule == standin.RuleMalformed {
			r.Violations = append(r.Violations, Violation{"duty_calls", v.String()})
		}
	}
	for _, text := range s.cluster.unexpectedExits {
		r.Violations = append(r.Violations, Violation{"processes", text})
	}
	r.Violations = append(r.Violations, s.findLogFaults()...)
	return r
}

// findLogFaults finds data races, panics and invariant violations in the process logs.
func (s *runner) findLogFaults() []Violation {
	var found []Violation
	for _, e := range s.cluster.nodes {
		raw, err := os.ReadFile(e.logPath())
		if err != nil {
			continue
		}
		for _, marker := range []string{"DATA RACE", "panic: ", "event=invariant_violated"} {
			if bytes.Contains(raw, []byte(marker)) {
				found = append(found, Violation{"program", fmt.Sprintf("%s contains %q", e.logPath(), marker)})
			}
		}
	}
	return found
}

func (s *runner) collectHistory() *history {
	e := &history{
		calls: s.callers.calls, executions: map[string][]standin.ExecutedRequest{}, versions: s.operator.versions, revoked: s.operator.revoked,
		draining: s.operator.draining, evacuated: s.operator.evacuated, nodes: s.cluster.nodes, servers: s.cluster.allServers(),
		storeFaults: &s.cluster.storeFaults, dutyFaults: &s.cluster.dutyFaults, dutyCalls: s.cluster.duties.Calls(),
		started: s.started, ended: time.Now(),
	}
	for _, srv := range e.servers {
		for _, execution := range srv.ExecutedRequests() {
			e.executions[execution.RequestID] = append(e.executions[execution.RequestID], execution)
		}
	}
	for _, executions := range e.executions {
		slices.SortFunc(executions, func(a, b standin.ExecutedRequest) int { return a.At.Compare(b.At) })
	}
	return e
}
