package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"heatherloom/internal/errkind"
)

// hostRetryAfter is when a caller of a host route should come back if the failure names no
// time. What refuses it, a list of upstreams or a full queue, changes within this time.
const hostRetryAfter = 200 * time.Millisecond

// hostStatus returns the status of a refusal or failure on a host route. 429 and 503 state
// that the request did not run and never will.
func hostStatus(err *errkind.Error) int {
	if err.Execution != errkind.NotExecuted {
		if err.Kind == errkind.UpstreamTimeout {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch err.Kind {
	case errkind.MalformedRequest, errkind.BodyTooLarge, errkind.UnknownRoute, errkind.KeyMissing,
		errkind.KeyUnknown, errkind.RateLimited, errkind.RequestTimeout:
		return errkind.ResponseFor(err.Kind).Status
	case errkind.DeadlinePassed, errkind.UpstreamTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse answers with a refusal. An answer that has begun is broken off, so that the
// caller cannot take it for a whole one.
func (s *hosts) refuse(c *hostCall, err *errkind.Error) {
	if c.sink.started {
		panic(http.ErrAbortHandler)
	}
	status := hostStatus(err)
	raw, _ := json.Marshal(refusalBody{Error: refusalDetail{
		Kind: err.Kind, Message: err.Message, Ran: err.Execution, RequestID: c.headers.RequestID,
	}})
	h := c.w.Header()
	s.Inbound.EncodeRefusal(h, c.headers.RequestID)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(hostWait(err).Seconds(), 'f', 3, 64))
	}
	c.w.WriteHeader(status)
	_ = c.sink.write(raw)
}

func hostWait(err *errkind.Error) time.Duration {
	if err.RetryAfter > 0 {
		return err.RetryAfter
	}
	if err.Kind == errkind.Draining {
		// Other instances serve at once.
		return time.Millisecond
	}
	return hostRetryAfter
}
