package devcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"heatherloom/internal/standin"
)

const (
	workers        = 8
	requestTimeout = 10 * time.Second
	readyTimeout   = 20 * time.Second
	probeInterval  = 50 * time.Millisecond
	// bucketFillTime lets the token buckets fill, which start empty on each instance.
	bucketFillTime = 300 * time.Millisecond
	// maxFailures bounds the number of failures that a report describes.
	maxFailures = 10
)

// LoadSpec describes the requests to send.
type LoadSpec struct {
	Count int
	// Seed determines the client accounts and models of the requests, and the faults of
	// RunWithFaults.
	Seed uint64
}

// LoadReport counts the outcomes of a load.
type LoadReport struct {
	Sent     int
	Complete int
	Wrong    int
	Rejected int
	// WriteRunsMax is the highest number of executions of one write by a service.
	WriteRunsMax int
	// Failures describes the first outcomes other than ResultComplete.
	Failures []string
}

// String returns the report as one line of key=value pairs.
func (r LoadReport) String() string {
	return fmt.Sprintf("sent=%d complete=%d wrong=%d refused=%d write_runs_max=%d",
		r.Sent, r.Complete, r.Wrong, r.Rejected, r.WriteRunsMax)
}

// OK reports whether every request got its own complete response and every write
// ran exactly once.
func (r LoadReport) OK() bool {
	return r.Complete == r.Sent && r.Wrong == 0 && r.Rejected == 0 && r.WriteRunsMax == 1
}

func (r *LoadReport) add(request Request, o Outcome) {
	r.Sent++
	switch o.Result {
	case ResultComplete:
		r.Complete++
		return
	case ResultWrong:
		r.Wrong++
	case ResultRejected:
		r.Rejected++
	}
	r.addFailure(request, o)
}

func (r *LoadReport) addFailure(request Request, o Outcome) {
	if len(r.Failures) < maxFailures {
		r.Failures = append(r.Failures,
			fmt.Sprintf("%s %s: %s kind=%s ran=%s: %s", request.Method, request.Path, o.Result, o.Kind, o.Execution, o.Detail))
	}
}

// RunRequests sends the load to the entry instances of all regions in turn and compares
// each response with the one that the upstream produces for that request.
func RunRequests(ctx context.Context, c *Cluster, load LoadSpec) LoadReport {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	defer client.CloseIdleConnections()
	requests := GenerateRequests(c.Config, load)
	outcomes := make([]Outcome, len(requests))
	indexes := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range indexes {
				outcomes[i] = Send(ctx, client, c.Entries[i%len(c.Entries)].URL, requests[i])
			}
		})
	}
	for i := range requests {
		indexes <- i
	}
	close(indexes)
	wg.Wait()
	return evaluateLoad(c.Services, requests, outcomes)
}

// evaluateLoad counts the outcomes. A write with a response that no service executed
// counts as wrong.
func evaluateLoad(services []*standin.Service, requests []Request, outcomes []Outcome) LoadReport {
	runs := map[string]int{}
	for _, service := range services {
		for body, n := range service.Executions() {
			runs[body] += n
		}
	}
	var report LoadReport
	for i, request := range requests {
		outcome := outcomes[i]
		if request.IsWrite() {
			n := runs[string(request.Body)]
			report.WriteRunsMax = max(report.WriteRunsMax, n)
			if n == 0 && outcome.Result == ResultComplete {
				outcome = Outcome{Result: ResultWrong, Detail: "got a response, but no service executed it"}
			}
		}
		report.add(request, outcome)
	}
	return report
}

// requestKinds lists the kinds of requests in the order in which GenerateRequests uses
// them. The first is a write, so that every load has one.
var requestKinds = []func(Config, *rand.Rand, int, uint64) Request{
	keyedWrite,
	streamedChat,
	bufferedChat,
	statusRead,
	bufferedCompletion,
	unkeyedWrite,
	streamedChat,
	noticeRead,
}

// GenerateRequests returns the requests of a load. It is deterministic.
func GenerateRequests(c Config, load LoadSpec) []Request {
	rng := rand.New(rand.NewPCG(load.Seed, 0))
	requests := make([]Request, load.Count)
	for i := range requests {
		requests[i] = requestKinds[i%len(requestKinds)](c, rng, i, load.Seed)
	}
	return requests
}

func secretOf(c Config, rng *rand.Rand) string { return c.APIKeys[rng.IntN(len(c.APIKeys))].Secret }

func modelOf(c Config, rng *rand.Rand) string { return c.Models[rng.IntN(len(c.Models))].Name }

func chat(c Config, rng *rand.Rand, i int, seed uint64, stream bool) Request {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"charge record %d of load %d"}]}`,
		modelOf(c, rng), stream, i, seed)
	return Request{
		Method: http.MethodPost, Path: "/v1/chat/completions", Secret: secretOf(c, rng),
		Body: []byte(body), Inference: true, Stream: stream,
	}
}

func streamedChat(c Config, rng *rand.Rand, i int, seed uint64) Request {
	return chat(c, rng, i, seed, true)
}

func bufferedChat(c Config, rng *rand.Rand, i int, seed uint64) Request {
	return chat(c, rng, i, seed, false)
}

func bufferedCompletion(c Config, rng *rand.Rand, i int, seed uint64) Request {
	body := fmt.Sprintf(`{"model":%q,"prompt":"maintenance log %d of load %d"}`, modelOf(c, rng), i, seed)
	return Request{
		Method: http.MethodPost, Path: "/v1/completions", Secret: secretOf(c, rng), Body: []byte(body), Inference: true,
	}
}

func statusRead(c Config, rng *rand.Rand, i int, seed uint64) Request {
	return Request{Method: http.MethodGet, Path: fmt.Sprintf("/status/buoy-%d-%d", seed, i), Secret: secretOf(c, rng)}
}

func noticeRead(_ Config, _ *rand.Rand, i int, seed uint64) Request {
	return Request{Method: http.MethodGet, Path: fmt.Sprintf("/notices/%d-%d", seed, i)}
}

func unkeyedWrite(c Config, rng *rand.Rand, i int, seed uint64) Request {
	return Request{
		Method: http.MethodPost, Path: "/orders", Secret: secretOf(c, rng),
		Body: fmt.Appendf(nil, `{"order":"%d-%d"}`, seed, i),
	}
}

func keyedWrite(c Config, rng *rand.Rand, i int, seed uint64) Request {
	r := unkeyedWrite(c, rng, i, seed)
	r.IdempotencyKey = fmt.Sprintf("order-%d-%d", seed, i)
	return r
}

// WaitReady returns once every entry instance knows all others and their quota slots, and
// serves a completion and a read of the ledger to every client account. It sends no
// writes.
func (c *Cluster) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !c.slotsKnown() {
		if err := sleep(ctx, probeInterval); err != nil {
			return err
		}
	}
	var wg sync.WaitGroup
	failures := make(chan error, len(c.Entries))
	for _, entry := range c.Entries {
		wg.Go(func() { failures <- c.waitEntryReady(ctx, entry) })
	}
	wg.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	return sleep(ctx, bucketFillTime)
}

func (c *Cluster) waitEntryReady(ctx context.Context, entry EntryInstance) error {
	for _, key := range c.Config.APIKeys {
		body := fmt.Sprintf(`{"model":%q,"prompt":"ready"}`, c.Config.Models[0].Name)
		probes := []Request{
			{Method: http.MethodPost, Path: "/v1/completions", Secret: key.Secret, Body: []byte(body), Inference: true},
			{Method: http.MethodGet, Path: "/orders/ready", Secret: key.Secret},
		}
		for _, probe := range probes {
			if err := waitComplete(ctx, entry, probe); err != nil {
				return err
			}
		}
	}
	return nil
}

func waitComplete(ctx context.Context, entry EntryInstance, probe Request) error {
	for {
		outcome := Send(ctx, http.DefaultClient, entry.URL, probe)
		if outcome.Result == ResultComplete {
			return nil
		}
		if err := sleep(ctx, probeInterval); err != nil {
			return eris.Wrapf(err, "entry instance %q is not ready: %s %s", entry.ID, outcome.Kind, outcome.Detail)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// slotsKnown reports whether every entry instance knows all others and the quota slots.
func (c *Cluster) slotsKnown() bool {
	for _, n := range c.nodes {
		if len(n.Snapshot().Peers) != len(c.nodes)-1 || !n.SlotsReady() {
			return false
		}
	}
	return true
}
