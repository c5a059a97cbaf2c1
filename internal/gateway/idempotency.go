package gateway

import (
	"heatherloom/internal/errkind"
	"heatherloom/internal/opconfig"
	"heatherloom/internal/writes"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	maxIdempotencyKey    = 255
)

// idempotencyKey returns the idempotency key of a write; empty if it has none. A key on a
// repeatable request is ignored.
func idempotencyKey(c *call, route opconfig.Route) (string, *errkind.Error) {
	values := c.r.Header.Values(headerIdempotencyKey)
	if len(values) == 0 || repeatable(route, c.r.Method) {
		return "", nil
	}
	if len(values) > 1 || !validIdempotencyKey(values[0]) {
		return "", malformed("Idempotency-Key must be sent once and have 1 to %d printable ASCII characters", maxIdempotencyKey)
	}
	if c.containsAPIKey(values[0]) {
		return "", malformed("Idempotency-Key must not contain an API key; send that as Authorization: Bearer KEY")
	}
	return values[0], nil
}

func validIdempotencyKey(key string) bool {
	if key == "" || len(key) > maxIdempotencyKey {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// dispatchWrite runs a write with an idempotency key and sends its response to the caller.
func (s *server) dispatchWrite(c *call, w *writes.Write) *errkind.Error {
	if err := s.acquireLimiter(c, w.Request.Deadline); err != nil {
		return err
	}
	defer s.Limiter.Release()
	c.dispatched = true
	return s.Writes.Run(c.r.Context(), w, c.sink)
}
