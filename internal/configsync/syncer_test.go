package configsync

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/clock"
	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/peer"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/routing"
)

// cutStore is a link to the store that can be cut, or delayed, for one instance.
type cutStore struct {
	external.Store
	cut            atomic.Bool
	delay, watches atomic.Int64
}

func (s *cutStore) Get(ctx context.Context, key string) (external.Entry, error) {
	if s.cut.Load() {
		return external.Entry{}, external.ErrUnavailable
	}
	entry, err := s.Store.Get(ctx, key)
	clock.Sleep(ctx, time.Duration(s.delay.Load()))
	if ctx.Err() != nil {
		return external.Entry{}, external.ErrUnavailable
	}
	return entry, err
}

func (s *cutStore) Watch(ctx context.Context, prefix string, from int64, fn func([]external.WatchEvent)) error {
	if s.cut.Load() {
		return external.ErrUnavailable
	}
	s.watches.Add(1)
	defer s.watches.Add(-1)
	return s.Store.Watch(ctx, prefix, from, fn)
}

// instance is the part of an entry instance that the configuration passes through.
type instance struct {
	loop  *control.Loop
	store *cutStore
	stop  context.CancelFunc
}

func (i *instance) revision() int64 { return i.loop.Snapshot().Config.Revision }

// fleet is a few instances over loopback.
type fleet struct {
	t     *testing.T
	store external.Store
	seeds []string
}

func (f *fleet) start(id, domain string, prepare func(*cutStore)) *instance {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(f.t.Context())
	identity := control.Identity{
		ID: id, Region: domain, FailureDomain: domain, PeerAddress: listener.Addr().String(), Incarnation: time.Now().UnixNano(),
	}
	i := &instance{loop: control.NewLoop(identity), store: &cutStore{Store: f.store}, stop: stop}
	if prepare != nil {
		prepare(i.store)
	}
	client := peer.NewClient(id, "secret")
	seeds := append([]string{}, f.seeds...)
	beats := &peer.Heartbeater{Identity: identity, Loop: i.loop, Client: client, Seeds: func() []string { return seeds }}
	syncer := &Syncer{
		Identity: identity, Store: i.store, Peers: client, Loop: i.loop, Announce: beats.Announce, Log: logrus.NewEntry(log),
	}
	handler := (&peer.Server{Identity: identity, Loop: i.loop, Config: &Source{Loop: i.loop}, Secret: "secret"}).Handler()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	f.t.Cleanup(stop)
	f.seeds = append(f.seeds, identity.PeerAddress)
	go i.loop.Run(ctx)
	go beats.Run(ctx)
	go syncer.Run(ctx)
	return i
}

// within waits until ok holds and returns how long that took.
func within(t *testing.T, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for !ok() {
		if time.Since(started) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(started)
}

func allAt(instances []*instance, revision int64) func() bool {
	return func() bool {
		for _, i := range instances {
			if i.revision() < revision {
				return false
			}
		}
		return true
	}
}

// inForceTarget is the target of I14; its limit is 8 s.
const inForceTarget = 2 * time.Second

// Guards against a revision that is not in force everywhere in time, and against more
// than two watchers per failure domain. Logs the measured time.
func TestRevisionsReachAllInstancesThroughTwoWatchersPerDomain(t *testing.T) {
	_, store := startStore(t)
	mustApply(t, store, 0, account("a", 1))
	f := &fleet{t: t, store: store}
	var all []*instance
	for n := range 12 {
		all = append(all, f.start(fmt.Sprint("entry-", n), fmt.Sprint("domain-", n%3), nil))
	}
	within(t, 10*time.Second, "all instances are in force at revision 1", allAt(all, 1))
	watches := func() (n int64) {
		for _, i := range all {
			n += i.store.watches.Load()
		}
		return n
	}
	within(t, 15*time.Second, "six instances watch", func() bool { return watches() == 6 })
	var longest, sum time.Duration
	const rounds = 10
	for r := range int64(rounds) {
		mustApply(t, store, r+1, account("a", float64(r)))
		took := within(t, inForceTarget, fmt.Sprint("revision ", r+2), allAt(all, r+2))
		longest, sum = max(longest, took), sum+took
	}
	t.Logf("12 instances in 3 failure domains, %d applies: mean %v, longest %v from apply to in force on all", rounds, sum/rounds, longest)
	if n := watches(); n != 6 {
		t.Errorf("%d instances watch the store, want 6", n)
	}
}

// Guards against a start that needs the store, against readiness without any
// configuration, and against a restart that loses it.
func TestStartAndRestartFromNeighborsDuringAnOutage(t *testing.T) {
	_, store := startStore(t)
	mustApply(t, store, 0, account("a", 1))
	mustApply(t, store, 1, account("a", 2))
	cut := func(s *cutStore) { s.cut.Store(true) }
	alone := (&fleet{t: t, store: store}).start("alone", "d", cut)
	f := &fleet{t: t, store: store}
	first := f.start("first", "d", nil)
	within(t, 5*time.Second, "the first instance is ready", func() bool { return first.revision() == 2 })
	first.store.cut.Store(true)
	for range 2 {
		second := f.start("second", "d", cut)
		within(t, 5*time.Second, "an instance starts from its neighbor", func() bool { return second.revision() == 2 })
		if age := second.loop.Snapshot().ConfigAge; age <= 0 {
			t.Errorf("the configuration's age is %v", age)
		}
		second.stop()
	}
	if alone.loop.Snapshot().Ready {
		t.Error("an instance without store and neighbors is ready")
	}
}

// Guards against starting with a neighbor's old revision when the store answers,
// and against going back when a late answer of the store is older.
func TestStartComparesWithTheStore(t *testing.T) {
	_, store := startStore(t)
	mustApply(t, store, 0, account("a", 1))
	f := &fleet{t: t, store: store}
	old := f.start("old", "d", nil)
	within(t, 5*time.Second, "the first instance is ready", func() bool { return old.revision() == 1 })
	old.store.cut.Store(true)
	old.stop()
	mustApply(t, store, 1, account("a", 2))
	for _, delay := range []time.Duration{0, time.Second, 4 * time.Second} {
		lagging := &Syncer{
			Store: &cutStore{Store: store}, Loop: readyLoop(t, 1), Log: logrus.NewEntry(logrus.New()),
			Peers: pullFunc(func(int64) (*peerv1.PullConfigResponse, error) { return (&Source{Loop: readyLoop(t, 1)}).Since(0) }),
		}
		lagging.Store.(*cutStore).delay.Store(int64(delay))
		started := time.Now()
		if !lagging.start(t.Context()) {
			t.Fatal("the start failed")
		}
		want := int64(2)
		if delay > storeStartTimeout {
			want = 1
		}
		if got := lagging.latest().Revision; got != want || time.Since(started) > 4*time.Second {
			t.Errorf("with a store delay of %v the start has revision %d after %v, want %d", delay, got, time.Since(started), want)
		}
	}
}

type pullFunc func(from int64) (*peerv1.PullConfigResponse, error)

func (f pullFunc) PullConfig(_ context.Context, _ string, from int64) (*peerv1.PullConfigResponse, error) {
	return f(from)
}

// readyLoop runs a loop at the given revision that knows a confirmed peer with a
// higher one.
func readyLoop(t *testing.T, revision int64) *control.Loop {
	t.Helper()
	loop := control.NewLoop(control.Identity{ID: "self", FailureDomain: "d"})
	go loop.Run(t.Context())
	loop.Post(t.Context(), control.ConfigEvent{Config: &opconfig.Config{Revision: revision}})
	loop.Post(t.Context(), control.HeartbeatEvent{
		Peer: routing.Peer{ID: "relay", FailureDomain: "d", ConfigRevision: revision + 8}, Confirmed: time.Now(), Asked: time.Now(),
	})
	within(t, time.Second, "the loop has ticked", func() bool { return len(loop.Snapshot().Peers) == 1 && loop.Snapshot().Ready })
	return loop
}

// Guards against a relay that announces a higher revision and offers an older one,
// damaged or foreign deltas: the revision never goes back, and others are asked.
func TestALaggingRelayNeverTakesTheRevisionBack(t *testing.T) {
	answers := map[string]*peerv1.PullConfigResponse{
		"older":     {Revision: 3},
		"gap":       {Revision: 9, Deltas: [][]byte{[]byte(`{"revision":9}`)}},
		"not JSON":  {Revision: 9, Deltas: [][]byte{[]byte(`{`)}},
		"bad base":  {Revision: 9, Base: []byte(`{"revision":9,"records":1}`)},
		"low base":  {Revision: 9, Base: []byte(`{"revision":2}`)},
		"no deltas": {Revision: 9},
	}
	for name, answer := range answers {
		loop := readyLoop(t, 5)
		calls := 0
		s := &Syncer{Loop: loop, Log: logrus.NewEntry(logrus.New()), Peers: pullFunc(func(int64) (*peerv1.PullConfigResponse, error) {
			calls++
			return answer, nil
		})}
		s.Log.Logger.SetOutput(io.Discard)
		retryAt := map[string]time.Time{}
		for range 3 {
			s.catchUpWithPeers(t.Context(), loop.Snapshot(), retryAt)
		}
		if s.latest().Revision != 5 || calls != 1 {
			t.Errorf("%s: revision %d after %d calls, want 5 after 1", name, s.latest().Revision, calls)
		}
	}
}

// Guards against members of a failure domain that learn of a revision only with the
// next heartbeat of a watcher.
func TestAWatcherAnnouncesARevisionOnce(t *testing.T) {
	announced := make(chan struct{}, 9)
	s := &Syncer{
		Identity: control.Identity{ID: "self", FailureDomain: "d"}, Loop: readyLoop(t, 5), Log: logrus.NewEntry(logrus.New()),
		Peers:    pullFunc(func(int64) (*peerv1.PullConfigResponse, error) { return &peerv1.PullConfigResponse{}, nil }),
		Announce: func(context.Context) { announced <- struct{}{} },
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*followInterval)
	defer cancel()
	if s.followPeers(ctx); len(announced) != 1 {
		t.Errorf("%d announcements, want 1", len(announced))
	}
}

// Guards against a region that loses the store but not its peers and goes on
// admitting a withdrawn key.
func TestARegionCutOffFromTheStoreHearsOfAWithdrawal(t *testing.T) {
	_, store := startStore(t)
	key := opconfig.Key{Hash: opconfig.HashKey("secret"), ID: "k", Account: "a"}
	set := func() opconfig.Change { return must(opconfig.Set(opconfig.TableKeys, key.Hash, key)) }
	mustApply(t, store, 0, account("a", 1), set())
	f := &fleet{t: t, store: store}
	all := []*instance{f.start("near", "near", nil), f.start("far-1", "far", nil), f.start("far-2", "far", nil)}
	within(t, 10*time.Second, "all instances are ready", allAt(all, 1))
	all[1].store.cut.Store(true)
	all[2].store.cut.Store(true)
	key.Withdrawn = true
	mustApply(t, store, 1, set())
	// The watches that are open are not cut by cutStore, so the reads must fail.
	t.Logf("the withdrawal was in force after %v", within(t, inForceTarget, "revision 2 is in force", allAt(all, 2)))
	for _, i := range all {
		if row, _ := i.loop.Snapshot().Config.Keys.Get(key.Hash); !row.Withdrawn {
			t.Error("the key is not withdrawn")
		}
	}
}
