package devcluster

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/errkind"
	"heatherloom/internal/standin"
)

func TestDevcluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "devcluster")
}

const (
	testCount = 48
	testSeed  = 11
)

var _ = Describe("the verification load", func() {
	var cluster *Cluster

	BeforeEach(func(ctx SpecContext) {
		var err error
		cluster, err = Start(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(cluster.Close)
		Expect(cluster.WaitReady(ctx)).To(Succeed())
	})

	run := func() LoadReport {
		GinkgoHelper()
		return RunRequests(context.Background(), cluster, LoadSpec{Count: testCount, Seed: testSeed})
	}
	setEngineFaults := func(f standin.EngineFaults) {
		for _, engine := range cluster.Engines {
			engine.SetFaults(f)
		}
	}
	setServiceFaults := func(f standin.ServiceFaults) {
		for _, service := range cluster.Services {
			service.SetFaults(f)
		}
	}

	// Guards against a cluster that loses, rejects or mixes up requests without any fault.
	It("finds every answer whole and right while there is no fault", func() {
		report := run()
		Expect(report.Failures).To(BeEmpty())
		Expect(report.String()).To(Equal("sent=48 complete=48 wrong=0 refused=0 write_runs_max=1"))
		Expect(report.OK()).To(BeTrue())
	})

	// Guards against a check that passes regardless of the responses of the upstreams.
	It("notices the text of another request under the right id", func() {
		setEngineFaults(standin.EngineFaults{Swapped: true})
		report := run()
		Expect(report.Wrong).To(Equal(24), "four of the eight kinds of request go to engines")
		Expect(report.OK()).To(BeFalse())
	})

	It("notices that answers with the id of another request are refused", func() {
		setEngineFaults(standin.EngineFaults{Crossed: true})
		report := run()
		Expect(report.Wrong).To(BeZero())
		Expect(report.Complete).To(Equal(testCount - 24))
		Expect(report.OK()).To(BeFalse())
	})

	It("notices streams that are cut", func() {
		// One token for each attempt, so that a resumed stream does not complete within its
		// attempts.
		setEngineFaults(standin.EngineFaults{CutAfterTokens: 1})
		report := run()
		Expect(report.Wrong).To(BeZero())
		Expect(report.Complete).To(BeNumerically("<=", testCount-12), "two of the eight kinds of request are streams")
		Expect(report.Complete).To(BeNumerically(">=", testCount-24), "four of the eight kinds do not go to engines")
		Expect(report.OK()).To(BeFalse())
	})

	It("notices the content of another call to a plain service", func() {
		setServiceFaults(standin.ServiceFaults{Swapped: true})
		report := run()
		Expect(report.Wrong).To(Equal(24))
		Expect(report.OK()).To(BeFalse())
	})

	It("notices a write that ran twice", func() {
		setServiceFaults(standin.ServiceFaults{RunTwice: true})
		report := run()
		Expect(report.Complete).To(Equal(testCount))
		Expect(report.WriteRunsMax).To(Equal(2))
		Expect(report.OK()).To(BeFalse())
	})
})

var _ = DescribeTable("the judgement of a rejection",
	// Guards against a rejection that passes without a kind or without stating whether the
	// request was executed.
	func(status int, body string, want Result) {
		Expect(evaluateRejection(status, []byte(body)).Result).To(Equal(want))
	},
	Entry("complete", 429, `{"error":{"kind":"rate_limited","ran":"no"}}`, ResultRejected),
	Entry("no kind", 429, `{"error":{"ran":"no"}}`, ResultWrong),
	Entry("no ran", 429, `{"error":{"kind":"rate_limited"}}`, ResultWrong),
	Entry("status of another kind", 500, `{"error":{"kind":"rate_limited","ran":"no"}}`, ResultWrong),
	Entry("not JSON", 502, `bad gateway`, ResultWrong),
)

var _ = Describe("the judgement of a stream", func() {
	const id = "r1"
	request := Request{Inference: true, Stream: true, Body: []byte("b")}
	event := func(id, text string) string {
		return `data: {"id":"` + id + `","choices":[{"delta":{"content":"` + text + `"}}]}` + "\n\n"
	}
	text := standin.ExpectedText(request.Body)

	// Guards against a truncated, mixed-up or duplicated stream that counts as complete.
	It("tells whole streams from others", func() {
		evaluated := func(raw string) Result { return evaluateStream(request, id, []byte(raw)).Result }
		Expect(evaluated(event(id, text) + "data: [DONE]\n\n")).To(Equal(ResultComplete))
		Expect(evaluated(event(id, text))).To(Equal(ResultIncomplete))
		Expect(evaluated(event(id, text) + event(id, "again") + "data: [DONE]\n\n")).To(Equal(ResultWrong))
		Expect(evaluated(event("r2", text) + "data: [DONE]\n\n")).To(Equal(ResultWrong))
		Expect(evaluated("data: [DONE]\n\n")).To(Equal(ResultWrong))
		Expect(evaluated("event: error\ndata: {}\n\n")).To(Equal(ResultWrong))
		truncated := evaluateStream(request, id, []byte("event: error\n"+`data: {"error":{"kind":"answer_incomplete","ran":"yes"}}`+"\n\n"))
		Expect(truncated).To(Equal(Outcome{Result: ResultIncomplete, Kind: errkind.ResponseIncomplete, Execution: errkind.Executed}))
	})
})
