package rolloutctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/configsync"
	"heatherloom/internal/external"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/lease"
	"heatherloom/internal/membership"
	"heatherloom/internal/node"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/operatorapi"
	"heatherloom/internal/rollout"
	"heatherloom/internal/rolloutctl"
	"heatherloom/internal/settings"
	"heatherloom/internal/standin"
)

const (
	freePort       = "127.0.0.1:0"
	secret         = "rollout-test-secret"
	regions        = 2
	perRegion      = 2
	completionBody = `{"model":"lantern","prompt":"p"}`
	// normalInterval is the time between two requests to each entry instance.
	normalInterval = 25 * time.Millisecond
	chatBody       = `{"model":"lantern","messages":[{"role":"user","content":"p"}]}`
)

// fleet is two regions of two entry instances and two engines each.
type fleet struct {
	t       *testing.T
	store   *standin.Store
	engines []*standin.Engine
	nodes   []*node.Node
	sent    atomic.Int64
	failed  atomic.Int64
	// logFailures is set once failed requests are to be logged.
	logFailures atomic.Bool
}

func (f *fleet) logf(format string, args ...any) {
	if f.logFailures.Load() {
		f.t.Logf(format, args...)
	}
}

func options() node.Options {
	o := node.DefaultOptions()
	o.LeaseTTL = 5 * time.Second
	o.RolloutTiming = rolloutctl.Timing{
		Interval: 200 * time.Millisecond, EvidenceInterval: 300 * time.Millisecond, EvidenceMaxAge: 3 * time.Second,
		OrderDelay: time.Second, Rules: rollout.Rules{MinDwell: time.Second},
	}
	return o
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t}
	var err error
	f.store, err = standin.StartStore(freePort)
	must(t, err)
	t.Cleanup(f.store.Close)
	list, err := standin.StartInstanceList(freePort)
	must(t, err)
	t.Cleanup(list.Close)
	f.apply(0, set(opconfig.TableAccounts, "a", opconfig.Account{Name: "a", Rate: 1e6, Burst: 1e6}),
		set(opconfig.TableFailureDomains, "r0-1", opconfig.FailureDomain{Name: "r0-1", Region: "r0", Slots: 2}),
		set(opconfig.TableFailureDomains, "r1-1", opconfig.FailureDomain{Name: "r1-1", Region: "r1", Slots: 2}),
		set(opconfig.TableAPIKeys, opconfig.HashAPIKey("sk-a"), opconfig.APIKey{Hash: opconfig.HashAPIKey("sk-a"), ID: "a-1", Account: "a"}),
		set(opconfig.TableModels, "lantern", opconfig.Model{Name: "lantern", Version: "1"}))
	var seeds []string
	for i := range regions * perRegion {
		region := fmt.Sprintf("r%d", i/perRegion)
		engine, err := standin.StartEngine(freePort, 200*time.Microsecond)
		must(t, err)
		t.Cleanup(engine.Close)
		engine.SetLoaded("lantern@1")
		f.engines = append(f.engines, engine)
		list.Set(external.Instance{ID: fmt.Sprintf("engine-%d", i), Role: external.RoleEngine, Region: region, FailureDomain: region + "-1",
			Address: engine.Address(), State: external.InstanceLive, Models: []string{"lantern@1"}})
		log := logrus.New()
		log.SetOutput(io.Discard)
		n, err := node.StartWithOptions(settings.Settings{
			Instance:  settings.Instance{ID: fmt.Sprintf("entry-%d", i), Region: region, FailureDomain: region + "-1"},
			Listeners: settings.Listeners{Caller: freePort, Peer: freePort, Operator: freePort},
			Platform:  settings.Platform{Store: f.store.URL(), Instances: list.URL() + "/instances"},
			Peer:      settings.Peer{Secret: secret, Seeds: append([]string(nil), seeds...)},
			Operator:  settings.Operator{Token: secret},
		}, log, options())
		must(t, err)
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = n.Shutdown(ctx)
		})
		seeds = append(seeds, n.PeerAddress)
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		NewWithT(t).Eventually(func() bool { s, ok := f.status(n); return ok && s.Ready && len(s.Peers) == len(f.nodes)-1 }, "10s", "50ms").Should(BeTrue())
	}
	for _, n := range f.nodes {
		// The first request of a client account creates its token bucket, which is empty.
		f.send(context.Background(), "http://"+n.CallerAddress+"/v1/completions", completionBody)
	}
	f.logFailures.Store(true)
	f.sent.Store(0)
	f.failed.Store(0)
	return f
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func set(table opconfig.Table, id string, record any) opconfig.Change {
	change, err := opconfig.Set(table, id, record)
	if err != nil {
		panic(err)
	}
	return change
}

func (f *fleet) apply(base int64, changes ...opconfig.Change) {
	f.t.Helper()
	publisher := &configsync.Publisher{Store: etcdgw.New(f.store.URL())}
	_, err := publisher.Apply(context.Background(), base, changes)
	must(f.t, err)
}

// startRollout configures a rollout of version 2 with a deadline.
func (f *fleet) startRollout(deadline time.Duration) {
	m := opconfig.Rollout{Target: "lantern", Version: "2", Deadline: time.Now().Add(deadline)}
	f.apply(1, set(opconfig.TableRollouts, m.ID(), m))
}

// setVersionFault makes version 2 faulty on all engines.
func (f *fleet) setVersionFault(v standin.VersionFault) {
	v.Version = "2"
	for _, e := range f.engines {
		e.SetVersionFault(v)
	}
}

func (f *fleet) status(n *node.Node) (operatorapi.Status, bool) {
	req, _ := http.NewRequest(http.MethodGet, "http://"+n.OperatorAddress+"/v1/status", nil)
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(req)
	var s operatorapi.Status
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

func (f *fleet) rollout(n *node.Node) operatorapi.Rollout {
	s, ok := f.status(n)
	if !ok || len(s.Rollouts) == 0 {
		return operatorapi.Rollout{}
	}
	return s.Rollouts[0]
}

// startTraffic sends requests to all entry instances until the test ends.
func (f *fleet) startTraffic(interval time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	f.t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range f.nodes {
		address := f.nodes[i].CallerAddress
		wg.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for n := 0; ctx.Err() == nil; n++ {
				path, body := "/v1/completions", completionBody
				if n%2 == 1 {
					path, body = "/v1/chat/completions", chatBody
				}
				wg.Go(func() { f.send(ctx, "http://"+address+path, body) })
				select {
				case <-ctx.Done():
				case <-ticker.C:
				}
			}
		})
	}
}

func (f *fleet) send(ctx context.Context, url, body string) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	req.Header.Set("Authorization", "Bearer sk-a")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	f.sent.Add(1)
	if resp.StatusCode != http.StatusOK && ctx.Err() == nil {
		f.failed.Add(1)
		f.logf("status %d: %s", resp.StatusCode, raw)
	}
}

func (f *fleet) candidateRequests() int {
	n := 0
	for _, e := range f.engines {
		n += e.RequestsForVersion("2")
	}
	return n
}

// waitForState waits until every given instance reports the state.
func (f *fleet) waitForState(state operatorapi.RolloutState, within time.Duration, nodes ...*node.Node) {
	f.t.Helper()
	for _, n := range nodes {
		NewWithT(f.t).Eventually(func() operatorapi.RolloutState { return f.rollout(n).State }, within, 50*time.Millisecond).
			Should(Equal(state), "%s: %+v", n.CallerAddress, f.rollout(n))
	}
}

// TestGoodVersion guards against a good version that misses its deadline, both with normal
// traffic and with traffic so low that only probes give evidence, and against engines that
// keep the old version afterwards.
func TestGoodVersion(t *testing.T) {
	for name, interval := range map[string]time.Duration{"normal": normalInterval, "low": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			f.startTraffic(interval)
			f.startRollout(40 * time.Second)
			deadline := time.Now().Add(40 * time.Second)
			f.waitForState(operatorapi.RolloutDone, 40*time.Second, f.nodes...)
			t.Logf("done %s before the deadline", time.Until(deadline).Round(100*time.Millisecond))
			if time.Now().After(deadline) {
				t.Error("the version missed its deadline")
			}
			for _, e := range f.engines {
				NewWithT(t).Eventually(func() []string { return e.EngineState().Loaded }, "10s", "50ms").Should(Equal([]string{"lantern@2"}))
			}
			if f.failed.Load() > 0 {
				t.Errorf("%d of %d requests failed during the rollout of a good version", f.failed.Load(), f.sent.Load())
			}
		})
	}
}

// maxCandidateShare is the largest fraction of all requests that a bad version may serve.
const maxCandidateShare = 0.06

// TestBadVersion guards against a bad version that is not rolled back everywhere, that
// serves more than a small fraction of the requests, or that makes callers see failures.
func TestBadVersion(t *testing.T) {
	for name, fault := range map[string]standin.VersionFault{
		"fails at once":      {Fail: true},
		"slow":               {DelayMS: 60},
		"fails on one route": {Fail: true, Route: "/chat/completions"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			f.setVersionFault(fault)
			f.startTraffic(normalInterval)
			f.startRollout(40 * time.Second)
			f.waitForState(operatorapi.RolloutRolledBack, 30*time.Second, f.nodes...)
			f.checkRollback()
		})
	}
}

func (f *fleet) checkRollback() {
	f.t.Helper()
	if reason := f.rollout(f.nodes[0]).Reason; reason == "" {
		f.t.Error("the status contains no reason")
	}
	served := f.candidateRequests()
	time.Sleep(time.Second)
	if after := f.candidateRequests(); after > served {
		f.t.Errorf("%d requests went to the version after the rollback", after-served)
	}
	f.t.Logf("the version served %d of %d requests, %d failed", served, f.sent.Load(), f.failed.Load())
	if share := float64(served) / float64(f.sent.Load()); share > maxCandidateShare {
		f.t.Errorf("the version served a fraction of %.3f of the requests", share)
	}
	if f.failed.Load() > 0 {
		f.t.Errorf("%d callers saw a failure", f.failed.Load())
	}
	for _, e := range f.engines {
		NewWithT(f.t).Eventually(func() []string { return e.EngineState().Order.Models }, "10s", "50ms").ShouldNot(ContainElement("lantern@2"))
	}
}

// TestHolderKilled guards against a rollout that makes no progress after the holder of the
// lease of its owning failure domain stops and while responses of the store are lost.
func TestHolderKilled(t *testing.T) {
	f := startFleet(t)
	f.startTraffic(normalInterval)
	f.startRollout(time.Minute)
	NewWithT(t).Eventually(func() operatorapi.RolloutState { return f.rollout(f.nodes[0]).State }, "20s", "20ms").Should(Equal(operatorapi.RolloutServing))
	domain := membership.Owner("lantern@2", []string{"r0-1", "r1-1"})
	entry, err := etcdgw.New(f.store.URL()).Get(context.Background(), lease.DomainKey(domain))
	must(t, err)
	var remaining []*node.Node
	for i, n := range f.nodes {
		if fmt.Sprintf("entry-%d", i) != string(entry.Value) {
			remaining = append(remaining, n)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = n.Shutdown(ctx)
		cancel()
	}
	if len(remaining) != len(f.nodes)-1 {
		t.Fatalf("the holder %q is not one of the instances", entry.Value)
	}
	f.store.SetFaults(standin.StoreFaults{DropResponses: 20})
	f.waitForState(operatorapi.RolloutDone, time.Minute, remaining...)
}

// TestLateFault guards against a missed fault that appears only at a traffic share of 25%,
// and against a store outage during which a step advances or local stops do not happen.
func TestLateFault(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run("outage "+strconv.FormatBool(outage), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			f.startTraffic(normalInterval)
			f.startRollout(40 * time.Second)
			NewWithT(t).Eventually(func() bool {
				r := f.rollout(f.nodes[0])
				return r.State == operatorapi.RolloutServing && r.Step == 25
			}, "40s", "20ms").Should(BeTrue())
			if outage {
				f.store.SetFaults(standin.StoreFaults{Outage: true})
				time.Sleep(3 * time.Second)
				if r := f.rollout(f.nodes[0]); r.State != operatorapi.RolloutServing || r.Step != 25 {
					t.Errorf("state %s at %d%% in a store outage, want no change", r.State, r.Step)
				}
			}
			f.setVersionFault(standin.VersionFault{Fail: true})
			if outage {
				time.Sleep(2 * time.Second)
				stopped := f.candidateRequests()
				time.Sleep(time.Second)
				if after := f.candidateRequests(); after > stopped {
					t.Errorf("%d requests went to the version after the local stops", after-stopped)
				}
				f.store.SetFaults(standin.StoreFaults{})
			}
			f.waitForState(operatorapi.RolloutRolledBack, 20*time.Second, f.nodes...)
			if f.failed.Load() > 0 {
				t.Errorf("%d of %d callers saw a failure", f.failed.Load(), f.sent.Load())
			}
		})
	}
}
