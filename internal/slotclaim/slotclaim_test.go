package slotclaim

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"heatherloom/internal/external"
)

// sim simulates a store with its clock and the instances of one failure domain. Calls take
// simulated time, during which the other instances proceed.
type sim struct {
	external.Store
	t                *testing.T
	rng              *rand.Rand
	now              time.Time
	outageEnd        time.Time
	revision         int64
	keys             map[string]external.Entry
	leaseEnds        map[int64]time.Time
	delayedEffects   []func()
	holders          []*simHolder
	loseNextResponse bool
	// faultless turns off random faults.
	faultless bool
}

type simHolder struct {
	*Holder
	inCall bool
}

func newSim(t *testing.T, seed uint64) *sim {
	return &sim{t: t, rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1e9, 0), keys: map[string]external.Entry{}, leaseEnds: map[int64]time.Time{}}
}

func (s *sim) holder(id string, slots int) *simHolder {
	h := &simHolder{Holder: New(Deps{
		Store: s, Domain: "d", Instance: id, Incarnation: s.now.UnixNano(),
		Slots: func() int { return slots }, Now: func() time.Time { return s.now },
	})}
	s.holders = append(s.holders, h)
	return h
}

// advance advances the simulated time and lets every instance that is not in a call
// proceed.
func (s *sim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(min(end.Sub(s.now), time.Second+time.Duration(s.rng.Int64N(int64(time.Minute)))))
		for leaseID, end := range s.leaseEnds {
			if !s.now.Before(end) {
				s.endLease(leaseID)
			}
		}
		for _, h := range s.holders {
			for range 4 {
				if !h.inCall {
					h.inCall = true
					h.Step(context.Background())
					h.inCall = false
				}
			}
		}
		s.check()
	}
}

// check verifies the invariant: no slot is used by two instances.
func (s *sim) check() {
	users := map[int]string{}
	for _, h := range s.holders {
		c := h.Claim()
		if !c.Held || s.now.Before(c.UsableFrom) || !s.now.Before(c.UsableUntil) {
			continue
		}
		if other, ok := users[c.Index]; ok {
			s.t.Fatalf("at %v slot %d is used by %s and %s", s.now, c.Index, other, h.Instance)
		}
		users[c.Index] = h.Instance
	}
}

func (s *sim) endLease(leaseID int64) {
	delete(s.leaseEnds, leaseID)
	for key, e := range s.keys {
		if e.Lease == leaseID {
			delete(s.keys, key)
		}
	}
}

// call runs effect with faults: pauses, no effect, a lost response or a delayed effect.
func (s *sim) call(effect func() error) error {
	fault := s.rng.IntN(20)
	if s.faultless {
		fault = 20
	}
	if s.loseNextResponse {
		fault, s.loseNextResponse = 1, false
	}
	pauses := []time.Duration{0, 0, 0, time.Minute, 80 * time.Minute}
	if fault < 4 && !s.faultless {
		s.advance(pauses[s.rng.IntN(len(pauses))])
	}
	switch {
	case fault == 0 || s.now.Before(s.outageEnd):
		return external.ErrUnavailable
	case fault == 1:
		_ = effect()
		return external.ErrUnavailable
	case fault == 2:
		s.delayedEffects = append(s.delayedEffects, func() { _ = effect() })
		return external.ErrUnavailable
	}
	err := effect()
	if fault == 3 {
		s.advance(pauses[s.rng.IntN(len(pauses))])
	}
	return err
}

func (s *sim) Get(_ context.Context, key string) (e external.Entry, err error) {
	err = s.call(func() error { e = s.keys[key]; return nil })
	return e, err
}

func (s *sim) List(_ context.Context, prefix string) (entries []external.Entry, err error) {
	err = s.call(func() error {
		for key, e := range s.keys {
			if strings.HasPrefix(key, prefix) {
				entries = append(entries, e)
			}
		}
		return nil
	})
	return entries, err
}

func (s *sim) GrantLease(_ context.Context, ttl time.Duration) (leaseID int64, err error) {
	err = s.call(func() error {
		s.revision++
		leaseID = s.revision
		s.leaseEnds[leaseID] = s.now.Add(ttl)
		return nil
	})
	return leaseID, err
}

func (s *sim) RenewLease(_ context.Context, leaseID int64) error {
	return s.call(func() error {
		if _, ok := s.leaseEnds[leaseID]; !ok {
			return external.ErrLeaseNotFound
		}
		s.leaseEnds[leaseID] = s.now.Add(TTL)
		return nil
	})
}

func (s *sim) RevokeLease(_ context.Context, leaseID int64) error {
	return s.call(func() error { s.endLease(leaseID); return nil })
}

func (s *sim) Commit(_ context.Context, conditions []external.Condition, writes []external.Write) (ok bool, modRevision int64, err error) {
	err = s.call(func() error {
		if _, exists := s.leaseEnds[writes[0].Lease]; !exists {
			return external.ErrLeaseNotFound
		}
		for _, c := range conditions {
			if s.keys[c.Key].ModRevision != c.ModRevision {
				return nil
			}
		}
		ok = true
		s.revision++
		for _, w := range writes {
			s.keys[w.Key] = external.Entry{Key: w.Key, Value: w.Value, ModRevision: s.revision, Lease: w.Lease}
		}
		return nil
	})
	return ok, s.revision, err
}

// Guards against a slot that two instances use at the same time, with competing claims,
// lost responses, delayed effects, outages of up to 90 minutes, and pauses longer than the
// lease.
func TestNoSlotHasTwoUsers(t *testing.T) {
	claims := 0
	for seed := range uint64(60) {
		s := newSim(t, seed)
		for _, id := range []string{"a", "b", "c"} {
			s.holder(id, 2)
		}
		for range 60 {
			if s.rng.IntN(8) == 0 {
				s.outageEnd = s.now.Add(time.Duration(s.rng.IntN(90)) * time.Minute)
			}
			if n := s.rng.IntN(12); n < len(s.holders) {
				// A process ends and another one with its id starts.
				id := s.holders[n].Instance
				s.holders = append(s.holders[:n:n], s.holders[n+1:]...)
				s.holder(id, 2)
			}
			for _, effect := range s.delayedEffects {
				effect()
			}
			s.delayedEffects = nil
			s.advance(10 * time.Minute)
			for _, h := range s.holders {
				if h.Claim().Held {
					claims++
				}
			}
		}
	}
	if claims < 4000 {
		t.Errorf("slots were held in only %d of 7200 cases", claims)
	}
}

// startFaultless returns a simulation without random faults, with one instance that holds
// one of two slots.
func startFaultless(t *testing.T) (*sim, *simHolder) {
	s := newSim(t, 1)
	s.faultless = true
	h := s.holder("a", 2)
	s.advance(10 * time.Second)
	if c := h.Claim(); !c.Held || !c.FirstClaim {
		t.Fatalf("the first claim is %+v", c)
	}
	return s, h
}

// Guards against an instance that loses its slot in a store outage of an hour, and against
// a paused instance that uses its slot after the lease has ended.
func TestUseSurvivesAnHourWithoutStore(t *testing.T) {
	s, h := startFaultless(t)
	before := h.Claim()
	s.outageEnd = s.now.Add(time.Hour)
	s.advance(time.Hour - time.Second)
	if c := h.Claim(); c != before || !s.now.Before(c.UsableUntil) {
		t.Errorf("after an hour without the store the claim is %+v, before %+v", c, before)
	}
	s.advance(time.Minute)
	if c := h.Claim(); !c.UsableUntil.After(s.now.Add(70*time.Minute)) || c.UsableFrom != before.UsableFrom {
		t.Errorf("after the outage the claim is %+v", c)
	}
	h.inCall = true // paused
	s.advance(75*time.Minute - 75*time.Minute*marginPercent/100)
	if s.now.Before(h.Claim().UsableUntil) {
		t.Error("the slot is still used after the pause")
	}
}

// Guards against an instance that takes a second slot or none after a claim took effect
// but its response was lost.
func TestLostClaimIsReadBack(t *testing.T) {
	s := newSim(t, 1)
	s.faultless = true
	h := s.holder("a", 2)
	for range 2 {
		h.Step(t.Context())
	}
	s.loseNextResponse = true
	h.Step(t.Context())
	if h.Claim().Held {
		t.Fatal("a claim without a response counts as held")
	}
	s.advance(time.Second)
	if c := h.Claim(); !c.Held || !c.FirstClaim || len(s.keys) != 2 {
		t.Errorf("the claim is %+v with the keys %v", c, s.keys)
	}
}

// Guards against a restarted instance that waits for its old lease to expire, and against
// one that spends tokens lent by its earlier process.
func TestRestartTakesItsSlotAtOnce(t *testing.T) {
	s, old := startFaultless(t)
	s.holders = nil
	other, h := s.holder("b", 2), s.holder("a", 2)
	s.advance(time.Second)
	answered := s.now
	c := h.Claim()
	if !c.Held || c.Index != old.Claim().Index || c.FirstClaim || c.UsableFrom.Before(answered.Add(loanSettleTime)) {
		t.Errorf("the claim after the restart is %+v, before %+v", c, old.Claim())
	}
	if got := other.Claim(); !got.Held || got.Index == c.Index {
		t.Errorf("the other instance holds %+v", got)
	}
	h.Release(t.Context())
	s.holders = nil
	next := s.holder("c", 2)
	s.advance(time.Second)
	if got := next.Claim(); !got.Held || got.Index != c.Index {
		t.Errorf("after the release %+v is claimed", got)
	}
}
