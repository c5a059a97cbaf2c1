// Package admission decides whether a client account may send a request now, and
// bounds the requests that run at one time. It knows no HTTP.
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
	// lenderTimeout bounds the wait for one lender. A round trip between regions takes
	// 110 ms.
	lenderTimeout = 300 * time.Millisecond
	// maxSilentLenders bounds the lenders without an answer that one request waits for.
	maxSilentLenders = 3
	// admitTimeout bounds the wait of one request for a token.
	admitTimeout = 4 * lenderTimeout
)

// Lender reaches the holders of slots.
type Lender interface {
	// Borrow asks the instance whose peer listener is at address for tokens.
	Borrow(ctx context.Context, address string, req quota.LoanRequest) (quota.LoanReply, error)
}

// Admitter takes tokens of the client accounts' rates, from the own slot or by loans.
// It is safe for concurrent use.
type Admitter struct {
	ledger *quota.Ledger
	lender Lender
	now    func() time.Time

	mu    sync.Mutex
	loans map[loanKey]*loan
}

// loanKey identifies the only loan request of an account to a holder at one time.
type loanKey struct {
	account string
	slot    quota.Slot
}

// loan is a loan request that runs.
type loan struct {
	// done is closed once the reply is in the ledger.
	done chan struct{}
	// waiting is the number of requests that wait for the reply.
	waiting int
	// answered is valid after done: it is false if the lender gave no answer in time.
	answered bool
}

// NewAdmitter returns an admitter. now reads the clock.
func NewAdmitter(ledger *quota.Ledger, lender Lender, now func() time.Time) *Admitter {
	return &Admitter{ledger: ledger, lender: lender, now: now, loans: map[loanKey]*loan{}}
}

// Admit takes one token of the account. It waits for loans until ctx ends, at most
// admitTimeout. snapshot returns the latest control state; it is read again after
// each wait. A refusal says when a token may be available.
func (a *Admitter) Admit(ctx context.Context, snapshot func() *routing.Snapshot, account opconfig.Account) quota.Decision {
	s := snapshot()
	d := a.ledger.Admit(a.now(), s.Slots, account)
	if !d.Borrow {
		return d
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	silent, waiting := 0, 1
	for d.Borrow && silent < maxSilentLenders && ctx.Err() == nil {
		var answered bool
		answered, waiting = a.borrow(ctx, s, account.Name, d.Ask, waiting)
		if !answered {
			silent++
		}
		s = snapshot()
		d = a.ledger.Admit(a.now(), s.Slots, account)
	}
	if d.Borrow {
		// Lenders are left that could not be asked in time.
		return quota.Decision{RetryAfter: lenderTimeout, Unreachable: silent >= maxSilentLenders}
	}
	return d
}

// borrow waits for a loan of the slot's holder. It returns false if the lender gave
// no answer, and the number of requests that waited with this one.
func (a *Admitter) borrow(ctx context.Context, s *routing.Snapshot, account string, slot quota.Slot, waiting int) (bool, int) {
	address, known := addressOf(s, slot)
	if !known {
		a.skip(account, slot)
		return true, waiting
	}
	l := a.join(account, slot, address, waiting)
	select {
	case <-l.done:
		return l.answered, l.waiting
	case <-ctx.Done():
		return false, waiting
	}
}

// skip records that the holder of the slot cannot be asked.
func (a *Admitter) skip(account string, slot quota.Slot) {
	now := a.now()
	if req, ok := a.ledger.Ask(now, account, slot, 1); ok {
		a.ledger.Receive(now, now, req, quota.LoanReply{}, false)
	}
}

// addressOf returns the peer address of the holder of a slot. Of two peers that named
// the slot, the earlier one has returned it, so that the one heard from last counts.
func addressOf(s *routing.Snapshot, slot quota.Slot) (string, bool) {
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

// join returns the loan request of the account to the holder that runs, or starts one.
func (a *Admitter) join(account string, slot quota.Slot, address string, waiting int) *loan {
	key := loanKey{account: account, slot: slot}
	a.mu.Lock()
	defer a.mu.Unlock()
	if l, ok := a.loans[key]; ok {
		l.waiting++
		return l
	}
	l := &loan{done: make(chan struct{}), waiting: 1}
	a.loans[key] = l
	go a.run(key, l, address, waiting)
	return l
}

// run sends a loan request. It does not end with the request that started it, because
// others may wait for the reply.
func (a *Admitter) run(key loanKey, l *loan, address string, waiting int) {
	defer a.finish(key, l)
	ctx, cancel := context.WithTimeout(context.Background(), lenderTimeout)
	defer cancel()
	sentAt := a.now()
	req, ok := a.ledger.Ask(sentAt, key.account, key.slot, waiting)
	if !ok {
		// The configuration moved the slot since.
		l.answered = true
		return
	}
	reply, err := a.lender.Borrow(ctx, address, req)
	l.answered = err == nil || ctx.Err() == nil
	a.ledger.Receive(a.now(), sentAt, req, reply, err == nil)
}

func (a *Admitter) finish(key loanKey, l *loan) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.loans, key)
	close(l.done)
}
