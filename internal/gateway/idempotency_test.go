package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"heatherloom/internal/external"
)

// Guards against accepting malformed idempotency keys, and against rejecting a read for
// its key, which must be ignored.
func TestIdempotencyKeySyntax(t *testing.T) {
	g := NewWithT(t)
	service, instance := startService(t, "ledger-1", "a")
	e := startEntry(t, "a", "a", options{}, instance)
	for _, key := range []string{"", strings.Repeat("k", 256), "caf\u00e9", activeKey} {
		a := e.do(t, http.MethodPost, "/orders", "x", activeKey, "Idempotency-Key", key)
		g.Expect(a.status).To(Equal(http.StatusBadRequest), "key %q", key)
		g.Expect(a.body).To(ContainSubstring("malformed_request"))
	}
	twice := e.do(t, http.MethodPost, "/orders", "x", activeKey, "Idempotency-Key", "a", "Idempotency-Key", "b")
	g.Expect(twice.status).To(Equal(http.StatusBadRequest))
	g.Expect(service.Executions()).To(BeEmpty())
	read := e.do(t, http.MethodGet, "/orders", "", activeKey, "Idempotency-Key", strings.Repeat("k", 256))
	g.Expect(read.status).To(Equal(http.StatusOK))
}

// Guards against sending a repeated write upstream again, and against sending the
// idempotency key upstream.
func TestRepeatedWriteIsReplayed(t *testing.T) {
	g := NewWithT(t)
	header := make(chan http.Header, 2)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header <- r.Header
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte("order 7"))
	}))
	t.Cleanup(upstream.Close)
	e := startEntry(t, "a", "a", options{}, external.Instance{ID: "ledger-1", Role: external.RoleService, Region: "a",
		Address: upstream.Listener.Addr().String(), State: external.InstanceLive, Service: "ledger"})
	key := strings.Repeat("k", 255)
	first := e.do(t, http.MethodPost, "/orders", "x", activeKey, "Idempotency-Key", key)
	again := e.do(t, http.MethodPost, "/orders", "x", activeKey, "Idempotency-Key", key)
	g.Expect(first.status).To(Equal(http.StatusCreated), first.body)
	g.Expect(again.status).To(Equal(http.StatusCreated), again.body)
	g.Expect(again.body).To(Equal(first.body))
	g.Expect(first.header.Get("Idempotent-Replayed")).To(BeEmpty())
	g.Expect(again.header.Get("Idempotent-Replayed")).To(Equal("true"))
	g.Expect(header).To(HaveLen(1))
	g.Expect((<-header).Get("Idempotency-Key")).To(BeEmpty())
	other := e.do(t, http.MethodPost, "/orders", "y", activeKey, "Idempotency-Key", key)
	g.Expect(other.body).To(ContainSubstring("idempotency_conflict"))
}
