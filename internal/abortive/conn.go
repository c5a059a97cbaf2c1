// Package abortive provides TCP connections that do not deliver what was given up. An ordinary close leaves the bytes
// that were written to the kernel, which delivers them whenever the network recovers; a request would then reach its
// server long after its caller has left. A reset discards them.
package abortive

import (
	"net"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// Conn is a connection whose Close resets it if nothing has arrived since the last write: what was written may still be
// held by a kernel, or by a proxy on the way. Otherwise Close is an ordinary one.
type Conn struct {
	net.Conn
	unanswered atomic.Bool
}

// New returns a Conn for an open connection. Only TCP connections are reset.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.unanswered.Store(false)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.unanswered.Store(true)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unanswered.Load() {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// Pending reports whether the other side is known not to have acknowledged all bytes that were written.
func (c *Conn) Pending() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	_ = raw.Control(func(fd uintptr) {
		bytes, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		pending = err == nil && bytes > 0
	})
	return pending
}
