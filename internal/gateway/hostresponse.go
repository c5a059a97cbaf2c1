package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"heatherloom/internal/errkind"
)

// defaultHostRetryDelay is the Retry-After delay on host routes for errors without one.
// The usual causes of a rejection, an upstream list or a full queue, change within it.
const defaultHostRetryDelay = 200 * time.Millisecond

// hostStatus returns the HTTP status of an error on a host route. 429 and 503 guarantee
// that the request was not executed and never will be.
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

// writeRejection responds with the error. If the response headers were already sent, it
// aborts the response, so that the caller cannot take it for a complete one.
func (s *hostServer) writeRejection(c *hostCall, err *errkind.Error) {
	if c.sink.started {
		c.sink.abort(c.r)
	}
	status := hostStatus(err)
	raw, _ := json.Marshal(rejectionBody{Error: rejectionDetail{
		Kind: err.Kind, Message: err.Message, Execution: err.Execution, RequestID: c.headers.RequestID,
	}})
	h := c.w.Header()
	s.Protocol.EncodeRejection(h, c.headers.RequestID)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(hostRetryDelay(err).Seconds(), 'f', 3, 64))
	}
	if c.bodyUnread {
		c.sink.leaveBodyUnread(c.r)
	}
	c.sink.announceClose()
	c.w.WriteHeader(status)
	_ = c.sink.write(raw)
}

func hostRetryDelay(err *errkind.Error) time.Duration {
	if err.RetryAfter > 0 {
		return err.RetryAfter
	}
	if err.Kind == errkind.Draining {
		// Other instances can serve the request immediately.
		return time.Millisecond
	}
	return defaultHostRetryDelay
}
