package duty

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/external"
	"heatherloom/internal/lease"
	"heatherloom/internal/membership"
)

const leaseTime = 3 * time.Second

// Guards against a storm of claims at a vacant duty, and against a duty that stays vacant because
// the first candidates cannot reach the store.
func TestMoreInstancesCompeteTheLongerADutyIsVacant(t *testing.T) {
	for vacantFor, want := range map[time.Duration]int{
		0: 3, 3999 * time.Millisecond: 3, 4 * time.Second: 4, 4999 * time.Millisecond: 4, 5 * time.Second: 5, 60 * time.Second: 60,
	} {
		n := 0
		for competes(n, vacantFor) {
			n++
		}
		if n != want {
			t.Errorf("%d instances compete after %v, want %d", n, vacantFor, want)
		}
	}
	calls := 0.0
	for rank := range 1000 {
		calls += time.Second.Seconds() / attemptDelay(rank).Seconds()
	}
	if first := attemptDelay(immediateCandidates - 1); first != time.Second || calls > 30 {
		t.Errorf("the first candidates attempt every %v; 1,000 instances make %.0f attempts a second", first, calls)
	}
}

// Guards against times with which a lost lease is valid when the next holder begins, or with which
// no call fits between two renewals.
func TestTimesFitTheLeaseTime(t *testing.T) {
	if got, want := timing(leaseTime), (lease.Timing{TTL: 2500 * time.Millisecond, RenewInterval: 800 * time.Millisecond, RetryInterval: 200 * time.Millisecond}); got != want {
		t.Errorf("the times are %+v, want %+v", got, want)
	}
	for _, leaseTime := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, time.Minute} {
		times := timing(leaseTime)
		if spare := times.TTL*98/100 - times.RenewInterval - CallTimeout(leaseTime); times.TTL >= leaseTime || spare < times.TTL/10 {
			t.Errorf("with %v: %+v, calls of %v", leaseTime, times, CallTimeout(leaseTime))
		}
	}
}

// Guards against a holder that keeps a duty without reaching the API, and against one that gives it
// up although the API responds or has been silent only briefly.
func TestVerdicts(t *testing.T) {
	lost, rejected := external.ErrUnavailable, errors.New("status 400")
	type call struct {
		after time.Duration
		err   error
	}
	for name, c := range map[string]struct {
		calls   []call
		release bool
		pause   time.Duration
	}{
		"accepted":            {[]call{{0, nil}}, false, 0},
		"stale":               {[]call{{0, external.ErrStaleFence}}, true, 0},
		"limited":             {[]call{{0, &external.RateLimitedError{}}}, false, time.Second},
		"limited for 4 s":     {[]call{{0, &external.RateLimitedError{RetryAfter: 4 * time.Second}}}, false, 4 * time.Second},
		"rejected":            {[]call{{0, rejected}, {2 * time.Second, rejected}, {2 * time.Second, rejected}}, false, 0},
		"two lost":            {[]call{{0, lost}, {4 * time.Second, lost}}, false, 0},
		"three lost in 2.9 s": {[]call{{0, lost}, {time.Second, lost}, {1900 * time.Millisecond, lost}}, false, 0},
		"three lost in 3 s":   {[]call{{0, lost}, {time.Second, lost}, {2 * time.Second, lost}}, true, 0},
		"answered between":    {[]call{{0, lost}, {time.Second, rejected}, {2 * time.Second, lost}, {time.Second, lost}}, false, 0},
	} {
		now := time.Unix(0, 0)
		var o outcomes
		var v verdict
		for _, call := range c.calls {
			now = now.Add(call.after)
			o, v = o.after(call.err, now)
		}
		if (v.release != "") != c.release || v.pause != c.pause {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

// Guards against a key that a restored copy of the store holds for ever, and against replacing the
// key of a valid holder.
func TestOnlyKeysOfAnEarlierEraAreVacant(t *testing.T) {
	leaseID, _ := external.ExtendByEra(2, 7)
	row, _ := json.Marshal(Row{Holder: "a", Started: 1, Lease: leaseID})
	for name, c := range map[string]struct {
		entry external.Entry
		era   int64
		want  bool
	}{
		"no key":       {external.Entry{}, 2, true},
		"this era":     {external.Entry{Value: row, ModRevision: 9}, 2, false},
		"later era":    {external.Entry{Value: row, ModRevision: 9}, 3, true},
		"other value":  {external.Entry{Value: []byte("x"), ModRevision: 9}, 3, false},
		"other object": {external.Entry{Value: []byte("{}"), ModRevision: 9}, 3, false},
	} {
		if got := vacant(c.entry, c.era); got != c.want {
			t.Errorf("%s: vacant is %v", name, got)
		}
	}
}

// quickStore answers at once and without faults; its key and leases never end by themselves.
type quickStore struct {
	key      external.Entry
	revision int64
	lost     bool
	calls    int
}

func (s *quickStore) Get(context.Context, string) (external.Entry, error) {
	s.calls++
	return s.key, nil
}
func (s *quickStore) GrantLease(context.Context, time.Duration) (int64, error) {
	s.revision++
	return s.revision, nil
}
func (s *quickStore) RevokeLease(_ context.Context, id int64) error {
	if s.key.Lease == id {
		s.key = external.Entry{}
	}
	return nil
}
func (s *quickStore) RenewLease(context.Context, int64) error {
	if s.lost {
		return external.ErrLeaseNotFound
	}
	return nil
}
func (s *quickStore) Commit(_ context.Context, c []external.Condition, w []external.Write) (bool, int64, error) {
	if c[0].ModRevision != s.key.ModRevision {
		return false, 0, nil
	}
	s.revision++
	s.key = external.Entry{Value: w[0].Value, ModRevision: s.revision, Lease: w[0].Lease}
	return true, s.revision, nil
}

// rig is a holder on a test clock.
type rig struct {
	*Holder
	t     *testing.T
	store *quickStore
	now   time.Time
	live  []string
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, store: &quickStore{}, now: time.Unix(100, 0), live: []string{"a", "b"}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r.Holder = New(Config{
		Store: r.store, Duty: external.DutyUsageReport, Instance: "a", Started: 1, LeaseTime: leaseTime,
		Live: func() []string { return r.live }, Now: func() time.Time { return r.now }, Log: logrus.NewEntry(log),
	})
	return r
}

// run advances the clock in steps of 50 ms, with four calls of Step each: a claim takes three.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); ; r.now = r.now.Add(50 * time.Millisecond) {
		for range 4 {
			r.Step(context.Background())
		}
		if !r.now.Before(end) {
			return
		}
	}
}

func (r *rig) expect(what string, want bool) external.Fence {
	r.t.Helper()
	f, until, ok := r.Permit()
	if ok != want {
		r.t.Fatalf("%s: permitted is %v", what, ok)
	}
	if ok && until.Sub(r.now) < r.CallTimeout() {
		r.t.Fatalf("%s: %v remain", what, until.Sub(r.now))
	}
	return f
}

// Guards against calls during the settling time, after validity, or too late for their timeout.
func TestPermitLastsFromTheSettlingTimeToTheValidity(t *testing.T) {
	r := newRig(t)
	r.run(time.Second)
	if r.store.calls != 0 {
		t.Error("an instance competes that does not know whether the duty is vacant")
	}
	r.Observe(external.Entry{}, 0)
	claimed := r.now
	r.run(leaseTime - 50*time.Millisecond)
	r.expect("during the settling time", false)
	r.run(50 * time.Millisecond)
	if f := r.expect("after the settling time", true); f.Holder != "a" || f.Token != r.store.key.ModRevision {
		t.Errorf("%+v", f)
	}
	if term, ok := r.Term(); !ok || term.Since != claimed {
		t.Errorf("the term is %+v, claimed at %v", term, claimed)
	}
	term, _ := r.Term()
	r.now = term.Until.Add(-r.CallTimeout())
	r.expect("with just enough time for a call", true)
	r.now = r.now.Add(1)
	r.expect("with too little time for a call", false)
	r.run(0)
	r.expect("after the next renewal", true)
	r.store.lost = true
	r.run(time.Second)
	r.expect("after the lease was lost", false)
}

// Guards against a holder that acts or competes after it has given up the duty.
func TestAHolderGivesUpTheDuty(t *testing.T) {
	other := external.Entry{Value: []byte(`{"holder":"b","lease":9}`), ModRevision: 9}
	for name, c := range map[string]struct {
		cause func(*rig)
		// regained is when the holder has the duty again while it is vacant, 0 for never.
		regained time.Duration
	}{
		"no answer": {func(r *rig) {
			for range 3 {
				r.ReportOutcome(external.ErrUnavailable)
				r.now = r.now.Add(1500 * time.Millisecond)
			}
		}, 10 * time.Second},
		"stale token":  {func(r *rig) { r.ReportOutcome(external.ErrStaleFence) }, 10 * time.Second},
		"drain":        {func(r *rig) { r.Release(context.Background()) }, 0},
		"other holder": {func(r *rig) { r.Observe(other, 0) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.Observe(external.Entry{}, 0)
			r.run(4 * time.Second)
			first := r.expect("at first", true)
			c.cause(r)
			gaveUp := r.now
			r.expect("before the release is sent", false)
			r.run(200 * time.Millisecond)
			if _, held := r.Term(); held || r.store.key.ModRevision != 0 {
				t.Fatal("the lease is not released")
			}
			for r.now.Before(gaveUp.Add(30 * time.Second)) {
				if _, held := r.Term(); held {
					break
				}
				r.run(50 * time.Millisecond)
			}
			took := r.now.Sub(gaveUp)
			if _, held := r.Term(); held != (c.regained > 0) || (held && (took < c.regained-2*time.Second || took > c.regained+time.Second)) {
				t.Fatalf("regained %v after %v", held, took)
			}
			if c.regained > 0 {
				r.run(4 * time.Second)
				if second := r.expect("in the second term", true); second.Token <= first.Token {
					t.Errorf("tokens %d and %d", first.Token, second.Token)
				}
			}
		})
	}
}

// Guards against calls at a rate that the API has rejected.
func TestAPauseEndsByItself(t *testing.T) {
	r := newRig(t)
	r.Observe(external.Entry{}, 0)
	r.run(4 * time.Second)
	r.ReportOutcome(&external.RateLimitedError{RetryAfter: 500 * time.Millisecond})
	r.expect("during the pause", false)
	r.run(500 * time.Millisecond)
	r.expect("after the pause", true)
}

// Guards against instances that compete while the duty is held or that are not among the first.
func TestOnlyTheFirstCompeteAtOnce(t *testing.T) {
	r := newRig(t)
	r.live = []string{"a"}
	for n := 'b'; len(r.live) < 5; n++ {
		r.live = append(r.live, string(n))
	}
	for _, id := range r.live {
		if membership.Rank(string(external.DutyUsageReport), id, r.live) == 4 {
			r.config.Instance = id
		}
	}
	r.Observe(external.Entry{Value: []byte(`{"holder":"b","lease":9}`), ModRevision: 9}, 0)
	r.run(10 * time.Second)
	if r.store.calls != 0 {
		t.Fatal("it competes for a duty that is held")
	}
	r.Observe(external.Entry{}, 0)
	r.run(4900 * time.Millisecond)
	if r.store.calls != 0 {
		t.Fatal("the fifth candidate competes in the first 5 s")
	}
	r.run(400 * time.Millisecond)
	if r.store.calls != 1 {
		t.Fatalf("%d calls after 5 s", r.store.calls)
	}
}

// Guards against a Run that does not notice an observation, or that ends with the duty held after a
// release.
func TestRunHoldsTheDuty(t *testing.T) {
	r := newRig(t)
	r.config.Now = time.Now
	r.Holder = New(r.config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	r.Observe(external.Entry{}, 0)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, held := r.Term(); held {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the duty is not held after 5 s")
		}
	}
	r.Release(context.Background())
	cancel()
	<-done
	if _, held := r.Term(); held || r.store.key.ModRevision != 0 {
		t.Error("the duty is held after the release")
	}
}
