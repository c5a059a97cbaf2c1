package gateway_test

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against a rejection that blames the client account's traffic although the
// configuration has no slots over which to divide its rate.
func TestAccountWithoutSlotsIsTold(t *testing.T) {
	e := startEntry(t, "entry", "a", options{})
	got := e.do(t, http.MethodPost, "/v1/completions", completionBody("hello", false), remoteRegionKey)
	if got.status != http.StatusTooManyRequests || !strings.Contains(got.body, `no domain rows for region \"c\"`) {
		t.Errorf("got %d %s", got.status, got.body)
	}
}
