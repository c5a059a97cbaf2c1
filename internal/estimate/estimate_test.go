package estimate

import (
	"math"
	"testing"
	"time"
)

const start = int64(time.Hour)

func at(d time.Duration) int64 { return start + int64(d) }

// Guards against estimates that do not follow the speed of an upstream, or that leave the others of its service behind.
func TestFactorsFollowTheSpeedOfEachUpstream(t *testing.T) {
	var s Service
	var fast, slow, unknown Upstream
	for i := range 400 {
		now := at(time.Duration(i) * 50 * time.Millisecond)
		s.ObserveTime(now, &fast, 0.06, 0.1)
		s.ObserveTime(now, &slow, 0.16, 0.1)
	}
	v := s.View(at(20 * time.Second))
	for name, c := range map[string]struct {
		upstream *Upstream
		want     float64
	}{"fast": {&fast, 0.6}, "slow": {&slow, 1.6}, "unknown": {&unknown, 1.1}} {
		if got := v.TimeFactorOf(c.upstream); math.Abs(got-c.want) > 0.15*c.want {
			t.Errorf("%s: factor %.2f, want about %.2f", name, got, c.want)
		}
	}
}

// Guards against a change of the whole service, such as its load, that is taken for a property of each upstream and
// stays with it when the load has passed.
func TestAChangeOfTheServiceIsForgottenWhenItPasses(t *testing.T) {
	var s Service
	var u Upstream
	now := time.Duration(0)
	play := func(length time.Duration, observed float64) {
		for end := now + length; now < end; now += 20 * time.Millisecond {
			s.ObserveTime(at(now), &u, observed, 0.1)
		}
	}
	play(20*time.Second, 0.1)
	play(10*time.Second, 0.3)
	if got := s.View(at(now)).TimeFactorOf(&u); got < 2.5 || got > 3.6 {
		t.Errorf("under load the factor is %.2f, want about 3", got)
	}
	play(15*time.Second, 0.1)
	if got := s.View(at(now)).TimeFactorOf(&u); got > 1.25 {
		t.Errorf("15 s after the load the factor is %.2f, want about 1", got)
	}
}

// Guards against few, odd or old observations that decide by themselves.
func TestWeakEvidenceLeavesTheEstimateNearTheFixedOne(t *testing.T) {
	var s Service
	var u Upstream
	s.ObserveTime(start, &u, 0.05, 0.02)
	if got := s.View(start).TimeFactorOf(&u); got > 1.2 {
		t.Errorf("after one short response the factor is %.2f", got)
	}
	for _, c := range [][2]float64{{0, 1}, {-1, 1}, {1, 0}, {1, -1}} {
		s.ObserveTime(start, &u, c[0], c[1])
	}
	for i := range 1000 {
		s.ObserveTime(at(time.Duration(i)*time.Millisecond), &u, 1e9, 0.001)
	}
	if got := s.View(at(time.Second)).TimeFactorOf(&u); got > maxFactor {
		t.Errorf("the factor is %.2f, at most %.2f", got, maxFactor)
	}
	if got := s.View(at(time.Minute)).TimeFactor; got > 1.05 {
		t.Errorf("a minute after the last response the service has the factor %.2f", got)
	}
}

// Guards against a loaded upstream that looks idle once its report is old.
func TestAnOldReportIsReplacedByTheMeanOfTheService(t *testing.T) {
	var s Service
	for i := range 20 {
		s.ObserveLoad(at(time.Duration(i)*10*time.Millisecond), 40, 8)
	}
	v := s.View(at(200 * time.Millisecond))
	for _, c := range []struct {
		age              time.Duration
		running, waiting float64
	}{{0, 10, 0}, {reportLife / 2, 25, 4}, {reportLife, 40, 8}, {math.MaxInt64, 40, 8}} {
		running, waiting, _ := v.LoadOf(10, 0, c.age)
		if math.Abs(running-c.running) > 0.01 || math.Abs(waiting-c.waiting) > 0.01 {
			t.Errorf("a report of 10 running requests after %s counts as %.1f running and %.1f waiting, want %.1f and %.1f", c.age, running, waiting, c.running, c.waiting)
		}
	}
	if v := Fixed(); v.Learned() || v.TimeFactorOf(&Upstream{}) != 1 {
		t.Errorf("the fixed view is %+v", v)
	}
}

// Guards against a load that counts for good because nothing is sent, and so nothing reported, on account of it.
func TestTheMeanLoadEndsWithoutReports(t *testing.T) {
	var s Service
	s.ObserveLoad(start, 40, 8)
	for _, c := range []struct {
		after            time.Duration
		running, waiting float64
	}{{0, 40, 8}, {reportLife, 40, 8}, {reportLife * 3 / 2, 20, 4}, {2 * reportLife, 0, 0}, {24 * time.Hour, 0, 0}} {
		if v := s.View(at(c.after)); math.Abs(v.Running-c.running) > 0.01 || math.Abs(v.Waiting-c.waiting) > 0.01 {
			t.Errorf("%s after the last report: %.1f running and %.1f waiting, want %.1f and %.1f", c.after, v.Running, v.Waiting, c.running, c.waiting)
		}
	}
}

// Guards against one stalled response, or the responses that are read after a freeze of this process, that make an
// upstream look slow for minutes.
func TestOneStalledResponseDoesNotDecide(t *testing.T) {
	for _, known := range []int{0, 100} {
		var s Service
		var u Upstream
		now := time.Duration(0)
		for range known {
			s.ObserveTime(at(now), &u, 0.05, 0.05)
			now += 50 * time.Millisecond
		}
		s.ObserveTime(at(now), &u, 4, 0.05)
		if got := s.View(at(now + 15*time.Second)).TimeFactorOf(&u); got > 1.7 {
			t.Errorf("15 s after a response of 4 s that followed %d of 50 ms the factor is %.2f", known, got)
		}
	}
}

// Guards against an upstream that is avoided for good because it was slow once, and gets no request that would tell
// otherwise.
func TestTheFactorOfAnUpstreamWithoutResponsesReturnsToThatOfItsService(t *testing.T) {
	var s Service
	var slow, other Upstream
	for i := range 100 {
		s.ObserveTime(at(time.Duration(i)*50*time.Millisecond), &slow, 0.4, 0.1)
		s.ObserveTime(at(time.Duration(i)*50*time.Millisecond), &other, 0.1, 0.1)
	}
	if got := s.View(at(5 * time.Second)).TimeFactorOf(&slow); got < 3 {
		t.Fatalf("the factor of the slow upstream is %.2f", got)
	}
	for now := 5 * time.Second; now < 3*time.Minute; now += 50 * time.Millisecond {
		s.ObserveTime(at(now), &other, 0.1, 0.1)
	}
	if got := s.View(at(3 * time.Minute)).TimeFactorOf(&slow); got > 1.1 {
		t.Errorf("3 min after its last response the factor is %.2f", got)
	}
}
