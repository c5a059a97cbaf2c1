package dispatch

import (
	"testing"
	"time"

	"heatherloom/internal/clock"
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
		if got := d.noRetryReason(r, result); (got == retry.StopQuarantine) != quarantined || (got == retry.StopNone) == quarantined {
			t.Errorf("quarantined %t: reason %q", quarantined, got)
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

// Guards against blaming the last part of a prompt, which no other request has, and against a request
// with a quarantined part that is sent or sent again.
func TestRequestsWithAQuarantinedPartAreNotSent(t *testing.T) {
	for _, c := range []struct {
		name        string
		quarantined uint64
		want        bool
	}{
		{"first part", 1, true},
		{"second part", 2, true},
		{"last part", 3, false},
		{"another part", 4, false},
	} {
		s := &routing.Snapshot{Quarantined: quarantine.Set{quarantine.PartFingerprint(c.quarantined): time.Now().Add(time.Minute)}}
		d := &Dispatcher{Snapshot: func() *routing.Snapshot { return s }}
		params := &RouteParams{PromptParts: []routing.PromptPart{{ID: 1}, {ID: 2}, {ID: 3}}, MaxExecutions: 2}
		r := &Request{RouteParams: params, parts: sharedParts(params), Deadline: time.Now().Add(time.Minute), Repeatable: true, Attempts: 1}
		if err := d.rejectQuarantined(r); (err != nil) != c.want {
			t.Errorf("%s: got %v", c.name, err)
		}
		s.Quarantined = quarantine.Set{}
		s.SuspectedParts = map[quarantine.Fingerprint]int{quarantine.PartFingerprint(c.quarantined): 2}
		if got := d.suspected(r); got != c.want {
			t.Errorf("%s: an interrupted request is suspected: %v", c.name, got)
		}
	}
}

// Guards against probes that cannot decide on a contested part, or are retried, and against a part without probes.
func TestProbesHaveNoOtherSuspectedPart(t *testing.T) {
	part := quarantine.PartFingerprint
	until := time.Now().Add(time.Minute)
	for _, c := range []struct {
		name        string
		implicated  map[quarantine.Fingerprint]bool
		quarantined []uint64
		request     bool
		want        bool
	}{
		{"contested", map[quarantine.Fingerprint]bool{part(1): true}, []uint64{1}, false, true},
		{"not contested", map[quarantine.Fingerprint]bool{part(1): false}, []uint64{1}, false, false},
		{"known from the store only", nil, []uint64{1}, false, false},
		{"two contested parts", map[quarantine.Fingerprint]bool{part(1): true, part(2): true}, []uint64{1, 2}, false, false},
		{"a part that explains the crashes", map[quarantine.Fingerprint]bool{part(1): true, part(2): false}, []uint64{1}, false, false},
		{"another part is known from the store", map[quarantine.Fingerprint]bool{part(1): true}, []uint64{1, 2}, false, false},
		{"the request itself is quarantined", map[quarantine.Fingerprint]bool{part(1): true}, []uint64{1}, true, false},
	} {
		params := &RouteParams{PromptParts: []routing.PromptPart{{ID: 1}, {ID: 2}, {ID: 3}}, MaxExecutions: 2}
		r := &Request{RouteParams: params, parts: sharedParts(params), Deadline: until, Repeatable: true, Attempts: 1}
		s := &routing.Snapshot{Quarantined: quarantine.Set{}, ImplicatedParts: c.implicated, SelfID: "e"}
		for _, id := range c.quarantined {
			s.Quarantined[part(id)] = until
		}
		if c.request {
			s.Quarantined[r.Fingerprint()] = until
		}
		d := &Dispatcher{Snapshot: func() *routing.Snapshot { return s }}
		if _, got := d.beginProbe(r); got != c.want {
			t.Errorf("%s: probe %v, want %v", c.name, got, c.want)
		}
		if _, again := d.beginProbe(r); again {
			t.Errorf("%s: a second probe", c.name)
		}
		result := relay.Result{Outcome: retry.TimedOut, Err: errkind.New(errkind.UpstreamTimeout, "")}
		if reason := d.noRetryReason(r, result); reason != retry.StopQuarantine {
			t.Errorf("%s: a retry is allowed: %q", c.name, reason)
		}
	}
}

// Guards against a response that ends with its connection, as that of an upstream that crashed may,
// and an error response, which is not generated from the prompt, that count as completions.
func TestOnlyWholeGenerationsClearAPart(t *testing.T) {
	part := quarantine.PartFingerprint(1)
	for _, c := range []struct {
		name   string
		result relay.Result
		status int
		want   bool
	}{
		{"complete", relay.Result{}, 200, true},
		{"ended with the connection", relay.Result{EndedByClose: true}, 200, false},
		{"rejected by the upstream", relay.Result{}, 400, false},
		{"broken", relay.Result{Err: errkind.New(errkind.ResponseIncomplete, ""), Outcome: retry.Truncated}, 200, false},
	} {
		d := &Dispatcher{Snapshot: func() *routing.Snapshot { return &routing.Snapshot{} }}
		r := &Request{parts: []quarantine.Fingerprint{part}}
		d.endAttempt(r, d.beginAttempt(r, &routing.Upstream{ID: "u"}), c.result, c.status)
		reported := false
		d.ReportCompletedParts = func(completed map[quarantine.Fingerprint]time.Time) { reported = !completed[part].IsZero() }
		d.reportCompletedParts(map[quarantine.Fingerprint]int{part: 1})
		if reported != c.want {
			t.Errorf("%s: reported %v, want %v", c.name, reported, c.want)
		}
	}
}

// Guards against the quarantine of a request that ran at upstreams which were taken away when their rows said, and against
// a crash that is excused by an end that is not due.
func TestAnAnnouncedEndIsNoCrash(t *testing.T) {
	for _, c := range []struct {
		name string
		// gone is the time until the announced end; 0 if none is.
		gone time.Duration
		want int
	}{{"no end announced", 0, 1}, {"long before its end", time.Minute, 1}, {"at its end", 100 * time.Millisecond, 0}, {"after its end", -time.Second, 0}} {
		before := routing.Upstream{ID: "u", StartedAt: 1, Counters: &routing.Counters{}}
		now := before
		if c.gone != 0 {
			now.GoneAt = clock.Now().Add(c.gone).UnixNano()
		}
		reported := 0
		s := &routing.Snapshot{Upstreams: []routing.Upstream{now}}
		d := &Dispatcher{Snapshot: func() *routing.Snapshot { return s }, ReportCrash: func(quarantine.Crash, string) { reported++ }}
		result := relay.Result{Outcome: retry.Crashed, Err: errkind.New(errkind.UpstreamFailed, "")}
		d.countCrash(&Request{Account: "a", Path: "/p"}, &before, &result)
		if reported != c.want || result.Crashes != c.want {
			t.Errorf("%s: %d crashes are reported and %d counted, want %d", c.name, reported, result.Crashes, c.want)
		}
		if got := listedProcesses(s)[processOf(&before)]; got != (c.want == 0) {
			t.Errorf("%s: a silent end is excused: %t", c.name, got)
		}
	}
}
