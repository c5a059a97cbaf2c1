package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heatherloom/internal/opconfig"
)

// referenceBucket checks a sequence of admissions against the limit of the whole
// account: its tokens never become negative if and only if every window of length t
// contains at most burst + rate*t admissions.
type referenceBucket struct {
	limit  Limit
	tokens float64
	last   time.Time
}

func (r *referenceBucket) admit(at time.Time) bool {
	r.tokens = min(r.tokens+at.Sub(r.last).Seconds()*r.limit.Rate, r.limit.Burst)
	r.last = at
	r.tokens--
	return r.tokens > -1e-6
}

// instance is a simulated entry instance. Its index in simulation.instances is also that
// of its slot.
type instance struct {
	ledger *Ledger
	state  SlotState
	// frozenUntil is the end of a process pause.
	frozenUntil time.Time
	// partition is the network partition of the instance; only instances of the same one
	// reach each other.
	partition int
}

// pendingLoan is a reply on its way to the borrower.
type pendingLoan struct {
	borrower int
	arrives  time.Time
	sentAt   time.Time
	request  LoanRequest
	reply    LoanReply
	lost     bool
}

type simulation struct {
	rng       *rand.Rand
	now       time.Time
	account   opconfig.Account
	config    *opconfig.Config
	division  *Division
	instances []*instance
	pending   []pendingLoan
	reference referenceBucket
	admitted  int
	rejected  int
	violation string
}

const simulatedSlots = 8

func newSimulation(seed uint64, account opconfig.Account) *simulation {
	config := opconfig.New()
	config.FailureDomains["hobart-1"] = opconfig.FailureDomain{Name: "hobart-1", Region: "hobart", Slots: 4}
	config.FailureDomains["burnie-1"] = opconfig.FailureDomain{Name: "burnie-1", Region: "burnie", Slots: 4}
	s := &simulation{
		rng:       rand.New(rand.NewPCG(seed, 0)),
		now:       time.Unix(1_700_000_000, 0),
		account:   account,
		config:    config,
		division:  NewDivision(config),
		reference: referenceBucket{limit: Limit{Rate: account.Rate, Burst: account.Burst}, tokens: account.Burst},
	}
	s.reference.last = s.now
	for i := range simulatedSlots {
		s.instances = append(s.instances, &instance{})
		s.restart(i)
	}
	return s
}

// restart replaces the process that holds slot i. Its bucket starts empty.
func (s *simulation) restart(i int) {
	inst := s.instances[i]
	inst.ledger = NewLedger(fmt.Sprintf("instance-%d-%d", i, s.now.UnixNano()))
	inst.state = SlotState{Division: s.division, Own: s.division.slots[i], Held: true, UsableFrom: s.now}
	inst.frozenUntil = time.Time{}
}

// step advances the clock and delivers the replies that are due.
func (s *simulation) step(d time.Duration) {
	s.now = s.now.Add(d)
	kept := s.pending[:0]
	for _, p := range s.pending {
		inst := s.instances[p.borrower]
		if s.now.Before(p.arrives) || s.now.Before(inst.frozenUntil) {
			kept = append(kept, p)
			continue
		}
		inst.ledger.RecordReply(s.now, p.sentAt, p.request, p.reply, !p.lost)
	}
	s.pending = kept
}

// sendRequest sends one request of the account to instance i.
func (s *simulation) sendRequest(i int) {
	inst := s.instances[i]
	if s.now.Before(inst.frozenUntil) {
		return
	}
	decision := inst.ledger.Admit(s.now, inst.state, s.account)
	switch {
	case decision.Admitted:
		s.admitted++
		if !s.reference.admit(s.now) && s.violation == "" {
			s.violation = fmt.Sprintf("limit exceeded after %d admissions", s.admitted)
		}
	case decision.Borrow:
		s.borrow(i, decision.LenderSlot)
		s.rejected++
	default:
		s.rejected++
	}
}

func (s *simulation) borrow(i int, slot Slot) {
	inst := s.instances[i]
	request, ok := inst.ledger.NewLoanRequest(s.now, s.account.Name, slot, 1)
	if !ok {
		return
	}
	lender := s.lender(slot)
	p := pendingLoan{borrower: i, sentAt: s.now, request: request, arrives: s.now.Add(s.delay())}
	reachable := lender.partition == inst.partition && !s.now.Before(lender.frozenUntil)
	if reachable {
		p.reply = lender.ledger.Lend(s.now, lender.state, s.account, request)
	}
	p.lost = !reachable || s.rng.IntN(20) == 0
	s.pending = append(s.pending, p)
}

func (s *simulation) lender(slot Slot) *instance {
	for _, inst := range s.instances {
		if inst.state.Own == slot {
			return inst
		}
	}
	panic("no instance holds slot " + slot.ID())
}

func (s *simulation) delay() time.Duration {
	if s.rng.IntN(30) == 0 {
		return time.Duration(s.rng.IntN(3000)) * time.Millisecond
	}
	return time.Duration(1+s.rng.IntN(60)) * time.Millisecond
}

// injectFault restarts, pauses or partitions an instance, or heals all partitions.
func (s *simulation) injectFault() {
	i := s.rng.IntN(len(s.instances))
	switch s.rng.IntN(4) {
	case 0:
		s.restart(i)
	case 1:
		s.instances[i].frozenUntil = s.now.Add(time.Duration(s.rng.IntN(20_000)) * time.Millisecond)
	case 2:
		s.instances[i].partition = s.rng.IntN(3)
	case 3:
		for _, inst := range s.instances {
			inst.partition = 0
		}
	}
}

// TestLimitHoldsUnderFailures guards against any window in which all instances together
// admit more than burst + rate*t, under restarts, pauses, partitions, lost and delayed
// loans, and demand that moves between instances.
func TestLimitHoldsUnderFailures(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		rng := rand.New(rand.NewPCG(seed, 1))
		account := opconfig.Account{Name: "derwent", Rate: 1 + 200*rng.Float64(), Burst: 1 + 100*rng.Float64()}
		s := newSimulation(seed, account)
		busy := 0
		for step := range 12_000 {
			s.step(time.Duration(1+s.rng.IntN(4)) * time.Millisecond)
			if step%500 == 0 {
				busy = s.rng.IntN(len(s.instances))
				s.injectFault()
			}
			for range s.rng.IntN(3) {
				s.sendRequest(busy)
			}
			s.sendRequest(s.rng.IntN(len(s.instances)))
		}
		if s.violation != "" {
			t.Fatalf("seed %d, rate %.2f, burst %.2f: %s", seed, account.Rate, account.Burst, s.violation)
		}
		if s.admitted == 0 {
			t.Fatalf("seed %d: nothing was admitted", seed)
		}
	}
}

// TestDemandAtOneInstanceIsServed guards against rejecting requests within the rate when
// all of an account's traffic, at 90% of its rate, arrives at one of eight instances.
func TestDemandAtOneInstanceIsServed(t *testing.T) {
	account := opconfig.Account{Name: "derwent", Rate: 100, Burst: 40}
	s := newSimulation(7, account)
	s.step(time.Second)
	interval := time.Duration(float64(time.Second) / (0.9 * account.Rate))
	requests, admitted := 2000, 0
	for range requests {
		s.step(interval)
		if admitsWithin(s, 0, 300*time.Millisecond) {
			admitted++
		}
	}
	if s.violation != "" {
		t.Fatal(s.violation)
	}
	if admitted < requests {
		t.Fatalf("%d of %d requests within the rate were rejected", requests-admitted, requests)
	}
}

// admitsWithin retries a request until it is admitted or the limit has passed, as the
// gateway does while it waits for loans.
func admitsWithin(s *simulation, i int, limit time.Duration) bool {
	before := s.admitted
	for waited := time.Duration(0); waited < limit; waited += 5 * time.Millisecond {
		s.sendRequest(i)
		if s.admitted > before {
			return true
		}
		s.step(5 * time.Millisecond)
	}
	return false
}

// TestRestartRenewsNoBurst guards against instances that start with a full bucket after a
// restart, which would grant an already spent burst again.
func TestRestartRenewsNoBurst(t *testing.T) {
	s := newSimulation(3, opconfig.Account{Name: "derwent", Rate: 8, Burst: 80})
	s.step(time.Minute)
	for range 5 {
		for i := range s.instances {
			for range 20 {
				s.sendRequest(i)
			}
			s.restart(i)
		}
		s.step(10 * time.Millisecond)
	}
	if s.violation != "" {
		t.Fatal(s.violation)
	}
	if s.admitted < 40 {
		t.Fatalf("%d requests were admitted, the burst of 80 was not usable before the restarts", s.admitted)
	}
}

// TestExpiredLoanIsNotSpent guards against an instance that is paused after it borrowed a
// token and spends the token after the lender has stopped counting it.
func TestExpiredLoanIsNotSpent(t *testing.T) {
	s := newSimulation(1, opconfig.Account{Name: "derwent", Rate: 8, Burst: 80})
	borrower, lender := s.instances[0], s.instances[1]
	s.step(time.Minute)
	for range 10 {
		s.sendRequest(0) // spends the burst of its own slot
	}
	sentAt := s.now
	request, _ := borrower.ledger.NewLoanRequest(sentAt, s.account.Name, lender.state.Own, 1)
	reply := lender.ledger.Lend(s.now, lender.state, s.account, request)
	if reply.Tokens != 1 {
		t.Fatalf("%d tokens lent, want 1", reply.Tokens)
	}
	borrower.ledger.RecordReply(s.now, sentAt, request, reply, true)
	borrower.state.Held = false
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{LoanValidity, false}, {LoanValidity - time.Millisecond, true}} {
		if got := borrower.ledger.Admit(sentAt.Add(c.after), borrower.state, s.account).Admitted; got != c.want {
			t.Errorf("admitted %t by a loan %s after asking, want %t", got, c.after, c.want)
		}
	}
}

// Guards against the use of a slot after SlotState.UsableUntil, and against a full bucket
// after the claim is renewed past that time.
func TestRenewedClaimRenewsNoBurst(t *testing.T) {
	s := newSimulation(1, opconfig.Account{Name: "derwent", Rate: 8, Burst: 80})
	inst := s.instances[0]
	s.step(time.Minute)
	inst.state.UsableUntil = s.now.Add(time.Second)
	count := func() int {
		n := 0
		for inst.ledger.Admit(s.now, inst.state, s.account).Admitted {
			n++
		}
		return n
	}
	if n := count(); n != 10 {
		t.Fatalf("%d admitted from the burst of the own slot, want 10", n)
	}
	s.step(time.Second)
	if n := count(); n != 0 {
		t.Errorf("%d admitted after the end of use", n)
	}
	inst.state.UsableUntil = s.now.Add(time.Hour)
	if n := count(); n != 1 {
		t.Errorf("%d admitted after the renewal, want the one token of a second", n)
	}
}
