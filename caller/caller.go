// Package caller asks the operating system about the connection of a caller. The context of a request ends only once
// net/http has read the end of its connection, which may be long after the caller has closed it.
package caller

import (
	"context"
	"net"
	"syscall"

	"github.com/parsleydeal/parsleydeal/clock"
	"golang.org/x/sys/unix"
)

// Conn is the connection of a caller. A nil Conn is one of which nothing is known.
type Conn struct {
	raw syscall.RawConn
	// fd is the descriptor of the connection until it is closed.
	fd int32
}

type contextKey struct{}

// WithConn returns a context with the connection of a caller, from which Of takes it. It is meant for
// http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = outer.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ctx
	}
	conn := &Conn{raw: raw}
	if raw.Control(func(fd uintptr) { conn.fd = int32(fd) }) != nil {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, conn)
}

// Of returns the connection in a request's context; nil if there is none.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Left reports whether the caller has closed its connection or its side of it, or the connection broke. Bytes that were
// not read yet don't matter. Each call is a system call.
func (c *Conn) Left() (left bool) {
	if c == nil {
		return false
	}
	err := c.raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		left = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left || err != nil
}

// Unread returns how long ago the last bytes arrived on the connection: the age of a request that is read now. It is 0
// if the operating system does not tell.
func (c *Conn) Unread() (age clock.Millis) {
	if c == nil {
		return 0
	}
	_ = c.raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = clock.Millis(info.Last_data_recv)
		}
	})
	return age
}
