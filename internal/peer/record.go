package peer

// This file records timeline events of requests from peers. The records of the idempotency
// table are encoded in writes.go.

import (
	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
	"heatherloom/internal/timeline"
)

// recordForward records the receipt or the end of a request that a peer sent with Forward or
// RunWrite.
func (s *Server) recordForward(kind timeline.Kind, r *dispatch.Request, detail string) {
	s.Timeline.Record(timeline.Event{
		Kind:    kind,
		Request: r.ID,
		Account: r.Account,
		Version: r.Version(),
		Detail:  detail,
	})
}

func outcomeText(err *errkind.Error) string {
	if err == nil {
		return "complete"
	}
	return string(err.Kind) + ": " + err.Message
}
