package writes_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
	"heatherloom/internal/idempotency"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/peer"
	"heatherloom/internal/quota"
	"heatherloom/internal/relay"
	"heatherloom/internal/routing"
	"heatherloom/internal/standin"
	"heatherloom/internal/writes"
)

// step is a point in the processing of a write at which the owner may crash.
type step string

const (
	noStep          step = ""
	beforeSend      step = "before the write is sent"
	afterSend       step = "after the write was sent"
	beforeFinalCopy step = "before the final copy"
	afterFinalCopy  step = "after the final copy"
	panics          step = "panic after the write was sent"
)

var errPartitioned = errors.New("network partition")

// instance is an entry instance with a real peer listener. The test cluster sets its
// slot claim and its view of the other instances.
type instance struct {
	*cluster
	slot        quota.Slot
	incarnation int64
	address     string
	service     *writes.Service
	client      *peer.Client
	dispatcher  *dispatch.Dispatcher
	server      *httptest.Server
	stop        context.CancelFunc
	dead        atomic.Bool
	claimEnded  atomic.Bool
	// crashAt is the step at which the instance crashes, loseClaimAt the step at which it
	// loses its claim.
	crashAt, loseClaimAt atomic.Value
	messages             atomic.Int64
}

type cluster struct {
	t        testing.TB
	division *quota.Division
	service  *standin.Service
	upstream routing.Upstream

	mu        sync.Mutex
	instances []*instance
	isolated  map[quota.Slot]bool
	// pulls blocks pulls of records while it is locked for writing.
	pulls sync.RWMutex
	// storeAvailable lets new holders read from the store which slots are claimed: those
	// of the running instances.
	storeAvailable bool
	// clockOffset is added to the real time to get the clock of all instances.
	clockOffset atomic.Int64
}

func (r *cluster) now() time.Time { return time.Now().Add(time.Duration(r.clockOffset.Load())) }

func divisionOf(slots int) *quota.Division {
	config := opconfig.New()
	config.FailureDomains["hobart-1"] = opconfig.FailureDomain{Name: "hobart-1", Region: "hobart", Slots: slots}
	return quota.NewDivision(config)
}

// setSlots changes the set of slots and advances the clock past the settle period.
func (r *cluster) setSlots(slots int) {
	r.mu.Lock()
	r.division = divisionOf(slots)
	if slots < len(r.instances) {
		r.instances = r.instances[:slots]
	}
	r.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	key := r.keyOf(r.instances[0].slot)
	rejected := r.do(r.instances[0], key, "early", time.Second)
	expectError(NewWithT(r.t), rejected, errkind.WriteOwnerUnavailable, errkind.NotExecuted)
	r.clockOffset.Add(int64(time.Minute))
	if slots > len(r.instances) {
		r.mu.Lock()
		r.instances = append(r.instances, nil)
		r.mu.Unlock()
		r.start(slots-1, true)
	}
	for i := range r.instances {
		r.waitReady(i)
	}
}

func newCluster(t testing.TB, slots int) *cluster {
	service, err := standin.StartService("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	r := &cluster{t: t, division: divisionOf(slots), service: service, isolated: map[quota.Slot]bool{}}
	r.upstream = routing.Upstream{ID: "ledger-1", Address: service.Address(), Region: "hobart", Targets: []string{"ledger"}, Counters: &routing.Counters{}}
	r.instances = make([]*instance, slots)
	for i := range slots {
		r.start(i, true)
	}
	for i := range slots {
		r.waitReady(i)
	}
	return r
}

// start starts an instance that holds slot i in place of an earlier one.
func (r *cluster) start(i int, first bool) *instance {
	n := &instance{cluster: r, slot: r.division.Slots()[i], incarnation: time.Now().UnixNano()}
	n.crashAt.Store(noStep)
	n.loseClaimAt.Store(noStep)
	n.client = peer.NewClient(n.slot.ID(), "secret")
	n.dispatcher = &dispatch.Dispatcher{Snapshot: n.snapshot, Relay: relay.New(relay.DefaultLimits()), Forwarder: n.client}
	n.service = &writes.Service{
		Snapshot: n.snapshot, Dispatcher: n, Peers: n, Table: idempotency.NewTable(r.now()), Now: r.now,
		FirstClaim: func() bool { return first },
		Timing: writes.Timing{CopyTimeout: time.Second, PullTimeout: time.Second, PeerWaitTimeout: 50 * time.Millisecond,
			SettlePeriod: time.Minute, PollInterval: 5 * time.Millisecond},
	}
	if r.storeAvailable {
		n.service.ClaimedSlots = r.claimed
	}
	server := &peer.Server{Secret: "secret", Writes: n.service}
	n.server = httptest.NewUnstartedServer(server.Handler())
	n.server.Config.Protocols = new(http.Protocols)
	n.server.Config.Protocols.SetUnencryptedHTTP2(true)
	n.server.Start()
	n.address = n.server.Listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	r.mu.Lock()
	r.instances[i] = n
	r.mu.Unlock()
	go n.service.MaintainRecords(ctx)
	r.t.Cleanup(n.kill)
	return n
}

func (r *cluster) claimed(context.Context) ([]quota.Slot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var slots []quota.Slot
	for _, n := range r.instances {
		if !n.dead.Load() {
			slots = append(slots, n.slot)
		}
	}
	return slots, nil
}

// kill crashes an instance: it neither sends nor responds any more.
func (n *instance) kill() {
	if !n.dead.Swap(true) {
		n.stop()
		_ = n.server.Listener.Close()
		n.server.CloseClientConnections()
		go n.server.Close()
	}
}

func (r *cluster) restart(i int) {
	r.instances[i].kill()
	r.start(i, false)
	r.waitReady(i)
}

// waitReady waits until the instance has collected the records of its slot.
func (r *cluster) waitReady(i int) {
	n := r.instances[i]
	key := r.keyOf(n.slot)
	NewWithT(r.t).Eventually(func() bool {
		err := r.do(n, key, "probe", time.Second).err
		return err == nil || err.Kind != errkind.WriteOwnerUnavailable
	}, 5*time.Second, 5*time.Millisecond).Should(BeTrue())
}

var keys atomic.Int64

// keyOf returns a new key that the slot owns.
func (r *cluster) keyOf(slot quota.Slot) string {
	for {
		key := "order-" + time.Duration(keys.Add(1)).String()
		if r.division.WriteSlots("guild", key, "hobart")[0] == slot {
			return key
		}
	}
}

// ranked returns the indexes of the instances whose slots are ranked for a key.
func (r *cluster) ranked(key string) (indexes []int) {
	for _, slot := range r.division.WriteSlots("guild", key, "hobart") {
		indexes = append(indexes, slot.Index)
	}
	return indexes
}

func (n *instance) snapshot() *routing.Snapshot {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &routing.Snapshot{
		SelfID: n.slot.ID(), Region: "hobart", Config: opconfig.New(), Published: n.now(),
		Quota:     quota.SlotState{Division: n.division, Own: n.slot, Held: !n.claimEnded.Load()},
		Upstreams: []routing.Upstream{n.upstream},
	}
	s.BuildIndexes()
	for _, other := range n.instances {
		if other != nil && other.slot != n.slot {
			s.Peers = append(s.Peers, routing.Peer{ID: other.slot.ID(), Region: "hobart", PeerAddress: other.address, Slot: other.slot.ID(), Incarnation: other.incarnation})
		}
	}
	return s
}

func (n *instance) isUnreachable(p routing.Peer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	peerIsolated := false
	for slot := range n.isolated {
		peerIsolated = peerIsolated || slot.ID() == p.Slot
	}
	return n.dead.Load() || n.isolated[n.slot] || peerIsolated
}

// RunWrite implements writes.Peers.
func (n *instance) RunWrite(ctx context.Context, p routing.Peer, w *writes.Write) (writes.Result, *errkind.Error) {
	if n.isUnreachable(p) {
		return writes.Result{}, errkind.New(errkind.WriteOwnerUnavailable, "network partition")
	}
	n.messages.Add(1)
	return n.client.RunWrite(ctx, p, w)
}

// CopyWrite implements writes.Peers.
func (n *instance) CopyWrite(ctx context.Context, p routing.Peer, r idempotency.Record) (bool, error) {
	if r.State == idempotency.StateDone && n.crashAt.Load() == beforeFinalCopy {
		n.kill()
	}
	if n.isUnreachable(p) {
		return false, errPartitioned
	}
	n.messages.Add(1)
	accepted, err := n.client.CopyWrite(ctx, p, r)
	if r.State == idempotency.StateRunning && n.loseClaimAt.Load() == beforeSend {
		n.claimEnded.Store(true)
	}
	if r.State == idempotency.StateDone && n.crashAt.Load() == afterFinalCopy {
		n.kill()
	}
	return accepted, err
}

// PullWrites implements writes.Peers.
func (n *instance) PullWrites(ctx context.Context, p routing.Peer, slot quota.Slot, slotSetHash uint64) (writes.PullResponse, error) {
	n.pulls.RLock()
	defer n.pulls.RUnlock()
	if n.isUnreachable(p) {
		return writes.PullResponse{}, errPartitioned
	}
	return n.client.PullWrites(ctx, p, slot, slotSetHash)
}

// Dispatch implements writes.Dispatcher.
func (n *instance) Dispatch(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) *errkind.Error {
	if n.crashAt.Load() == beforeSend {
		n.kill()
	}
	if n.dead.Load() {
		return errkind.Wrap(errPartitioned, errkind.Internal, errkind.ExecutionUnknown, "the instance crashed")
	}
	err := n.dispatcher.Dispatch(ctx, r, sink)
	if n.crashAt.Load() == panics {
		panic("test panic")
	}
	if n.crashAt.Load() == afterSend {
		n.kill()
	}
	return err
}

// result is the response that a caller receives.
type result struct {
	err      *errkind.Error
	body     string
	replayed bool
}

func (a *result) Head(_ int, header http.Header) error {
	a.replayed = header.Get(writes.HeaderReplayed) == "true"
	return nil
}

func (a *result) Data(p []byte) error {
	a.body += string(p)
	return nil
}

func (r *cluster) do(entry *instance, key, body string, timeout time.Duration) result {
	return r.doContext(context.Background(), entry, key, body, timeout)
}

func write(key, body string, timeout time.Duration) *writes.Write {
	return &writes.Write{Key: key, Region: "hobart", Request: &dispatch.Request{
		ID: "r-" + time.Duration(keys.Add(1)).String(), Account: "guild", Method: http.MethodPost, Path: "/orders",
		Body: []byte(body), Target: "ledger", BoundRegion: "hobart", Deadline: time.Now().Add(timeout),
	}}
}

// doContext sends a write as the gateway does. The response of an instance that crashed
// is lost.
func (r *cluster) doContext(ctx context.Context, entry *instance, key, body string, timeout time.Duration) result {
	var a result
	a.err = entry.service.Run(ctx, write(key, body, timeout), &a)
	if entry.dead.Load() {
		return result{err: errkind.Wrap(errPartitioned, errkind.Internal, errkind.ExecutionUnknown, "the entry instance crashed")}
	}
	return a
}
