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

// faultyStore injects an outage or a delay into the access of one instance to the store.
type faultyStore struct {
	external.Store
	down           atomic.Bool
	delay, watches atomic.Int64
}

func (s *faultyStore) Get(ctx context.Context, key string) (external.Entry, error) {
	if s.down.Load() {
		return external.Entry{}, external.ErrUnavailable
	}
	entry, err := s.Store.Get(ctx, key)
	clock.Sleep(ctx, time.Duration(s.delay.Load()))
	if ctx.Err() != nil {
		return external.Entry{}, external.ErrUnavailable
	}
	return entry, err
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, from int64, fn func([]external.WatchEvent)) error {
	if s.down.Load() {
		return external.ErrUnavailable
	}
	s.watches.Add(1)
	defer s.watches.Add(-1)
	return s.Store.Watch(ctx, prefix, from, fn)
}

// instance has the parts of an entry instance that distribute configuration.
type instance struct {
	loop  *control.Loop
	store *faultyStore
	stop  context.CancelFunc
}

func (i *instance) revision() int64 { return i.loop.Snapshot().Config.Revision }

// fleet is a set of instances that communicate over loopback.
type fleet struct {
	t     *testing.T
	store external.Store
	seeds []string
}

func (f *fleet) start(id, domain string, prepare func(*faultyStore)) *instance {
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
	i := &instance{loop: control.NewLoop(identity), store: &faultyStore{Store: f.store}, stop: stop}
	if prepare != nil {
		prepare(i.store)
	}
	client := peer.NewClient(id, "secret")
	seeds := append([]string{}, f.seeds...)
	heartbeater := &peer.Heartbeater{Identity: identity, Loop: i.loop, Client: client, Seeds: func() []string { return seeds }}
	syncer := &Syncer{
		Identity: identity, Store: i.store, Peers: client, Loop: i.loop, AnnounceToDomain: heartbeater.AnnounceToDomain, Log: logrus.NewEntry(log),
	}
	handler := (&peer.Server{Identity: identity, Loop: i.loop, Config: &PeerSource{Loop: i.loop}, Secret: "secret"}).Handler()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	f.t.Cleanup(stop)
	f.seeds = append(f.seeds, identity.PeerAddress)
	go i.loop.Run(ctx)
	go heartbeater.Run(ctx)
	go syncer.Run(ctx)
	return i
}

// within waits until ok returns true and returns how long that took.
func within(t *testing.T, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for !ok() {
		if time.Since(started) > limit {
			t.Fatalf("timed out after %v: %s", limit, what)
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

// inForceTarget is the target of invariant I14 for the time until a revision is in
// force on all instances; the limit is 8 s.
const inForceTarget = 2 * time.Second

// Guards against a revision that takes too long to be in force on all instances, and
// against more than two watchers per failure domain. Logs the measured time.
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
	t.Logf("12 instances in 3 failure domains, %d applies: mean %v, longest %v from apply to in force on all instances", rounds, sum/rounds, longest)
	if n := watches(); n != 6 {
		t.Errorf("%d instances watch the store, want 6", n)
	}
}

// Guards against an instance that cannot start without the store, that becomes ready
// without a configuration, or that loses its configuration in a restart.
func TestStartAndRestartFromNeighborsDuringAnOutage(t *testing.T) {
	_, store := startStore(t)
	mustApply(t, store, 0, account("a", 1))
	mustApply(t, store, 1, account("a", 2))
	breakStore := func(s *faultyStore) { s.down.Store(true) }
	isolated := (&fleet{t: t, store: store}).start("alone", "d", breakStore)
	f := &fleet{t: t, store: store}
	first := f.start("first", "d", nil)
	within(t, 5*time.Second, "the first instance is ready", func() bool { return first.revision() == 2 })
	first.store.down.Store(true)
	for range 2 {
		second := f.start("second", "d", breakStore)
		within(t, 5*time.Second, "an instance starts with the configuration of a peer", func() bool { return second.revision() == 2 })
		if age := second.loop.Snapshot().ConfigAge; age <= 0 {
			t.Errorf("configuration age is %v, want more than 0", age)
		}
		second.stop()
	}
	if isolated.loop.Snapshot().Ready {
		t.Error("an instance without store and peers is ready")
	}
}

// Guards against starting with the old revision of a peer although the store responds,
// and against going back to an older revision after a late response of the store.
func TestStartComparesWithTheStore(t *testing.T) {
	_, store := startStore(t)
	mustApply(t, store, 0, account("a", 1))
	f := &fleet{t: t, store: store}
	old := f.start("old", "d", nil)
	within(t, 5*time.Second, "the first instance is ready", func() bool { return old.revision() == 1 })
	old.store.down.Store(true)
	old.stop()
	mustApply(t, store, 1, account("a", 2))
	for _, delay := range []time.Duration{0, time.Second, 4 * time.Second} {
		syncer := &Syncer{
			Store: &faultyStore{Store: store}, Loop: readyLoop(t, 1), Log: logrus.NewEntry(logrus.New()),
			Peers: pullFunc(func(int64) (*peerv1.PullConfigResponse, error) { return (&PeerSource{Loop: readyLoop(t, 1)}).Since(0) }),
		}
		syncer.Store.(*faultyStore).delay.Store(int64(delay))
		started := time.Now()
		if !syncer.start(t.Context()) {
			t.Fatal("the start failed")
		}
		want := int64(2)
		if delay > storeStartTimeout {
			want = 1
		}
		if got := syncer.latest().Revision; got != want || time.Since(started) > 4*time.Second {
			t.Errorf("with a store delay of %v: revision %d after %v, want %d", delay, got, time.Since(started), want)
		}
	}
}

type pullFunc func(from int64) (*peerv1.PullConfigResponse, error)

func (f pullFunc) PullConfig(_ context.Context, _ string, from int64) (*peerv1.PullConfigResponse, error) {
	return f(from)
}

// readyLoop runs a loop at the given revision that has received a heartbeat of a
// confirmed peer with a higher revision.
func readyLoop(t *testing.T, revision int64) *control.Loop {
	t.Helper()
	loop := control.NewLoop(control.Identity{ID: "self", FailureDomain: "d"})
	go loop.Run(t.Context())
	loop.Post(t.Context(), control.ConfigEvent{Config: &opconfig.Config{Revision: revision}})
	loop.Post(t.Context(), control.HeartbeatEvent{
		Peer: routing.Peer{ID: "relay", FailureDomain: "d", ConfigRevision: revision + 8}, ConfigConfirmedAt: time.Now(), RequestSentAt: time.Now(),
	})
	within(t, time.Second, "the loop is ready", func() bool { return len(loop.Snapshot().Peers) == 1 && loop.Snapshot().Ready })
	return loop
}

// Guards against a peer that announces a higher revision but returns an older one, or
// deltas or a base that are damaged or do not match: the revision never goes back, and
// the peer is skipped for a while so that others are asked.
func TestALaggingRelayNeverTakesTheRevisionBack(t *testing.T) {
	responses := map[string]*peerv1.PullConfigResponse{
		"older":     {Revision: 3},
		"gap":       {Revision: 9, Deltas: [][]byte{[]byte(`{"revision":9}`)}},
		"not JSON":  {Revision: 9, Deltas: [][]byte{[]byte(`{`)}},
		"bad base":  {Revision: 9, Base: []byte(`{"revision":9,"records":1}`)},
		"low base":  {Revision: 9, Base: []byte(`{"revision":2}`)},
		"no deltas": {Revision: 9},
	}
	for name, response := range responses {
		loop := readyLoop(t, 5)
		calls := 0
		s := &Syncer{Loop: loop, Log: logrus.NewEntry(logrus.New()), Peers: pullFunc(func(int64) (*peerv1.PullConfigResponse, error) {
			calls++
			return response, nil
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

// Guards against members of a failure domain that learn of a revision only from the next
// heartbeat of a watcher.
func TestAWatcherAnnouncesARevisionOnce(t *testing.T) {
	announced := make(chan struct{}, 9)
	s := &Syncer{
		Identity: control.Identity{ID: "self", FailureDomain: "d"}, Loop: readyLoop(t, 5), Log: logrus.NewEntry(logrus.New()),
		Peers:            pullFunc(func(int64) (*peerv1.PullConfigResponse, error) { return &peerv1.PullConfigResponse{}, nil }),
		AnnounceToDomain: func(context.Context) { announced <- struct{}{} },
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*peerCheckInterval)
	defer cancel()
	if s.syncFromPeers(ctx); len(announced) != 1 {
		t.Errorf("%d announcements, want 1", len(announced))
	}
}

// Guards against a region that is cut off from the store, but not from its peers, and
// still admits a revoked API key.
func TestARegionCutOffFromTheStoreHearsOfAWithdrawal(t *testing.T) {
	_, store := startStore(t)
	key := opconfig.APIKey{Hash: opconfig.HashAPIKey("secret"), ID: "k", Account: "a"}
	set := func() opconfig.Change { return must(opconfig.Set(opconfig.TableAPIKeys, key.Hash, key)) }
	mustApply(t, store, 0, account("a", 1), set())
	f := &fleet{t: t, store: store}
	all := []*instance{f.start("near", "near", nil), f.start("far-1", "far", nil), f.start("far-2", "far", nil)}
	within(t, 10*time.Second, "all instances are ready", allAt(all, 1))
	all[1].store.down.Store(true)
	all[2].store.down.Store(true)
	key.Revoked = true
	mustApply(t, store, 1, set())
	// faultyStore does not close open watches; the reads that follow an event fail.
	t.Logf("the revocation was in force after %v", within(t, inForceTarget, "revision 2 is in force", allAt(all, 2)))
	for _, i := range all {
		if row, _ := i.loop.Snapshot().Config.APIKeys.Get(key.Hash); !row.Revoked {
			t.Error("the key is not revoked")
		}
	}
}
