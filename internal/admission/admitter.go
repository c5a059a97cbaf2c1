// Package admission enforces the rate limits of client accounts and bounds the number of
// concurrent requests. It is independent of HTTP.
package admission

import (
	"context"
	"sync"
	"time"

	"heatherloom/internal/opconfig"
	"heatherloom/internal/quota"
	"heatherloom/internal/routing"
)

const (
	// lenderTimeout is the timeout of one loan request. A round trip between regions takes
	// 110 ms.
	lenderTimeout = 300 * time.Millisecond
	// maxUnansweredLenders is the number of lenders that may fail to respond before a
	// request gives up.
	maxUnansweredLenders = 3
	// admitTimeout bounds the time that one request waits for a token.
	admitTimeout = 4 * lenderTimeout
)

// LoanClient sends loan requests to the instances that hold slots.
type LoanClient interface {
	// Borrow requests tokens from the instance whose peer listener is at address.
	Borrow(ctx context.Context, address string, req quota.LoanRequest) (quota.LoanReply, error)
}

// Admitter takes rate limit tokens of client accounts, either from the slot of this
// instance or on loan from other instances. It is safe for concurrent use.
type Admitter struct {
	ledger *quota.Ledger
	loans  LoanClient
	now    func() time.Time

	mu    sync.Mutex
	calls map[loanKey]*loanCall
}

// loanKey identifies a loan request. At most one request per account and holder is in
// flight.
type loanKey struct {
	account string
	slot    quota.Slot
}

// loanCall is a loan request in flight.
type loanCall struct {
	// done is closed once the ledger has recorded the reply.
	done chan struct{}
	// waiting is the number of requests that wait for the reply.
	waiting int
	// answered is false if the lender did not respond in time. It is valid once done is
	// closed.
	answered bool
}

// NewAdmitter returns an Admitter that uses now as its clock.
func NewAdmitter(ledger *quota.Ledger, loans LoanClient, now func() time.Time) *Admitter {
	return &Admitter{ledger: ledger, loans: loans, now: now, calls: map[loanKey]*loanCall{}}
}

// Admit takes one token of the account. It waits for loans until ctx ends, at most for
// admitTimeout. snapshot returns the latest control state and is called again after each
// wait. A rejection states when a token may be available.
func (a *Admitter) Admit(ctx context.Context, snapshot func() *routing.Snapshot, account opconfig.Account) quota.Decision {
	s := snapshot()
	d := a.ledger.Admit(a.now(), s.Quota, account)
	if !d.Borrow {
		return d
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	unanswered, waiting := 0, 1
	for d.Borrow && unanswered < maxUnansweredLenders && ctx.Err() == nil {
		var answered bool
		answered, waiting = a.borrow(ctx, s, account.Name, d.LenderSlot, waiting)
		if !answered {
			unanswered++
		}
		s = snapshot()
		d = a.ledger.Admit(a.now(), s.Quota, account)
	}
	if d.Borrow {
		// Some lenders could not be asked in time.
		return quota.Decision{RetryAfter: lenderTimeout, Unreachable: unanswered >= maxUnansweredLenders}
	}
	return d
}

// borrow waits for a loan from the holder of the slot. It reports whether the lender
// responded, and returns the number of requests that waited for the same loan request.
func (a *Admitter) borrow(ctx context.Context, s *routing.Snapshot, account string, slot quota.Slot, waiting int) (bool, int) {
	address, known := holderAddress(s, slot)
	if !known {
		a.markUnreachable(account, slot)
		return true, waiting
	}
	call := a.joinCall(account, slot, address, waiting)
	select {
	case <-call.done:
		return call.answered, call.waiting
	case <-ctx.Done():
		return false, waiting
	}
}

// markUnreachable records in the ledger that the holder of the slot cannot be reached.
func (a *Admitter) markUnreachable(account string, slot quota.Slot) {
	now := a.now()
	if req, ok := a.ledger.NewLoanRequest(now, account, slot, 1); ok {
		a.ledger.RecordReply(now, now, req, quota.LoanReply{}, false)
	}
}

// holderAddress returns the peer address of the holder of a slot. If two peers reported the
// slot, the peer that was heard from most recently holds it, since the other one has
// released it.
func holderAddress(s *routing.Snapshot, slot quota.Slot) (string, bool) {
	id := slot.ID()
	var holder *routing.Peer
	for i := range s.Peers {
		p := &s.Peers[i]
		if p.Slot == id && (holder == nil || p.LastHeard.After(holder.LastHeard)) {
			holder = p
		}
	}
	if holder == nil {
		return "", false
	}
	return holder.PeerAddress, true
}

// joinCall joins the loan request in flight for the account and the slot, or starts one.
func (a *Admitter) joinCall(account string, slot quota.Slot, address string, waiting int) *loanCall {
	key := loanKey{account: account, slot: slot}
	a.mu.Lock()
	defer a.mu.Unlock()
	if call, ok := a.calls[key]; ok {
		call.waiting++
		return call
	}
	call := &loanCall{done: make(chan struct{}), waiting: 1}
	a.calls[key] = call
	go a.runCall(key, call, address, waiting)
	return call
}

// runCall sends a loan request. It is not canceled with the request that started it,
// because others may wait for the reply.
func (a *Admitter) runCall(key loanKey, call *loanCall, address string, waiting int) {
	defer a.finishCall(key, call)
	ctx, cancel := context.WithTimeout(context.Background(), lenderTimeout)
	defer cancel()
	sentAt := a.now()
	req, ok := a.ledger.NewLoanRequest(sentAt, key.account, key.slot, waiting)
	if !ok {
		// The configuration has reassigned the slot in the meantime.
		call.answered = true
		return
	}
	reply, err := a.loans.Borrow(ctx, address, req)
	call.answered = err == nil || ctx.Err() == nil
	a.ledger.RecordReply(a.now(), sentAt, req, reply, err == nil)
}

func (a *Admitter) finishCall(key loanKey, call *loanCall) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.calls, key)
	close(call.done)
}
