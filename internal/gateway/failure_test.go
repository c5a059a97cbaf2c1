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

// pair starts one faulty and one sound engine. The faulty one is picked first,
// because both are idle and its id sorts first.
func pair(t *testing.T, f standin.EngineFaults) (*entry, *standin.Engine, *standin.Engine) {
	bad, b := startEngine(t, "engine-1", "a")
	good, g := startEngine(t, "engine-2", "a")
	e := startEntry(t, "entry", "a", options{}, b, g)
	bad.SetFaults(f)
	return e, bad, good
}

// Guards against a lost, doubled or crossed token when an upstream fails during a
// stream, and against a stream that looks whole although it is not.
func TestStreamFailures(t *testing.T) {
	const n = 5
	for name, c := range map[string]struct {
		bad, good standin.EngineFaults
		whole     bool
	}{
		"cut":                          {bad: standin.EngineFaults{CutAfterTokens: n}, whole: true},
		"closed without [DONE]":        {bad: standin.EngineFaults{CloseAfterTokens: n}, whole: true},
		"silent":                       {bad: standin.EngineFaults{SilentAfterTokens: n}, whole: true},
		"crossed":                      {bad: standin.EngineFaults{CrossAfterTokens: n}, whole: true},
		"crash before the first token": {bad: standin.EngineFaults{CrashOn: "question"}, whole: true},
		"cut, not resumable":           {bad: standin.EngineFaults{CutAfterTokens: n}, good: standin.EngineFaults{NoResume: true}},
		"cut twice":                    {bad: standin.EngineFaults{CutAfterTokens: n}, good: standin.EngineFaults{CutAfterTokens: n + 2}},
		"cut, then crossed":            {bad: standin.EngineFaults{CutAfterTokens: n}, good: standin.EngineFaults{Crossed: true}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e, bad, good := pair(t, c.bad)
			good.SetFaults(c.good)
			before := bad.Requests()
			body := prompt("question", true)
			a := e.do(t, http.MethodPost, "/v1/completions", body, derwentKey)
			g.Expect(a.err).To(BeNil())
			g.Expect(bad.Requests()).To(Equal(before + 1))
			text, done := standin.StreamText(a.body)
			g.Expect(done).To(Equal(c.whole), a.body)
			g.Expect(a.body).NotTo(ContainSubstring("another-request"))
			if c.whole {
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

// Guards against a failure of one upstream that reaches the caller of a repeatable
// request, and against an answer of another request.
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
			e, bad, _ := pair(t, f)
			before := bad.Requests()
			body := prompt("question", false)
			a := e.do(t, http.MethodPost, "/v1/completions", body, derwentKey)
			g.Expect(a.status).To(Equal(http.StatusOK), a.body)
			g.Expect(a.body).To(ContainSubstring(standin.ExpectedText([]byte(body))))
			g.Expect(a.body).NotTo(ContainSubstring("another-request"))
			g.Expect(bad.Requests()).To(Equal(before + 1))
		})
	}
}

// Guards against "not run" for a request whose first attempt may have run and for
// which no other upstream is left.
func TestNoSecondUpstream(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	e := startEntry(t, "entry", "a", options{}, i)
	engine.SetFaults(standin.EngineFaults{CrashOn: "question"})
	r := refusalOf(t, e.do(t, http.MethodPost, "/v1/completions", prompt("question", false), derwentKey))
	g.Expect(r.Error.Kind).To(Equal(errkind.UpstreamFailed))
	g.Expect(r.Error.Ran).To(Equal(errkind.ExecutionUnknown))
}

// Guards against giving up on the only upstream when all its pooled connections went
// silent although new ones work.
func TestOnlyUpstreamIsTriedAgain(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	e := startEntry(t, "entry", "a", options{}, i)
	ask := func() int {
		return e.do(t, http.MethodPost, "/v1/completions", prompt("question", false), derwentKey).status
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

// Guards against a write that runs twice, and against "not run" for one that ran.
func TestWriteFailures(t *testing.T) {
	for name, f := range map[string]standin.ServiceFaults{
		"answer lost": {LoseAnswer: true},
		"answer cut":  {CutAnswer: true},
		"silent":      {Silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			bad, b := startService(t, "ledger-1", "a")
			good, i := startService(t, "ledger-2", "a")
			e := startEntry(t, "entry", "a", options{}, b, i)
			bad.SetFaults(f)
			r := refusalOf(t, e.do(t, http.MethodPost, "/orders", `{"order":1}`, derwentKey))
			g.Expect(r.Error.Ran).NotTo(Equal(errkind.NotExecuted))
			g.Expect(bad.Runs()).To(HaveKeyWithValue(`{"order":1}`, 1))
			g.Expect(good.Runs()).To(BeEmpty())
		})
	}
	t.Run("upstream is gone", func(t *testing.T) {
		g := NewWithT(t)
		gone, b := startService(t, "ledger-1", "a")
		good, i := startService(t, "ledger-2", "a")
		e := startEntry(t, "entry", "a", options{}, b, i)
		gone.Close()
		g.Expect(e.do(t, http.MethodPost, "/orders", `{"order":1}`, derwentKey).status).To(Equal(http.StatusOK))
		g.Expect(good.Runs()).To(HaveKeyWithValue(`{"order":1}`, 1))
	})
	t.Run("pooled connections closed", func(t *testing.T) {
		g := NewWithT(t)
		service, i := startService(t, "ledger", "a")
		e := startEntry(t, "entry", "a", options{}, i)
		for n := range 50 {
			body := fmt.Sprintf(`{"order":%d}`, n)
			a := e.do(t, http.MethodPost, "/orders", body, derwentKey)
			runs := service.Runs()[body]
			g.Expect(runs).To(BeNumerically("<=", 1))
			if a.status == http.StatusOK {
				g.Expect(runs).To(Equal(1))
			} else if refusalOf(t, a).Error.Ran == errkind.NotExecuted {
				g.Expect(runs).To(BeZero())
			}
			service.CloseConnections()
		}
	})
}

// Guards against a write that a caller's departure interrupts, which would leave its
// outcome unknown, and against an upstream that works on for a caller that has gone.
func TestCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	service, j := startService(t, "ledger", "a")
	e := startEntry(t, "entry", "a", options{}, i, j)
	engine.SetFaults(standin.EngineFaults{SilentAfterTokens: 1})
	service.SetFaults(standin.ServiceFaults{DelayMS: 200})
	leave := func(path, body string) {
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.url+path, strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+derwentKey)
		time.AfterFunc(50*time.Millisecond, cancel)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}
	leave("/v1/completions", prompt("question", true))
	g.Eventually(engine.Running, "350ms", "5ms").Should(BeZero())
	leave("/orders", "{}")
	eventually(t, func() bool { return strings.Contains(string(e.log.Contents()), "path=/orders") })
	g.Expect(string(e.log.Contents())).To(MatchRegexp(`(?m)"request complete".*path=/orders`))
}

// Guards against a caller that does not read and so holds an upstream for ever.
func TestSlowCaller(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	e := startEntry(t, "entry", "a", options{write: 100 * time.Millisecond}, i)
	engine.SetFaults(standin.EngineFaults{Endless: true})
	req, _ := http.NewRequest(http.MethodPost, e.url+"/v1/completions", strings.NewReader(prompt("question", true)))
	req.Header.Set("Authorization", "Bearer "+derwentKey)
	resp, err := (&http.Client{Transport: &http.Transport{}}).Do(req)
	g.Expect(err).To(BeNil())
	defer resp.Body.Close()
	_, _ = bufio.NewReader(resp.Body).ReadString('\n')
	g.Eventually(engine.Running, "5s", "10ms").Should(BeZero())
}

// Guards against a request that crashes one upstream after another, also when its
// caller resends it to another instance, and against refusing the account's others.
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
		before += engine.Requests()
		engine.SetFaults(standin.EngineFaults{CrashOn: "poison"})
	}
	first := refusalOf(t, a.do(t, http.MethodPost, "/v1/completions", prompt("poison", false), derwentKey))
	g.Expect(first.Error.Kind).To(Equal(errkind.UpstreamFailed))
	eventually(t, func() bool { return len(b.loop.Snapshot().Quarantined) == 1 })
	for _, e := range []*entry{a, b} {
		again := e.do(t, http.MethodPost, "/v1/completions", prompt("poison", false), derwentKey)
		g.Expect(refusalOf(t, again).Error.Kind).To(Equal(errkind.RequestQuarantined))
		g.Expect(again.header.Get("Retry-After")).NotTo(BeEmpty())
	}
	sum := 0
	for _, engine := range engines {
		sum += engine.Requests()
	}
	g.Expect(sum - before).To(Equal(2))
	g.Expect(a.do(t, http.MethodPost, "/v1/completions", prompt("fine", false), derwentKey).status).To(Equal(http.StatusOK))
}

// Guards against a stream that goes on for a withdrawn key, and against a write that
// is cut by it.
func TestKeyWithdrawnWhileRunning(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	service, j := startService(t, "ledger", "a")
	e := startEntry(t, "entry", "a", options{limits: relay.DefaultLimits()}, i, j)
	engine.SetFaults(standin.EngineFaults{Endless: true})
	service.SetFaults(standin.ServiceFaults{DelayMS: 1000})
	var wg sync.WaitGroup
	var stream, write answer
	wg.Go(func() {
		stream = e.do(t, http.MethodPost, "/v1/completions", prompt("question", true), derwentKey)
	})
	wg.Go(func() { write = e.do(t, http.MethodPost, "/orders", "{}", derwentKey) })
	time.Sleep(300 * time.Millisecond)
	e.loop.Post(context.Background(), control.ConfigEvent{Config: testConfig(2, derwentKey)})
	withdrawn := time.Now()
	eventually(t, func() bool { return strings.Contains(string(e.log.Contents()), "kind=key_withdrawn") })
	g.Expect(time.Since(withdrawn)).To(BeNumerically("<", time.Second))
	wg.Wait()
	g.Expect(stream.body).To(ContainSubstring(`event: error` + "\n" + `data: {"error":{"kind":"key_withdrawn"`))
	g.Expect(stream.body).To(HaveSuffix("\n\n"))
	g.Expect(stream.body).To(ContainSubstring(`"ran":"yes"`))
	g.Expect(stream.body).NotTo(ContainSubstring("[DONE]"))
	g.Expect(write.status).To(Equal(http.StatusOK), write.body)
}

// Guards against a deadline that cannot be met and yet costs an upstream its time.
func TestDeadlineUnreachable(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	e := startEntry(t, "entry", "a", options{}, i)
	engine.SetFaults(standin.EngineFaults{DelayMS: 200})
	for n := range 6 {
		g.Expect(e.do(t, http.MethodPost, "/v1/completions", prompt(fmt.Sprint(n), false), derwentKey).status).To(Equal(http.StatusOK))
	}
	before := engine.Requests()
	a := e.do(t, http.MethodPost, "/v1/completions", prompt("late", false), derwentKey, "X-Request-Timeout", "0.01")
	g.Expect(refusalOf(t, a).Error.Kind).To(Equal(errkind.DeadlineUnreachable))
	g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(engine.Requests()).To(Equal(before))
}

// Guards against an instance that takes more than it can run.
func TestOverloaded(t *testing.T) {
	g := NewWithT(t)
	engine, i := startEngine(t, "engine", "a")
	e := startEntry(t, "entry", "a", options{gate: admission.NewLimiter(admission.Limits{MaxRunning: 1, MaxWaiting: 1})}, i)
	engine.SetFaults(standin.EngineFaults{DelayMS: 300})
	answers := make(chan answer, 3)
	for n := range 3 {
		go func() {
			answers <- e.do(t, http.MethodPost, "/v1/completions", prompt(fmt.Sprint(n), false), derwentKey)
		}()
	}
	first := <-answers
	g.Expect(refusalOf(t, first).Error.Kind).To(Equal(errkind.Overloaded))
	g.Expect(first.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect((<-answers).status).To(Equal(http.StatusOK))
	g.Expect((<-answers).status).To(Equal(http.StatusOK))
}

// Guards against a forwarded stream that loses or doubles tokens when an engine or
// the other entry instance dies, and against a forwarded write that runs twice.
func TestForwardFailures(t *testing.T) {
	g := NewWithT(t)
	bad, i := startEngine(t, "engine-1", "b")
	_, j := startEngine(t, "engine-2", "b")
	service, k := startService(t, "ledger", "b")
	local := startEntry(t, "entry-a", "a", options{})
	b1 := startEntry(t, "entry-b1", "b", options{}, i, j, k)
	b2 := startEntry(t, "entry-b2", "b", options{}, i, j, k)
	connect(t, local, b1, b2)

	bad.SetFaults(standin.EngineFaults{CutAfterTokens: 5})
	body := prompt("question", true)
	text, done := standin.StreamText(local.do(t, http.MethodPost, "/v1/completions", body, derwentKey).body)
	g.Expect(done).To(BeTrue())
	g.Expect(text).To(Equal(standin.ExpectedText([]byte(body))))

	bad.SetFaults(standin.EngineFaults{SilentAfterTokens: 5})
	time.AfterFunc(100*time.Millisecond, func() { _ = b1.peerServer.Close() })
	a := local.do(t, http.MethodPost, "/v1/completions", body, derwentKey)
	text, done = standin.StreamText(a.body)
	g.Expect(done).To(BeTrue(), a.body)
	g.Expect(text).To(Equal(standin.ExpectedText([]byte(body))))

	service.SetFaults(standin.ServiceFaults{DelayMS: 300})
	time.AfterFunc(150*time.Millisecond, func() { _ = b2.peerServer.Close() })
	lost := refusalOf(t, local.do(t, http.MethodPost, "/orders", "{}", derwentKey))
	g.Expect(lost.Error.Ran).To(Equal(errkind.ExecutionUnknown))
	g.Expect(service.Runs()).To(HaveKeyWithValue("{}", 1))
}
