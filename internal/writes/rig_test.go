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

// step is a point of the flow at which an owner may end.
type step string

const (
	never           step = ""
	beforeSend      step = "before the write is sent"
	afterSend       step = "after the write was sent"
	beforeFinalCopy step = "before the final copy"
	afterFinalCopy  step = "after the final copy"
	panics          step = "panic after the write was sent"
)

var errCut = errors.New("cut off")

// instance is an entry instance with a real peer listener. Its claim and its view of
// the others are set by the rig.
type instance struct {
	*rig
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
	// endAt is when the instance ends, endClaimAt when its claim ends.
	endAt, endClaimAt atomic.Value
	messages          atomic.Int64
}

type rig struct {
	t        testing.TB
	division *quota.Division
	service  *standin.Service
	upstream routing.Upstream

	mu        sync.Mutex
	instances []*instance
	cut       map[quota.Slot]bool
	// pulls blocks the reading of records while it is locked.
	pulls sync.RWMutex
	// storeUp tells new holders which slots are claimed: those of living instances.
	storeUp bool
	// ahead is how far the clock of all instances is ahead of the real one.
	ahead atomic.Int64
}

func (r *rig) now() time.Time { return time.Now().Add(time.Duration(r.ahead.Load())) }

func divisionOf(slots int) *quota.Division {
	config := opconfig.New()
	config.Domains["hobart-1"] = opconfig.Domain{Name: "hobart-1", Region: "hobart", Slots: slots}
	return quota.NewDivision(config)
}

// setSlots changes the set of slots and lets the settling period pass.
func (r *rig) setSlots(slots int) {
	r.mu.Lock()
	r.division = divisionOf(slots)
	if slots < len(r.instances) {
		r.instances = r.instances[:slots]
	}
	r.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	key := r.keyOf(r.instances[0].slot)
	refused := r.do(r.instances[0], key, "early", time.Second)
	expectRefused(NewWithT(r.t), refused, errkind.WriteOwnerUnavailable, errkind.RanNo)
	r.ahead.Add(int64(time.Minute))
	if slots > len(r.instances) {
		r.mu.Lock()
		r.instances = append(r.instances, nil)
		r.mu.Unlock()
		r.start(slots-1, true)
	}
	for i := range r.instances {
		r.ready(i)
	}
}

func newRig(t testing.TB, slots int) *rig {
	service, err := standin.StartService("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	r := &rig{t: t, division: divisionOf(slots), service: service, cut: map[quota.Slot]bool{}}
	r.upstream = routing.Upstream{ID: "ledger-1", Address: service.Address(), Region: "hobart", Targets: []string{"ledger"}, Counters: &routing.Counters{}}
	r.instances = make([]*instance, slots)
	for i := range slots {
		r.start(i, true)
	}
	for i := range slots {
		r.ready(i)
	}
	return r
}

// start replaces the instance that holds slot i.
func (r *rig) start(i int, first bool) *instance {
	n := &instance{rig: r, slot: r.division.Slots()[i], incarnation: time.Now().UnixNano()}
	n.endAt.Store(never)
	n.endClaimAt.Store(never)
	n.client = peer.NewClient(n.slot.ID(), "secret")
	n.dispatcher = &dispatch.Dispatcher{Snapshot: n.snapshot, Relay: relay.New(relay.DefaultLimits()), Forward: n.client}
	n.service = &writes.Service{
		Snapshot: n.snapshot, Dispatcher: n, Peers: n, Table: idempotency.NewTable(r.now()), Now: r.now,
		FirstClaim: func() bool { return first },
		Timing: writes.Timing{Copy: time.Second, Pull: time.Second, Gather: 50 * time.Millisecond,
			Settle: time.Minute, Poll: 5 * time.Millisecond},
	}
	if r.storeUp {
		n.service.Claimed = r.claimed
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
	go n.service.Follow(ctx)
	r.t.Cleanup(n.kill)
	return n
}

func (r *rig) claimed(context.Context) ([]quota.Slot, error) {
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

// kill ends an instance as a crash does: it neither sends nor answers any more.
func (n *instance) kill() {
	if !n.dead.Swap(true) {
		n.stop()
		_ = n.server.Listener.Close()
		n.server.CloseClientConnections()
		go n.server.Close()
	}
}

func (r *rig) restart(i int) {
	r.instances[i].kill()
	r.start(i, false)
	r.ready(i)
}

// ready waits until the instance has collected the records of its slot.
func (r *rig) ready(i int) {
	n := r.instances[i]
	key := r.keyOf(n.slot)
	NewWithT(r.t).Eventually(func() bool {
		err := r.do(n, key, "probe", time.Second).err
		return err == nil || err.Kind != errkind.WriteOwnerUnavailable
	}, 5*time.Second, 5*time.Millisecond).Should(BeTrue())
}

var keys atomic.Int64

// keyOf returns a new key that the slot owns.
func (r *rig) keyOf(slot quota.Slot) string {
	for {
		key := "order-" + time.Duration(keys.Add(1)).String()
		if r.division.WriteSlots("guild", key, "hobart")[0] == slot {
			return key
		}
	}
}

// ranked returns the instances that rank a key.
func (r *rig) ranked(key string) (indexes []int) {
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
		Slots:     quota.View{Division: n.division, Own: n.slot, Held: !n.claimEnded.Load()},
		Upstreams: []routing.Upstream{n.upstream},
	}
	s.Index()
	for _, other := range n.instances {
		if other != nil && other.slot != n.slot {
			s.Peers = append(s.Peers, routing.Peer{ID: other.slot.ID(), Region: "hobart", PeerAddress: other.address, Slot: other.slot.ID(), Incarnation: other.incarnation})
		}
	}
	return s
}

func (n *instance) isCut(p routing.Peer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	other := false
	for slot := range n.cut {
		other = other || slot.ID() == p.Slot
	}
	return n.dead.Load() || n.cut[n.slot] || other
}

// RunWrite implements writes.Peers.
func (n *instance) RunWrite(ctx context.Context, p routing.Peer, w *writes.Write) (writes.Answer, *errkind.Error) {
	if n.isCut(p) {
		return writes.Answer{}, errkind.New(errkind.WriteOwnerUnavailable, "cut off")
	}
	n.messages.Add(1)
	return n.client.RunWrite(ctx, p, w)
}

// CopyWrite implements writes.Peers.
func (n *instance) CopyWrite(ctx context.Context, p routing.Peer, r idempotency.Record) (bool, error) {
	if r.State == idempotency.Done && n.endAt.Load() == beforeFinalCopy {
		n.kill()
	}
	if n.isCut(p) {
		return false, errCut
	}
	n.messages.Add(1)
	accepted, err := n.client.CopyWrite(ctx, p, r)
	if r.State == idempotency.Running && n.endClaimAt.Load() == beforeSend {
		n.claimEnded.Store(true)
	}
	if r.State == idempotency.Done && n.endAt.Load() == afterFinalCopy {
		n.kill()
	}
	return accepted, err
}

// PullWrites implements writes.Peers.
func (n *instance) PullWrites(ctx context.Context, p routing.Peer, slot quota.Slot, division uint64) (writes.Pulled, error) {
	n.pulls.RLock()
	defer n.pulls.RUnlock()
	if n.isCut(p) {
		return writes.Pulled{}, errCut
	}
	return n.client.PullWrites(ctx, p, slot, division)
}

// Dispatch implements writes.Dispatcher.
func (n *instance) Dispatch(ctx context.Context, r *dispatch.Request, sink dispatch.Sink) *errkind.Error {
	if n.endAt.Load() == beforeSend {
		n.kill()
	}
	if n.dead.Load() {
		return errkind.Wrap(errCut, errkind.Internal, errkind.RanUnknown, "the instance ended")
	}
	err := n.dispatcher.Dispatch(ctx, r, sink)
	if n.endAt.Load() == panics {
		panic("test panic")
	}
	if n.endAt.Load() == afterSend {
		n.kill()
	}
	return err
}

// result is what a caller sees.
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

func (r *rig) do(entry *instance, key, body string, timeout time.Duration) result {
	return r.doContext(context.Background(), entry, key, body, timeout)
}

func write(key, body string, timeout time.Duration) *writes.Write {
	return &writes.Write{Key: key, Region: "hobart", Request: &dispatch.Request{
		ID: "r-" + time.Duration(keys.Add(1)).String(), Account: "guild", Method: http.MethodPost, Path: "/orders",
		Body: []byte(body), Target: "ledger", BoundRegion: "hobart", Deadline: time.Now().Add(timeout),
	}}
}

// doContext sends a write as the gateway does. The answer of an instance that ended
// is lost.
func (r *rig) doContext(ctx context.Context, entry *instance, key, body string, timeout time.Duration) result {
	var a result
	a.err = entry.service.Run(ctx, write(key, body, timeout), &a)
	if entry.dead.Load() {
		return result{err: errkind.Wrap(errCut, errkind.Internal, errkind.RanUnknown, "the entry instance ended")}
	}
	return a
}
