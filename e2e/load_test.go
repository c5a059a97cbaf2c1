package e2e

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/devcluster"
	"heatherloom/internal/errkind"
)

// newClient returns a client that has read the list of entry instances from the one at url.
func newClient(url string, timeout time.Duration) *devcluster.Client {
	GinkgoHelper()
	c, err := devcluster.NewClient(context.Background(), url, timeout)
	Expect(err).NotTo(HaveOccurred())
	return c
}

// listEntryURLs returns the URLs that GET /v1/entries lists, or nil if the call fails.
func listEntryURLs(url string) []string {
	urls, _ := devcluster.ListEntries(context.Background(), httpClient, url)
	return urls
}

// tally counts the final outcomes of requests.
type tally struct {
	sent, completed, rejected, wrong int
	// unanswered counts repeatable requests that failed on every entry instance. unknown
	// counts writes without a complete response, which the caller does not repeat.
	unanswered, unknown int
	// cutWithError counts streams that ended with an error event.
	cutWithError int
	// ownerUnavailable counts writes with an idempotency key that were rejected and not
	// executed because the holder of the owner slot or every other holder is gone. The
	// design specifies this for a region that lost an instance whose id has not returned.
	ownerUnavailable int
	// ownerUnknown counts those whose rejection says that the holder may have executed them: it
	// stopped after it had got the write.
	ownerUnknown int
	// unknownKeyed counts the unknown writes with an idempotency key. While the holder of
	// the owner slot is frozen and still a member, no other instance can know whether it
	// executes them.
	unknownKeyed int
	failures     []string
	// notExecuted holds the bodies of requests that every attempt reported as not executed.
	notExecuted []string
}

func (t *tally) add(r devcluster.Request, outcomes []devcluster.Outcome) {
	t.sent++
	last := outcomes[len(outcomes)-1]
	notExecuted := true
	for _, o := range outcomes {
		notExecuted = notExecuted && o.Result == devcluster.ResultRejected && o.Execution == errkind.NotExecuted
	}
	if notExecuted && len(r.Body) > 0 {
		t.notExecuted = append(t.notExecuted, string(r.Body))
	}
	if last.Result != devcluster.ResultComplete {
		t.failures = append(t.failures, fmt.Sprintf("%s %s %s: %+v", r.Method, r.Path, r.Body, last))
	}
	if notExecuted && r.IdempotencyKey != "" && last.Kind == errkind.WriteOwnerUnavailable {
		t.ownerUnavailable++
	}
	if last.Execution == errkind.ExecutionUnknown && r.IdempotencyKey != "" && last.Kind == errkind.WriteOwnerUnavailable {
		t.ownerUnknown++
	}
	switch {
	case last.Result == devcluster.ResultComplete:
		t.completed++
	case last.Result == devcluster.ResultRejected:
		t.rejected++
	case last.Result == devcluster.ResultWrong:
		t.wrong++
	case last.Kind != "":
		t.cutWithError++
	case r.IsWrite():
		t.unknown++
		if r.IdempotencyKey != "" {
			t.unknownKeyed++
		}
	default:
		t.unanswered++
	}
}

func (t *tally) String() string {
	return fmt.Sprintf("sent=%d answered=%d refused=%d wrong=%d cut=%d unanswered=%d unknown=%d",
		t.sent, t.completed, t.rejected, t.wrong, t.cutWithError, t.unanswered, t.unknown)
}

// expectInvariants checks what must hold under every fault: no response belongs to
// another request, no write was executed twice, and no request was executed although
// every response to it said otherwise.
func (t *tally) expectInvariants(s *testStack) {
	GinkgoHelper()
	AddReportEntry("tally", t.String())
	GinkgoWriter.Println(t.String())
	Expect(t.wrong).To(BeZero(), "%v", t.failures)
	Expect(t.completed+t.rejected+t.cutWithError+t.unanswered+t.unknown).To(Equal(t.sent), t.String())
	executions := s.executions()
	for _, body := range t.notExecuted {
		Expect(executions).NotTo(HaveKey(body), "every response said that the request was not executed")
	}
	for body, n := range executions {
		if isOrder(body) {
			Expect(n).To(Equal(1), "executions of the write %s", body)
		}
	}
}

// workers is the maximum number of requests in flight in runLoad.
const workers = 8

// planRequests returns requests of the client account that has no home region.
func planRequests(count int, seed uint64) []devcluster.Request {
	config := testConfig()
	config.APIKeys = config.APIKeys[:1]
	return devcluster.GenerateRequests(config, devcluster.LoadSpec{Count: count, Seed: seed})
}

// runLoad sends requests from concurrent workers and counts the outcomes. It calls event
// once, after eventAt requests have been started.
func runLoad(requests []devcluster.Request, send sender, eventAt int, event func()) *tally {
	GinkgoHelper()
	outcomes := make([][]devcluster.Outcome, len(requests))
	var next atomic.Int64
	var running sync.WaitGroup
	for range workers {
		running.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(requests)); i = next.Add(1) - 1 {
				outcomes[i] = send(context.Background(), requests[i])
			}
		})
	}
	if event != nil {
		Eventually(next.Load, callTimeout, time.Millisecond).Should(BeNumerically(">=", eventAt))
		event()
	}
	running.Wait()
	t := &tally{}
	for i, r := range requests {
		t.add(r, outcomes[i])
	}
	return t
}

// sender sends a request and returns the outcome of each attempt.
type sender func(context.Context, devcluster.Request) []devcluster.Outcome

// viaEntry returns a sender that sends each request once, to the entry instance at url.
func viaEntry(url string) sender {
	return func(ctx context.Context, r devcluster.Request) []devcluster.Outcome {
		return []devcluster.Outcome{devcluster.Send(ctx, httpClient, url, r)}
	}
}

// sendOne sends one request to the entry instance at url.
func sendOne(url string, r devcluster.Request) devcluster.Outcome {
	return viaEntry(url)(context.Background(), r)[0]
}

func inferenceOnly(all []devcluster.Request) []devcluster.Request {
	return slices.DeleteFunc(all, func(r devcluster.Request) bool { return !r.Inference })
}

func writesOnly(all []devcluster.Request) []devcluster.Request {
	return slices.DeleteFunc(all, func(r devcluster.Request) bool { return !r.IsWrite() })
}
