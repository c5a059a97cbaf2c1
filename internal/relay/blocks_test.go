package relay

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against buffered bodies that lose or repeat bytes, and against buffers that take much more than the body.
func TestBlockBufferHoldsTheBody(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int{0, 1, minBlockBytes - 1, minBlockBytes, minBlockBytes + 1, maxBlockBytes, 3*maxBlockBytes + 5, 1 << 20} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(rng.Uint32())
		}
		for _, declared := range []int64{-1, int64(size), int64(size) + 1<<40} {
			for name, reader := range map[string]io.Reader{
				"whole": bytes.NewReader(body), "halves": iotest.HalfReader(bytes.NewReader(body)), "with end": iotest.DataErrReader(bytes.NewReader(body)),
			} {
				b, allocated := &blockBuffer{}, 0
				for err := error(nil); err == nil; {
					n := b.next(declared)
					allocated += n
					_, err = b.readFrom(reader, n)
				}
				if !bytes.Equal(b.bytes(), body) || b.length != size {
					t.Fatalf("%d bytes, %d declared, %s: the buffer holds %d other bytes", size, declared, name, b.length)
				}
				if allocated > size+maxBlockBytes {
					t.Errorf("%d bytes, %d declared, %s: %d bytes allocated", size, declared, name, allocated)
				}
			}
		}
	}
}

func BenchmarkBufferedResponse(b *testing.B) {
	for _, size := range []int{2 << 10, 40 << 10, 1 << 20} {
		body := strings.Repeat("z", size)
		chunked := "HTTP/1.1 " + validHead + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(size), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
		for name, raw := range map[string]string{"declared": response(validHead, body), "chunked": chunked} {
			b.Run(strconv.Itoa(size>>10)+"K/"+name, func(b *testing.B) {
				u := startByteUpstream(b, func(int) (string, func(net.Conn)) { return raw, nil })
				r := New(DefaultLimits())
				b.ReportAllocs()
				for b.Loop() {
					if result := r.Do(context.Background(), newAttempt(u), discardSink{}); result.Err != nil {
						b.Fatal(result.Err)
					}
				}
			})
		}
	}
}
