package writes_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"heatherloom/internal/errkind"
	"heatherloom/internal/idempotency"
	"heatherloom/internal/standin"
)

func (r *cluster) owner(key string) *instance { return r.instances[r.ranked(key)[0]] }

// other returns the instance whose slot is ranked third for the key.
func (r *cluster) other(key string) *instance { return r.instances[r.ranked(key)[2]] }

func expectReplay(g Gomega, again, first result) {
	g.Expect(again.err).To(BeNil(), "%v", again.err)
	g.Expect(again.replayed).To(BeTrue())
	g.Expect(again.body).To(Equal(first.body))
}

func expectError(g Gomega, a result, kind errkind.Kind, execution errkind.Execution) {
	g.Expect(a.err).NotTo(BeNil())
	g.Expect(a.err.Kind).To(Equal(kind), "%v", a.err)
	g.Expect(a.err.Execution).To(Equal(execution), "%v", a.err)
}

// Guards against running a write twice when its key arrives at several entry instances
// at once.
func TestSameKeyThroughTwoEntries(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(t, 4)
	r.service.SetFaults(standin.ServiceFaults{DelayMS: 100})
	key := r.keyOf(r.instances[0].slot)
	results := make([]result, len(r.instances))
	var done sync.WaitGroup
	for i, entry := range r.instances {
		done.Go(func() { results[i] = r.do(entry, key, "x", 5*time.Second) })
	}
	done.Wait()
	replayed := 0
	for _, a := range results {
		g.Expect(a.err).To(BeNil(), "%v", a.err)
		g.Expect(a.body).To(Equal(results[0].body))
		if a.replayed {
			replayed++
		}
	}
	g.Expect(replayed).To(Equal(len(results) - 1))
	g.Expect(r.service.Executions()["x"]).To(Equal(1))
}

// Guards against a second run after the caller disconnected, and against losing the
// response that arrives afterwards.
func TestRepeatAfterCallerLeft(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(t, 4)
	r.service.SetFaults(standin.ServiceFaults{DelayMS: 200})
	key := r.keyOf(r.instances[0].slot)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	disconnected := r.doContext(ctx, r.other(key), key, "x", 5*time.Second)
	g.Expect(disconnected.err.Execution).To(Equal(errkind.ExecutionUnknown))
	timedOut := r.do(r.owner(key), key, "x", 20*time.Millisecond)
	expectError(g, timedOut, errkind.OutcomeUnknown, errkind.ExecutionUnknown)
	again := r.do(r.owner(key), key, "x", 5*time.Second)
	g.Expect(again.err).To(BeNil(), "%v", again.err)
	g.Expect(again.replayed).To(BeTrue())
	g.Expect(r.service.Executions()["x"]).To(Equal(1))
}

// Guards against a second run, and against a lost response, when the owner crashes at
// any step and a successor takes over its slot.
func TestOwnerEnds(t *testing.T) {
	for at, want := range map[step]struct {
		runs   int
		replay bool
	}{beforeSend: {0, false}, afterSend: {1, false}, beforeFinalCopy: {1, false}, afterFinalCopy: {1, true}} {
		t.Run(string(at), func(t *testing.T) {
			g := NewWithT(t)
			r := newCluster(t, 4)
			key := r.keyOf(r.instances[1].slot)
			r.owner(key).crashAt.Store(at)
			first := r.do(r.other(key), key, "x", 5*time.Second)
			g.Expect(first.err).NotTo(BeNil())
			g.Expect(first.err.Execution).To(Equal(errkind.ExecutionUnknown))
			// The outcome is unknown until the pooled connection is seen to be closed.
			g.Eventually(func(g Gomega) {
				expectError(g, r.do(r.other(key), key, "x", time.Second), errkind.WriteOwnerUnavailable, errkind.NotExecuted)
			}).Should(Succeed())
			r.restart(1)
			again := r.do(r.other(key), key, "x", time.Second)
			if want.replay {
				g.Expect(again.err).To(BeNil(), "%v", again.err)
				g.Expect(again.replayed).To(BeTrue())
			} else {
				expectError(g, again, errkind.OutcomeUnknown, errkind.ExecutionUnknown)
			}
			g.Expect(r.service.Executions()["x"]).To(Equal(want.runs))
			fresh := r.do(r.other(key), r.keyOf(r.instances[1].slot), "fresh", time.Second)
			g.Expect(fresh.err).To(BeNil(), "the records are complete: %v", fresh.err)
		})
	}
}

// Guards against sending a write whose record has no copy, and against a key that stays
// blocked after the write was rejected as not executed.
func TestCopyHoldersUnreachable(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(t, 4)
	key := r.keyOf(r.instances[0].slot)
	ranked := r.ranked(key)
	r.instances[ranked[1]].kill()
	r.instances[ranked[2]].kill()
	expectError(g, r.do(r.owner(key), key, "x", time.Second), errkind.WriteOwnerUnavailable, errkind.NotExecuted)
	g.Expect(r.service.Executions()["x"]).To(BeZero())
	r.restart(ranked[2])
	first := r.do(r.owner(key), key, "x", time.Second)
	g.Expect(first.err).To(BeNil(), "%v", first.err)
	r.restart(ranked[1])
	r.restart(ranked[0])
	again := r.do(r.instances[ranked[1]], key, "x", time.Second)
	expectReplay(g, again, first)
	g.Expect(r.service.Executions()["x"]).To(Equal(1))
}

// Guards against a successor that takes its records for complete although the holder of
// the only copy did not respond: the store is down, so the claimed slots are not known.
func TestSuccessorWithoutCopyHolder(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(t, 4)
	key := r.keyOf(r.instances[0].slot)
	g.Expect(r.do(r.owner(key), key, "x", time.Second).err).To(BeNil())
	copyHolder := r.ranked(key)[1]
	r.instances[copyHolder].kill()
	r.restart(0)
	again := r.do(r.owner(key), key, "x", time.Second)
	expectError(g, again, errkind.OutcomeUnknown, errkind.ExecutionUnknown)
	g.Expect(again.err.Message).To(ContainSubstring("can be decided from"))
	r.restart(copyHolder)
	r.restart(0)
	expectError(g, r.do(r.owner(key), key, "x", time.Second), errkind.OutcomeUnknown, errkind.ExecutionUnknown)
	g.Expect(r.service.Executions()["x"]).To(Equal(1))
}

// Guards against a new holder that runs a write before it has the earlier records.
func TestNewHolderWaitsForRecords(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(t, 4)
	key := r.keyOf(r.instances[0].slot)
	first := r.do(r.owner(key), key, "x", time.Second)
	r.owner(key).kill()
	r.pulls.Lock()
	r.start(0, false)
	time.Sleep(200 * time.Millisecond)
	expectError(g, r.do(r.owner(key), key, "x", time.Second), errkind.WriteOwnerUnavailable, errkind.NotExecuted)
	r.pulls.Unlock()
	r.waitReady(0)
	expectReplay(g, r.do(r.owner(key), key, "x", time.Second), first)
	g.Expect(r.service.Executions()["x"]).To(Equal(1))
}

// Guards against a second run of a write whose owner changes with the set of slots.
func TestSlotsChange(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(t, 4)
	first := map[string]result{}
	for i := range 40 {
		key := r.keyOf(r.instances[i%4].slot)
		first[key] = r.do(r.instances[0], key, key, time.Second)
	}
	r.setSlots(5)
	moved := 0
	for key, want := range first {
		if r.owner(key) == r.instances[4] {
			moved++
		}
		expectReplay(g, r.do(r.instances[0], key, key, time.Second), want)
		g.Expect(r.service.Executions()[key]).To(Equal(1))
	}
	g.Expect(moved).To(BeNumerically(">", 0))

	key := r.keyOf(r.instances[4].slot)
	r.owner(key).crashAt.Store(beforeSend)
	g.Expect(r.do(r.instances[0], key, "x", time.Second).err).NotTo(BeNil())
	r.setSlots(4)
	orphan := r.do(r.instances[0], key, "x", time.Second)
	expectError(g, orphan, errkind.OutcomeUnknown, errkind.ExecutionUnknown)
	g.Expect(orphan.err.Message).To(ContainSubstring("its outcome is not known"), "the copy of a crashed owner must not look like a running write")
}

// Guards against losing records in a rolling restart.
func TestRollingRestart(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(t, 4)
	first := map[string]result{}
	for i := range 20 {
		key := r.keyOf(r.instances[i%4].slot)
		first[key] = r.do(r.instances[0], key, key, time.Second)
	}
	for i := range r.instances {
		g.Expect(r.instances[i].service.HandOver(context.Background())).To(BeZero())
		r.restart(i)
	}
	for key, want := range first {
		expectReplay(g, r.do(r.instances[0], key, key, time.Second), want)
		g.Expect(r.service.Executions()[key]).To(Equal(1))
	}
}

// Guards against losing a record with the released slot of a drained instance: a later
// holder of the owner slot would not notice that it is missing.
func TestReleasedSlot(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(t, 4)
	r.storeAvailable = true
	key := r.keyOf(r.instances[0].slot)
	first := r.do(r.owner(key), key, "x", time.Second)
	drained := r.instances[r.ranked(key)[1]]
	g.Expect(drained.service.HandOver(context.Background())).To(BeZero())
	drained.kill()
	r.restart(0)
	expectReplay(g, r.do(r.owner(key), key, "x", time.Second), first)
	g.Expect(r.service.Executions()["x"]).To(Equal(1))

	key = r.keyOf(r.instances[0].slot)
	g.Expect(r.do(r.owner(key), key, "y", time.Second).err).To(BeNil())
	g.Expect(r.owner(key).service.HandOver(context.Background())).To(BeNumerically(">", 0), "one of three holders has crashed")
}

// Guards against accepting one key for two different writes, against rerunning a write
// whose response the service lost or whose owner panicked, and against a key that stays
// blocked after a failed dial.
func TestServiceOutcomes(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(t, 4)
	key := r.keyOf(r.instances[0].slot)
	g.Expect(r.do(r.other(key), key, "x", time.Second).err).To(BeNil())
	expectError(g, r.do(r.other(key), key, "y", time.Second), errkind.IdempotencyConflict, errkind.NotExecuted)
	g.Expect(r.service.Executions()["y"]).To(BeZero())

	r.service.SetFaults(standin.ServiceFaults{DropResponse: true})
	lost := r.keyOf(r.instances[0].slot)
	g.Expect(r.do(r.other(lost), lost, "lost", time.Second).err.Execution).To(Equal(errkind.ExecutionUnknown))
	r.service.SetFaults(standin.ServiceFaults{})
	expectError(g, r.do(r.other(lost), lost, "lost", time.Second), errkind.OutcomeUnknown, errkind.ExecutionUnknown)
	g.Expect(r.service.Executions()["lost"]).To(Equal(1))

	r.instances[1].crashAt.Store(panics)
	broken := r.keyOf(r.instances[1].slot)
	g.Expect(r.do(r.other(broken), broken, "broken", time.Second).err.Execution).To(Equal(errkind.ExecutionUnknown))
	repeat := r.do(r.other(broken), broken, "broken", time.Second)
	expectError(g, repeat, errkind.OutcomeUnknown, errkind.ExecutionUnknown)
	g.Expect(repeat.err.Message).To(ContainSubstring("its outcome is not known"), "the write must not look as if it were still running")

	refused := r.keyOf(r.instances[0].slot)
	address := r.upstream.Address
	r.setUpstream("127.0.0.1:1")
	g.Expect(r.do(r.other(refused), refused, "refused", time.Second).err.Execution).To(Equal(errkind.NotExecuted))
	r.setUpstream(address)
	// The new owner must not find a copy of the canceled write.
	r.restart(0)
	g.Expect(r.do(r.other(refused), refused, "refused", time.Second).err).To(BeNil())
	g.Expect(r.service.Executions()["refused"]).To(Equal(1))
}

func (r *cluster) setUpstream(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstream.Address = address
}

// Guards against sending from an instance that does not own the key or that lost its
// claim while it copied the record, and against exceeding the memory limit for records.
func TestOwnerMayNotSend(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(t, 4)
	key := r.keyOf(r.instances[0].slot)
	r.owner(key).loseClaimAt.Store(beforeSend)
	expectError(g, r.do(r.other(key), key, "x", time.Second), errkind.WriteOwnerUnavailable, errkind.NotExecuted)
	g.Expect(r.service.Executions()["x"]).To(BeZero())

	_, err := r.other(key).service.RunAsOwner(context.Background(), write(key, "x", time.Second))
	expectError(g, result{err: err}, errkind.WriteOwnerUnavailable, errkind.NotExecuted)
	g.Expect(r.service.Executions()["x"]).To(BeZero())

	full := r.keyOf(r.instances[1].slot)
	r.owner(full).service.Table.SetMaxBytes(0)
	expectError(g, r.do(r.other(full), full, "full", time.Second), errkind.Overloaded, errkind.NotExecuted)
	g.Expect(r.service.Executions()["full"]).To(BeZero())
}

// Guards against a restarted instance of a region with one slot that treats a key used
// before the restart as new.
func TestSingleSlot(t *testing.T) {
	g := NewWithT(t)
	r := newCluster(t, 1)
	key := r.keyOf(r.instances[0].slot)
	first := r.do(r.instances[0], key, "x", time.Second)
	g.Expect(first.err).To(BeNil(), "%v", first.err)
	expectReplay(g, r.do(r.instances[0], key, "x", time.Second), first)
	r.restart(0)
	expectError(g, r.do(r.instances[0], key, "x", time.Second), errkind.OutcomeUnknown, errkind.ExecutionUnknown)
	g.Expect(r.service.Executions()["x"]).To(Equal(1))
}

// Guards against any sequence of the injected faults that runs a write twice, reports an
// executed write as not executed, or returns a different response to a retry.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := NewWithT(t)
			r := newCluster(t, 5)
			rng := rand.New(rand.NewPCG(seed, 1))
			bodies := map[string]string{}
			var used []string
			succeeded := 0
			for n := range 400 {
				r.injectFault(rng)
				if rng.IntN(25) == 0 {
					// Records expire, and incomplete records count as complete again.
					r.clockOffset.Add(int64(idempotency.Retention + time.Minute))
					used, bodies = nil, map[string]string{}
				}
				key := r.keyOf(r.instances[rng.IntN(5)].slot)
				if len(used) > 0 && rng.IntN(3) == 0 {
					key = used[rng.IntN(len(used))]
				}
				used = append(used, key)
				entry := r.instances[rng.IntN(5)]
				if entry.dead.Load() {
					continue
				}
				before := r.service.Executions()[key]
				a := r.do(entry, key, key, 150*time.Millisecond)
				runs := r.service.Executions()[key]
				g.Expect(runs).To(BeNumerically("<=", 1), "write %d with key %s", n, key)
				if a.err != nil {
					if a.err.Execution == errkind.NotExecuted {
						g.Expect(runs).To(Equal(before), "write %d: %v", n, a.err)
					}
					continue
				}
				succeeded++
				g.Expect(runs).To(Equal(1))
				if first, ok := bodies[key]; ok {
					g.Expect(a.body).To(Equal(first))
				}
				bodies[key] = a.body
			}
			g.Expect(succeeded).To(BeNumerically(">", 50), "too few writes succeeded for the test to be meaningful")
			t.Logf("%d of 400 writes succeeded", succeeded)
		})
	}
}

// injectFault starts or ends a fault of a random instance or of the service.
func (r *cluster) injectFault(rng *rand.Rand) {
	i := rng.IntN(len(r.instances))
	n := r.instances[i]
	switch rng.IntN(13) {
	case 0, 1:
		n.crashAt.Store([]step{beforeSend, afterSend, beforeFinalCopy, afterFinalCopy}[rng.IntN(4)])
	case 2, 3, 4, 5:
		for j := range r.instances {
			if r.instances[j].dead.Load() {
				r.restart(j)
			}
		}
	case 6:
		n.service.HandOver(context.Background())
		r.restart(i)
	case 7:
		r.service.SetFaults(standin.ServiceFaults{DropResponse: rng.IntN(2) == 0, DelayMS: rng.Int64N(200)})
	case 8:
		r.mu.Lock()
		r.isolated[n.slot] = true
		r.mu.Unlock()
	default:
		r.service.SetFaults(standin.ServiceFaults{})
		r.mu.Lock()
		clear(r.isolated)
		r.mu.Unlock()
	}
}

// Measures the latency that a key adds to a write and the messages that it sends.
func BenchmarkWrite(b *testing.B) {
	b.Run("without a key", func(b *testing.B) {
		r := newCluster(b, 4)
		n := r.instances[0]
		for b.Loop() {
			request := write(r.keyOf(n.slot), "x", time.Second).Request
			if err := n.dispatcher.Dispatch(context.Background(), request, &result{}); err != nil {
				b.Fatal(err)
			}
		}
	})
	for name, entry := range map[string]int{"at the owner": 0, "at another instance": 2} {
		b.Run(name, func(b *testing.B) {
			r := newCluster(b, 4)
			var sent int64
			for b.Loop() {
				key := r.keyOf(r.instances[0].slot)
				if a := r.do(r.instances[r.ranked(key)[entry]], key, "x", time.Second); a.err != nil {
					b.Fatal(a.err)
				}
			}
			for _, n := range r.instances {
				sent += n.messages.Load()
			}
			b.ReportMetric(float64(sent)/float64(b.N), "messages/op")
		})
	}
}
