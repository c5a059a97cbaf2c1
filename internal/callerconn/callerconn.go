// Package callerconn tells whether the caller of a request has closed its connection. net/http cancels the context of
// a request on another goroutine, which a process that is short of processor time may run only after the
// request was sent on.
package callerconn

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type connKey struct{}

// NewContext returns a context for the requests that arrive over a connection. It has the signature of
// http.Server.ConnContext.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapped.NetConn()
	}
	if raw, ok := c.(syscall.Conn); ok {
		return context.WithValue(ctx, connKey{}, raw)
	}
	return ctx
}

// Left reports whether the caller of a request has left: the context of the request has ended, or the caller has closed
// its side of the connection, even if bytes that it sent before have not been read. It does not block. A caller whose
// connection is not known counts as there.
func Left(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = hungUp(fd) })
	// Control fails only if this process has closed the connection.
	return closed || err != nil
}

func hungUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
