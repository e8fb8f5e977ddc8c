package entry

import (
	"net"
	"sync"
)

// limitedListener bounds the number of open connections. Further ones wait in the kernel's backlog,
// where they use none of the process's memory.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// limitConnections bounds the open connections of a listener; a limit of 0 means no bound.
func limitConnections(lis net.Listener, limit int) net.Listener {
	if limit <= 0 {
		return lis
	}
	return &limitedListener{Listener: lis, slots: make(chan struct{}, limit), closed: make(chan struct{})}
}

// Accept waits for a free slot, then for a connection.
func (l *limitedListener) Accept() (c net.Conn, err error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err = l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.slots }}, nil
}

// Close also ends an Accept that waits for a slot.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn frees its slot exactly once, however often it is closed.
type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// NetConn returns the connection itself.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and frees its slot.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
