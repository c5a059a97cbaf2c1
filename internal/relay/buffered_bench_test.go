package relay

import (
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
)

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
