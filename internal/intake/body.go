package intake

import (
	"errors"
	"io"

	"heatherloom/internal/blocks"
)

// ErrNoMemory is returned for a body that found no memory or had to yield it.
var ErrNoMemory = errors.New("the memory for requests is in use")

// progressBytes is how much of a body counts as progress. A caller that sends a byte now and then makes none.
const progressBytes = 16 << 10

// ReadBody reads a body of a request to its end. declared is its length, negative if unknown; the memory is taken as
// the body arrives, not as it is declared. If it returns a body, the share holds its memory and does not yield.
func ReadBody(s *Share, r io.Reader, declared int64) ([]byte, error) {
	buffer := &blocks.Buffer{}
	if err := fill(buffer, s, r, declared); err != nil {
		buffer.Release()
		s.connection().narrow()
		return nil, err
	}
	return join(buffer, s)
}

// fill reads r to its end.
func fill(buffer *blocks.Buffer, s *Share, r io.Reader, declared int64) error {
	large := false
	for unreported := 0; ; {
		size := buffer.Next(declared)
		if !s.Grow(int64(size)) {
			return ErrNoMemory
		}
		if !large && buffer.Len() > blocks.MaxBytes/2 {
			large = true
			s.connection().widen()
		}
		n, err := buffer.ReadSome(r, size)
		if unreported += n; unreported >= progressBytes {
			s.Progress()
			unreported = 0
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil && s.Yielded():
			return ErrNoMemory
		case err != nil:
			return err
		}
	}
}

// join returns the body in one slice. For the time of a copy, the share holds the body twice.
func join(buffer *blocks.Buffer, s *Share) ([]byte, error) {
	if buffer.IsOneBlock() {
		if !s.Complete() {
			return nil, ErrNoMemory
		}
		return buffer.Bytes(), nil
	}
	defer buffer.Release()
	defer s.lockCopies()()
	if !s.Grow(int64(buffer.Len())) || !s.Complete() {
		return nil, ErrNoMemory
	}
	body := buffer.Bytes()
	s.Shrink(int64(buffer.Allocated()))
	return body, nil
}
