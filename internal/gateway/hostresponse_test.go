package gateway

import (
	"testing"

	"heatherloom/internal/errkind"
)

// Callers retry a write after 429 or 503, which guarantee that it was not executed. Guards
// against these statuses for a request that may have been executed, and against a 4xx
// status for a failure of the gateway or an upstream.
func TestHostStatusStatesOnlyWhatIsCertain(t *testing.T) {
	notExecutedStatuses := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for _, kind := range errkind.Kinds() {
		for _, execution := range []errkind.Execution{errkind.Executed, errkind.ExecutionUnknown} {
			if status := hostStatus(&errkind.Error{Kind: kind, Execution: execution}); notExecutedStatuses[status] || status < 500 {
				t.Errorf("%s with ran=%s: got status %d", kind, execution, status)
			}
		}
	}
	for kind, want := range map[errkind.Kind]int{
		errkind.NotReady: 503, errkind.ConfigStale: 503, errkind.Draining: 503, errkind.NoUpstream: 503,
		errkind.RequestQuarantined: 503, errkind.HomeUnavailable: 503, errkind.UpstreamFailed: 503,
		errkind.RateLimited: 429, errkind.KeyUnknown: 401, errkind.KeyMissing: 401, errkind.UnknownRoute: 404,
		errkind.BodyTooLarge: 413, errkind.RequestTimeout: 408, errkind.UpstreamTimeout: 504,
	} {
		if got := hostStatus(errkind.New(kind, "")); got != want {
			t.Errorf("%s of a request not executed: got status %d, want %d", kind, got, want)
		}
	}
}
