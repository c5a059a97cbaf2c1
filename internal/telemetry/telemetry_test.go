package telemetry

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"heatherloom/internal/errkind"
)

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "telemetry")
}

var _ = Describe("the logger", func() {
	// Guards against timestamps in local time and against a value that forges a second
	// log line.
	It("writes one key=value line per event in UTC", func() {
		var out bytes.Buffer
		log, err := NewLogger(&out, "warning")
		Expect(err).NotTo(HaveOccurred())
		log.Info("below the level")
		zone := time.FixedZone("test", 11*3600)
		at := time.Date(2026, 3, 1, 12, 0, 0, 0, zone)
		log.WithTime(at).WithField(FieldPath, "/x\nlevel=error").Warn("w")
		Expect(strings.Count(out.String(), "\n")).To(Equal(1))
		Expect(out.String()).To(HavePrefix("time=\"2026-03-01T01:00:00Z\" level=warning"))
	})

	// Guards against messages of net/http that bypass the log format.
	It("takes in the messages of net/http", func() {
		var out bytes.Buffer
		log, err := NewLogger(&out, "")
		Expect(err).NotTo(HaveOccurred())
		StandardLogger(log.WithField(FieldInstance, "a")).Printf("TLS handshake error\nfrom %s", "x")
		Expect(strings.Count(out.String(), "\n")).To(Equal(1))
		Expect(out.String()).To(ContainSubstring("event=http_server instance=a"))
	})

	It("refuses an unknown level", func() { // guards against a typing error that silences the log
		_, err := NewLogger(&bytes.Buffer{}, "loud")
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("the metrics", func() {
	// Guards against label values that callers or peers choose, which would grow
	// the number of series without bound.
	It("keeps the number of series independent of client accounts and peers", func() {
		m := NewMetrics(Sources{Peers: func() float64 { return 7 }})
		for i := range 1000 {
			m.RecordRequest(errkind.New(errkind.Kind(fmt.Sprintf("kind-%d", i)), ""), ClassOf(float64(i)), time.Second)
		}
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		body := w.Body.String()
		Expect(strings.Count(body, "\nheatherloom_requests_total{")).To(Equal(3))
		Expect(body).To(ContainSubstring(`heatherloom_requests_total{account_class="large",kind="internal"} 900`))
		Expect(body).To(ContainSubstring("heatherloom_peers 7"))
		Expect(body).To(ContainSubstring(`heatherloom_invariant_violations_total{invariant="I14"} 0`))
	})
})
