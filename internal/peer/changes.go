package peer

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"heatherloom/internal/clock"
	"heatherloom/internal/external"
	"heatherloom/internal/peer/peerv1"
	"heatherloom/internal/routing"
	"heatherloom/internal/storefeed"
)

// StoreReaders finds the instances that read the store for the failure domain: its collectors. It implements
// storefeed.Readers.
type StoreReaders struct {
	// Self is the peer address of this instance.
	Self     string
	Snapshot func() *routing.Snapshot
	Report   HostReportFunc
	Client   *Client
}

// Addresses implements storefeed.Readers. Half of the instances prefer each of two readers.
func (r *StoreReaders) Addresses() []string {
	if r.IsReader() {
		return nil
	}
	addresses := slices.Clone(r.collectors())
	if preferSecond(r.Self) {
		slices.Reverse(addresses)
	}
	return addresses
}

func preferSecond(self string) bool {
	sum := byte(0)
	for i := range len(self) {
		sum += self[i]
	}
	return sum%2 == 1
}

// IsReader implements storefeed.Readers.
func (r *StoreReaders) IsReader() bool { return slices.Contains(r.collectors(), r.Self) }

func (r *StoreReaders) collectors() []string { return r.Report.of(r.Snapshot()).collectors }

// Next implements storefeed.Readers. The time at which the reading began counts from the start of the call, so that
// neither a slow response nor a pause of this process makes it look later than it is.
func (r *StoreReaders) Next(ctx context.Context, address string, revision, era int64, known uint64) (storefeed.Reading, error) {
	started := clock.Now()
	resp, err := r.Client.ServiceClient(address).PullChanges(ctx, connect.NewRequest(&peerv1.PullChangesRequest{
		Revision: revision, Era: era, Reading: known,
	}))
	if err != nil {
		return storefeed.Reading{}, err
	}
	age := time.Duration(resp.Msg.GetAgeMs()) * time.Millisecond
	reading := storefeed.Reading{Number: resp.Msg.GetReading(), Began: started.Add(-age), Age: age}
	reading.Revision, reading.Era = resp.Msg.GetRevision(), era
	for _, c := range resp.Msg.GetChanges() {
		reading.Events = append(reading.Events, external.WatchEvent{
			Entry: external.Entry{Key: c.GetKey(), Value: c.GetValue(), ModRevision: c.GetModRevision()}, Deleted: c.GetDeleted(),
		})
	}
	return reading, nil
}

// PullChanges returns what this instance read from the store itself since the caller's revision.
func (s *Server) PullChanges(ctx context.Context, req *connect.Request[peerv1.PullChangesRequest]) (*connect.Response[peerv1.PullChangesResponse], error) {
	if s.Changes == nil {
		return nil, connect.NewError(connect.CodeUnavailable, storefeed.ErrNotReading)
	}
	reading, err := s.Changes.Next(ctx, req.Msg.GetRevision(), req.Msg.GetEra(), req.Msg.GetReading(), clock.Now)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	resp := &peerv1.PullChangesResponse{
		Revision: reading.Revision, Reading: reading.Number, AgeMs: reading.Age.Milliseconds() + 1,
	}
	for _, e := range reading.Events {
		resp.Changes = append(resp.Changes, &peerv1.StoreChange{
			Key: e.Entry.Key, Value: e.Entry.Value, ModRevision: e.Entry.ModRevision, Deleted: e.Deleted,
		})
	}
	return connect.NewResponse(resp), nil
}
