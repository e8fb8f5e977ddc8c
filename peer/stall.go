package peer

import (
	"net"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

// stallLimit is the timeout of one write to a peer.
const stallLimit = 30 * clock.Second

// stallListener sets a deadline for every write to a connection. A peer that is paused or
// unreachable reads nothing, and a write to it would block until TCP gives up; the run whose answer
// is written would keep its slot at the gate and in the engine for that long. The failed write ends
// the connection and frees both slots.
type stallListener struct {
	net.Listener
	limit clock.Millis
}

// Accept returns the next connection.
func (l stallListener) Accept() (c net.Conn, err error) {
	c, err = l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallConn{Conn: c, limit: l.limit.Duration()}, nil
}

type stallConn struct {
	net.Conn
	limit time.Duration
}

// Write writes p, or fails when the write takes longer than the limit.
func (c *stallConn) Write(p []byte) (n int, err error) {
	if err = c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
