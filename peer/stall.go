package peer

import (
	"net"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

// stallLimit is how long a peer may take nothing of what is sent to it.
const stallLimit = 30 * clock.Second

// stallListener bounds every write to a connection. A peer that is paused or
// gone without a word takes nothing more, and a write to it would block for as
// long as TCP hopes: the run behind it would keep its place in the window and its
// engine. The write fails instead, which ends the connection and frees both.
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

// Write sends data, or fails when the peer takes none of it for too long.
func (c *stallConn) Write(p []byte) (n int, err error) {
	if err = c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
