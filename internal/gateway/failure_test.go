package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"heatherloom/internal/admission"
	"heatherloom/internal/control"
	"heatherloom/internal/errkind"
	"heatherloom/internal/external"
	"heatherloom/internal/relay"
	"heatherloom/internal/standin"
)

// startEnginePair starts a faulty and a healthy engine. The faulty one is picked first,
// because both are idle and its id sorts first.
func startEnginePair(t *testing.T, f standin.EngineFaults) (*entry, *standin.Engine, *standin.Engine) {
	faulty, b := startEngine(t, "engine-1", "a")
	healthy, g := startEngine(t, "engine-2", "a")
	e := startEntry(t, "entry", "a", options{}, b, g)
	faulty.SetFaults(f)
	return e, faulty, healthy
}

// Guards against tokens that are lost, duplicated or taken from another request when an
// upstream fails during a stream, and against an incomplete stream that ends like a
// complete one.
func TestStreamFailures(t *testing.T) {
	const n = 5
	for name, c := range map[string]struct {
		faulty, healthy standin.EngineFaults
		complete        bool
	}{
		"cut":                          {faulty: standin.EngineFaults{CutAfterTokens: n}, complete: true},
		"closed without [DONE]":        {faulty: standin.EngineFaults{CloseAfterTokens: n}, complete: true},
		"silent":                       {faulty: standin.EngineFaults{SilentAfterTokens: n}, complete: true},
		"crossed":                      {faulty: standin.EngineFaults{CrossAfterTokens: n}, complete: true},
		"crash before the first token": {faulty: standin.EngineFaults{CrashOn: "question"}, complete: true},
		"cut, not resumable":           {faulty: standin.EngineFaults{CutAfterTokens: n}, healthy: standin.EngineFaults{NoResume: true}},
		"cut twice":                    {faulty: standin.EngineFaults{CutAfterTokens: n}, healthy: standin.EngineFaults{CutAfterTokens: n + 2}},
		"cut, then crossed":            {faulty: standin.EngineFaults{CutAfterTokens: n}, healthy: standin.EngineFaults{Crossed: true}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e, faulty, healthy := startEnginePair(t, c.faulty)
			healthy.SetFaults(c.healthy)
			before := faulty.RequestCount()
			body := completionBody("question", true)
			a := e.do(t, http.MethodPost, "/v1/completions", body, activeKey)
			g.Expect(a.err).To(BeNil())
			g.Expect(faulty.RequestCount()).To(Equal(before + 1))
			text, done := standin.StreamText(a.body)
			g.Expect(done).To(Equal(c.complete), a.body)
			g.Expect(a.body).NotTo(ContainSubstring("another-request"))
			if c.complete {
				g.Expect(text).To(Equal(standin.ExpectedText([]byte(body))))
				g.Expect(a.body).NotTo(ContainSubstring("event: error"))
				return
			}
			g.Expect(standin.ExpectedText([]byte(body))).To(HavePrefix(text))
			g.Expect(a.body).To(ContainSubstring("event: error\ndata: {\"error\":{\"kind\":"))
			g.Expect(a.body).To(ContainSubstring(`"ran":"yes"`))
		})
	}
}

// Guards against passing the failure of one upstream to the caller of a repeatable
// request, and against delivering the response to another request.
func TestPlainFailures(t *testing.T) {
	for name, f := range map[string]standin.EngineFaults{
		"failed":       {Fail: true},
		"silent":       {Silent: true},
		"late":         {DelayMS: 2000},
		"crossed":      {Crossed: true},
		"crossed body": {CrossedBody: true},
		"crash":        {CrashOn: "question"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e, faulty, _ := startEnginePair(t, f)
			before := faulty.RequestCount()
			body := completionBody("question", false)
			a := e.do(t, http.MethodPost, "/v1/completions", body, activeKey)
			g.Expect(a.status).To(Equal(http.StatusOK), a.body)
			g.Expect(a.body).To(ContainSubstring(standin.ExpectedText([]byte(body))))
			g.Expect(a.body).NotTo(ContainSubstring("another-request"))
			g.Expect(faulty.RequestCount()).To(Equal(before + 1))
		})
	}
}

// Guards against reporting NotExecuted for a request whose first attempt may have been
// executed and for which no other upstream is left.
func TestNoSecondUpstream(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	e := startEntry(t, "entry", "a", options{}, i)
	engine.SetFaults(standin.EngineFaults{CrashOn: "question"})
	r := rejectionOf(t, e.do(t, http.MethodPost, "/v1/completions", completionBody("question", false), activeKey))
	g.Expect(r.Error.Kind).To(Equal(errkind.UpstreamFailed))
	g.Expect(r.Error.Ran).To(Equal(errkind.ExecutionUnknown))
}

// Guards against giving up on the only upstream when all its pooled connections hang but
// new connections work.
func TestOnlyUpstreamIsTriedAgain(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	e := startEntry(t, "entry", "a", options{}, i)
	ask := func() int {
		return e.do(t, http.MethodPost, "/v1/completions", completionBody("question", false), activeKey).status
	}
	engine.SetFaults(standin.EngineFaults{DelayMS: 200})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { ask() })
	}
	wg.Wait()
	engine.SetFaults(standin.EngineFaults{SilentOnReused: true})
	g.Expect(ask()).To(Equal(http.StatusOK))
}

// Guards against executing a write twice, and against reporting NotExecuted for a write
// that was executed.
func TestWriteFailures(t *testing.T) {
	for name, f := range map[string]standin.ServiceFaults{
		"answer lost": {DropResponse: true},
		"answer cut":  {TruncateResponse: true},
		"silent":      {Silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			faulty, b := startService(t, "ledger-1", "a")
			healthy, i := startService(t, "ledger-2", "a")
			e := startEntry(t, "entry", "a", options{}, b, i)
			faulty.SetFaults(f)
			r := rejectionOf(t, e.do(t, http.MethodPost, "/orders", `{"order":1}`, activeKey))
			g.Expect(r.Error.Ran).NotTo(Equal(errkind.NotExecuted))
			g.Expect(faulty.Executions()).To(HaveKeyWithValue(`{"order":1}`, 1))
			g.Expect(healthy.Executions()).To(BeEmpty())
		})
	}
	t.Run("upstream is gone", func(t *testing.T) {
		g := NewWithT(t)
		closed, b := startService(t, "ledger-1", "a")
		healthy, i := startService(t, "ledger-2", "a")
		e := startEntry(t, "entry", "a", options{}, b, i)
		closed.Close()
		g.Expect(e.do(t, http.MethodPost, "/orders", `{"order":1}`, activeKey).status).To(Equal(http.StatusOK))
		g.Expect(healthy.Executions()).To(HaveKeyWithValue(`{"order":1}`, 1))
	})
	t.Run("pooled connections closed", func(t *testing.T) {
		g := NewWithT(t)
		service, i := startService(t, "ledger", "a")
		e := startEntry(t, "entry", "a", options{}, i)
		for n := range 50 {
			body := fmt.Sprintf(`{"order":%d}`, n)
			a := e.do(t, http.MethodPost, "/orders", body, activeKey)
			executions := service.Executions()[body]
			g.Expect(executions).To(BeNumerically("<=", 1))
			if a.status == http.StatusOK {
				g.Expect(executions).To(Equal(1))
			} else if rejectionOf(t, a).Error.Ran == errkind.NotExecuted {
				g.Expect(executions).To(BeZero())
			}
			service.CloseConnections()
		}
	})
}

// Guards against canceling a write when its caller disconnects, which would leave its
// outcome unknown, and against an engine that keeps generating for a disconnected caller.
func TestCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	service, j := startService(t, "ledger", "a")
	e := startEntry(t, "entry", "a", options{}, i, j)
	engine.SetFaults(standin.EngineFaults{SilentAfterTokens: 1})
	service.SetFaults(standin.ServiceFaults{DelayMS: 200})
	sendAndDisconnect := func(path, body string) {
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.url+path, strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+activeKey)
		time.AfterFunc(50*time.Millisecond, cancel)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}
	sendAndDisconnect("/v1/completions", completionBody("question", true))
	g.Eventually(engine.RunningRequests, "350ms", "5ms").Should(BeZero())
	sendAndDisconnect("/orders", "{}")
	eventually(t, func() bool { return strings.Contains(string(e.log.Contents()), "path=/orders") })
	g.Expect(string(e.log.Contents())).To(MatchRegexp(`(?m)"request complete".*path=/orders`))
}

// Guards against a caller that does not read its response and thereby occupies an
// upstream indefinitely.
func TestSlowCaller(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	e := startEntry(t, "entry", "a", options{writeTimeout: 100 * time.Millisecond}, i)
	engine.SetFaults(standin.EngineFaults{Endless: true})
	req, _ := http.NewRequest(http.MethodPost, e.url+"/v1/completions", strings.NewReader(completionBody("question", true)))
	req.Header.Set("Authorization", "Bearer "+activeKey)
	resp, err := (&http.Client{Transport: &http.Transport{}}).Do(req)
	g.Expect(err).To(BeNil())
	defer resp.Body.Close()
	_, _ = bufio.NewReader(resp.Body).ReadString('\n')
	g.Eventually(engine.RunningRequests, "5s", "10ms").Should(BeZero())
}

// fingerprintsPerRequest counts that of the request of its client account and that of its content.
const fingerprintsPerRequest = 2

// Guards against a request that crashes one upstream after another, also when its caller
// resends it to another instance, and against rejecting other requests of the account.
func TestQuarantine(t *testing.T) {
	g := NewWithT(t)
	var engines []*standin.Engine
	var list []external.Instance
	for n := range 4 {
		engine, i := startEngine(t, fmt.Sprint("engine-", n), "a")
		engines = append(engines, engine)
		list = append(list, i)
	}
	a := startEntry(t, "entry-a", "a", options{}, list...)
	b := startEntry(t, "entry-b", "a", options{}, list...)
	connect(t, a, b)
	before := 0
	for _, engine := range engines {
		before += engine.RequestCount()
		engine.SetFaults(standin.EngineFaults{CrashOn: "poison"})
	}
	first := rejectionOf(t, a.do(t, http.MethodPost, "/v1/completions", completionBody("poison", false), activeKey))
	g.Expect(first.Error.Kind).To(Equal(errkind.UpstreamFailed))
	eventually(t, func() bool { return len(b.loop.Snapshot().Quarantined) == fingerprintsPerRequest })
	for _, e := range []*entry{a, b} {
		again := e.do(t, http.MethodPost, "/v1/completions", completionBody("poison", false), activeKey)
		g.Expect(rejectionOf(t, again).Error.Kind).To(Equal(errkind.RequestQuarantined))
		g.Expect(again.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	sum := 0
	for _, engine := range engines {
		sum += engine.RequestCount()
	}
	g.Expect(sum - before).To(Equal(2))
	g.Expect(a.do(t, http.MethodPost, "/v1/completions", completionBody("fine", false), activeKey).status).To(Equal(http.StatusOK))
}

// Guards against a stream that is never quarantined because the engines end in the middle of it.
func TestStreamThatCrashesEnginesIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	const tokens = 5
	e, _, healthy := startEnginePair(t, standin.EngineFaults{CutAfterTokens: tokens})
	healthy.SetFaults(standin.EngineFaults{CutAfterTokens: tokens})
	e.do(t, http.MethodPost, "/v1/completions", completionBody("question", true), activeKey)
	eventually(t, func() bool { return len(e.loop.Snapshot().Quarantined) == fingerprintsPerRequest })
	again := e.do(t, http.MethodPost, "/v1/completions", completionBody("question", true), activeKey)
	g.Expect(rejectionOf(t, again).Error.Kind).To(Equal(errkind.RequestQuarantined))
}

// Guards against a stream that continues after its API key was revoked, and against a
// write that is interrupted by the revocation.
func TestKeyWithdrawnWhileRunning(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	service, j := startService(t, "ledger", "a")
	e := startEntry(t, "entry", "a", options{limits: relay.DefaultLimits()}, i, j)
	engine.SetFaults(standin.EngineFaults{Endless: true})
	service.SetFaults(standin.ServiceFaults{DelayMS: 1000})
	var wg sync.WaitGroup
	var stream, write response
	wg.Go(func() {
		stream = e.do(t, http.MethodPost, "/v1/completions", completionBody("question", true), activeKey)
	})
	wg.Go(func() { write = e.do(t, http.MethodPost, "/orders", "{}", activeKey) })
	time.Sleep(300 * time.Millisecond)
	e.loop.Post(context.Background(), control.ConfigEvent{Config: testConfig(2, activeKey)})
	revokedAt := time.Now()
	eventually(t, func() bool { return strings.Contains(string(e.log.Contents()), "kind=key_withdrawn") })
	g.Expect(time.Since(revokedAt)).To(BeNumerically("<", time.Second))
	wg.Wait()
	g.Expect(stream.body).To(ContainSubstring(`event: error` + "\n" + `data: {"error":{"kind":"key_withdrawn"`))
	g.Expect(stream.body).To(HaveSuffix("\n\n"))
	g.Expect(stream.body).To(ContainSubstring(`"ran":"yes"`))
	g.Expect(stream.body).NotTo(ContainSubstring("[DONE]"))
	g.Expect(write.status).To(Equal(http.StatusOK), write.body)
}

// Guards against sending a request upstream although its deadline cannot be met.
func TestDeadlineUnreachable(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	e := startEntry(t, "entry", "a", options{}, i)
	engine.SetFaults(standin.EngineFaults{DelayMS: 200})
	for n := range 6 {
		g.Expect(e.do(t, http.MethodPost, "/v1/completions", completionBody(fmt.Sprint(n), false), activeKey).status).To(Equal(http.StatusOK))
	}
	before := engine.RequestCount()
	a := e.do(t, http.MethodPost, "/v1/completions", completionBody("late", false), activeKey, "X-Request-Timeout", "0.01")
	g.Expect(rejectionOf(t, a).Error.Kind).To(Equal(errkind.DeadlineUnreachable))
	g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(engine.RequestCount()).To(Equal(before))
}

// Guards against an instance that accepts more requests than its concurrency limit.
func TestOverloaded(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	e := startEntry(t, "entry", "a", options{limiter: admission.NewLimiter(admission.Limits{MaxRunning: 1, MaxWaiting: 1})}, i)
	engine.SetFaults(standin.EngineFaults{DelayMS: 300})
	responses := make(chan response, 3)
	for n := range 3 {
		go func() {
			responses <- e.do(t, http.MethodPost, "/v1/completions", completionBody(fmt.Sprint(n), false), activeKey)
		}()
	}
	first := <-responses
	g.Expect(rejectionOf(t, first).Error.Kind).To(Equal(errkind.Overloaded))
	g.Expect(first.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect((<-responses).status).To(Equal(http.StatusOK))
	g.Expect((<-responses).status).To(Equal(http.StatusOK))
}

// Guards against a forwarded stream that loses or duplicates tokens when an engine or the
// remote entry instance fails, and against a forwarded write that is executed twice.
func TestForwardFailures(t *testing.T) {
	g := NewWithT(t)
	faulty, i := startEngine(t, "engine-1", "b")
	_, j := startEngine(t, "engine-2", "b")
	service, k := startService(t, "ledger", "b")
	local := startEntry(t, "entry-a", "a", options{})
	b1 := startEntry(t, "entry-b1", "b", options{}, i, j, k)
	b2 := startEntry(t, "entry-b2", "b", options{}, i, j, k)
	connect(t, local, b1, b2)

	faulty.SetFaults(standin.EngineFaults{CutAfterTokens: 5})
	body := completionBody("question", true)
	text, done := standin.StreamText(local.do(t, http.MethodPost, "/v1/completions", body, activeKey).body)
	g.Expect(done).To(BeTrue())
	g.Expect(text).To(Equal(standin.ExpectedText([]byte(body))))

	faulty.SetFaults(standin.EngineFaults{SilentAfterTokens: 5})
	time.AfterFunc(100*time.Millisecond, func() { _ = b1.peerServer.Close() })
	a := local.do(t, http.MethodPost, "/v1/completions", body, activeKey)
	text, done = standin.StreamText(a.body)
	g.Expect(done).To(BeTrue(), a.body)
	g.Expect(text).To(Equal(standin.ExpectedText([]byte(body))))

	service.SetFaults(standin.ServiceFaults{DelayMS: 300})
	time.AfterFunc(150*time.Millisecond, func() { _ = b2.peerServer.Close() })
	lost := rejectionOf(t, local.do(t, http.MethodPost, "/orders", "{}", activeKey))
	g.Expect(lost.Error.Ran).To(Equal(errkind.ExecutionUnknown))
	g.Expect(service.Executions()).To(HaveKeyWithValue("{}", 1))
}
