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

func (r *rig) owner(key string) *instance { return r.instances[r.ranked(key)[0]] }

// other returns an instance that ranks the key neither first nor second.
func (r *rig) other(key string) *instance { return r.instances[r.ranked(key)[2]] }

func expectReplay(g Gomega, again, first result) {
	g.Expect(again.err).To(BeNil(), "%v", again.err)
	g.Expect(again.replayed).To(BeTrue())
	g.Expect(again.body).To(Equal(first.body))
}

func expectRefused(g Gomega, a result, kind errkind.Kind, ran errkind.Ran) {
	g.Expect(a.err).NotTo(BeNil())
	g.Expect(a.err.Kind).To(Equal(kind), "%v", a.err)
	g.Expect(a.err.Ran).To(Equal(ran), "%v", a.err)
}

// Guards against two runs of a key that arrives at two entry instances at once.
func TestSameKeyThroughTwoEntries(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, 4)
	r.service.SetFaults(standin.ServiceFaults{DelayMS: 100})
	key := r.keyOf(r.instances[0].slot)
	answers := make([]result, len(r.instances))
	var done sync.WaitGroup
	for i, entry := range r.instances {
		done.Go(func() { answers[i] = r.do(entry, key, "x", 5*time.Second) })
	}
	done.Wait()
	replayed := 0
	for _, a := range answers {
		g.Expect(a.err).To(BeNil(), "%v", a.err)
		g.Expect(a.body).To(Equal(answers[0].body))
		if a.replayed {
			replayed++
		}
	}
	g.Expect(replayed).To(Equal(len(answers) - 1))
	g.Expect(r.service.Runs()["x"]).To(Equal(1))
}

// Guards against a second run after the caller left, and against the loss of the
// answer that the write received later.
func TestRepeatAfterCallerLeft(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, 4)
	r.service.SetFaults(standin.ServiceFaults{DelayMS: 200})
	key := r.keyOf(r.instances[0].slot)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	gone := r.doContext(ctx, r.other(key), key, "x", 5*time.Second)
	g.Expect(gone.err.Ran).To(Equal(errkind.RanUnknown))
	impatient := r.do(r.owner(key), key, "x", 20*time.Millisecond)
	expectRefused(g, impatient, errkind.OutcomeUnknown, errkind.RanUnknown)
	again := r.do(r.owner(key), key, "x", 5*time.Second)
	g.Expect(again.err).To(BeNil(), "%v", again.err)
	g.Expect(again.replayed).To(BeTrue())
	g.Expect(r.service.Runs()["x"]).To(Equal(1))
}

// Guards against a second run, and against a lost answer, when the owner ends at any
// point and its successor takes the slot over.
func TestOwnerEnds(t *testing.T) {
	for at, want := range map[step]struct {
		runs   int
		replay bool
	}{beforeSend: {0, false}, afterSend: {1, false}, beforeFinalCopy: {1, false}, afterFinalCopy: {1, true}} {
		t.Run(string(at), func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t, 4)
			key := r.keyOf(r.instances[1].slot)
			r.owner(key).endAt.Store(at)
			first := r.do(r.other(key), key, "x", 5*time.Second)
			g.Expect(first.err).NotTo(BeNil())
			g.Expect(first.err.Ran).To(Equal(errkind.RanUnknown))
			// The outcome is unknown until the break of the pooled connection is noticed.
			g.Eventually(func(g Gomega) {
				expectRefused(g, r.do(r.other(key), key, "x", time.Second), errkind.WriteOwnerUnavailable, errkind.RanNo)
			}).Should(Succeed())
			r.restart(1)
			again := r.do(r.other(key), key, "x", time.Second)
			if want.replay {
				g.Expect(again.err).To(BeNil(), "%v", again.err)
				g.Expect(again.replayed).To(BeTrue())
			} else {
				expectRefused(g, again, errkind.OutcomeUnknown, errkind.RanUnknown)
			}
			g.Expect(r.service.Runs()["x"]).To(Equal(want.runs))
			fresh := r.do(r.other(key), r.keyOf(r.instances[1].slot), "fresh", time.Second)
			g.Expect(fresh.err).To(BeNil(), "the records are complete: %v", fresh.err)
		})
	}
}

// Guards against a write without a copy, and against a key that stays blocked after
// a refusal that says "not run".
func TestCopyHoldersUnreachable(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, 4)
	key := r.keyOf(r.instances[0].slot)
	ranked := r.ranked(key)
	r.instances[ranked[1]].kill()
	r.instances[ranked[2]].kill()
	expectRefused(g, r.do(r.owner(key), key, "x", time.Second), errkind.WriteOwnerUnavailable, errkind.RanNo)
	g.Expect(r.service.Runs()["x"]).To(BeZero())
	r.restart(ranked[2])
	first := r.do(r.owner(key), key, "x", time.Second)
	g.Expect(first.err).To(BeNil(), "%v", first.err)
	r.restart(ranked[1])
	r.restart(ranked[0])
	again := r.do(r.instances[ranked[1]], key, "x", time.Second)
	expectReplay(g, again, first)
	g.Expect(r.service.Runs()["x"]).To(Equal(1))
}

// Guards against a successor that trusts its records although the holder of the only
// copy did not answer: the store is down, so nothing proves which slots are claimed.
func TestSuccessorWithoutCopyHolder(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, 4)
	key := r.keyOf(r.instances[0].slot)
	g.Expect(r.do(r.owner(key), key, "x", time.Second).err).To(BeNil())
	copyHolder := r.ranked(key)[1]
	r.instances[copyHolder].kill()
	r.restart(0)
	again := r.do(r.owner(key), key, "x", time.Second)
	expectRefused(g, again, errkind.OutcomeUnknown, errkind.RanUnknown)
	g.Expect(again.err.Message).To(ContainSubstring("can be decided from"))
	r.restart(copyHolder)
	r.restart(0)
	expectRefused(g, r.do(r.owner(key), key, "x", time.Second), errkind.OutcomeUnknown, errkind.RanUnknown)
	g.Expect(r.service.Runs()["x"]).To(Equal(1))
}

// Guards against a new holder that runs a key before it knows the earlier records.
func TestNewHolderWaitsForRecords(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, 4)
	key := r.keyOf(r.instances[0].slot)
	first := r.do(r.owner(key), key, "x", time.Second)
	r.owner(key).kill()
	r.pulls.Lock()
	r.start(0, false)
	time.Sleep(200 * time.Millisecond)
	expectRefused(g, r.do(r.owner(key), key, "x", time.Second), errkind.WriteOwnerUnavailable, errkind.RanNo)
	r.pulls.Unlock()
	r.ready(0)
	expectReplay(g, r.do(r.owner(key), key, "x", time.Second), first)
	g.Expect(r.service.Runs()["x"]).To(Equal(1))
}

// Guards against a second run of a key whose owner changes with the set of slots.
func TestSlotsChange(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, 4)
	first := map[string]result{}
	for i := range 40 {
		key := r.keyOf(r.instances[i%4].slot)
		first[key] = r.do(r.instances[0], key, key, time.Second)
	}
	r.setSlots(5)
	moved := 0
	for key, answer := range first {
		if r.owner(key) == r.instances[4] {
			moved++
		}
		expectReplay(g, r.do(r.instances[0], key, key, time.Second), answer)
		g.Expect(r.service.Runs()[key]).To(Equal(1))
	}
	g.Expect(moved).To(BeNumerically(">", 0))

	key := r.keyOf(r.instances[4].slot)
	r.owner(key).endAt.Store(beforeSend)
	g.Expect(r.do(r.instances[0], key, "x", time.Second).err).NotTo(BeNil())
	r.setSlots(4)
	orphan := r.do(r.instances[0], key, "x", time.Second)
	expectRefused(g, orphan, errkind.OutcomeUnknown, errkind.RanUnknown)
	g.Expect(orphan.err.Message).To(ContainSubstring("its outcome is not known"), "the copy of an ended owner must not look like a running write")
}

// Guards against records that a rolling restart loses.
func TestRollingRestart(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, 4)
	first := map[string]result{}
	for i := range 20 {
		key := r.keyOf(r.instances[i%4].slot)
		first[key] = r.do(r.instances[0], key, key, time.Second)
	}
	for i := range r.instances {
		g.Expect(r.instances[i].service.HandOver(context.Background())).To(BeZero())
		r.restart(i)
	}
	for key, answer := range first {
		expectReplay(g, r.do(r.instances[0], key, key, time.Second), answer)
		g.Expect(r.service.Runs()[key]).To(Equal(1))
	}
}

// Guards against a record that is lost with the slot of a drained instance, which no
// later holder of the owner slot can miss.
func TestReleasedSlot(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, 4)
	r.storeUp = true
	key := r.keyOf(r.instances[0].slot)
	first := r.do(r.owner(key), key, "x", time.Second)
	drained := r.instances[r.ranked(key)[1]]
	g.Expect(drained.service.HandOver(context.Background())).To(BeZero())
	drained.kill()
	r.restart(0)
	expectReplay(g, r.do(r.owner(key), key, "x", time.Second), first)
	g.Expect(r.service.Runs()["x"]).To(Equal(1))

	key = r.keyOf(r.instances[0].slot)
	g.Expect(r.do(r.owner(key), key, "y", time.Second).err).To(BeNil())
	g.Expect(r.owner(key).service.HandOver(context.Background())).To(BeNumerically(">", 0), "one of three holders has ended")
}

// Guards against a key that two different writes share, against a repeat of a write
// whose answer the service lost or whose owner failed, and against a blocked key after
// a failed dial.
func TestServiceOutcomes(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, 4)
	key := r.keyOf(r.instances[0].slot)
	g.Expect(r.do(r.other(key), key, "x", time.Second).err).To(BeNil())
	expectRefused(g, r.do(r.other(key), key, "y", time.Second), errkind.IdempotencyConflict, errkind.RanNo)
	g.Expect(r.service.Runs()["y"]).To(BeZero())

	r.service.SetFaults(standin.ServiceFaults{LoseAnswer: true})
	lost := r.keyOf(r.instances[0].slot)
	g.Expect(r.do(r.other(lost), lost, "lost", time.Second).err.Ran).To(Equal(errkind.RanUnknown))
	r.service.SetFaults(standin.ServiceFaults{})
	expectRefused(g, r.do(r.other(lost), lost, "lost", time.Second), errkind.OutcomeUnknown, errkind.RanUnknown)
	g.Expect(r.service.Runs()["lost"]).To(Equal(1))

	r.instances[1].endAt.Store(panics)
	broken := r.keyOf(r.instances[1].slot)
	g.Expect(r.do(r.other(broken), broken, "broken", time.Second).err.Ran).To(Equal(errkind.RanUnknown))
	repeat := r.do(r.other(broken), broken, "broken", time.Second)
	expectRefused(g, repeat, errkind.OutcomeUnknown, errkind.RanUnknown)
	g.Expect(repeat.err.Message).To(ContainSubstring("its outcome is not known"), "the write must not look as if it ran on")

	refused := r.keyOf(r.instances[0].slot)
	address := r.upstream.Address
	r.setUpstream("127.0.0.1:1")
	g.Expect(r.do(r.other(refused), refused, "refused", time.Second).err.Ran).To(Equal(errkind.RanNo))
	r.setUpstream(address)
	// The new owner must find no copy of the canceled run.
	r.restart(0)
	g.Expect(r.do(r.other(refused), refused, "refused", time.Second).err).To(BeNil())
	g.Expect(r.service.Runs()["refused"]).To(Equal(1))
}

func (r *rig) setUpstream(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstream.Address = address
}

// Guards against a send by an instance that does not own the key or whose claim ended
// while it copied the record, and against more records than the memory allows.
func TestOwnerMayNotSend(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, 4)
	key := r.keyOf(r.instances[0].slot)
	r.owner(key).endClaimAt.Store(beforeSend)
	expectRefused(g, r.do(r.other(key), key, "x", time.Second), errkind.WriteOwnerUnavailable, errkind.RanNo)
	g.Expect(r.service.Runs()["x"]).To(BeZero())

	_, err := r.other(key).service.RunOwned(context.Background(), write(key, "x", time.Second))
	expectRefused(g, result{err: err}, errkind.WriteOwnerUnavailable, errkind.RanNo)
	g.Expect(r.service.Runs()["x"]).To(BeZero())

	full := r.keyOf(r.instances[1].slot)
	r.owner(full).service.Table.SetMaxBytes(0)
	expectRefused(g, r.do(r.other(full), full, "full", time.Second), errkind.Overloaded, errkind.RanNo)
	g.Expect(r.service.Runs()["full"]).To(BeZero())
}

// Guards against a region with one slot whose restarted instance takes a key of
// before the restart for a new one.
func TestSingleSlot(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t, 1)
	key := r.keyOf(r.instances[0].slot)
	first := r.do(r.instances[0], key, "x", time.Second)
	g.Expect(first.err).To(BeNil(), "%v", first.err)
	expectReplay(g, r.do(r.instances[0], key, "x", time.Second), first)
	r.restart(0)
	expectRefused(g, r.do(r.instances[0], key, "x", time.Second), errkind.OutcomeUnknown, errkind.RanUnknown)
	g.Expect(r.service.Runs()["x"]).To(Equal(1))
}

// Guards against any sequence of these faults that runs a write twice, calls a write
// that ran "not run", or answers a repeat differently.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := NewWithT(t)
			r := newRig(t, 5)
			rng := rand.New(rand.NewPCG(seed, 1))
			bodies := map[string]string{}
			var used []string
			answered := 0
			for n := range 400 {
				r.fault(rng)
				if rng.IntN(25) == 0 {
					// Records expire, and those that were incomplete are complete again.
					r.ahead.Add(int64(idempotency.Retention + time.Minute))
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
				before := r.service.Runs()[key]
				a := r.do(entry, key, key, 150*time.Millisecond)
				runs := r.service.Runs()[key]
				g.Expect(runs).To(BeNumerically("<=", 1), "write %d with key %s", n, key)
				if a.err != nil {
					if a.err.Ran == errkind.RanNo {
						g.Expect(runs).To(Equal(before), "write %d: %v", n, a.err)
					}
					continue
				}
				answered++
				g.Expect(runs).To(Equal(1))
				if first, ok := bodies[key]; ok {
					g.Expect(a.body).To(Equal(first))
				}
				bodies[key] = a.body
			}
			g.Expect(answered).To(BeNumerically(">", 50), "too few writes were answered to prove anything")
			t.Logf("%d of 400 writes answered", answered)
		})
	}
}

// fault causes or ends a fault of a random instance or of the service.
func (r *rig) fault(rng *rand.Rand) {
	i := rng.IntN(len(r.instances))
	n := r.instances[i]
	switch rng.IntN(13) {
	case 0, 1:
		n.endAt.Store([]step{beforeSend, afterSend, beforeFinalCopy, afterFinalCopy}[rng.IntN(4)])
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
		r.service.SetFaults(standin.ServiceFaults{LoseAnswer: rng.IntN(2) == 0, DelayMS: rng.Int64N(200)})
	case 8:
		r.mu.Lock()
		r.cut[n.slot] = true
		r.mu.Unlock()
	default:
		r.service.SetFaults(standin.ServiceFaults{})
		r.mu.Lock()
		clear(r.cut)
		r.mu.Unlock()
	}
}

// Measures what a key adds to the latency of a write, and its messages.
func BenchmarkWrite(b *testing.B) {
	b.Run("without a key", func(b *testing.B) {
		r := newRig(b, 4)
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
			r := newRig(b, 4)
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
