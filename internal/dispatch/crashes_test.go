package dispatch

import (
	"testing"
	"time"

	"heatherloom/internal/errkind"
	"heatherloom/internal/quarantine"
	"heatherloom/internal/relay"
	"heatherloom/internal/retry"
	"heatherloom/internal/routing"
)

// Guards against a retry of a request whose quarantine began during its previous attempt.
func TestNoRetryInQuarantine(t *testing.T) {
	r := &Request{Account: "a", Path: "/p", Repeatable: true, Attempts: 1, Deadline: time.Now().Add(time.Minute)}
	result := relay.Result{Outcome: retry.TimedOut, Err: errkind.New(errkind.UpstreamTimeout, "")}
	for _, quarantined := range []bool{false, true} {
		s := &routing.Snapshot{Quarantined: quarantine.Set{}}
		if quarantined {
			s.Quarantined[r.Fingerprint()] = time.Now().Add(time.Minute)
		}
		d := &Dispatcher{Snapshot: func() *routing.Snapshot { return s }}
		if got := d.shouldRetry(r, result); got == quarantined {
			t.Errorf("quarantined %t: retry %t", quarantined, got)
		}
	}
}

// Guards against a request that crashes upstreams again after its route was moved to another
// service, and against one fingerprint for requests that differ in what their callers sent.
func TestFingerprintDependsOnlyOnTheCaller(t *testing.T) {
	base := Request{
		Account: "a", Method: "GET", Path: "/p", Body: []byte("b"), Target: "service-1",
		RouteParams: &RouteParams{Host: "h.example", Route: "route-1"},
	}
	moved := base
	moved.ID, moved.Target = "other", "service-2"
	moved.RouteParams = &RouteParams{Host: "H.example", Route: "route-2"}
	if base.Fingerprint() != moved.Fingerprint() {
		t.Error("the fingerprint changed with the route")
	}
	for name, change := range map[string]func(*Request){
		"account": func(r *Request) { r.Account = "x" },
		"method":  func(r *Request) { r.Method = "PUT" },
		"path":    func(r *Request) { r.Path = "/x" },
		"body":    func(r *Request) { r.Body = []byte("x") },
		"host":    func(r *Request) { r.RouteParams = &RouteParams{Host: "x.example"} },
	} {
		other := base
		change(&other)
		if base.Fingerprint() == other.Fingerprint() {
			t.Errorf("the fingerprint does not depend on the %s", name)
		}
	}
}
