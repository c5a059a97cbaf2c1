package rolloutctl

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"heatherloom/internal/control"
	"heatherloom/internal/external"
	"heatherloom/internal/external/engineapi"
	"heatherloom/internal/external/etcdgw"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/rollout"
	"heatherloom/internal/standin"
)

// fakeLease is a lease whose validity is set by the test.
type fakeLease struct {
	mu    sync.Mutex
	token int64
	valid bool
}

func (l *fakeLease) Valid() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.valid
}

func (l *fakeLease) set(valid bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.valid = valid
}

// orderRecorder forwards orders to the engine and records their fencing tokens.
type orderRecorder struct {
	external.EngineControl
	mu     sync.Mutex
	fences []int64
}

func (o *orderRecorder) Apply(ctx context.Context, address string, order external.EngineOrder) error {
	o.mu.Lock()
	o.fences = append(o.fences, order.FencingToken)
	o.mu.Unlock()
	return o.EngineControl.Apply(ctx, address, order)
}

func (o *orderRecorder) sent() []int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.fences)
}

const testOrderWait = 500 * time.Millisecond

// startController runs a controller that knows the rollout in the given state.
func startController(t *testing.T, id string, store external.Store, engine *standin.Engine, leader Lease, orders *orderRecorder, r rollout.Rollout) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	identity := control.Identity{ID: id, Region: "r", FailureDomain: "r-1"}
	loop := control.NewLoop(identity)
	go loop.Run(ctx)
	config := opconfig.New()
	config.Revision = 1
	config.Models["lantern"] = opconfig.Model{Name: "lantern", Version: "1"}
	config.Rollouts[r.ID()] = opconfig.Rollout{Target: r.Target, Version: r.Version}
	loop.Post(ctx, control.ConfigEvent{Config: config})
	loop.Post(ctx, control.InstancesEvent{Instances: []external.Instance{{ID: "engine", Role: external.RoleEngine, Region: "r", FailureDomain: "r-1",
		Address: engine.Address(), State: external.InstanceLive, Models: []string{"lantern@1"}}}})
	loop.Post(ctx, control.ModelRolloutsEvent{Rollouts: []rollout.Rollout{r}})
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	c := &Controller{
		Identity: identity, Loop: loop, Store: store, Lease: leader, IsWatcher: func() bool { return false }, Engines: orders,
		Recorder: NewRecorder(id, func(rollout.Stop) {}), AnnounceToDomain: func(context.Context) {}, Log: logrus.NewEntry(discard),
		Timing: Timing{Interval: 20 * time.Millisecond, EvidenceInterval: time.Second, EvidenceMaxAge: time.Second, OrderDelay: testOrderWait},
	}
	go c.Run(ctx)
}

// TestHoldersDoNotAlternate guards against two lease holders that undo each other's
// orders at an engine that ignores fencing tokens, against a new holder that sends orders
// before the old one must have stopped, and against a delayed order that stays in effect.
func TestHoldersDoNotAlternate(t *testing.T) {
	g := NewWithT(t)
	store, err := standin.StartStore("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(store.Close)
	engine, err := standin.StartEngine("127.0.0.1:0", time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(engine.Close)
	engine.SetLoaded("lantern@1")
	engine.SetOrders(standin.OrderOptions{IgnoreFence: true})
	orders := &orderRecorder{EngineControl: engineapi.New()}
	serving := rollout.Rollout{Target: "lantern", Version: "2", From: "1", State: rollout.Serving, Step: 3, Sequence: 5}
	rolledBack := serving
	rolledBack.State, rolledBack.Sequence = rollout.RolledBack, 6
	first, second := &fakeLease{token: 1, valid: true}, &fakeLease{token: 2}
	client := etcdgw.New(store.URL())
	startController(t, "old", client, engine, first, orders, serving)
	startController(t, "new", client, engine, second, orders, rolledBack)
	loaded := func() []string { return engine.EngineState().Order.Models }

	g.Eventually(loaded, "5s", "10ms").Should(ConsistOf("lantern@1", "lantern@2"))
	first.set(false)
	before := len(orders.sent())
	second.set(true)
	g.Consistently(func() int { return len(orders.sent()) }, testOrderWait*4/5, "10ms").Should(Equal(before), "the new holder must wait before it sends orders")
	g.Eventually(loaded, "5s", "10ms").Should(ConsistOf("lantern@1"))
	late := external.EngineOrder{FencingToken: 1, Models: []string{"lantern@1", "lantern@2"}}
	g.Expect(engineapi.New().Apply(context.Background(), engine.Address(), late)).To(Succeed())
	g.Eventually(loaded, "5s", "10ms").Should(ConsistOf("lantern@1"), "a delayed order is corrected")
	fences := orders.sent()
	g.Expect(slices.IsSorted(fences)).To(BeTrue(), "order of the fencing tokens: %v", fences)
	g.Consistently(func() int { return len(orders.sent()) }, "300ms", "20ms").Should(Equal(len(fences)), "no further order once the state is reached")
}
