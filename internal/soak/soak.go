// Package soak runs entry instances as processes of their own against stand-ins of the
// users' platform, and injects faults from outside them: processes that are killed, paused
// and restarted, links that are silent, one-way, slow or reset, servers and a store that
// misbehave, and changes of the operators. All of them come in seeded series that overlap.
// From what callers, servers and operators see it checks the promises of
// docs/platform.md.
//
// The time of day is not stepped: that needs rights that a test must not have, and the
// gateway reads a clock that such steps do not move.
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
	meteredCallers   = 4
	startTimeout     = 20 * time.Second
	// recoverWithin is the time after the last fault by which requests are served again, and
	// recoverCalls how many in a row show it.
	recoverWithin = 12 * time.Second
	recoverCalls  = 50
	lookInterval  = 50 * time.Millisecond
)

// Options say what to run.
type Options struct {
	Seed uint64
	// Duration is the time with faults.
	Duration time.Duration
	// PerRegion is the number of entry instances in each of the two regions.
	PerRegion int
	// Program is the path of the heatherloom binary.
	Program string
	// Dir receives settings and logs.
	Dir string
}

// Report is what a run found.
type Report struct {
	Options    Options
	Faults     map[string]int
	Requests   int
	Results    map[result]int
	Violations []Violation
}

// OK reports whether no promise was broken.
func (r Report) OK() bool { return len(r.Violations) == 0 }

// String returns the report as one line of key=value pairs.
func (r Report) String() string {
	total := 0
	for _, n := range r.Faults {
		total += n
	}
	return fmt.Sprintf("seed=%d duration=%s processes=%d faults=%d requests=%d whole=%d refused=%d failed=%d broken=%d violations=%d",
		r.Options.Seed, r.Options.Duration, r.Options.PerRegion*len(regions), total, r.Requests,
		r.Results[whole], r.Results[refused], r.Results[failed], r.Results[broken], len(r.Violations))
}

// Print writes the faults by name, the violations and the line of String.
func (r Report) Print(out io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(out, "fault=%s count=%d\n", name, r.Faults[name])
	}
	for _, v := range r.Violations {
		fmt.Fprintf(out, "violation=%s detail=%q\n", v.Rule, v.Detail)
	}
	fmt.Fprintln(out, r)
}

// soak is the state of a run.
type soak struct {
	options   Options
	site      *site
	operators *operators
	crowd     *crowd
	faults    *faultLog
}

// Run plays one run. Its error is one of the rig and says nothing of the gateway.
func Run(ctx context.Context, o Options) (Report, error) {
	site, err := startSite(o.Dir, o.Program, o.PerRegion)
	if site != nil {
		defer site.close()
	}
	if err != nil {
		return Report{}, err
	}
	file, err := os.Create(filepath.Join(o.Dir, "faults.log"))
	if err != nil {
		return Report{}, eris.Wrap(err, "log of faults")
	}
	defer file.Close()
	s := &soak{options: o, site: site, operators: newOperators(site), faults: &faultLog{file: file, counts: map[string]int{}}}
	s.crowd = &crowd{site: site, operators: s.operators}
	if err := site.run(); err != nil {
		return Report{}, err
	}
	if err := s.awaitReady(ctx); err != nil {
		return Report{}, err
	}
	if err := s.disturb(ctx); err != nil {
		return Report{}, err
	}
	recovered := s.recovers()
	return s.report(recovered), nil
}

// awaitReady waits until every instance is ready.
func (s *soak) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range s.site.entries {
		for !ready(ctx, e) {
			if ctx.Err() != nil {
				return eris.Errorf("entry instance %q was not ready within %s", e.id, startTimeout)
			}
			time.Sleep(lookInterval)
		}
	}
	return nil
}

func ready(ctx context.Context, e *entry) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+standin.ReadyPath, nil)
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

// disturb sends requests and injects faults for the time of the run.
func (s *soak) disturb(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Duration)
	defer cancel()
	failures := make(chan error, 1)
	var calling, disturbing sync.WaitGroup
	callersCtx, stopCallers := context.WithCancel(context.Background())
	defer stopCallers()
	s.startCallers(callersCtx, &calling)
	for i, faults := range series {
		d := &disturber{site: s.site, operators: s.operators, rng: s.random("faults", i), log: s.faults, failures: failures}
		disturbing.Go(func() { d.run(ctx, faults, seriesPause[i]) })
	}
	disturbed := make(chan struct{})
	go func() {
		disturbing.Wait()
		close(disturbed)
	}()
	var failure error
	select {
	case <-disturbed:
	case failure = <-failures:
		cancel()
		<-disturbed
	}
	stopCallers()
	calling.Wait()
	return failure
}

func (s *soak) startCallers(ctx context.Context, running *sync.WaitGroup) {
	for n := range callersPerRegion * len(regions) {
		c := s.crowd.newCaller(fmt.Sprintf("c%d", n), regions[n%len(regions)], s.random("caller", n))
		running.Go(func() { c.run(ctx, pickMain, callPause) })
	}
	for n := range meteredCallers {
		c := s.crowd.newCaller(fmt.Sprintf("m%d", n), regions[n%len(regions)], s.random("metered", n))
		running.Go(func() { c.run(ctx, pickMetered, meteredPause) })
	}
}

// random returns the random numbers of one part of the run.
func (s *soak) random(part string, n int) *rand.Rand {
	var salt uint64
	for _, b := range []byte(part) {
		salt = salt*256 + uint64(b)
	}
	return rand.New(rand.NewPCG(s.options.Seed, salt+uint64(n)))
}

// recovers reports whether requests are served soon after the last fault.
func (s *soak) recovers() bool {
	c := s.crowd.newCaller("recovery", regions[0], s.random("recovery", 0))
	served := 0
	for end := time.Now().Add(recoverWithin); time.Now().Before(end) && served < recoverCalls; {
		if c.send(kindRead, mainKey) == whole {
			served++
			continue
		}
		served = 0
		time.Sleep(lookInterval)
	}
	return served == recoverCalls
}

func (s *soak) report(recovered bool) Report {
	r := Report{Options: s.options, Faults: s.faults.counts, Results: map[result]int{}}
	e := s.evidence()
	for _, c := range e.calls {
		r.Requests++
		r.Results[c.result]++
	}
	r.Violations = judge(e)
	if !recovered {
		r.Violations = append(r.Violations, Violation{"recovery", fmt.Sprintf("requests were not served %s after the last fault", recoverWithin)})
	}
	for _, text := range s.site.exits {
		r.Violations = append(r.Violations, Violation{"processes", text})
	}
	r.Violations = append(r.Violations, s.logFaults()...)
	return r
}

// logFaults finds what the processes themselves reported as a fault of the program.
func (s *soak) logFaults() []Violation {
	var found []Violation
	for _, e := range s.site.entries {
		raw, err := os.ReadFile(e.logPath())
		if err != nil {
			continue
		}
		for _, mark := range []string{"DATA RACE", "panic: ", "event=invariant_violated"} {
			if bytes.Contains(raw, []byte(mark)) {
				found = append(found, Violation{"program", fmt.Sprintf("%s holds %q", e.logPath(), mark)})
			}
		}
	}
	return found
}

func (s *soak) evidence() *evidence {
	e := &evidence{
		calls: s.crowd.calls, runs: map[string][]standin.Run{}, versions: s.operators.versions, revoked: s.operators.revoked,
		leaving: s.operators.leaving, evacuated: s.operators.evacuated, entries: s.site.entries, servers: s.site.allServers(),
		store: &s.site.disturbed,
	}
	for _, one := range e.servers {
		for _, run := range one.Runs() {
			e.runs[run.RequestID] = append(e.runs[run.RequestID], run)
		}
	}
	for _, runs := range e.runs {
		slices.SortFunc(runs, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	}
	return e
}
