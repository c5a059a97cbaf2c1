package probe

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"heatherloom/internal/control"
)

// Guards against a health check that reads megabytes from an upstream that sends bytes without
// end, or keeps its connection.
func TestCheckEndsBytesWithoutEnd(t *testing.T) {
	// The sockets buffer some bytes beyond those that the check reads.
	const maxSent = 8 << 20
	for name, head := range map[string]string{"head": "HTTP/1.1 200 OK\r\nA: ", "body": "HTTP/1.1 200 OK\r\n\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		var sent atomic.Int64
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, err = io.WriteString(c, head)
			block := []byte(strings.Repeat("a", 16<<10))
			for err == nil {
				var n int
				n, err = c.Write(block)
				sent.Add(int64(n))
			}
		}()
		log := logrus.New()
		log.SetOutput(io.Discard)
		p := &Prober{
			Loop: control.NewLoop(control.Identity{ID: "i"}), Log: logrus.NewEntry(log), client: newClient(),
			ParseHeader: func(http.Header) Health { return Health{} },
		}
		p.checkUpstream(t.Context(), "u", "http://"+l.Addr().String())
		select {
		case <-closed:
		case <-time.After(2 * checkTimeout):
			t.Errorf("%s: the connection is still open", name)
		}
		if n := sent.Load(); n > maxSent {
			t.Errorf("%s: the upstream could send %d bytes", name, n)
		}
	}
}
