package gateway

import (
	"testing"

	"heatherloom/internal/errkind"
)

// A caller repeats a write after 429 or 503, which state that it did not run. Guards
// against these statuses for a request that may have run, and against a client error for
// what the gateway could not do.
func TestHostStatusStatesOnlyWhatIsCertain(t *testing.T) {
	promises := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for _, kind := range errkind.Kinds() {
		for _, ran := range []errkind.Execution{errkind.Executed, errkind.ExecutionUnknown} {
			if status := hostStatus(&errkind.Error{Kind: kind, Execution: ran}); promises[status] || status < 500 {
				t.Errorf("%s with ran=%s is answered %d", kind, ran, status)
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
			t.Errorf("%s that did not run is answered %d, want %d", kind, got, want)
		}
	}
}
