package standin_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/external"
	"heatherloom/internal/external/engineapi"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/external/httpsd"
	"heatherloom/internal/external/weightstore"
	"heatherloom/internal/standin"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

const (
	freePort        = "127.0.0.1:0"
	eventualTimeout = 2 * time.Second
	lag             = 200 * time.Millisecond
)

func mustStart[S interface{ Close() }](s S, err error) S {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	return s
}

// post sends a JSON body and returns the status.
func post(url, body string) int {
	GinkgoHelper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

var _ = Describe("the key-value service", func() {
	// Guards against tests that pass with values or call rates that the real service
	// rejects, and against an adapter that retries a call which cannot succeed.
	It("refuses values over 1 MB and calls over its rates", func(ctx SpecContext) {
		store := mustStart(standin.StartStore(freePort))
		client := etcdgw.New(store.URL())
		put := func(bytes int) error {
			_, _, err := client.Commit(ctx, nil, []external.Write{{Key: "/k", Value: make([]byte, bytes)}})
			return err
		}
		Expect(put(external.MaxValueBytes)).To(Succeed())
		err := put(external.MaxValueBytes + 1)
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, external.ErrUnavailable)).To(BeFalse())

		Expect(post(store.URL()+"/standin/faults", `{"writes_per_second":10,"reads_per_second":1000}`)).To(Equal(http.StatusOK))
		limited := 0
		for range 5 {
			if errors.Is(put(1), external.ErrUnavailable) {
				limited++
			}
		}
		Expect(limited).To(BeNumerically(">=", 3), "five writes in a row at 10 writes/s")
		_, err = client.Get(ctx, "/k")
		Expect(err).NotTo(HaveOccurred())
		store.SetFaults(standin.StoreFaults{})
		Expect(put(1)).To(Succeed())
	})
})

var _ = Describe("the instance list", func() {
	// Guards against a list without the lag that tests of late changes rely on.
	It("shows changes late", func(ctx SpecContext) {
		list := mustStart(standin.StartInstanceList(freePort))
		client := httpsd.New(list.URL() + "/instances")
		names := func() int {
			instances, err := client.Instances(ctx)
			Expect(err).NotTo(HaveOccurred())
			return len(instances)
		}
		Expect(post(list.URL()+"/standin/faults", `{"lag_ms":200}`)).To(Equal(http.StatusOK))
		Expect(post(list.URL()+"/instances", `{"ID":"e1","Address":"127.0.0.1:1"}`)).To(Equal(http.StatusOK))
		Expect(names()).To(BeZero())
		Eventually(names, eventualTimeout, "10ms").Should(Equal(1))
		req, err := http.NewRequest(http.MethodDelete, list.URL()+"/instances/e1", nil)
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(names()).To(Equal(1))
		Eventually(names, eventualTimeout, "10ms").Should(BeZero())
		list.SetFaults(standin.InstanceListFaults{Outage: true})
		_, err = client.Instances(ctx)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("an engine", func() {
	var engine *standin.Engine
	var client *engineapi.Client

	BeforeEach(func() {
		engine = mustStart(standin.StartEngine(freePort, 20*time.Millisecond))
		client = engineapi.New()
	})
	load := func() external.Load {
		l, err := client.Load(context.Background(), engine.Address())
		Expect(err).NotTo(HaveOccurred())
		return l
	}

	// Guards against a load report without lag or without the queue, on which routing tests
	// rely.
	It("reports its load late, and what waits for a slot", func() {
		engine.SetLoad(standin.LoadOptions{LagMS: lag.Milliseconds(), Slots: 2})
		var running sync.WaitGroup
		for i := range 5 {
			running.Go(func() { post(engine.URL()+"/v1/completions", fmt.Sprintf(`{"model":"m","prompt":"%d"}`, i)) })
		}
		Consistently(load, lag/2, "10ms").Should(BeZero())
		Eventually(load, eventualTimeout, "5ms").Should(Equal(external.Load{Running: 2, Waiting: 3}))
		running.Wait()
		Eventually(load, eventualTimeout, "10ms").Should(BeZero())
		engine.SetLoad(standin.LoadOptions{Outage: true})
		_, err := client.Load(context.Background(), engine.Address())
		Expect(err).To(HaveOccurred())
	})

	order := func(fence int64, models ...string) error {
		return client.Apply(context.Background(), engine.Address(), external.EngineOrder{FencingToken: fence, Models: models})
	}
	state := func() external.EngineState {
		s, err := client.State(context.Background(), engine.Address())
		Expect(err).NotTo(HaveOccurred())
		return s
	}

	// Guards against an engine that accepts stale orders, or rejects one that an engine
	// without fencing accepts.
	It("honours or ignores the fencing token of an order", func() {
		Expect(order(5, "a@1")).To(Succeed())
		Expect(order(4, "a@2")).To(MatchError(external.ErrStaleFence))
		Expect(order(5, "a@1")).To(Succeed())
		Eventually(state, eventualTimeout, "10ms").Should(Equal(external.EngineState{
			Order: external.EngineOrder{FencingToken: 5, Models: []string{"a@1"}}, Loaded: []string{"a@1"},
		}))
		engine.SetOrders(standin.OrderOptions{IgnoreFence: true})
		Expect(order(4, "a@2")).To(Succeed())
		Eventually(state, eventualTimeout, "10ms").Should(Equal(external.EngineState{
			Order: external.EngineOrder{FencingToken: 4, Models: []string{"a@2"}}, Loaded: []string{"a@2"},
		}))
	})

	// Guards against model loads that bypass the rate limit of the weight store, on which
	// rollout tests rely.
	It("takes loads from the weight store at its rate", func() {
		weights := mustStart(standin.StartWeightStore(freePort))
		weights.SetFaults(standin.WeightStoreFaults{PerSecond: 2, Bytes: 1 << 10})
		engine.SetOrders(standin.OrderOptions{Weights: weights.URL()})
		start := time.Now()
		Expect(order(1, "a@1", "a@2")).To(Succeed())
		Eventually(func() []string { return state().Loaded }, 5*time.Second, "10ms").Should(Equal([]string{"a@1", "a@2"}))
		Expect(time.Since(start)).To(BeNumerically(">=", 400*time.Millisecond))
		Expect(weights.Counts().Limited).To(BeNumerically(">=", 1))
	})

	// Guards against cache events without the lag and loss that cache tests rely on.
	It("sends cache events late and with gaps", func(ctx SpecContext) {
		params := standin.DefaultSimulationParams()
		params.CacheEventLag = lag
		params.CacheEventLossRate = 0.5
		params.Seed = 1
		model, err := standin.StartSimulatedEngine(freePort, params)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(model.Stop)
		events := make(chan engineapi.CacheEvent, 16)
		go func() { _ = client.CacheEvents(ctx, model.Address(), func(e engineapi.CacheEvent) { events <- e }) }()
		Eventually(model.Connections, "2s", "5ms").Should(BeNumerically(">", 0))
		start := time.Now()
		for i := range 8 {
			text := strings.Repeat(string(rune('a'+i)), 2048)
			post("http://"+model.Address()+"/v1/chat/completions", fmt.Sprintf(`{"model":"m","max_tokens":1,"messages":[{"role":"user","content":%q}]}`, text))
		}
		var first, second engineapi.CacheEvent
		Eventually(events, "5s").Should(Receive(&first))
		Expect(time.Since(start)).To(BeNumerically(">=", lag))
		Expect(first.Stored).NotTo(BeEmpty())
		last, gap := first.Sequence, first.Sequence > 1
		for range 2 {
			Eventually(events, "5s").Should(Receive(&second))
			gap = gap || second.Sequence != last+1
			last = second.Sequence
		}
		Expect(gap).To(BeTrue())
	})
})

var _ = Describe("the weight store", func() {
	// Guards against an adapter that drops the Retry-After delay of the store.
	It("answers with the size, a missing version or the wait", func(ctx SpecContext) {
		store := mustStart(standin.StartWeightStore(freePort))
		client := weightstore.New(store.URL())
		store.SetFaults(standin.WeightStoreFaults{Bytes: 4096, Missing: "a@9"})
		weights, err := client.Describe(ctx, "a@1")
		Expect(err).NotTo(HaveOccurred())
		Expect(weights).To(Equal(external.ModelWeights{Model: "a@1", Bytes: 4096}))
		_, err = client.Describe(ctx, "a@9")
		Expect(err).To(MatchError(external.ErrWeightsNotFound))

		store.SetFaults(standin.WeightStoreFaults{PerSecond: 0.25})
		var limited *external.RateLimitedError
		Eventually(func() bool {
			_, err := client.Describe(ctx, "a@1")
			return errors.As(err, &limited)
		}, eventualTimeout).Should(BeTrue())
		Expect(limited.RetryAfter).To(And(BeNumerically(">=", 3*time.Second), BeNumerically("<=", 4*time.Second)))
	})
})
