package routing

import (
	"testing"
	"time"
)

// Guards against rates that count an unfinished second, old ones, or a first byte that tells nothing of the reading.
func TestAttemptRatesAreThoseOfTheLastWholeSeconds(t *testing.T) {
	c, start := &Counters{}, time.Unix(2000, 0)
	for _, a := range []struct {
		at     time.Duration
		tokens int64
		took   time.Duration
	}{
		{0, 9000, time.Second}, {2 * time.Second, 6000, 100 * time.Millisecond}, {2900 * time.Millisecond, 100, 50 * time.Millisecond},
		{3100 * time.Millisecond, 3000, 100 * time.Millisecond}, {4500 * time.Millisecond, 5000, 100 * time.Millisecond},
	} {
		tracked := c.Begin(start.Add(a.at), a.tokens, 0)
		tracked.FirstByte(start.Add(a.at + a.took))
	}
	if got, want := c.AttemptRates(start.Add(4900*time.Millisecond)), (AttemptRates{Attempts: 1.5, PromptTokens: 4550, ReadTokens: 9000, ReadSeconds: .2}); got != want {
		t.Errorf("the rates are %+v, want %+v", got, want)
	}
	if got := c.AttemptRates(start.Add(10 * time.Second)); got != (AttemptRates{}) {
		t.Errorf("the rates after 5 s without an attempt are %+v", got)
	}
}

// Guards against rejections that are counted by two instances, or that more upstreams would not have prevented.
func TestRejectionsCountRequestsThatMoreUpstreamsWouldHaveServed(t *testing.T) {
	full := func(u *Upstream) { u.Counters.PendingTokens.Store(45_000) }
	rejected := func(change func(r *Request)) float64 {
		policy := ServicePolicy{Index: NewPrefixIndex(), Rejections: &Rejections{}}
		s := serviceSnapshot(serviceUpstream("own", full))
		s.Upstreams[0].Counters.RecordSign(testNow)
		r := serviceRequest()
		r.Service.Parts = []PromptPart{{ID: 1, Tokens: 2000}}
		change(r)
		if _, err := policy.Pick(s, r, NewScratch(1)); err == nil {
			t.Fatal("the request is not rejected")
		}
		return policy.Rejections.PerSecond(testService, testNow.Add(time.Second))
	}
	for _, c := range []struct {
		name   string
		change func(r *Request)
		want   float64
	}{
		{"no room", func(*Request) {}, .5},
		{"no upstream", func(r *Request) { r.Tried = []string{"own"} }, .5},
		{"forwarded by another instance", func(r *Request) { r.Visited = []string{"other"} }, 0},
		{"bound to another region", func(r *Request) { r.Service.AllowedRegions = []string{"b"} }, 0},
	} {
		if got := rejected(c.change); got != c.want {
			t.Errorf("%s: %g rejections a second are counted, want %g", c.name, got, c.want)
		}
	}
}
