package faultproxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFaultProxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faultproxy")
}

// silencePeriod is how long nothing must arrive for a connection to count as silent.
const silencePeriod = 150 * time.Millisecond

// startEcho starts an echo server and returns its address.
func startEcho() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

func startProxy(target string) *Proxy {
	p, err := Start("127.0.0.1:0", target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	return p
}

func dial(p *Proxy) *net.TCPConn {
	GinkgoHelper()
	conn, err := net.DialTimeout("tcp", p.Address(), time.Second)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// echo sends a message and returns the response received within the timeout.
func echo(conn net.Conn, message string, timeout time.Duration) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte(message)); err != nil {
		return "", err
	}
	return receive(conn, len(message), timeout)
}

func receive(conn net.Conn, n int, timeout time.Duration) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	got := make([]byte, n)
	_, err := io.ReadFull(conn, got)
	return string(got), err
}

func expectEcho(conn net.Conn) {
	GinkgoHelper()
	got, err := echo(conn, "ping", 2*time.Second)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal("ping"))
}

func expectSilence(conn net.Conn) {
	GinkgoHelper()
	_, err := echo(conn, "ping", silencePeriod)
	Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "a silent connection must neither respond nor fail: %v", err)
}

// expectReset opens a connection that must be reset. The reset may already arrive during
// the dial, which then returns the error.
func expectReset(p *Proxy) {
	GinkgoHelper()
	conn, err := net.DialTimeout("tcp", p.Address(), time.Second)
	if err == nil {
		defer conn.Close()
		_, err = echo(conn, "ping", 2*time.Second)
	}
	Expect(err).To(Or(MatchError(syscall.ECONNRESET), MatchError(syscall.EPIPE)))
}

var _ = Describe("the fault proxy", func() {
	var p *Proxy

	BeforeEach(func() { p = startProxy(startEcho()) })

	// Guards against bytes that are lost, changed or reordered without a fault, and
	// against an end of stream that is not forwarded.
	It("passes bytes and the end of the stream on", func() {
		conn := dial(p)
		sent := bytes.Repeat([]byte("0123456789abcdef"), 64<<10)
		go func() {
			_, _ = conn.Write(sent)
			_ = conn.CloseWrite()
		}()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		got, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(got, sent)).To(BeTrue())
		Expect(p.Counts().BytesToTarget).To(BeEquivalentTo(len(sent)))
		Eventually(func() int64 { return p.Counts().Open }, time.Second).Should(BeZero())
	})

	// Guards against a delay of one direction that also slows the other, and against
	// one that accumulates over the chunks of a stream.
	It("delays one direction without limiting its bandwidth", func() {
		conn := dial(p)
		expectEcho(conn)
		p.SetFaults(Faults{ToClient: DirectionFaults{DelayMS: 100}})
		const size = 1 << 20
		started := time.Now()
		go func() { _, _ = conn.Write(make([]byte, size)) }()
		_, err := receive(conn, size, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(started)).To(And(BeNumerically(">=", 100*time.Millisecond), BeNumerically("<", time.Second)))
	})

	// Guards against a bandwidth limit that applies to each connection separately, and one
	// that still delays waiting bytes after its removal.
	It("shares the bandwidth among connections, and lifts the limit for waiting bytes", func() {
		const size = 64 << 10
		p.SetFaults(Faults{ToTarget: DirectionFaults{BytesPerSecond: 256 << 10}})
		a, b := dial(p), dial(p)
		started := time.Now()
		for _, conn := range []net.Conn{a, b} {
			_, err := conn.Write(make([]byte, size))
			Expect(err).NotTo(HaveOccurred())
		}
		for _, conn := range []net.Conn{a, b} {
			_, err := receive(conn, size, 5*time.Second)
			Expect(err).NotTo(HaveOccurred())
		}
		// Both together send 128 KB, of which the burst of the limiter admits 16 KB at once.
		Expect(time.Since(started)).To(BeNumerically(">=", 400*time.Millisecond))

		p.SetFaults(Faults{ToTarget: DirectionFaults{BytesPerSecond: 1}})
		_, err := a.Write(make([]byte, 2*chunkBytes))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(silencePeriod)
		p.SetFaults(Faults{})
		_, err = receive(a, 2*chunkBytes, 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a cut that leaves a connection open or accepts new ones.
	It("resets open and new connections while cut and works afterwards", func() {
		conn := dial(p)
		expectEcho(conn)
		p.SetFaults(Faults{Cut: true})
		_, err := receive(conn, 1, 2*time.Second)
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse())
		expectReset(p)
		p.SetFaults(Faults{})
		expectEcho(dial(p))
	})

	// Guards against a black hole that closes connections, and against one that loses
	// bytes which a real network would deliver late.
	It("holds everything back while silent and delivers it late", func() {
		conn := dial(p)
		expectEcho(conn)
		p.SetFaults(BlackHole())
		expectSilence(conn)
		expectSilence(dial(p))
		p.SetFaults(Faults{})
		got, err := receive(conn, 4, 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("ping"))
	})

	// Guards against a half-open fault that affects open connections.
	It("accepts and never connects while half-open", func() {
		conn := dial(p)
		expectEcho(conn)
		p.SetFaults(Faults{HalfOpen: true})
		expectEcho(conn)
		halfOpen := dial(p)
		expectSilence(halfOpen)
		p.SetFaults(Faults{})
		expectSilence(halfOpen)
		expectEcho(dial(p))
	})

	// Guards against silenced connections that recover, or that affect new ones.
	It("silences open connections for good while new ones work", func() {
		conn := dial(p)
		expectEcho(conn)
		p.SilenceConnections()
		expectSilence(conn)
		expectEcho(dial(p))
		p.SetFaults(Faults{})
		expectSilence(conn)
		p.ResetConnections()
		_, err := receive(conn, 1, 2*time.Second)
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse())
	})

	// Guards against a proxy that stays silent when its target refuses connections.
	It("resets a connection whose target does not listen", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		unreachable := startProxy(listener.Addr().String())
		Expect(listener.Close()).To(Succeed())
		expectReset(unreachable)
	})

	// Guards against a control endpoint that ignores a misspelled field.
	It("is switched over HTTP", func() {
		control, err := ServeControl(p, "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(control.Close)
		post := func(path, body string) int {
			resp, err := http.Post(control.URL()+path, "application/json", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			return resp.StatusCode
		}
		Expect(post(PathFaults, `{"to_target":{"silent":true}}`)).To(Equal(http.StatusOK))
		Expect(p.Faults()).To(Equal(Faults{ToTarget: DirectionFaults{Silent: true}}))
		Expect(post(PathFaults, `{"to_targets":{}}`)).To(Equal(http.StatusBadRequest))
		Expect(post(PathFaults, `{}`)).To(Equal(http.StatusOK))
		conn := dial(p)
		expectEcho(conn)
		Expect(post(PathSilenceOpen, "")).To(Equal(http.StatusOK))
		expectSilence(conn)
		Expect(post(PathBreak, "")).To(Equal(http.StatusOK))
		Eventually(func() int64 { return p.Counts().Open }, time.Second).Should(BeZero())
	})
})
