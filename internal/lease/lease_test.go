package lease

import (
	"context"
	"errors"
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"heatherloom/internal/external"
)

// A fixed seed makes failures of the randomized tests reproducible.
var _ = errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true"))

// simStep is below the 0.2 s by which the drifting clocks differ from the TTL.
const simStep = 50 * time.Millisecond

// sim simulates a store with its clock and two contenders. Calls take simulated time,
// during which the other contender proceeds.
type sim struct {
	t                       *rapid.T
	now, outageEnd          time.Duration
	revision, highestToken  int64
	key                     external.Entry
	leaseEnds               map[int64]time.Duration
	delayedEffects          map[time.Duration][]func()
	contenders              []*contender
	acquisitions            []porcupine.Operation
	holderChanges, renewals int
}

type contender struct {
	*Holder
	inCall bool
	token  int64
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, leaseEnds: map[int64]time.Duration{}, delayedEffects: map[time.Duration][]func(){}}
	start := time.Unix(0, 0)
	for _, id := range []string{"a", "b"} {
		drift := rapid.SampledFrom([]int{-19, -5, 0, 19}).Draw(t, "drift in 1/1000")
		clock := func() time.Time { return start.Add(s.now + s.now*time.Duration(drift)/1000) }
		s.contenders = append(s.contenders, &contender{Holder: New(s, "k", id, DefaultTTL, clock)})
	}
	return s
}

// advance advances the simulated time, with the effects of delayed calls and the steps of
// contenders that are not in a call.
func (s *sim) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		for _, effect := range s.delayedEffects[s.now] {
			effect()
		}
		s.expire()
		for n, c := range s.contenders {
			if !c.inCall {
				s.step(n, c)
			}
		}
		s.check()
	}
}

func (s *sim) step(n int, c *contender) {
	c.inCall = true
	defer func() { c.inCall = false }()
	called := s.now
	c.Step(context.Background())
	if state := c.read(); state.phase == held && state.token != c.token {
		c.token = state.token
		s.acquisitions = append(s.acquisitions, porcupine.Operation{
			ClientId: n, Input: c.token, Call: int64(called), Output: nil, Return: int64(s.now),
		})
	}
}

// check verifies the invariant: at most one holder is valid, and its token is not lower
// than that of any earlier valid holder.
func (s *sim) check() {
	valid := 0
	for _, c := range s.contenders {
		token, ok := c.Valid()
		if !ok {
			continue
		}
		valid++
		if token < s.highestToken {
			s.t.Fatalf("at %v token %d is valid after %d", s.now, token, s.highestToken)
		}
		if token > s.highestToken {
			s.holderChanges++
		}
		s.highestToken = token
	}
	if valid > 1 {
		s.t.Fatalf("at %v both contenders are valid", s.now)
	}
}

func (s *sim) expire() {
	for leaseID, end := range s.leaseEnds {
		if s.now >= end {
			s.endLease(leaseID)
		}
	}
}

func (s *sim) endLease(leaseID int64) {
	delete(s.leaseEnds, leaseID)
	if s.key.Lease == leaseID {
		s.key = external.Entry{}
	}
}

// call runs effect with the faults of a store and a network: pauses before and after it,
// no effect, a lost response, and an effect after the caller has given up.
func (s *sim) call(effect func() error) error {
	pauses := rapid.SampledFrom([]time.Duration{0, 0, 0, 0, 0, simStep, time.Second, 4 * time.Second, 14 * time.Second})
	s.advance(pauses.Draw(s.t, "before"))
	fault := rapid.SampledFrom([]string{"", "", "", "", "", "refused", "lost", "late"}).Draw(s.t, "fault")
	if s.now < s.outageEnd {
		fault = "refused"
	}
	var err error
	switch fault {
	case "refused":
		err = external.ErrUnavailable
	case "late":
		at := s.now + simStep*time.Duration(rapid.IntRange(1, 300).Draw(s.t, "lateness"))
		s.delayedEffects[at] = append(s.delayedEffects[at], func() { _ = effect() })
		err = external.ErrUnavailable
	default:
		err = effect()
	}
	s.advance(pauses.Draw(s.t, "after"))
	if fault == "lost" {
		return external.ErrUnavailable
	}
	return err
}

func (s *sim) Get(context.Context, string) (entry external.Entry, err error) {
	err = s.call(func() error { entry = s.key; return nil })
	return entry, err
}

func (s *sim) GrantLease(_ context.Context, ttl time.Duration) (leaseID int64, err error) {
	err = s.call(func() error {
		s.revision++
		leaseID = s.revision
		s.leaseEnds[leaseID] = s.now + ttl
		return nil
	})
	return leaseID, err
}

func (s *sim) RenewLease(_ context.Context, leaseID int64) error {
	return s.call(func() error {
		if _, ok := s.leaseEnds[leaseID]; !ok {
			return external.ErrLeaseNotFound
		}
		s.renewals++
		s.leaseEnds[leaseID] = s.now + DefaultTTL
		return nil
	})
}

func (s *sim) RevokeLease(_ context.Context, leaseID int64) error {
	return s.call(func() error { s.endLease(leaseID); return nil })
}

func (s *sim) Commit(_ context.Context, c []external.Condition, w []external.Write) (ok bool, modRevision int64, err error) {
	err = s.call(func() error {
		if _, exists := s.leaseEnds[w[0].Lease]; !exists {
			return external.ErrLeaseNotFound
		}
		if ok = s.key.ModRevision == c[0].ModRevision; ok {
			s.revision++
			s.key = external.Entry{Key: w[0].Key, Value: w[0].Value, ModRevision: s.revision, Lease: w[0].Lease}
		}
		modRevision = s.revision
		return nil
	})
	return ok, modRevision, err
}

// increasingTokens accepts histories of acquisitions in which each token exceeds those of
// all acquisitions that ended before it began.
var increasingTokens = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, _ any) (bool, any) { return input.(int64) > state.(int64), input },
}

// Guards against two valid holders, a decreasing token and a paused holder that acts,
// with pauses, lost and delayed calls, outages and clocks that drift by 1.9%.
func TestAtMostOneHolderIsValid(t *testing.T) {
	changes, renewals := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		for range 20 {
			if rapid.IntRange(0, 4).Draw(t, "outage") == 0 {
				s.outageEnd = s.now + time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds"))*time.Second
			}
			if rapid.IntRange(0, 9).Draw(t, "release") == 0 {
				c := s.contenders[rapid.IntRange(0, 1).Draw(t, "contender")]
				c.inCall = true
				c.Release(context.Background())
				c.inCall = false
			}
			s.advance(5 * time.Second)
		}
		if !porcupine.CheckOperations(increasingTokens, s.acquisitions) {
			t.Fatalf("the tokens of the acquisitions do not increase: %v", s.acquisitions)
		}
		changes, renewals = changes+s.holderChanges, renewals+s.renewals
	})
	t.Logf("%d changes of the holder and %d renewals", changes, renewals)
	if changes < 200 || renewals < 500 {
		t.Errorf("only %d changes of the holder and %d renewals happened", changes, renewals)
	}
}

var defaultTiming = Timing{TTL: DefaultTTL, RenewInterval: defaultRenewInterval, RetryInterval: defaultRetryInterval}

// instant is the time of a call that takes no time.
func instant(t time.Time) callTime { return callTime{t, t} }

// Guards against giving up a lease that was acquired although the response was lost, and
// against treating a lease as acquired that was not.
func TestALostAcquireIsReadBack(t *testing.T) {
	now := time.Unix(0, 0)
	claimed := state{phase: granted, leaseID: 7, validUntil: now.Add(time.Second)}.after(actClaim, instant(now), defaultTiming, callResult{status: statusUnknown})
	if claimed.next(now) != actReadBack || claimed.validAt(now) {
		t.Fatalf("after a lost response the state is %+v", claimed)
	}
	for r, want := range map[callStatus]bool{statusOK: true, statusRejected: false, statusAbsent: false, statusUnknown: false} {
		if s := claimed.after(actReadBack, instant(now), defaultTiming, callResult{status: r, token: 9}); s.validAt(now) != want {
			t.Errorf("after reading back %v the state is %+v", r, s)
		}
	}
}

// Guards against a holder whose clock is 1.9% slow and that is still valid when the lease
// expires in the store.
func TestASlowClockEndsBeforeTheLease(t *testing.T) {
	start := time.Unix(0, 0)
	s := state{phase: held}.after(actRenew, instant(start), defaultTiming, callResult{})
	if slowNow := start.Add(DefaultTTL - DefaultTTL*19/1000); s.validAt(slowNow) || !s.validAt(slowNow.Add(-time.Second)) {
		t.Errorf("validity ends at %v, want up to a second before %v", s.validUntil, slowNow)
	}
}

// Guards against a holder that loses its lease although its calls succeed, and against
// more calls than one renewal every 3 s.
func TestAHealthyHolderKeepsTheLease(t *testing.T) {
	var calls []action
	now := time.Unix(0, 0)
	s := state{}
	results := map[action]callResult{
		actCheck: {status: statusAbsent}, actGrant: {leaseID: 7}, actClaim: {token: 9}, actRenew: {},
	}
	for ; now.Before(time.Unix(60, 0)); now = now.Add(simStep) {
		for !now.Before(s.due) {
			a := s.next(now)
			calls = append(calls, a)
			s = s.after(a, instant(now), defaultTiming, results[a])
		}
		if !s.validAt(now) {
			t.Fatalf("the lease is not valid at %v", now)
		}
	}
	if want := []action{actCheck, actGrant, actClaim, actRenew}; len(calls) != 22 || !slices.Equal(calls[:4], want) {
		t.Errorf("%d calls: %v", len(calls), calls)
	}
}

// oneKeyStore answers at once and without faults.
type oneKeyStore struct {
	Store
	key   external.Entry
	lease int64
	pause func()
}

func (s *oneKeyStore) Get(context.Context, string) (external.Entry, error) { return s.key, nil }
func (s *oneKeyStore) GrantLease(context.Context, time.Duration) (int64, error) {
	s.lease++
	return s.lease, nil
}
func (s *oneKeyStore) RevokeLease(context.Context, int64) error { return nil }
func (s *oneKeyStore) Commit(_ context.Context, c []external.Condition, w []external.Write) (bool, int64, error) {
	defer s.pause()
	if c[0].ModRevision != s.key.ModRevision {
		return false, 0, nil
	}
	s.key = external.Entry{Value: w[0].Value, ModRevision: s.key.ModRevision + 1, Lease: w[0].Lease}
	return true, s.key.ModRevision, nil
}

// Guards against a key that is left by a holder known to be invalid and blocks the lease for
// ever, and against a term that begins before the response to its claim.
func TestAKeyOfAnInvalidHolderIsReplaced(t *testing.T) {
	now := time.Unix(0, 0)
	store := &oneKeyStore{key: external.Entry{Value: []byte("old"), ModRevision: 5, Lease: 99}}
	store.pause = func() { now = now.Add(time.Second) }
	invalid := false
	h := NewFromConfig(Config{
		Store: store, Key: "k", Timing: defaultTiming, Now: func() time.Time { return now },
		Value:   func(int64) []byte { return []byte("own") },
		Invalid: func(e external.Entry) bool { return invalid && string(e.Value) == "old" },
	})
	for range 4 {
		h.Step(context.Background())
		now = now.Add(defaultRenewInterval)
	}
	if _, ok := h.Term(); ok {
		t.Fatal("a key of a valid holder was replaced")
	}
	invalid = true
	started := now
	for range 3 {
		h.Step(context.Background())
	}
	if term, ok := h.Term(); !ok || term.Token != 6 || term.Since != started.Add(time.Second) {
		t.Errorf("the term is %+v, %v", term, ok)
	}
}

// Guards against holding the lease by a key that another holder wrote: after a restore of the
// store, its late claim may name a lease whose ID was given out again.
func TestAKeyOfAnotherHolderWithTheOwnLeaseIsNotHeld(t *testing.T) {
	store := &oneKeyStore{pause: func() {}}
	h := NewFromConfig(Config{
		Store: store, Key: "k", Timing: defaultTiming, Now: func() time.Time { return time.Unix(0, 0) },
		Value: func(int64) []byte { return []byte("own") },
	})
	h.Step(context.Background())
	h.Step(context.Background())
	store.key = external.Entry{Value: []byte("other"), ModRevision: 5, Lease: store.lease}
	h.Step(context.Background())
	h.Step(context.Background())
	if _, ok := h.Term(); ok || h.read().phase != abandoned {
		t.Errorf("the state is %+v", h.read())
	}
}

// leaseCalls is a store in an era that grants leases with given IDs.
type leaseCalls struct {
	EraCalls
	era   int64
	grant []int64
	// applied is the TTL that the store applies.
	applied time.Duration
	entry   external.Entry
}

func (c *leaseCalls) GrantLeaseInEra(context.Context, time.Duration) (int64, time.Duration, int64, error) {
	id := c.grant[0]
	c.grant = c.grant[1:]
	return id, c.applied, c.era, nil
}

func (c *leaseCalls) CommitInEra(context.Context, []external.Condition, []external.Write) (bool, int64, int64, error) {
	return true, 9, c.era, nil
}

func (c *leaseCalls) RenewLeaseInEra(context.Context, int64) (int64, error) { return c.era, nil }

// Guards against a role that nobody ever has because the store applies a shorter TTL than was requested, and against a
// holder that is valid for longer than such a lease.
func TestTheTTLThatTheStoreAppliesCounts(t *testing.T) {
	for applied, want := range map[time.Duration]time.Duration{
		time.Minute: DefaultTTL, DefaultTTL: DefaultTTL, DefaultTTL / 2: DefaultTTL / 2, time.Second: time.Second,
	} {
		now := time.Unix(0, 0)
		h := NewFromConfig(Config{
			Store: NewEraStore(&leaseCalls{era: 3, grant: []int64{7}, applied: applied}), Key: "k", Timing: defaultTiming,
			Now: func() time.Time { return now }, Value: func(int64) []byte { return []byte("own") },
		})
		for range 3 {
			h.Step(context.Background())
		}
		for _, when := range []string{"after the claim", "after a renewal"} {
			if until := h.ValidUntil(); until != now.Add(want*98/100) {
				t.Errorf("applied %v, %s: valid for %v", applied, when, until.Sub(now))
			}
			due, _ := h.NextStep()
			if wait := due.Sub(now); wait <= 0 || wait > want/3 {
				t.Errorf("applied %v, %s: the next renewal is due after %v", applied, when, wait)
			}
			now = due
			h.Step(context.Background())
		}
	}
}

func (c *leaseCalls) GetInEra(context.Context, string) (external.Entry, int64, error) {
	return c.entry, c.era, nil
}

// Guards against a store whose lease IDs are large, so that no lease can be acquired, and against taking a lease for the
// own one whose ID was issued again after a restore.
func TestLeaseIDsOfTheStoreMayHaveAnySize(t *testing.T) {
	const large = 1 << 62
	ctx := context.Background()
	calls := &leaseCalls{era: 3, grant: []int64{large, large + 1}}
	s := NewEraStore(calls)
	first, err := s.GrantLease(ctx, time.Second)
	second, secondErr := s.GrantLease(ctx, time.Second)
	if err != nil || secondErr != nil || first == second {
		t.Fatalf("leases %d and %d, %v, %v", first, second, err, secondErr)
	}
	for _, c := range []struct{ era, lease, want int64 }{{3, large, first}, {3, large + 1, second}, {3, 7, foreignLease}, {4, large, foreignLease}, {3, 0, 0}} {
		calls.era, calls.entry = c.era, external.Entry{Key: "k", ModRevision: 5, Lease: c.lease}
		if e, err := s.Get(ctx, "k"); err != nil || e.Lease != c.want {
			t.Errorf("in era %d the lease %d counts as %d, %v, want %d", c.era, c.lease, e.Lease, err, c.want)
		}
	}
}
