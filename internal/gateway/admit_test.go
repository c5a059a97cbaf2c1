package gateway_test

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against a refusal that blames the client account's traffic although the
// configuration has no slots for its rate.
func TestAccountWithoutSlotsIsTold(t *testing.T) {
	e := startEntry(t, "entry", "a", options{})
	got := e.do(t, http.MethodPost, "/v1/completions", prompt("hello", false), remoteKey)
	if got.status != http.StatusTooManyRequests || !strings.Contains(got.body, `no domain rows for region \"c\"`) {
		t.Errorf("got %d %s", got.status, got.body)
	}
}
