package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/configsync"
	"heatherloom/internal/devcluster"
	"heatherloom/internal/external"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/standin"
	"heatherloom/internal/standin/faultproxy"
)

const (
	peerSecret = "test-peer-secret"
	accountKey = "sk-derwent-morning"
	boundKey   = "sk-region-b-bound"
)

// testConfig returns a configuration of two regions and two client accounts, one of them
// bound to region b.
func testConfig() devcluster.Config {
	return devcluster.Config{
		Slots:   1,
		Regions: []string{"a", "b"},
		Accounts: []opconfig.Account{
			{Name: "derwent", Rate: 3000, Burst: 3000},
			{Name: "bound", Rate: 3000, Burst: 3000, HomeRegion: "b"},
		},
		APIKeys: []devcluster.APIKey{
			{ID: "derwent-1", Account: "derwent", Secret: accountKey},
			{ID: "bound-1", Account: "bound", Secret: boundKey},
		},
		Models: []opconfig.Model{{Name: "lantern", Version: "1"}},
		Routes: []opconfig.Route{
			{Prefix: "/orders", Service: "ledger", HomeRegion: "a"},
			{Prefix: "/status", Service: "status"},
			{Prefix: "/notices", Service: "status", Public: true},
		},
	}
}

// testStack is the deployment of a spec: the platform stand-ins and the processes that it
// starts.
type testStack struct {
	store     string
	instances string
	dir       string
	seeds     []string
	engines   []string
	services  []string
}

// newTestStack starts the store, with the configuration, and the instance list.
func newTestStack() *testStack {
	GinkgoHelper()
	return newTestStackWithSlots(1)
}

// newTestStackWithSlots is newTestStack with the number of slots of each failure domain,
// which equals the number of its entry instances.
func newTestStackWithSlots(slots int) *testStack {
	GinkgoHelper()
	s := &testStack{dir: GinkgoT().TempDir()}
	_, s.store, _ = startStandin("store")
	_, s.instances, _ = startStandin("instances")
	config := testConfig()
	config.Slots = slots
	changes, err := config.Changes()
	Expect(err).NotTo(HaveOccurred())
	publisher := &configsync.Publisher{Store: etcdgw.New(s.store)}
	_, err = publisher.Apply(context.Background(), 0, changes)
	Expect(err).NotTo(HaveOccurred())
	return s
}

func (s *testStack) listInstance(i external.Instance, region string) {
	GinkgoHelper()
	i.Region = region
	i.FailureDomain = region + "-1"
	i.State = external.InstanceLive
	postJSON(s.instances+"/instances", i)
}

// startEngine starts an engine of a region and adds it to the instance list.
func (s *testStack) startEngine(id, region string, extra ...string) (*process, string) {
	GinkgoHelper()
	p, url, _ := startStandin("engine", append([]string{"-record-runs"}, extra...)...)
	s.engines = append(s.engines, url)
	s.listInstance(external.Instance{
		ID: id, Role: external.RoleEngine, Address: strings.TrimPrefix(url, "http://"), Models: []string{"lantern@1"},
	}, region)
	return p, url
}

// startProxiedEngine starts an engine that entry instances reach through a fault proxy.
func (s *testStack) startProxiedEngine(id, region string) proxy {
	GinkgoHelper()
	_, url, _ := startStandin("engine", "-record-runs")
	s.engines = append(s.engines, url)
	p := startProxy(hostOf(url))
	s.listInstance(external.Instance{ID: id, Role: external.RoleEngine, Address: p.address, Models: []string{"lantern@1"}}, region)
	return p
}

// startService starts a plain service of a region and adds it to the instance list.
func (s *testStack) startService(name, region string) (*process, string) {
	GinkgoHelper()
	p, url, _ := startStandin("service")
	s.services = append(s.services, url)
	s.listInstance(external.Instance{
		ID: fmt.Sprintf("%s-%s-%d", name, region, len(s.services)), Role: external.RoleService, Address: strings.TrimPrefix(url, "http://"), Service: name,
	}, region)
	return p, url
}

// entryOptions configures an entry instance to start.
type entryOptions struct {
	id, region string
	// store overrides the URL of the store.
	store string
	// proxied puts a fault proxy in front of the peer listener.
	proxied bool
}

// runningEntry is an entry instance in a process of its own.
type runningEntry struct {
	*process
	url string
	// peerProxy is the fault proxy in front of the peer listener, if entryOptions ask for one.
	peerProxy proxy
}

// startReadyEntry starts an entry instance and waits until it has the configuration.
func (s *testStack) startReadyEntry(id, region string) runningEntry {
	GinkgoHelper()
	e := s.startEntry(entryOptions{id: id, region: region})
	waitReady(e.url)
	return e
}

func waitReady(url string) {
	GinkgoHelper()
	Eventually(func() int { return call(url, http.MethodGet, "/v1/models", "").status }, startTimeout, "50ms").Should(Equal(http.StatusOK))
}

// waitForKeyedWrites waits until the instance has collected the records of earlier writes.
// Until then it rejects writes with an idempotency key as not executed.
func waitForKeyedWrites(url string) {
	GinkgoHelper()
	write := devcluster.Request{
		Method: http.MethodPost, Path: "/orders", Secret: accountKey, IdempotencyKey: "wait", Body: []byte(`{"order":"wait"}`),
	}
	Eventually(func() devcluster.Result { return devcluster.Send(context.Background(), httpClient, url, write).Result }, startTimeout, "50ms").
		Should(Equal(devcluster.ResultComplete))
}

// startEntry starts an entry instance without waiting until it is ready.
func (s *testStack) startEntry(opts entryOptions) runningEntry {
	GinkgoHelper()
	var e runningEntry
	caller, peer := freeAddress(), freeAddress()
	advertised := peer
	if opts.proxied {
		e.peerProxy = startProxy(peer)
		advertised = e.peerProxy.address
	}
	if opts.store == "" {
		opts.store = s.store
	}
	path := filepath.Join(s.dir, opts.id+".ini")
	text := fmt.Sprintf("[instance]\nid=%s\nregion=%s\nfailure_domain=%s-1\n"+
		"[listeners]\ncaller=%s\npeer=%s\noperator=%s\nadvertise_peer=%s\n"+
		"[platform]\nstore=%s\ninstances=%s/instances\n[peer]\nsecret=%s\nseeds=%s\n",
		opts.id, opts.region, opts.region, caller, peer, freeAddress(), advertised,
		opts.store, s.instances, peerSecret, strings.Join(s.seeds, ","))
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	s.seeds = append(s.seeds, advertised)
	p, stdout := startProcess("serve", "-config", path)
	go func() { _, _ = io.Copy(GinkgoWriter, stdout) }()
	e.process = p
	e.url = "http://" + caller
	return e
}

// executions returns how often the running upstreams executed each request, by request body.
func (s *testStack) executions() map[string]int {
	GinkgoHelper()
	total := map[string]int{}
	for _, url := range append(append([]string(nil), s.engines...), s.services...) {
		var executions map[string]int
		getJSON(url+"/standin/runs", &executions)
		for body, n := range executions {
			total[body] += n
		}
	}
	return total
}

func setServiceFaults(url string, f standin.ServiceFaults) {
	GinkgoHelper()
	postJSON(url+"/standin/faults", f)
}

// proxy is a fault proxy in a process of its own.
type proxy struct {
	// address is host:port of the proxy.
	address string
	control string
}

func startProxy(target string) proxy {
	GinkgoHelper()
	_, url, control := startStandin("proxy", "-target", target)
	return proxy{address: strings.TrimPrefix(url, "http://"), control: control}
}

// silenceOpen stops all data on the open connections for good; new ones work.
func (p proxy) silenceOpen() {
	GinkgoHelper()
	postJSON(p.control+faultproxy.PathSilenceOpen, struct{}{})
}

func (p proxy) counts() faultproxy.Counts {
	GinkgoHelper()
	var c faultproxy.Counts
	getJSON(p.control+faultproxy.PathCounts, &c)
	return c
}

func (p proxy) setFaults(f faultproxy.Faults) {
	GinkgoHelper()
	postJSON(p.control+faultproxy.PathFaults, f)
}
