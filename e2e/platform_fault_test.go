package e2e

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/devcluster"
	"heatherloom/internal/errkind"
	"heatherloom/internal/standin"
	"heatherloom/internal/standin/faultproxy"
)

// atOnce bounds a refusal that needs no answer from elsewhere. It leaves room for the
// race detector on a busy machine.
const atOnce = 500 * time.Millisecond

var standinCut = standin.ServiceFaults{CutAnswer: true}

// bound returns the inference requests of a load for the client account that is
// bound to region b.
func bound(count int, seed uint64) []devcluster.Request {
	requests := inferenceOnly(plan(count, seed))
	for i := range requests {
		requests[i].Secret = homeKey
	}
	return requests
}

// expectRefusedAtOnce sends requests that need the other region one by one.
func expectRefusedAtOnce(s *site, url string, requests []devcluster.Request) {
	GinkgoHelper()
	t := &tally{}
	for _, r := range requests {
		started := time.Now()
		outcomes := through(url)(context.Background(), r)
		Expect(time.Since(started)).To(BeNumerically("<", atOnce), "%+v", outcomes)
		t.add(r, outcomes)
	}
	t.expectTrue(s)
	Expect(t.refused).To(Equal(t.sent), "%v", t.failures)
}

var _ = Describe("the link between two regions", func() {
	// Guards against a region that stops serving its own requests without the other
	// one, against refusals that hang or lie, and against a link that is not used again.
	It("is cut, then goes silent: each side serves its own requests", func() {
		s := newSite()
		for _, region := range []string{"a", "b"} {
			s.engine("engine-"+region, region)
			s.service("status", region)
		}
		s.service("ledger", "a")
		a := s.start(entryPlan{id: "entry-a", region: "a", proxied: true})
		b := s.start(entryPlan{id: "entry-b", region: "b", proxied: true})
		waitReady(a.url)
		waitReady(b.url)
		setLinks := func(f faultproxy.Faults) {
			a.link.set(f)
			b.link.set(f)
		}
		recovered := func() {
			GinkgoHelper()
			Eventually(func() devcluster.Result { return result(a.url, bound(2, 30)[0]).Result }, callTimeout, "50ms").Should(Equal(devcluster.Complete))
			Eventually(func() devcluster.Result { return result(b.url, bound(2, 30)[0]).Result }, callTimeout, "50ms").Should(Equal(devcluster.Complete))
			waitForRoute(a.url)
			waitForRoute(b.url)
		}
		// own are requests that each region can serve by itself.
		own := func(seed uint64) {
			GinkgoHelper()
			for i, url := range []string{a.url, b.url} {
				t := run(inferenceOnly(plan(64, seed+uint64(i))), through(url), 0, nil)
				t.expectTrue(s)
				Expect(t.answered).To(Equal(t.sent), "%v", t.failures)
			}
			home := run(bound(32, seed+2), through(b.url), 0, nil)
			Expect(home.answered).To(Equal(home.sent), "%v", home.failures)
		}
		recovered()
		whole := run(bound(32, 31), through(a.url), 0, nil)
		Expect(whole.answered).To(Equal(whole.sent), "%v", whole.failures)

		By("the cut")
		setLinks(faultproxy.Faults{Cut: true})
		expectRefusedAtOnce(s, a.url, bound(16, 32))
		expectRefusedAtOnce(s, b.url, writesOnly(plan(16, 33)))
		own(40)
		setLinks(faultproxy.Faults{})
		recovered()

		By("the silence")
		setLinks(faultproxy.BlackHole())
		started := time.Now()
		early := run(bound(16, 34), through(a.url), 0, nil)
		Expect(time.Since(started)).To(BeNumerically("<", memberTimeout+memberSlack), "until the silence is noticed")
		early.expectTrue(s)
		Expect(early.refused).To(Equal(early.sent), "%v", early.failures)
		own(50)
		Eventually(func() []string { return entriesOf(a.url) }, memberTimeout+memberSlack, "100ms").Should(HaveLen(1))
		Eventually(func() []string { return entriesOf(b.url) }, memberTimeout+memberSlack, "100ms").Should(HaveLen(1))
		expectRefusedAtOnce(s, a.url, bound(16, 35))
		expectRefusedAtOnce(s, b.url, writesOnly(plan(16, 36)))
		Expect(result(a.url, bound(2, 37)[0]).Kind).To(Equal(errkind.HomeUnavailable))
		setLinks(faultproxy.Faults{})
		recovered()
		own(60)
	})
})

var _ = Describe("open connections go silent while new ones work", func() {
	const timeout = time.Second
	// timed are requests that name a deadline.
	timed := func(requests []devcluster.Request) []devcluster.Request {
		for i := range requests {
			requests[i].Timeout = timeout
		}
		return requests
	}

	// Guards against requests that wait beyond their deadline on a connection that went
	// silent, and against a pool that keeps such connections.
	It("to an engine: each costs at most one request", func() {
		s := newSite()
		engine := s.proxiedEngine("engine-1", "a")
		s.engine("engine-2", "a")
		s.service("ledger", "a")
		e := s.entry("entry-a", "a")
		waitForRoute(e.url)
		warm := run(inferenceOnly(plan(64, 100)), through(e.url), 0, nil)
		Expect(warm.answered).To(Equal(warm.sent), "%v", warm.failures)

		silent := engine.counts().Open
		engine.silenceOpen()
		started := time.Now()
		t := run(timed(inferenceOnly(plan(160, 101))), through(e.url), 0, nil)
		Expect(time.Since(started)).To(BeNumerically("<", callTimeout))
		t.expectTrue(s)
		Expect(t.answered+t.refused).To(Equal(t.sent), "%v", t.failures)
		Expect(t.refused).To(BeNumerically("<=", silent), "%v", t.failures)
		waitForRoute(e.url)
		after := run(timed(inferenceOnly(plan(64, 103))), through(e.url), 0, nil)
		Expect(after.answered).To(Equal(after.sent), "%v", after.failures)
	})

	// Guards against a region link that stays unusable because its one connection is.
	It("to the other region: the link is used again once the silence is noticed", func() {
		s := newSite()
		s.engine("engine-b", "b")
		s.service("ledger", "a")
		a := s.start(entryPlan{id: "entry-a", region: "a", proxied: true})
		b := s.start(entryPlan{id: "entry-b", region: "b", proxied: true})
		waitReady(a.url)
		waitReady(b.url)
		waitForRoute(a.url)
		latency := faultproxy.Latency(55 * time.Millisecond)
		a.link.set(latency)
		b.link.set(latency)
		warm := run(inferenceOnly(plan(48, 110)), through(a.url), 0, nil)
		Expect(warm.answered).To(Equal(warm.sent), "%v", warm.failures)

		b.link.silenceOpen()
		started := time.Now()
		t := run(timed(inferenceOnly(plan(32, 111))), through(a.url), 0, nil)
		t.expectTrue(s)
		Expect(t.answered+t.refused).To(Equal(t.sent), "%v", t.failures)
		waitForRoute(a.url)
		Expect(time.Since(started)).To(BeNumerically("<", memberTimeout+2*memberSlack))
		after := run(inferenceOnly(plan(32, 112)), through(a.url), 0, nil)
		Expect(after.answered).To(Equal(after.sent), "%v", after.failures)
	})
})

var _ = Describe("the key-value service", func() {
	// Guards against traffic that depends on the key-value service, and against a new
	// instance that serves without a configuration or stays unready after the outage.
	It("has an outage: requests go on being answered", func() {
		s := newSite()
		s.engine("engine-a", "a")
		s.service("ledger", "a")
		s.service("status", "a")
		path := newLink(hostOf(s.store))
		e := s.start(entryPlan{id: "entry-a", region: "a", store: "http://" + path.address})
		waitReady(e.url)
		waitForRoute(e.url)
		waitForKeyedWrites(e.url)
		seed := uint64(70)
		serves := func() {
			GinkgoHelper()
			seed++
			t := run(plan(80, seed), through(e.url), 0, nil)
			t.expectTrue(s)
			Expect(t.answered).To(Equal(t.sent), "%v", t.failures)
		}
		serves()

		By("it refuses calls")
		postJSON(s.store+"/standin/faults", standin.StoreFaults{Outage: true})
		serves()
		late := s.start(entryPlan{id: "entry-late", region: "a", store: "http://" + path.address})
		expectServedOrNotReady(s, late.url)
		postJSON(s.store+"/standin/faults", standin.StoreFaults{})
		waitReady(late.url)
		waitForRoute(late.url)

		By("it does not answer at all")
		path.set(faultproxy.BlackHole())
		serves()
		later := s.start(entryPlan{id: "entry-later", region: "a", store: "http://" + path.address})
		expectServedOrNotReady(s, later.url)
		serves()
		path.set(faultproxy.Faults{})
		waitReady(later.url)
		waitForRoute(later.url)
		serves()
	})
})

func hostOf(url string) string { return url[len("http://"):] }

// expectServedOrNotReady requires that a new instance either has the configuration
// from its peers and serves, or says that it is not ready. While instances learn the
// configuration from the key-value service alone, it is always the latter.
func expectServedOrNotReady(s *site, url string) {
	GinkgoHelper()
	Eventually(func() int { return call(url, http.MethodGet, "/v1/models", "").status }, startTimeout, "50ms").ShouldNot(BeZero())
	t := &tally{}
	for _, r := range inferenceOnly(plan(16, uint64(len(s.seeds)+90))) {
		outcome := result(url, r)
		t.add(r, []devcluster.Outcome{outcome})
		if outcome.Result != devcluster.Complete {
			Expect(outcome.Kind).To(Or(Equal(errkind.NotReady), Equal(errkind.RateLimited), Equal(errkind.NoUpstream)), "%+v", outcome)
		}
	}
	t.expectTrue(s)
	Expect(t.answered+t.refused).To(Equal(t.sent), "%v", t.failures)
}
