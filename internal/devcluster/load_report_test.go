package devcluster

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/standin"
)

var _ = Describe("the load report of engines", func() {
	// Guards against entry instances that ignore the load reports and treat an engine that
	// other clients keep busy as idle.
	It("keeps requests away from an engine that others keep busy", func(ctx SpecContext) {
		cluster, err := Start(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(cluster.Close)
		Expect(cluster.WaitReady(ctx)).To(Succeed())
		busy, idle, entry := cluster.Engines[0], cluster.Engines[1], cluster.Entries[0]

		// Two of the other clients' requests never end and six are queued. Running decodes
		// alone have a low cost in the default policy, since engines batch them.
		busy.SetLoad(standin.LoadOptions{Slots: 2})
		busy.SetFaults(standin.EngineFaults{Silent: true})
		othersCtx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		for i := range 8 {
			go func() {
				body := strings.NewReader(fmt.Sprintf(`{"model":"lantern","prompt":"other %d"}`, i))
				req, _ := http.NewRequestWithContext(othersCtx, http.MethodPost, busy.URL()+"/v1/completions", body)
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			}()
		}
		time.Sleep(2500 * time.Millisecond) // two load reports, which are read every second
		busy.RecordExecutions()
		idle.RecordExecutions()
		client := &http.Client{Timeout: requestTimeout}
		for i, request := range GenerateRequests(cluster.Config, LoadSpec{Count: 16, Seed: 31}) {
			if request.Inference {
				outcome := Send(ctx, client, entry.URL, request)
				Expect(outcome.Result).To(Equal(ResultComplete), "request %d: %+v", i, outcome)
			}
		}
		Expect(busy.Executions()).To(BeEmpty())
		Expect(idle.Executions()).To(HaveLen(8))
	})
})
