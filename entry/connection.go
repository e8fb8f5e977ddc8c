package entry

import (
	"net"
	"sync"
)

// limitedListener accepts only so many connections at a time. Further ones wait
// in the system's backlog, where they cost the process no memory.
type limitedListener struct {
	net.Listener
	places chan struct{}
	closed chan struct{}
	once   sync.Once
}

// limitConnections bounds the open connections of a listener; 0 bounds none.
func limitConnections(lis net.Listener, most int) net.Listener {
	if most <= 0 {
		return lis
	}
	return &limitedListener{Listener: lis, places: make(chan struct{}, most), closed: make(chan struct{})}
}

// Accept waits for a place, then for a connection.
func (l *limitedListener) Accept() (c net.Conn, err error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err = l.Listener.Accept()
	if err != nil {
		<-l.places
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.places }}, nil
}

// Close also ends an Accept that waits for a place.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn gives its place back once, however often it is closed.
type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

// Close closes the connection and gives its place back.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
