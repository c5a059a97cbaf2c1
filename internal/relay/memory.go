package relay

import "sync/atomic"

// smallBufferDivisor is the fraction of the limit, as a divisor, up to which a response may grow
// when the limit is reached: small responses are served while a few large ones arrive.
const smallBufferDivisor = 16

// bufferMemory counts the bytes of all responses that are buffered.
type bufferMemory struct {
	// limit is 0 for none.
	limit int64
	used  atomic.Int64
}

// bufferShare is the part of one response.
type bufferShare struct {
	memory *bufferMemory
	held   int64
}

func (m *bufferMemory) newShare() *bufferShare { return &bufferShare{memory: m} }

// grow adds n bytes and reports whether the response may hold them.
func (s *bufferShare) grow(n int) bool {
	s.held += int64(n)
	used := s.memory.used.Add(int64(n))
	limit := s.memory.limit
	return limit == 0 || used <= limit || s.held <= limit/smallBufferDivisor
}

// release returns the bytes of the response.
func (s *bufferShare) release() {
	s.memory.used.Add(-s.held)
	s.held = 0
}
