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
	// leavingLimit is the time after which a leaving upstream gets nothing new (I12).
	leavingLimit = 5 * time.Second
	// inForceLimit is the time within which a change holds everywhere (I14).
	inForceLimit = 8 * time.Second
)

// apply accepts one change of the configuration.
func (s *site) apply(table opconfig.Table, id string, record any) {
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

// runsAt returns how often each request ran on one upstream, by its body.
func runsAt(url string) map[string]int {
	GinkgoHelper()
	runs := map[string]int{}
	getJSON(url+"/standin/runs", &runs)
	return runs
}

func total(runs map[string]int) int {
	n := 0
	for count := range maps.Values(runs) {
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

var _ = Describe("data that is bound to a region", func() {
	// Guards against home-bound requests that reach another region's upstream by
	// spill-over or by a retry after their home's engine crashed or died (I1).
	It("stays there when its upstreams crash, are gone, and come back", func() {
		s := newSite()
		_, away := s.engine("engine-a", "a")
		victim, home := s.engine("engine-b", "b")
		s.service("ledger", "a")
		s.service("ledger", "b")
		a, b := s.entry("entry-a", "a"), s.entry("entry-b", "b")
		waitForRoute(a.url)
		waitForRoute(b.url)
		requests := bound(40, 300)
		Expect(len(requests)).To(BeNumerically(">", 16))
		// The buckets of the client account start empty.
		Eventually(func() devcluster.Result { return result(a.url, bound(2, 301)[0]).Result }, callTimeout, "50ms").Should(Equal(devcluster.Complete))
		time.Sleep(time.Second)
		served := run(requests[:8], through(a.url), 0, nil)
		Expect(served.answered).To(Equal(served.sent), "%v", served.failures)

		postJSON(home+"/standin/faults", standin.EngineFaults{CrashOn: "model"})
		run(requests[8:16], through(a.url), 0, nil)
		victim.kill()
		s.engines = slices.DeleteFunc(s.engines, func(url string) bool { return url == home })
		gone := run(requests[16:], through(b.url), 0, nil)
		Expect(gone.answered).To(BeZero())

		ran := runsAt(away)
		for _, body := range bodies(requests) {
			Expect(ran).NotTo(HaveKey(body))
		}
	})
})

var _ = Describe("a leaving upstream", func() {
	// Guards against new work for an upstream that the sheet marks as leaving while
	// the instance list still shows it as live (I12).
	It("gets nothing new after a few seconds and ends what it has", func() {
		s := newSite()
		_, leaving := s.engine("engine-1", "a", "-token-interval", "20ms")
		s.engine("engine-2", "a", "-token-interval", "20ms")
		s.service("ledger", "a")
		entries := []runningEntry{s.entry("entry-1", "a"), s.entry("entry-2", "a")}
		for _, e := range entries {
			waitForRoute(e.url)
		}
		load := func(seed uint64) *tally {
			GinkgoHelper()
			first := run(inferenceOnly(plan(64, seed)), through(entries[0].url), 0, nil)
			second := run(inferenceOnly(plan(64, seed+100)), through(entries[1].url), 0, nil)
			first.sent += second.sent
			first.answered += second.answered
			first.failures = append(first.failures, second.failures...)
			return first
		}
		load(310)
		Expect(total(runsAt(leaving))).To(BeNumerically(">", 0))

		s.apply(opconfig.TableDrains, "engine-1", opconfig.Drain{Instance: "engine-1", Since: time.Now()})
		during := load(311)
		Expect(during.answered).To(Equal(during.sent), "%v", during.failures)
		time.Sleep(leavingLimit)
		before := total(runsAt(leaving))
		after := load(312)
		Expect(after.answered).To(Equal(after.sent), "%v", after.failures)
		Expect(total(runsAt(leaving))).To(Equal(before))
	})
})

var _ = Describe("a withdrawn key", func() {
	// Guards against a region that is cut off from the store and does not hear of a
	// withdrawal from its peers (I6, I14).
	It("stops working in a region that only its peers can tell", func() {
		s := newSite()
		s.engine("engine-a", "a")
		s.engine("engine-b", "b")
		path := newLink(hostOf(s.store))
		a := s.entry("entry-a", "a")
		b := s.start(entryPlan{id: "entry-b", region: "b", store: "http://" + path.address})
		waitReady(b.url)
		path.set(faultproxy.BlackHole())

		hash := opconfig.HashAPIKey(accountKey)
		s.apply(opconfig.TableAPIKeys, hash, opconfig.APIKey{Hash: hash, ID: "derwent-1", Account: "derwent", Revoked: true})
		accepted := time.Now()
		for _, url := range []string{a.url, b.url} {
			Eventually(func() int { return call(url, http.MethodGet, "/v1/models", "").status }, inForceLimit, "50ms").Should(Equal(http.StatusForbidden))
		}
		Expect(time.Since(accepted)).To(BeNumerically("<", inForceLimit))
		refused := call(b.url, http.MethodPost, "/v1/chat/completions", chat(1, false))
		Expect(strings.Contains(refused.body, `"kind":"key_withdrawn"`)).To(BeTrue(), refused.body)
	})
})
