package crowd

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherloom/platform/standin"
)

const (
	// crowdSize is the number of callers that send bodies at once.
	crowdSize = 100
	// connectionCrowdSize is the number of callers that only open connections, more than the descriptors of the process.
	connectionCrowdSize = 600
	// tries is how often a caller comes again after its connection was closed.
	tries = 3
	// endlessBytes ends a body without end if nothing else does.
	endlessBytes = 16 << 20
	// announcedBytes is a length far over each limit.
	announcedBytes = 1 << 30
	// smallChunks is the number of chunks of one byte in a body.
	smallChunks = 1 << 20
	// headBytes is the length of a head that has no end. It is within the limit of the API.
	headBytes = 48 << 10

	sendTimeout = 20 * time.Second
	// keptAfterSending is how long a caller watches whether its connection is closed.
	keptAfterSending = time.Second
	// servedWithin ends the wait for the answer to an ordinary request. It only tells an instance that hangs.
	servedWithin = 30 * time.Second
)

// member is one caller of a crowd. send returns once the caller has sent what it sends, and leaves the connection open.
type member struct {
	listener string
	send     func(net.Conn) error
	// neverReads leaves the responses unread.
	neverReads bool
}

// crowd is a number of callers whose connections stay open.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// gather lets the callers loose and waits until each has sent everything or was turned away as often as it tries.
func gather(i *instance, size int, m member) *crowd {
	c := &crowd{}
	var wg sync.WaitGroup
	for range size {
		wg.Go(func() {
			for range tries {
				if c.join(i, m) {
					return
				}
			}
		})
	}
	wg.Wait()
	return c
}

// join opens one connection, and reports whether it was kept open after everything was sent.
func (c *crowd) join(i *instance, m member) bool {
	conn, err := i.dial(m.listener)
	if err != nil {
		return false
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	closed := make(chan struct{})
	if !m.neverReads {
		go func() {
			_, _ = io.Copy(io.Discard, conn)
			close(closed)
		}()
	}
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	if err := m.send(conn); err != nil {
		return false
	}
	select {
	case <-closed:
		return false
	case <-time.After(keptAfterSending):
		return true
	}
}

func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// check checks the instance while the crowd is there: it runs, has stayed within its memory and its sockets, and
// answers an ordinary request.
func check(t *testing.T, i *instance) {
	t.Helper()
	answered := false
	for end := time.Now().Add(servedWithin); !answered && i.running() && time.Now().Before(end); {
		if answered = i.ordinaryRequest(); !answered {
			time.Sleep(200 * time.Millisecond)
		}
	}
	i.usage.stop()
	memory, unread, sockets := i.usage.peak()
	t.Logf("%d MB of %d (%.1f MB unread), %d sockets of %d", memory/1e6, memoryMB, float64(unread)/1e6, sockets, i.maxSockets)
	if !i.running() {
		t.Fatalf("the process ended: %s", i.output)
	}
	if memory > memoryMB*1e6 {
		t.Errorf("the process used %d MB, its machine has %d", memory/1e6, memoryMB)
	}
	if sockets > i.maxSockets {
		t.Errorf("the process had %d sockets, it may have %d", sockets, i.maxSockets)
	}
	if !answered {
		t.Error("an ordinary request was not answered beside the crowd")
	}
}

// againstCallers runs a crowd against the caller listener of each wiring.
func againstCallers(t *testing.T, m func(wiring) member) {
	for _, w := range wirings {
		t.Run(w.name, func(t *testing.T) {
			i := startInstance(t, w)
			member := m(w)
			member.listener = i.caller
			defer gather(i, crowdSize, member).leave()
			check(t, i)
		})
	}
}

func write(c net.Conn, parts ...string) error {
	_, err := io.WriteString(c, strings.Join(parts, ""))
	return err
}

func withLength(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

const inChunks = "Transfer-Encoding: chunked\r\n\r\n"

var filler = bytes.Repeat([]byte("x"), 1<<20)

// writeFiller writes n bytes in pieces.
func writeFiller(c net.Conn, n, piece int) error {
	for n > 0 {
		k := min(n, piece, len(filler))
		if _, err := c.Write(filler[:k]); err != nil {
			return err
		}
		n -= k
	}
	return nil
}

// writeChunks writes n bytes in chunks, without the last one of a body.
func writeChunks(c net.Conn, n, chunk int) error {
	for n > 0 {
		k := min(n, chunk)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", k, filler[:k]); err != nil {
			return err
		}
		n -= k
	}
	return nil
}

func wholeBody(w wiring) func(net.Conn) error {
	return func(c net.Conn) error {
		if err := write(c, w.requestHead(), withLength(w.maxBodyBytes())); err != nil {
			return err
		}
		return writeFiller(c, w.maxBodyBytes(), len(filler))
	}
}

// Guards against memory that runs out when many callers send large bodies at the same time.
func TestCrowdOfWholeBodies(t *testing.T) {
	againstCallers(t, func(w wiring) member { return member{send: wholeBody(w)} })
}

// Guards against memory that runs out when many callers send large bodies and do not read the responses.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	againstCallers(t, func(w wiring) member { return member{send: wholeBody(w), neverReads: true} })
}

func bodyThatStopsShort(w wiring) func(net.Conn) error {
	return func(c net.Conn) error {
		if err := write(c, w.requestHead(), withLength(w.maxBodyBytes())); err != nil {
			return err
		}
		return writeFiller(c, w.maxBodyBytes()-1, len(filler))
	}
}

// Guards against memory that bodies hold whose last byte never comes.
func TestCrowdOfBodiesThatStopShort(t *testing.T) {
	againstCallers(t, func(w wiring) member { return member{send: bodyThatStopsShort(w)} })
}

// Guards against memory that bodies hold which come in small pieces and stop short.
func TestCrowdOfBodiesInPiecesThatStopShort(t *testing.T) {
	const piece = 16 << 10
	againstCallers(t, func(w wiring) member {
		return member{send: func(c net.Conn) error {
			if err := write(c, w.requestHead(), withLength(w.maxBodyBytes())); err != nil {
				return err
			}
			for left := w.maxBodyBytes() - 1; left > 0; left -= piece {
				if err := writeFiller(c, min(left, piece), piece); err != nil {
					return err
				}
				time.Sleep(time.Millisecond)
			}
			return nil
		}}
	})
}

// Guards against memory that bodies in large chunks hold which stop short.
func TestCrowdOfLargeChunksThatStopShort(t *testing.T) {
	againstCallers(t, func(w wiring) member {
		return member{send: func(c net.Conn) error {
			if err := write(c, w.requestHead(), inChunks); err != nil {
				return err
			}
			return writeChunks(c, w.maxBodyBytes()-1, 256<<10)
		}}
	})
}

// Guards against bodies in chunks of one byte that take many times their length.
func TestCrowdOfSmallChunksThatStopShort(t *testing.T) {
	chunks := strings.Repeat("1\r\nx\r\n", 8<<10)
	againstCallers(t, func(w wiring) member {
		return member{send: func(c net.Conn) error {
			if err := write(c, w.requestHead(), inChunks); err != nil {
				return err
			}
			for range smallChunks / (8 << 10) {
				if err := write(c, chunks); err != nil {
					return err
				}
			}
			return nil
		}}
	})
}

// Guards against memory for bodies whose announced length is far over the limit.
func TestCrowdOfAnnouncedBodiesFarOverTheLimit(t *testing.T) {
	againstCallers(t, func(w wiring) member {
		return member{send: func(c net.Conn) error {
			if err := write(c, w.requestHead(), withLength(announcedBytes)); err != nil {
				return err
			}
			return writeFiller(c, endlessBytes, len(filler))
		}}
	})
}

// Guards against memory for bodies far over the limit that announce no length.
func TestCrowdOfBodiesWithoutEnd(t *testing.T) {
	againstCallers(t, func(w wiring) member {
		return member{send: func(c net.Conn) error {
			if err := write(c, w.requestHead(), inChunks); err != nil {
				return err
			}
			return writeChunks(c, endlessBytes, 64<<10)
		}}
	})
}

// Guards against memory that HTTP/2 streams hold whose last byte never comes.
func TestCrowdOfStreamsThatStopShort(t *testing.T) {
	for _, w := range wirings {
		if !w.tls {
			continue
		}
		t.Run(w.name, func(t *testing.T) {
			i := startInstance(t, w)
			transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true}
			defer transport.CloseIdleConnections()
			left := make(chan struct{})
			var sent, requests sync.WaitGroup
			for range crowdSize {
				sent.Add(1)
				body := &stoppingBody{left: w.maxBodyBytes() - 1, sent: sync.OnceFunc(sent.Done), never: left}
				requests.Go(func() {
					defer body.sent()
					req, _ := http.NewRequest(http.MethodPost, i.url()+"/r/crowd", body)
					req.Host, req.ContentLength = standin.Host, int64(w.maxBodyBytes())
					req.Header = http.Header{"Request-Id": {"crowd"}, "Key": {apiKey}}
					if !w.hostRoutes {
						req.URL.Path = "/status/crowd"
						req.Header = http.Header{"Authorization": {"Bearer " + apiKey}}
					}
					if resp, err := transport.RoundTrip(req); err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
				})
			}
			sent.Wait()
			time.Sleep(keptAfterSending)
			check(t, i)
			close(left)
			requests.Wait()
		})
	}
}

// stoppingBody is a body that stops before its end.
type stoppingBody struct {
	left  int
	sent  func()
	never <-chan struct{}
}

func (b *stoppingBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.sent()
		<-b.never
		return 0, errors.New("the body stopped")
	}
	n := min(len(p), b.left, len(filler))
	copy(p, filler[:n])
	b.left -= n
	return n, nil
}

func (b *stoppingBody) Close() error {
	b.sent()
	return nil
}

// Guards against connections whose head has no end and which use up the descriptors and the memory.
func TestCrowdOfHeadsWithoutEnd(t *testing.T) {
	line := "X-Filler: " + strings.Repeat("x", 1000) + "\r\n"
	for _, w := range wirings {
		t.Run(w.name, func(t *testing.T) {
			i := startInstance(t, w)
			defer gather(i, connectionCrowdSize, member{listener: i.caller, send: func(c net.Conn) error {
				if err := write(c, w.requestHead()); err != nil {
					return err
				}
				for range headBytes / len(line) {
					if err := write(c, line); err != nil {
						return err
					}
				}
				return nil
			}}).leave()
			check(t, i)
		})
	}
}

// eachListener runs a crowd against each listener of the host routes, and the peer and operator listeners of the API.
func eachListener(t *testing.T, size int, m func(path string) member) {
	for _, w := range []wiring{wirings[0], wirings[1]} {
		paths := map[string]string{"caller": "/", "peer": "/peer.v1.PeerService/Heartbeat", "operator": "/v1/drain"}
		if w.hostRoutes {
			paths["entries"], paths["ready"] = "/v1/resolve", "/v1/readyz"
		}
		for name, path := range paths {
			t.Run(w.name+"/"+name, func(t *testing.T) {
				i := startInstance(t, w)
				member := m(path)
				member.listener = map[string]string{"caller": i.caller, "peer": i.peer, "operator": i.operator, "entries": i.entries, "ready": i.ready}[name]
				defer gather(i, size, member).leave()
				check(t, i)
			})
		}
	}
}

// Guards against connections that stay open without a request and use up the descriptors.
func TestCrowdOfIdleConnections(t *testing.T) {
	eachListener(t, connectionCrowdSize, func(string) member {
		return member{send: func(net.Conn) error { return nil }}
	})
}

// Guards against a listener other than that of the callers which keeps bodies without end of strangers.
func TestCrowdOfBodiesWithoutEndAtEachListener(t *testing.T) {
	eachListener(t, crowdSize, func(path string) member {
		return member{send: func(c net.Conn) error {
			if err := write(c, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\n", inChunks); err != nil {
				return err
			}
			return writeChunks(c, endlessBytes, 64<<10)
		}}
	})
}

// Guards against large bodies that use up the memory of the instance which they are forwarded to, or of the one that
// forwards them.
func TestCrowdOfForwardedBodies(t *testing.T) {
	w := wirings[0]
	store := startHostPlatform(t, "b")
	platformSection := fmt.Sprintf("protocol=metadata\nstore=%s\ndomains=a:a,b:b\nmax_isolation=60s\n", store.URL())
	at := launch(t, w, "b", platformSection, "", descriptors)
	at.waitReady(t)
	from := launch(t, w, "a", platformSection, "seeds="+at.peer+"\n", descriptors)
	from.waitReady(t)
	defer gather(from, crowdSize, member{listener: from.caller, send: wholeBody(w)}).leave()
	t.Log("the instance that forwards")
	check(t, from)
	t.Log("the instance that is forwarded to")
	check(t, at)
}

// Guards against what the kernel holds for many connections at a time, with the descriptors of the smallest machine.
func TestCrowdOfAThousandBodiesThatStopShort(t *testing.T) {
	const size, machineDescriptors = 1000, 3075
	for _, w := range []wiring{wirings[0], wirings[2]} {
		t.Run(w.name, func(t *testing.T) {
			i := startInstanceWith(t, w, machineDescriptors)
			defer gather(i, size, member{listener: i.caller, send: bodyThatStopsShort(w)}).leave()
			check(t, i)
		})
	}
}

// Guards against a limit that a single request of the largest size meets.
func TestTheLargestBodyIsServedInCalm(t *testing.T) {
	for _, w := range wirings {
		t.Run(w.name, func(t *testing.T) {
			i := startInstance(t, w)
			// The API passes the request on to a service that returns its body in JSON.
			if status, ok := i.post(strings.Repeat("x", w.maxBodyBytes())); !ok {
				t.Errorf("the largest body got status %d", status)
			}
			check(t, i)
		})
	}
}
