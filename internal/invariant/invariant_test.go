package invariant

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestInvariant(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "invariant")
}

var _ = Describe("Check", func() {
	// Guards against a randomized test run that passes despite a violated invariant.
	It("panics under go test", func() {
		Expect(func() { Check(false, NoLoop, "visited %d", 3) }).To(PanicWith(Violation{Name: NoLoop, Message: "visited 3"}))
		Expect(Check(true, NoLoop, "unused")).To(BeTrue())
	})

	// Guards against a production process that crashes on a violation or does not report it.
	It("counts and reports in production", func() {
		var reported []Violation
		SetReporter(func(v Violation) { reported = append(reported, v) })
		before := Count(AccountRate)
		handleViolation(Violation{Name: AccountRate, Message: "over"}, false)
		Expect(Count(AccountRate)).To(Equal(before + 1))
		Expect(reported).To(HaveLen(1))
		Expect(reported[0].Error()).To(Equal("invariant I7 violated: over"))
	})
})
