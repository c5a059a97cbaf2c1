package e2e

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/configsync"
	"heatherloom/internal/devcluster"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/standin"
	"heatherloom/internal/standin/faultproxy"
)

const (
	// drainLimit is the time after which a draining upstream gets no new requests (I12).
	drainLimit = 5 * time.Second
	// propagationLimit is the time within which a change takes effect on every instance (I14).
	propagationLimit = 8 * time.Second
)

// applyChange publishes one change of the operators' configuration.
func (s *testStack) applyChange(table opconfig.Table, id string, record any) {
	GinkgoHelper()
	change, err := opconfig.Set(table, id, record)
	Expect(err).NotTo(HaveOccurred())
	store := etcdgw.New(s.store)
	config, err := configsync.Load(context.Background(), store)
	Expect(err).NotTo(HaveOccurred())
	publisher := &configsync.Publisher{Store: store}
	_, err = publisher.Apply(context.Background(), config.Revision, []opconfig.Change{change})
	Expect(err).NotTo(HaveOccurred())
}

// executionsAt returns how often one upstream executed each request, by request body.
func executionsAt(url string) map[string]int {
	GinkgoHelper()
	executions := map[string]int{}
	getJSON(url+"/standin/runs", &executions)
	return executions
}

func total(executions map[string]int) int {
	n := 0
	for count := range maps.Values(executions) {
		n += count
	}
	return n
}

func bodies(requests []devcluster.Request) []string {
	var list []string
	for _, r := range requests {
		list = append(list, string(r.Body))
	}
	return list
}

var _ = Describe("a request bound to a region", func() {
	// Guards against requests of an account with a home region that reach another region's
	// upstream by spill-over, or by a retry after the home region's engine crashed or was
	// killed (I1).
	It("reaches no other region when the engine of its home region crashes or is killed", func() {
		s := newTestStack()
		_, otherURL := s.startEngine("engine-a", "a")
		victim, homeURL := s.startEngine("engine-b", "b")
		s.startService("ledger", "a")
		s.startService("ledger", "b")
		a, b := s.startReadyEntry("entry-a", "a"), s.startReadyEntry("entry-b", "b")
		waitForRoute(a.url)
		waitForRoute(b.url)
		requests := boundRequests(40, 300)
		Expect(len(requests)).To(BeNumerically(">", 16))
		// The token buckets of the client account start empty.
		Eventually(func() devcluster.Result { return sendOne(a.url, boundRequests(2, 301)[0]).Result }, callTimeout, "50ms").Should(Equal(devcluster.ResultComplete))
		time.Sleep(time.Second)
		served := runLoad(requests[:8], viaEntry(a.url), 0, nil)
		Expect(served.completed).To(Equal(served.sent), "%v", served.failures)

		postJSON(homeURL+"/standin/faults", standin.EngineFaults{CrashOn: "model"})
		runLoad(requests[8:16], viaEntry(a.url), 0, nil)
		victim.kill()
		s.engines = slices.DeleteFunc(s.engines, func(url string) bool { return url == homeURL })
		afterKill := runLoad(requests[16:], viaEntry(b.url), 0, nil)
		Expect(afterKill.completed).To(BeZero())

		executed := executionsAt(otherURL)
		for _, body := range bodies(requests) {
			Expect(executed).NotTo(HaveKey(body))
		}
	})
})

var _ = Describe("a draining upstream", func() {
	// Guards against new requests for an upstream that the operators' configuration marks as
	// draining while the instance list still shows it as live (I12).
	It("gets no new requests after a few seconds and completes those in progress", func() {
		s := newTestStack()
		_, drainedURL := s.startEngine("engine-1", "a", "-token-interval", "20ms")
		s.startEngine("engine-2", "a", "-token-interval", "20ms")
		s.startService("ledger", "a")
		entries := []runningEntry{s.startReadyEntry("entry-1", "a"), s.startReadyEntry("entry-2", "a")}
		for _, e := range entries {
			waitForRoute(e.url)
		}
		load := func(seed uint64) *tally {
			GinkgoHelper()
			first := runLoad(inferenceOnly(planRequests(64, seed)), viaEntry(entries[0].url), 0, nil)
			second := runLoad(inferenceOnly(planRequests(64, seed+100)), viaEntry(entries[1].url), 0, nil)
			first.sent += second.sent
			first.completed += second.completed
			first.failures = append(first.failures, second.failures...)
			return first
		}
		load(310)
		Expect(total(executionsAt(drainedURL))).To(BeNumerically(">", 0))

		s.applyChange(opconfig.TableDrains, "engine-1", opconfig.Drain{Instance: "engine-1", Since: time.Now()})
		during := load(311)
		Expect(during.completed).To(Equal(during.sent), "%v", during.failures)
		time.Sleep(drainLimit)
		before := total(executionsAt(drainedURL))
		after := load(312)
		Expect(after.completed).To(Equal(after.sent), "%v", after.failures)
		Expect(total(executionsAt(drainedURL))).To(Equal(before))
	})
})

var _ = Describe("a revoked API key", func() {
	// Guards against a region that loses the store and does not learn of a revocation from
	// its peers (I6, I14).
	It("stops working in a region that can learn of the revocation only from its peers", func() {
		s := newTestStack()
		s.startEngine("engine-a", "a")
		s.startEngine("engine-b", "b")
		storeProxy := startProxy(hostOf(s.store))
		a := s.startReadyEntry("entry-a", "a")
		b := s.startEntry(entryOptions{id: "entry-b", region: "b", store: "http://" + storeProxy.address})
		waitReady(b.url)
		storeProxy.setFaults(faultproxy.BlackHole())

		hash := opconfig.HashAPIKey(accountKey)
		s.applyChange(opconfig.TableAPIKeys, hash, opconfig.APIKey{Hash: hash, ID: "derwent-1", Account: "derwent", Revoked: true})
		accepted := time.Now()
		for _, url := range []string{a.url, b.url} {
			Eventually(func() int { return call(url, http.MethodGet, "/v1/models", "").status }, propagationLimit, "50ms").Should(Equal(http.StatusForbidden))
		}
		Expect(time.Since(accepted)).To(BeNumerically("<", propagationLimit))
		rejected := call(b.url, http.MethodPost, "/v1/chat/completions", chatBody(1, false))
		Expect(strings.Contains(rejected.body, `"kind":"key_withdrawn"`)).To(BeTrue(), rejected.body)
	})
})
