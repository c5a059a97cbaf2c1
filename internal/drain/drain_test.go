package drain

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/errkind"
)

func TestDrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "drain")
}

var _ = Describe("the gate", func() {
	// Guards against a drain that refuses callers whose list of entry instances is
	// still valid, and one that ends while a request runs.
	It("serves while announced, then refuses, and is done when no request runs", func() {
		var phases []Phase
		g := NewGate()
		g.OnPhase = func(p Progress) { phases = append(phases, p.Phase) }
		Expect(g.Enter()).To(BeNil())
		g.Request("test")
		g.Request("again")
		Expect(g.Requested()).To(BeClosed())
		Expect(g.Enter()).To(BeNil())
		g.Leave()

		done := make(chan error, 1)
		go func() { done <- g.Run(context.Background(), 20*time.Millisecond) }()
		Eventually(func() Phase { return g.Progress().Phase }).Should(Equal(Refusing))
		err := g.Enter()
		Expect(err.Kind).To(Equal(errkind.Draining))
		Expect(err.Execution).To(Equal(errkind.NotExecuted))
		Consistently(done, "50ms").ShouldNot(Receive())
		g.Leave()
		Eventually(done).Should(Receive(BeNil()))
		Expect(phases).To(Equal([]Phase{Announced, Refusing, Drained}))
		Expect(g.Progress().Reason).To(Equal("test"))
	})

	// Guards against a request that is admitted after the drain is done.
	It("admits nothing after it is done, under concurrent requests", func() {
		g := NewGate()
		var running atomic.Int64
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for g.Enter() == nil {
					running.Add(1)
					running.Add(-1)
					g.Leave()
				}
			})
		}
		g.Request("test")
		Expect(g.Run(context.Background(), 10*time.Millisecond)).To(Succeed())
		Expect(running.Load()).To(BeZero())
		group.Wait()
		Expect(g.Progress().InFlight).To(BeZero())
	})

	// Guards against a shutdown that hangs on a request without an end.
	It("gives up when its context ends", func() {
		g := NewGate()
		Expect(g.Enter()).To(BeNil())
		g.Request("test")
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		Expect(g.Run(ctx, 0)).To(MatchError(context.DeadlineExceeded))
	})
})
