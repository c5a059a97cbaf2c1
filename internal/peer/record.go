package peer

import (
	"heatherloom/internal/dispatch"
	"heatherloom/internal/errkind"
	"heatherloom/internal/timeline"
)

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
