package peer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/quota"
)

// errSlotNotHeld tells a borrower with an outdated view of the slots that this instance
// cannot lend tokens of the slot.
var errSlotNotHeld = errors.New("this instance does not hold the slot")

// Borrow lends tokens of this instance's slot. The limits of the client account come from
// this instance's configuration.
func (s *Server) Borrow(_ context.Context, req *connect.Request[peerv1.BorrowRequest]) (*connect.Response[peerv1.BorrowResponse], error) {
	snapshot := s.Loop.Snapshot()
	now := time.Now()
	view := snapshot.Quota.At(now)
	if s.Ledger == nil || !view.Held || view.Own.ID() != req.Msg.GetSlot() {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errSlotNotHeld)
	}
	account, ok := snapshot.Config.Accounts.Get(req.Msg.GetAccount())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("the configuration of this instance has no such client account"))
	}
	reply := s.Ledger.Lend(now, view, account, quota.LoanRequest{
		Account:  account.Name,
		Slot:     view.Own,
		Borrower: req.Msg.GetBorrower(),
		Sequence: req.Msg.GetSequence(),
		Settled:  req.Msg.GetSettled(),
		Want:     int(req.Msg.GetWant()),
	})
	return connect.NewResponse(&peerv1.BorrowResponse{
		Tokens: int32(reply.Tokens),
		WaitMs: int64((reply.Wait + time.Millisecond - 1) / time.Millisecond),
	}), nil
}

// Borrow asks the peer at address for a loan.
func (c *Client) Borrow(ctx context.Context, address string, req quota.LoanRequest) (quota.LoanReply, error) {
	resp, err := c.ServiceClient(address).Borrow(ctx, connect.NewRequest(&peerv1.BorrowRequest{
		Account:  req.Account,
		Slot:     req.Slot.ID(),
		Borrower: req.Borrower,
		Sequence: req.Sequence,
		Settled:  req.Settled,
		Want:     int32(req.Want),
	}))
	if err != nil {
		return quota.LoanReply{}, err
	}
	return quota.LoanReply{
		Tokens: int(resp.Msg.GetTokens()),
		Wait:   time.Duration(resp.Msg.GetWaitMs()) * time.Millisecond,
	}, nil
}
