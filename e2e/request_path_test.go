package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/standin"
)

// chatBody returns the body of a chat completion request.
func chatBody(n int, stream bool) string {
	return fmt.Sprintf(`{"model":"lantern","stream":%t,"messages":[{"role":"user","content":"question %d"}]}`, stream, n)
}

// isOrder reports whether body is the body of a write.
func isOrder(body string) bool { return strings.HasPrefix(body, `{"order"`) }

var _ = Describe("the request path through separate processes", func() {
	// Guards against the response to another request, and against a stream that is
	// truncated on its way through one or two entry instances.
	It("serves completions, streams, reads and writes in both regions", func() {
		s := newTestStack()
		s.startEngine("engine-b", "b")
		s.startService("ledger", "a")
		a := s.startReadyEntry("entry-a", "a").url
		b := s.startReadyEntry("entry-b", "b").url

		waitForRoute(a)
		waitForRoute(b)
		for i, url := range []string{a, b} {
			plain := call(url, http.MethodPost, "/v1/chat/completions", chatBody(i, false))
			Expect(plain.status).To(Equal(http.StatusOK), plain.body)
			Expect(plain.header.Get("X-Request-Id")).NotTo(BeEmpty())
			Expect(plain.body).To(ContainSubstring(standin.ExpectedText([]byte(chatBody(i, false)))))

			stream := call(url, http.MethodPost, "/v1/chat/completions", chatBody(i, true))
			Expect(stream.status).To(Equal(http.StatusOK), stream.body)
			Expect(stream.body).To(HaveSuffix("data: [DONE]\n\n"))

			write := call(url, http.MethodPost, "/orders", fmt.Sprintf(`{"order":%d}`, i))
			Expect(write.status).To(Equal(http.StatusOK), write.body)
			read := call(url, http.MethodGet, "/orders/7", "")
			Expect(read.status).To(Equal(http.StatusOK), read.body)
		}
	})
})

// waitForRoute waits until an entry instance knows the peers and upstreams that it
// needs for both a completion and a read.
func waitForRoute(url string) {
	GinkgoHelper()
	Eventually(func() []int {
		return []int{
			call(url, http.MethodPost, "/v1/chat/completions", chatBody(0, false)).status,
			call(url, http.MethodGet, "/orders/1", "").status,
		}
	}, 10*time.Second, "100ms").Should(Equal([]int{http.StatusOK, http.StatusOK}))
}
