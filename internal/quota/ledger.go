package quota

import (
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"heatherloom/internal/opconfig"
)

const (
	// shardCount is the number of locks over which rows are spread to limit contention.
	shardCount = 64
	// unreachableBackoff is how long a lender gets no loan requests after it failed to
	// respond.
	unreachableBackoff = time.Second
	// minRequestInterval is the minimum interval between loan requests to a lender that
	// could not lend all requested tokens.
	minRequestInterval = 20 * time.Millisecond
	// maxLoanTokens is the maximum number of tokens per loan request.
	maxLoanTokens = 64
)

// SlotState is the part of the control state that the ledger uses: the division of the rates
// and the own slotclaim.Claim, checked against the configuration. Held is false if the
// configuration no longer defines the claimed slot. It is immutable.
type SlotState struct {
	Division *Division
	// Own is the slot that this instance holds; valid if Held is true.
	Own  Slot
	Held bool
	// UsableFrom and UsableUntil bound the time in which the slot's rate may be used; there
	// is no end if UsableUntil is zero.
	UsableFrom  time.Time
	UsableUntil time.Time
	// FirstClaim is true if the slot was never claimed before.
	FirstClaim bool
}

// At returns the state at the given time, with Held cleared if the slot's use has ended.
// The caller reads the clock immediately before, so that a process that was paused does not
// use an expired slot.
func (state SlotState) At(now time.Time) SlotState {
	if state.Held && !state.UsableUntil.IsZero() && !now.Before(state.UsableUntil) {
		state.Held = false
	}
	return state
}

// Decision is the result of a request for a token.
type Decision struct {
	Admitted bool
	// Borrow is true if a loan is to be requested from the holder of LenderSlot, which is
	// valid only then.
	Borrow     bool
	LenderSlot Slot
	// RetryAfter is the time until a token may be available; set on a rejection.
	RetryAfter time.Duration
	// NoSlots is true if the configuration has no slots for the account.
	NoSlots bool
	// Unreachable is true on a rejection if no holder of the account's slots responds.
	Unreachable bool
}

// lenderState is what a borrower notes about one of the account's slots and its holder. The
// own slot has one too, but gets no loan requests.
type lenderState struct {
	slot Slot
	// nextRequest is the earliest time for the next loan request.
	nextRequest time.Time
	// unreachable is true if the last request got no response.
	unreachable bool
	// sequence numbers the loan requests to this lender.
	sequence uint64
	// settled is the highest sequence up to which all tokens are spent or relinquished.
	settled uint64
}

// borrowedLoan is a loan that this instance received.
type borrowedLoan struct {
	slot     Slot
	sequence uint64
	tokens   int
	expires  time.Time
}

// accountRow is the state of one client account.
type accountRow struct {
	account  opconfig.Account
	division *Division
	// since identifies the slot claim under which own was created.
	since time.Time
	own   *bucket
	// noSlot is true while this instance holds no slot. The bucket is kept, because the
	// same claim may be renewed after its use has ended.
	noSlot   bool
	lenders  []lenderState
	borrowed []borrowedLoan
	// windowStart is the start of the current demand window, windowCount its number of
	// requests, and lastCount that of the previous window.
	windowStart time.Time
	windowCount int
	lastCount   int
}

type shard struct {
	mu   sync.Mutex
	rows map[string]*accountRow
}

// Ledger holds the token buckets of this instance's slot and the borrowed tokens. It is
// safe for concurrent use. The zero value is not usable.
type Ledger struct {
	self   string
	seed   maphash.Seed
	shards [shardCount]shard
}

// NewLedger returns an empty ledger for the instance with the id self.
func NewLedger(self string) *Ledger {
	l := &Ledger{self: self, seed: maphash.MakeSeed()}
	for i := range l.shards {
		l.shards[i].rows = map[string]*accountRow{}
	}
	return l
}

func (l *Ledger) shard(account string) *shard {
	return &l.shards[maphash.String(l.seed, account)%shardCount]
}

// Admit takes a token for one request of the account, from this instance's slot or from a
// loan. If there is none, the decision names a slot to borrow from or a retry time.
func (l *Ledger) Admit(now time.Time, state SlotState, a opconfig.Account) Decision {
	state = state.At(now)
	s := l.shard(a.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.row(now, state, a)
	r.countRequest(now)
	if state.Held && r.own.take(now) {
		return Decision{Admitted: true}
	}
	if r.spendBorrowed(now) {
		return Decision{Admitted: true}
	}
	if len(r.lenders) == 0 {
		return Decision{NoSlots: true, RetryAfter: maxWait}
	}
	return r.nextLender(now, state)
}

// row returns the row of an account, updated to the slot state.
func (s *shard) row(now time.Time, state SlotState, a opconfig.Account) *accountRow {
	r, ok := s.rows[a.Name]
	if ok && r.account.SameQuota(a) && r.division == state.Division && r.holds(state) {
		return r
	}
	if !ok {
		r = &accountRow{windowStart: now}
		s.rows[a.Name] = r
	}
	r.account = a
	r.division = state.Division
	r.setLenders(state.Division.AccountSlots(a))
	r.setOwn(now, state)
	return r
}

// holds reports whether the row's bucket matches the claim in the slot state.
func (r *accountRow) holds(state SlotState) bool {
	if !state.Held {
		return r.own == nil || r.noSlot
	}
	return r.own != nil && !r.noSlot && r.since.Equal(state.UsableFrom)
}

// setLenders replaces the lenders and keeps the state of those that remain.
func (r *accountRow) setLenders(slots []Slot) {
	next := make([]lenderState, 0, len(slots))
	for _, slot := range slots {
		i := slices.IndexFunc(r.lenders, func(lender lenderState) bool { return lender.slot == slot })
		if i >= 0 {
			next = append(next, r.lenders[i])
		} else {
			next = append(next, lenderState{slot: slot})
		}
	}
	r.lenders = next
}

func (r *accountRow) setOwn(now time.Time, state SlotState) {
	r.noSlot = !state.Held
	if r.noSlot {
		return
	}
	limit := r.slotLimit(state.Own)
	if !r.holds(state) {
		r.since = state.UsableFrom
		r.own = newBucket(state.UsableFrom, limit)
		return
	}
	r.own.setLimit(now, limit)
}

func (r *accountRow) slotLimit(slot Slot) Limit {
	if !slices.ContainsFunc(r.lenders, func(lender lenderState) bool { return lender.slot == slot }) {
		return Limit{}
	}
	parts := float64(len(r.lenders))
	return Limit{Rate: r.account.Rate / parts, Burst: r.account.Burst / parts}
}

// demandWindow is the window over which requests are counted to size loan requests.
const demandWindow = 100 * time.Millisecond

func (r *accountRow) countRequest(now time.Time) {
	if elapsed := now.Sub(r.windowStart); elapsed >= demandWindow {
		r.lastCount = 0
		if elapsed < 2*demandWindow {
			r.lastCount = r.windowCount
		}
		r.windowStart = now
		r.windowCount = 0
	}
	r.windowCount++
}

// spendBorrowed takes one unexpired borrowed token.
func (r *accountRow) spendBorrowed(now time.Time) bool {
	for i := range r.borrowed {
		b := &r.borrowed[i]
		if b.tokens > 0 && now.Before(b.expires) {
			b.tokens--
			return true
		}
	}
	return false
}

// nextLender selects the nearest lender that may have a token.
func (r *accountRow) nextLender(now time.Time, state SlotState) Decision {
	best := -1
	wait := maxWait
	for i := range r.lenders {
		lender := &r.lenders[i]
		if state.Held && lender.slot == state.Own {
			wait = min(wait, r.own.wait())
			continue
		}
		if now.Before(lender.nextRequest) {
			wait = min(wait, lender.nextRequest.Sub(now))
			continue
		}
		if best < 0 || distance(state.Own, lender.slot) < distance(state.Own, r.lenders[best].slot) {
			best = i
		}
	}
	if best < 0 {
		reachable := func(lender lenderState) bool { return !lender.unreachable || (state.Held && lender.slot == state.Own) }
		return Decision{RetryAfter: wait, Unreachable: !slices.ContainsFunc(r.lenders, reachable)}
	}
	return Decision{Borrow: true, LenderSlot: r.lenders[best].slot}
}

func distance(a, b Slot) int {
	switch {
	case a.Domain == b.Domain:
		return 0
	case a.Region == b.Region:
		return 1
	default:
		return 2
	}
}

// LoanRequest requests tokens of an account from the holder of a slot.
type LoanRequest struct {
	Account  string
	Slot     Slot
	Borrower string
	// Sequence increases with each request of the borrower for this slot and account.
	Sequence uint64
	// Settled is the highest sequence up to which all tokens are spent or relinquished.
	Settled uint64
	Want    int
}

// LoanReply is the response to a LoanRequest.
type LoanReply struct {
	Tokens int
	// Wait is the time until the lender expects to have a token.
	Wait time.Duration
}

// NewLoanRequest builds the loan request for the holder of a slot. waiting is the number of
// requests that are currently waiting for a token.
func (l *Ledger) NewLoanRequest(now time.Time, account string, slot Slot, waiting int) (LoanRequest, bool) {
	s := l.shard(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[account]
	if !ok {
		return LoanRequest{}, false
	}
	lender := r.lender(slot)
	if lender == nil {
		return LoanRequest{}, false
	}
	r.dropFinished(now, lender)
	lender.sequence++
	return LoanRequest{
		Account:  account,
		Slot:     slot,
		Borrower: l.self,
		Sequence: lender.sequence,
		Settled:  lender.settled,
		Want:     min(max(waiting, r.lastCount, 1), maxLoanTokens),
	}, true
}

func (r *accountRow) lender(slot Slot) *lenderState {
	i := slices.IndexFunc(r.lenders, func(lender lenderState) bool { return lender.slot == slot })
	if i < 0 {
		return nil
	}
	return &r.lenders[i]
}

// dropFinished removes spent and expired loans and advances the lender's settled sequence
// past them. Later replies to a settled sequence are ignored.
func (r *accountRow) dropFinished(now time.Time, lender *lenderState) {
	open := lender.sequence + 1
	kept := r.borrowed[:0]
	for _, b := range r.borrowed {
		if b.tokens <= 0 || !now.Before(b.expires) {
			continue
		}
		kept = append(kept, b)
		if b.slot == lender.slot {
			open = min(open, b.sequence)
		}
	}
	r.borrowed = kept
	lender.settled = max(lender.settled, open-1)
}

// RecordReply records the reply to a request that was sent at sentAt. ok is false if the
// lender did not respond.
func (l *Ledger) RecordReply(now, sentAt time.Time, req LoanRequest, reply LoanReply, ok bool) {
	s := l.shard(req.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.rows[req.Account]
	if !found {
		return
	}
	lender := r.lender(req.Slot)
	if lender == nil {
		return
	}
	lender.unreachable = !ok
	if !ok {
		lender.nextRequest = now.Add(unreachableBackoff)
		return
	}
	if reply.Tokens < req.Want {
		lender.nextRequest = now.Add(max(reply.Wait, minRequestInterval))
	}
	if reply.Tokens <= 0 || req.Sequence <= lender.settled {
		return
	}
	r.borrowed = append(r.borrowed, borrowedLoan{
		slot:     req.Slot,
		sequence: req.Sequence,
		tokens:   reply.Tokens,
		expires:  sentAt.Add(LoanValidity),
	})
}

// Lend handles a loan request from another instance with tokens of this instance's slot.
// It lends nothing for a slot that this instance does not hold.
func (l *Ledger) Lend(now time.Time, state SlotState, a opconfig.Account, req LoanRequest) LoanReply {
	state = state.At(now)
	if !state.Held || req.Slot != state.Own || req.Want <= 0 {
		return LoanReply{Wait: maxWait}
	}
	s := l.shard(a.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.row(now, state, a)
	r.own.releaseLoans(req.Borrower, req.Settled)
	tokens := r.own.lend(now, req.Borrower, req.Sequence, min(req.Want, maxLoanTokens))
	return LoanReply{Tokens: tokens, Wait: r.own.wait()}
}
