package routing

import (
	"errors"
	"testing"
	"time"

	"heatherloom/internal/errkind"
)

// Guards against a request rate that an older response ends or raises, and against one that never ends.
func TestNamedRateFollowsTheLatestResponse(t *testing.T) {
	at := func(s float64) time.Time { return testNow.Add(time.Duration(s * float64(time.Second))) }
	type response struct {
		sent, arrived, rate float64
		named               bool
	}
	named := response{0, 1, 2, true}
	for _, c := range []struct {
		name string
		then response
		want float64
	}{
		{"older response without a rate", response{0.5, 2, 0, false}, 2},
		{"later response without a rate", response{1.5, 2, 0, false}, 0},
		{"older response with a higher rate", response{0.5, 2, 8, true}, 2},
		{"later response with a higher rate", response{1.5, 2, 8, true}, 8},
		{"older response with a lower rate", response{0.5, 2, 1, true}, 1},
		{"no request at all", response{1.5, 2, 0, true}, minNamedRate},
	} {
		var counters Counters
		for _, r := range []response{named, c.then} {
			counters.RecordNamedRate(at(r.arrived), at(r.sent), r.rate, r.named)
		}
		if got, _ := counters.NamedRate(); got != c.want {
			t.Errorf("%s: rate %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against more requests than the rate of this instance and one burst, from the start on.
func TestRateBucketBoundsTheRequests(t *testing.T) {
	for _, rate := range []float64{0, 0.3, 1, 10} {
		u := serviceUpstream("u", func(u *Upstream) { u.RateLimited, u.RequestRate = true, rate })
		taken := 0
		for ms := range 20_000 {
			if u.TakeRequest(testNow.Add(time.Duration(ms) * time.Millisecond).UnixNano()) {
				taken++
			}
		}
		if low, high := int(20*rate)-1, int(20*rate); taken < low || taken > high {
			t.Errorf("rate %v: %d requests in 20 s, want %d to %d", rate, taken, low, high)
		}
		idle := testNow.Add(time.Minute).UnixNano()
		burst := 0
		for u.TakeRequest(idle) {
			burst++
		}
		if burst > 1+int(rateBurst*rate) {
			t.Errorf("rate %v: %d requests at once", rate, burst)
		}
		u.ChargeResends(3)
		if rate > 0 && u.untilRateAllows(idle) < time.Duration(3/rate*float64(time.Second)) {
			t.Errorf("rate %v: resends do not count", rate)
		}
	}
}

// Guards against a region that is not offered to others although its upstreams take requests.
func TestUpstreamsWithARequestRateCountAsCapacity(t *testing.T) {
	for _, c := range []struct {
		rate float64
		want bool
	}{{0, false}, {0.1, false}, {2, true}} {
		s := serviceSnapshot(serviceUpstream("u", func(u *Upstream) { u.RateLimited, u.RequestRate = true, c.rate }))
		load, got := s.ServiceLoads(testNow.UnixNano())[testService]
		if got != c.want {
			t.Errorf("rate %v: offered %t", c.rate, got)
		}
		if want := 1 / c.rate; got && load.WaitSeconds < want {
			t.Errorf("rate %v: a wait of %v s is reported, at least %v s are needed", c.rate, load.WaitSeconds, want)
		}
	}
}

// Guards against an upstream that gets no requests until a clock that was set back has caught up.
func TestRateBucketSurvivesAClockThatIsSetBack(t *testing.T) {
	u := serviceUpstream("u", func(u *Upstream) { u.RateLimited, u.RequestRate = true, 1 })
	u.TakeRequest(testNow.UnixNano())
	back := testNow.Add(-time.Hour)
	u.TakeRequest(back.UnixNano())
	if !u.TakeRequest(back.Add(1100 * time.Millisecond).UnixNano()) {
		t.Error("no request is allowed a second after the clock was set back")
	}
	if wait := u.Counters.said().rate.announce(back.UnixNano(), 1); wait > maxRetryAfter {
		t.Errorf("a caller is told to come back after %s", wait)
	}
}

// Guards against rejected callers that are all told to come back for the same place.
func TestCallersRejectedForARateComeBackOneAfterAnother(t *testing.T) {
	s := serviceSnapshot(serviceUpstream("u", func(u *Upstream) { u.RateLimited, u.RequestRate = true, 2 }))
	var waits []time.Duration
	for range 6 {
		_, err := ServicePolicy{Index: NewPrefixIndex()}.Pick(s, serviceRequest(), NewScratch(1))
		var rejection *errkind.Error
		if !errors.As(err, &rejection) || rejection.Kind != errkind.Overloaded {
			t.Fatalf("got %v", err)
		}
		waits = append(waits, rejection.RetryAfter)
	}
	for i, want := range []time.Duration{500, 1000, 1500, 2000, 2000, 2000} {
		if got := waits[i]; got < want*time.Millisecond || got > maxRetryAfter {
			t.Errorf("caller %d is told to come back after %s, want at least %d ms", i, got, want)
		}
	}
}
