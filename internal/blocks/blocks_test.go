package blocks

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"
)

// Guards against buffered bodies that lose or repeat bytes, and against buffers that take much more than the body.
func TestBlockBufferHoldsTheBody(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int{0, 1, minBytes - 1, minBytes, minBytes + 1, MaxBytes, 3*MaxBytes + 5, 1 << 20} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(rng.Uint32())
		}
		for _, declared := range []int64{-1, int64(size), int64(size) + 1<<40} {
			for name, reader := range map[string]io.Reader{
				"whole": bytes.NewReader(body), "halves": iotest.HalfReader(bytes.NewReader(body)), "with end": iotest.DataErrReader(bytes.NewReader(body)),
			} {
				b, allocated := &Buffer{}, 0
				for err := error(nil); err == nil; {
					n := b.Next(declared)
					allocated += n
					_, err = b.ReadSome(reader, n)
				}
				if !bytes.Equal(b.Bytes(), body) || b.Len() != size {
					t.Fatalf("%d bytes, %d declared, %s: the buffer holds %d other bytes", size, declared, name, b.Len())
				}
				if allocated > size+MaxBytes {
					t.Errorf("%d bytes, %d declared, %s: %d bytes allocated", size, declared, name, allocated)
				}
			}
		}
	}
}
