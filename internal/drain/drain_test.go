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
	// Guards against a drain that rejects callers whose list of entry instances is still
	// valid, and against one that finishes while a request is running.
	It("serves while announced, then refuses, and is done when no request runs", func() {
		var phases []Phase
		c := NewController()
		c.OnPhaseChange = func(p Progress) { phases = append(phases, p.Phase) }
		Expect(c.Acquire(Demand{})).To(BeNil())
		c.RequestDrain("test")
		c.RequestDrain("again")
		Expect(c.DrainRequested()).To(BeClosed())
		Expect(c.Acquire(Demand{})).To(BeNil())
		c.Release()

		done := make(chan error, 1)
		go func() { done <- c.Run(context.Background(), Schedule{Announced: 20 * time.Millisecond}) }()
		Eventually(func() Phase { return c.Progress().Phase }).Should(Equal(Rejecting))
		err := c.Acquire(Demand{})
		Expect(err.Kind).To(Equal(errkind.Draining))
		Expect(err.Execution).To(Equal(errkind.NotExecuted))
		Consistently(done, "50ms").ShouldNot(Receive())
		c.Release()
		Eventually(done).Should(Receive(BeNil()))
		Expect(phases).To(Equal([]Phase{Announced, Rejecting, Drained}))
		Expect(c.Progress().Reason).To(Equal("test"))
	})

	// Guards against admitting a request after the drain is done.
	It("admits nothing after it is done, under concurrent requests", func() {
		c := NewController()
		var running atomic.Int64
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for c.Acquire(Demand{}) == nil {
					running.Add(1)
					running.Add(-1)
					c.Release()
				}
			})
		}
		c.RequestDrain("test")
		Expect(c.Run(context.Background(), Schedule{Announced: 10 * time.Millisecond})).To(Succeed())
		Expect(running.Load()).To(BeZero())
		wg.Wait()
		Expect(c.Progress().InFlight).To(BeZero())
	})

	// Guards against a shutdown that hangs on a request that never ends.
	It("gives up when its context ends", func() {
		c := NewController()
		Expect(c.Acquire(Demand{})).To(BeNil())
		c.RequestDrain("test")
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		Expect(c.Run(ctx, Schedule{})).To(MatchError(context.DeadlineExceeded))
	})
})
