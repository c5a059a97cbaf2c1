package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/admission"
	"heatherloom/internal/control"
	"heatherloom/internal/dispatch"
	"heatherloom/internal/external"
	"heatherloom/internal/gateway"
	"heatherloom/internal/idempotency"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/peer"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/quota"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
	"heatherloom/internal/slotclaim"
	"heatherloom/internal/standin"
	"heatherloom/internal/writes"
)

const (
	activeKey       = "sk-derwent-morning"
	zeroRateKey     = "sk-poor"
	revokedKey      = "sk-old"
	suspendedKey    = "sk-idle"
	remoteRegionKey = "sk-remote"
	peerSecret      = "secret"
)

// testConfig returns a configuration in which revokedKey and the given keys are revoked.
func testConfig(revision int64, revoked ...string) *opconfig.Config {
	c := opconfig.New()
	c.Revision = revision
	c.Accounts = opconfig.NewRecords(map[string]opconfig.Account{
		"derwent": {Name: "derwent", Rate: 1e6, Burst: 1e6},
		"poor":    {Name: "poor"},
		"idle":    {Name: "idle", Suspended: true},
		"remote":  {Name: "remote", Rate: 10, Burst: 10, HomeRegion: "c"},
	})
	keys := map[string]opconfig.APIKey{}
	for secret, account := range map[string]string{activeKey: "derwent", zeroRateKey: "poor", revokedKey: "derwent", suspendedKey: "idle", remoteRegionKey: "remote"} {
		hash := opconfig.HashAPIKey(secret)
		keys[hash] = opconfig.APIKey{Hash: hash, ID: account + "-1", Account: account, Revoked: secret == revokedKey || slices.Contains(revoked, secret)}
	}
	c.APIKeys = opconfig.NewRecords(keys)
	c.Models["lantern"] = opconfig.Model{Name: "lantern", Version: "1"}
	for _, region := range []string{"a", "b"} {
		c.FailureDomains[region+"-1"] = opconfig.FailureDomain{Name: region + "-1", Region: region, Slots: 1}
	}
	c.Routes["/orders"] = opconfig.Route{Prefix: "/orders", Service: "ledger"}
	return c
}

// entry is an entry instance without a store or an instance list.
type entry struct {
	loop       *control.Loop
	dispatcher *dispatch.Dispatcher
	url        string
	identity   control.Identity
	log        *gbytes.Buffer
	peers      *peer.Client
	peerServer *http.Server
}

type options struct {
	limits       relay.Limits
	limiter      *admission.Limiter
	writeTimeout time.Duration
	// forwarder replaces the peer client as the dispatcher's forwarder; nil for the peer
	// client.
	forwarder dispatch.Forwarder
}

func shortLimits() relay.Limits {
	l := relay.DefaultLimits()
	l.FirstByteTimeout = 700 * time.Millisecond
	l.ReadIdleTimeout = 400 * time.Millisecond
	return l
}

// startEntry starts an entry instance in a region with the given upstreams.
func startEntry(t *testing.T, id, region string, o options, upstreams ...external.Instance) *entry {
	t.Helper()
	caller, peerListener := listen(t), listen(t)
	if o.limits == (relay.Limits{}) {
		o.limits = shortLimits()
	}
	e := &entry{log: gbytes.NewBuffer(), url: "http://" + caller.Addr().String()}
	e.identity = control.Identity{ID: id, Region: region, FailureDomain: region + "-1", PeerAddress: peerListener.Addr().String(), CallerURL: e.url, Incarnation: 1}
	e.loop = control.NewLoop(e.identity)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.loop.Run(ctx)
	e.peers = peer.NewClient(id, peerSecret)
	e.dispatcher = &dispatch.Dispatcher{Snapshot: e.loop.Snapshot, Relay: relay.New(o.limits), Forwarder: e.peers}
	if o.forwarder != nil {
		e.dispatcher.Forwarder = o.forwarder
	}
	e.dispatcher.ReportCrash = func(c quarantine.Crash, _ string) { e.loop.Post(ctx, control.CrashEvent{Crash: c}) }
	logger := logrus.New()
	logger.SetOutput(e.log)
	ledger := quota.NewLedger(id)
	handler, err := gateway.New(gateway.Deps{
		Snapshot: e.loop.Snapshot, Dispatcher: e.dispatcher, Admitter: admission.NewAdmitter(ledger, e.peers, time.Now),
		Writes: e.newWriteService(ctx), Log: logrus.NewEntry(logger), Now: time.Now, Limiter: o.limiter, WriteTimeout: o.writeTimeout,
	})
	if err != nil {
		t.Fatal(err)
	}
	serve(t, caller, &http.Server{Handler: handler})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &peer.Server{Identity: e.identity, Loop: e.loop, Dispatcher: e.dispatcher, Secret: peerSecret, Ledger: ledger}
	e.peerServer = &http.Server{Handler: server.Handler(), Protocols: protocols}
	serve(t, peerListener, e.peerServer)
	e.loop.Post(ctx, control.ConfigEvent{Config: testConfig(1)})
	e.loop.Post(ctx, control.SlotEvent{Claim: slotclaim.Claim{Held: true, UsableFrom: time.Now().Add(-time.Second), FirstClaim: true}})
	e.loop.Post(ctx, control.InstancesEvent{Instances: upstreams})
	eventually(t, func() bool { return e.loop.Snapshot().Ready && len(e.loop.Snapshot().Upstreams) == len(upstreams) })
	e.do(t, http.MethodPost, "/v1/completions", completionBody("bucket start", false), activeKey)
	return e
}

// newWriteService returns the write service of an instance that holds the only slot and
// so owns every idempotency key.
func (e *entry) newWriteService(ctx context.Context) *writes.Service {
	c := opconfig.New()
	c.FailureDomains["hobart-1"] = opconfig.FailureDomain{Name: "hobart-1", Region: "hobart", Slots: 1}
	division := quota.NewDivision(c)
	service := &writes.Service{
		Snapshot: func() *routing.Snapshot {
			s := *e.loop.Snapshot()
			s.Published = time.Now()
			s.Quota = quota.SlotState{Division: division, Own: division.Slots()[0], Held: true}
			return &s
		},
		Dispatcher: e.dispatcher, Peers: e.peers, Table: idempotency.NewTable(time.Now()), Now: time.Now,
		FirstClaim: func() bool { return true },
	}
	go service.MaintainRecords(ctx)
	return service
}

// connect starts heartbeats between entry instances and waits until each knows the others.
func connect(t *testing.T, entries ...*entry) {
	var seeds []string
	for _, e := range entries {
		seeds = append(seeds, e.identity.PeerAddress)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, e := range entries {
		h := &peer.Heartbeater{Identity: e.identity, Loop: e.loop, Client: e.peers, Seeds: func() []string { return seeds }}
		go h.Run(ctx)
	}
	for _, e := range entries {
		eventually(t, func() bool { return len(e.loop.Snapshot().Peers) == len(entries)-1 })
	}
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func serve(t *testing.T, l net.Listener, s *http.Server) {
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	NewWithT(t).Eventually(ok, 5*time.Second, 10*time.Millisecond).Should(BeTrue())
}

func startEngine(t *testing.T, id, region string) (*standin.Engine, external.Instance) {
	e, err := standin.StartEngine("127.0.0.1:0", time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, external.Instance{ID: id, Role: external.RoleEngine, Region: region, Address: e.Address(), State: external.InstanceLive, Models: []string{"lantern@1"}}
}

func startService(t *testing.T, id, region string) (*standin.Service, external.Instance) {
	s, err := standin.StartService("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, external.Instance{ID: id, Role: external.RoleService, Region: region, Address: s.Address(), State: external.InstanceLive, Service: "ledger"}
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

var client = &http.Client{Timeout: 10 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// do sends a request. headers are alternating names and values.
func (e *entry) do(t *testing.T, method, path, body, key string, headers ...string) response {
	t.Helper()
	req, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}

func completionBody(text string, stream bool) string {
	if stream {
		return `{"model":"lantern","stream":true,"prompt":"` + text + `"}`
	}
	return `{"model":"lantern","prompt":"` + text + `"}`
}
