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

// rejectionLimit bounds the time of a rejection that waits for no other process. It leaves
// room for the race detector on a busy machine.
const rejectionLimit = 500 * time.Millisecond

var cutResponses = standin.ServiceFaults{TruncateResponse: true}

// boundRequests returns the inference requests of a load, with the key of the client
// account that is bound to region b.
func boundRequests(count int, seed uint64) []devcluster.Request {
	requests := inferenceOnly(planRequests(count, seed))
	for i := range requests {
		requests[i].Secret = boundKey
	}
	return requests
}

// expectFastRejections sends requests for which no upstream is reachable one by one and
// expects each to be rejected within rejectionLimit.
func expectFastRejections(s *testStack, url string, requests []devcluster.Request) {
	GinkgoHelper()
	t := &tally{}
	for _, r := range requests {
		started := time.Now()
		outcomes := viaEntry(url)(context.Background(), r)
		Expect(time.Since(started)).To(BeNumerically("<", rejectionLimit), "%+v", outcomes)
		t.add(r, outcomes)
	}
	t.expectInvariants(s)
	Expect(t.rejected).To(Equal(t.sent), "%v", t.failures)
}

var _ = Describe("the link between two regions", func() {
	// Guards against a region that needs the other one to serve its own requests, against
	// rejections that are late or misreport execution, and against a link that stays unused
	// after it recovered.
	It("is cut, then goes silent: each region serves its own requests", func() {
		s := newTestStack()
		for _, region := range []string{"a", "b"} {
			s.startEngine("engine-"+region, region)
			s.startService("status", region)
		}
		s.startService("ledger", "a")
		a := s.startEntry(entryOptions{id: "entry-a", region: "a", proxied: true})
		b := s.startEntry(entryOptions{id: "entry-b", region: "b", proxied: true})
		waitReady(a.url)
		waitReady(b.url)
		setLinks := func(f faultproxy.Faults) {
			a.peerProxy.setFaults(f)
			b.peerProxy.setFaults(f)
		}
		waitRecovered := func() {
			GinkgoHelper()
			Eventually(func() devcluster.Result { return sendOne(a.url, boundRequests(2, 30)[0]).Result }, callTimeout, "50ms").Should(Equal(devcluster.ResultComplete))
			Eventually(func() devcluster.Result { return sendOne(b.url, boundRequests(2, 30)[0]).Result }, callTimeout, "50ms").Should(Equal(devcluster.ResultComplete))
			waitForRoute(a.url)
			waitForRoute(b.url)
		}
		// expectServesLocally sends requests that each region can serve by itself.
		expectServesLocally := func(seed uint64) {
			GinkgoHelper()
			for i, url := range []string{a.url, b.url} {
				t := runLoad(inferenceOnly(planRequests(64, seed+uint64(i))), viaEntry(url), 0, nil)
				t.expectInvariants(s)
				Expect(t.completed).To(Equal(t.sent), "%v", t.failures)
			}
			boundLoad := runLoad(boundRequests(32, seed+2), viaEntry(b.url), 0, nil)
			Expect(boundLoad.completed).To(Equal(boundLoad.sent), "%v", boundLoad.failures)
		}
		waitRecovered()
		baseline := runLoad(boundRequests(32, 31), viaEntry(a.url), 0, nil)
		Expect(baseline.completed).To(Equal(baseline.sent), "%v", baseline.failures)

		By("cutting the link")
		setLinks(faultproxy.Faults{Cut: true})
		expectFastRejections(s, a.url, boundRequests(16, 32))
		expectFastRejections(s, b.url, writesOnly(planRequests(16, 33)))
		expectServesLocally(40)
		setLinks(faultproxy.Faults{})
		waitRecovered()

		By("dropping all data on the link")
		setLinks(faultproxy.BlackHole())
		started := time.Now()
		beforeDetection := runLoad(boundRequests(16, 34), viaEntry(a.url), 0, nil)
		Expect(time.Since(started)).To(BeNumerically("<", memberTimeout+memberSlack), "requests are rejected within the time to detect the silence")
		beforeDetection.expectInvariants(s)
		Expect(beforeDetection.rejected).To(Equal(beforeDetection.sent), "%v", beforeDetection.failures)
		expectServesLocally(50)
		Eventually(func() []string { return listEntryURLs(a.url) }, memberTimeout+memberSlack, "100ms").Should(HaveLen(1))
		Eventually(func() []string { return listEntryURLs(b.url) }, memberTimeout+memberSlack, "100ms").Should(HaveLen(1))
		expectFastRejections(s, a.url, boundRequests(16, 35))
		expectFastRejections(s, b.url, writesOnly(planRequests(16, 36)))
		Expect(sendOne(a.url, boundRequests(2, 37)[0]).Kind).To(Equal(errkind.HomeUnavailable))
		setLinks(faultproxy.Faults{})
		waitRecovered()
		expectServesLocally(60)
	})
})

var _ = Describe("open connections that go silent while new ones work", func() {
	const timeout = time.Second
	// withDeadline sets a deadline on each request.
	withDeadline := func(requests []devcluster.Request) []devcluster.Request {
		for i := range requests {
			requests[i].Timeout = timeout
		}
		return requests
	}

	// Guards against requests that wait beyond their deadline on a silent connection, and
	// against a pool that keeps such connections.
	It("to an engine: each fails at most one request", func() {
		s := newTestStack()
		engineProxy := s.startProxiedEngine("engine-1", "a")
		s.startEngine("engine-2", "a")
		s.startService("ledger", "a")
		e := s.startReadyEntry("entry-a", "a")
		waitForRoute(e.url)
		warm := runLoad(inferenceOnly(planRequests(64, 100)), viaEntry(e.url), 0, nil)
		Expect(warm.completed).To(Equal(warm.sent), "%v", warm.failures)

		openConnections := engineProxy.counts().Open
		engineProxy.silenceOpen()
		started := time.Now()
		t := runLoad(withDeadline(inferenceOnly(planRequests(160, 101))), viaEntry(e.url), 0, nil)
		Expect(time.Since(started)).To(BeNumerically("<", callTimeout))
		t.expectInvariants(s)
		Expect(t.completed+t.rejected).To(Equal(t.sent), "%v", t.failures)
		Expect(t.rejected).To(BeNumerically("<=", openConnections), "%v", t.failures)
		waitForRoute(e.url)
		after := runLoad(withDeadline(inferenceOnly(planRequests(64, 103))), viaEntry(e.url), 0, nil)
		Expect(after.completed).To(Equal(after.sent), "%v", after.failures)
	})

	// Guards against a link between regions that stays unusable because its only
	// connection is silent.
	It("to the other region: the link is used again once the silence is detected", func() {
		s := newTestStack()
		s.startEngine("engine-b", "b")
		s.startService("ledger", "a")
		a := s.startEntry(entryOptions{id: "entry-a", region: "a", proxied: true})
		b := s.startEntry(entryOptions{id: "entry-b", region: "b", proxied: true})
		waitReady(a.url)
		waitReady(b.url)
		waitForRoute(a.url)
		latency := faultproxy.Latency(55 * time.Millisecond)
		a.peerProxy.setFaults(latency)
		b.peerProxy.setFaults(latency)
		warm := runLoad(inferenceOnly(planRequests(48, 110)), viaEntry(a.url), 0, nil)
		Expect(warm.completed).To(Equal(warm.sent), "%v", warm.failures)

		b.peerProxy.silenceOpen()
		started := time.Now()
		t := runLoad(withDeadline(inferenceOnly(planRequests(32, 111))), viaEntry(a.url), 0, nil)
		t.expectInvariants(s)
		Expect(t.completed+t.rejected).To(Equal(t.sent), "%v", t.failures)
		waitForRoute(a.url)
		Expect(time.Since(started)).To(BeNumerically("<", memberTimeout+2*memberSlack))
		after := runLoad(inferenceOnly(planRequests(32, 112)), viaEntry(a.url), 0, nil)
		Expect(after.completed).To(Equal(after.sent), "%v", after.failures)
	})
})

var _ = Describe("the key-value service", func() {
	// Guards against requests that depend on the key-value service, and against a new
	// instance that serves without a configuration or stays not ready after the outage.
	It("has an outage: entry instances keep serving requests", func() {
		s := newTestStack()
		s.startEngine("engine-a", "a")
		s.startService("ledger", "a")
		s.startService("status", "a")
		storeProxy := startProxy(hostOf(s.store))
		e := s.startEntry(entryOptions{id: "entry-a", region: "a", store: "http://" + storeProxy.address})
		waitReady(e.url)
		waitForRoute(e.url)
		waitForKeyedWrites(e.url)
		seed := uint64(70)
		expectServed := func() {
			GinkgoHelper()
			seed++
			t := runLoad(planRequests(80, seed), viaEntry(e.url), 0, nil)
			t.expectInvariants(s)
			Expect(t.completed).To(Equal(t.sent), "%v", t.failures)
		}
		expectServed()

		By("rejecting calls")
		postJSON(s.store+"/standin/faults", standin.StoreFaults{Outage: true})
		expectServed()
		late := s.startEntry(entryOptions{id: "entry-late", region: "a", store: "http://" + storeProxy.address})
		expectServedOrNotReady(s, late.url)
		postJSON(s.store+"/standin/faults", standin.StoreFaults{})
		waitReady(late.url)
		waitForRoute(late.url)

		By("not responding at all")
		storeProxy.setFaults(faultproxy.BlackHole())
		expectServed()
		later := s.startEntry(entryOptions{id: "entry-later", region: "a", store: "http://" + storeProxy.address})
		expectServedOrNotReady(s, later.url)
		expectServed()
		storeProxy.setFaults(faultproxy.Faults{})
		waitReady(later.url)
		waitForRoute(later.url)
		expectServed()
	})
})

func hostOf(url string) string { return url[len("http://"):] }

// expectServedOrNotReady requires that a new instance either has the configuration
// from its peers and serves, or rejects requests because it is not ready. If instances
// read the configuration from the key-value service only, it is always the latter.
func expectServedOrNotReady(s *testStack, url string) {
	GinkgoHelper()
	Eventually(func() int { return call(url, http.MethodGet, "/v1/models", "").status }, startTimeout, "50ms").ShouldNot(BeZero())
	t := &tally{}
	for _, r := range inferenceOnly(planRequests(16, uint64(len(s.seeds)+90))) {
		outcome := sendOne(url, r)
		t.add(r, []devcluster.Outcome{outcome})
		if outcome.Result != devcluster.ResultComplete {
			Expect(outcome.Kind).To(Or(Equal(errkind.NotReady), Equal(errkind.RateLimited), Equal(errkind.NoUpstream)), "%+v", outcome)
		}
	}
	t.expectInvariants(s)
	Expect(t.completed+t.rejected).To(Equal(t.sent), "%v", t.failures)
}
