package admission_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherloom/internal/admission"
	"heatherloom/internal/control"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/peer"
	"heatherloom/internal/quota"
	"heatherloom/internal/routing"
	"heatherloom/internal/slotclaim"
)

// fleet is a set of entry instances that lend tokens to each other over loopback.
type fleet struct {
	account   opconfig.Account
	instances []*instance
	// partitioned makes loan requests between the two halves of the fleet time out.
	partitioned atomic.Bool
	// loans counts the loan requests.
	loans atomic.Int64
	// bytes counts the bytes that the peer listeners receive and send, heartbeats included.
	bytes atomic.Int64

	mu       sync.Mutex
	admitted []span
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// span is the interval within which a request was admitted.
type span struct{ start, end time.Time }

type instance struct {
	index    int
	fleet    *fleet
	loop     *control.Loop
	client   *peer.Client
	admitter *admission.Admitter
	server   *http.Server
	stop     context.CancelFunc
	address  string
}

// Borrow implements admission.LoanClient and simulates the partition of the fleet.
func (i *instance) Borrow(ctx context.Context, address string, req quota.LoanRequest) (quota.LoanReply, error) {
	i.fleet.loans.Add(1)
	half := len(i.fleet.instances) / 2
	other := slices.IndexFunc(i.fleet.instances, func(o *instance) bool { return o.address == address })
	if i.fleet.partitioned.Load() && (i.index < half) != (other < half) {
		<-ctx.Done()
		return quota.LoanReply{}, ctx.Err()
	}
	return i.client.Borrow(ctx, address, req)
}

func startFleet(t *testing.T, n int, account opconfig.Account) *fleet {
	t.Helper()
	f := &fleet{account: account}
	config := opconfig.New()
	config.Revision = 1
	config.FailureDomains["a-1"] = opconfig.FailureDomain{Name: "a-1", Region: "a", Slots: n}
	config.Accounts = opconfig.NewRecords(map[string]opconfig.Account{account.Name: account})
	var seeds []string
	for index := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		i := &instance{index: index, fleet: f, address: listener.Addr().String()}
		id := control.Identity{ID: fmt.Sprint("entry-", index), Region: "a", FailureDomain: "a-1", PeerAddress: i.address, Incarnation: 1}
		ctx, cancel := context.WithCancel(context.Background())
		i.loop, i.client, i.stop = control.NewLoop(id), peer.NewClient(id.ID, "secret"), cancel
		ledger := quota.NewLedger(id.ID)
		i.admitter = admission.NewAdmitter(ledger, i, time.Now)
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		i.server = &http.Server{Protocols: protocols, Handler: (&peer.Server{Identity: id, Loop: i.loop, Secret: "secret", Ledger: ledger}).Handler()}
		t.Cleanup(func() { cancel(); _ = i.server.Close() })
		go func() { _ = i.server.Serve(countingListener{listener, &f.bytes}) }()
		go i.loop.Run(ctx)
		i.loop.Post(ctx, control.ConfigEvent{Config: config})
		i.loop.Post(ctx, control.SlotEvent{Claim: slotclaim.Claim{Held: true, Index: index, UsableFrom: time.Now(), FirstClaim: true}})
		f.instances, seeds = append(f.instances, i), append(seeds, i.address)
		known := slices.Clone(seeds)
		go (&peer.Heartbeater{Identity: id, Loop: i.loop, Client: i.client, Seeds: func() []string { return known }}).Run(ctx)
	}
	for _, i := range f.instances {
		for deadline := time.Now().Add(5 * time.Second); !i.hasAllPeers(n); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the instances did not learn each other's slots in time")
			}
		}
	}
	return f
}

func (i *instance) hasAllPeers(n int) bool {
	s := i.loop.Snapshot()
	return s.Quota.Held && len(s.Peers) == n-1 && !slices.ContainsFunc(s.Peers, func(p routing.Peer) bool { return p.Slot == "" })
}

func (i *instance) request() quota.Decision {
	start := time.Now()
	d := i.admitter.Admit(context.Background(), i.loop.Snapshot, i.fleet.account)
	if d.Admitted {
		i.fleet.mu.Lock()
		defer i.fleet.mu.Unlock()
		i.fleet.admitted = append(i.fleet.admitted, span{start, time.Now()})
	}
	return d
}

// sendLoad sends requests to the targets in turn at the given rate, each in its own
// goroutine, and returns the number of rejections.
func sendLoad(f *fleet, rate float64, d time.Duration, targets ...*instance) int64 {
	var rejected atomic.Int64
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
		<-ticker.C
		running.Go(func() {
			if !targets[n%len(targets)].request().Admitted {
				rejected.Add(1)
			}
		})
	}
	running.Wait()
	return rejected.Load()
}

// checkLimit checks that every window from the start of one admission to the end of
// another contains at most burst + rate*t admissions.
func (f *fleet) checkLimit(t *testing.T) {
	t.Helper()
	slices.SortFunc(f.admitted, func(a, b span) int { return a.end.Compare(b.end) })
	for _, first := range f.admitted {
		count := 0.0
		for _, s := range f.admitted {
			if s.start.Before(first.start) {
				continue
			}
			count++
			if limit := f.account.Burst + f.account.Rate*s.end.Sub(first.start).Seconds(); count > limit+1e-6 {
				t.Fatalf("%g admissions in %v exceed the limit of %.3f", count, s.end.Sub(first.start), limit)
			}
		}
	}
}

// Guards against rejecting traffic within the rate when all of it arrives at one instance.
func TestMisalignedTrafficIsServed(t *testing.T) {
	f := startFleet(t, 4, opconfig.Account{Name: "derwent", Rate: 100, Burst: 40})
	idle := f.bytes.Load()
	time.Sleep(time.Second)
	idle = f.bytes.Load() - idle
	before := f.bytes.Load()
	const seconds = 3
	rejected := sendLoad(f, 90, seconds*time.Second, f.instances[0])
	t.Logf("%d admitted, %d rejected, %.0f loan requests/s, %d bytes/s with heartbeats, %d bytes/s of heartbeats alone",
		len(f.admitted), rejected, float64(f.loans.Load())/seconds, (f.bytes.Load()-before)/seconds, idle)
	if rejected > 0 || len(f.admitted) < 200 {
		t.Errorf("%d of %d requests within the rate were rejected", rejected, len(f.admitted)+int(rejected))
	}
	f.checkLimit(t)
}

// Guards against exceeding the limit at five times the rate, also during a partition and
// after the failure of an instance, and against admitting almost nothing in these cases.
func TestFiveTimesTheRateIsHeld(t *testing.T) {
	f := startFleet(t, 4, opconfig.Account{Name: "derwent", Rate: 100, Burst: 40})
	for _, fault := range []func(){
		func() {},
		func() { f.partitioned.Store(true) },
		func() {
			f.partitioned.Store(false)
			f.instances[3].stop()
			_ = f.instances[3].server.Close()
		},
	} {
		fault()
		targets := f.instances
		if f.loans.Load() > 0 && !f.partitioned.Load() {
			targets = f.instances[:3]
		}
		sendLoad(f, 500, 1500*time.Millisecond, targets...)
	}
	t.Logf("%d admitted in 4.5 s", len(f.admitted))
	if len(f.admitted) < 250 {
		t.Errorf("only %d requests were admitted", len(f.admitted))
	}
	f.checkLimit(t)
}

// Guards against an account with a small burst whose only token most instances cannot
// borrow, and against a rejection that does not state when the next token is available.
func TestSmallAccounts(t *testing.T) {
	f := startFleet(t, 4, opconfig.Account{Name: "poor", Rate: 0.1, Burst: 1})
	for _, i := range f.instances {
		if d := i.request(); d.Admitted || d.RetryAfter < 5*time.Second || d.RetryAfter > 10*time.Second {
			t.Errorf("with an empty bucket the decision is %+v", d)
		}
	}
	f = startFleet(t, 4, opconfig.Account{Name: "small", Rate: 1, Burst: 1})
	for _, i := range f.instances {
		time.Sleep(1050 * time.Millisecond)
		if d := i.request(); !d.Admitted {
			t.Errorf("instance %d did not admit with the only token: %+v", i.index, d)
		}
	}
	f.checkLimit(t)
}

type failingLoanClient struct{}

func (failingLoanClient) Borrow(context.Context, string, quota.LoanRequest) (quota.LoanReply, error) {
	return quota.LoanReply{}, errors.New("no lender")
}

// BenchmarkAdmit measures admissions from the instance's own slot with 44,000 client
// accounts.
func BenchmarkAdmit(b *testing.B) {
	config := opconfig.New()
	config.FailureDomains["a-1"] = opconfig.FailureDomain{Name: "a-1", Region: "a", Slots: 1}
	state := quota.SlotState{Division: quota.NewDivision(config), Own: quota.Slot{Domain: "a-1", Region: "a"}, Held: true, UsableFrom: time.Now().Add(-time.Minute)}
	snapshot := &routing.Snapshot{Quota: state}
	a := admission.NewAdmitter(quota.NewLedger("self"), failingLoanClient{}, time.Now)
	accounts := make([]opconfig.Account, 44_000)
	read := func() *routing.Snapshot { return snapshot }
	for n := range accounts {
		accounts[n] = opconfig.Account{Name: fmt.Sprint("account-", n), Rate: 1e9, Burst: 1e9}
		a.Admit(b.Context(), read, accounts[n])
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if !a.Admit(b.Context(), read, accounts[n%len(accounts)]).Admitted {
			b.Fatal("refused")
		}
	}
}
