package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"golang.org/x/sys/unix"
)

// checkedConn is a connection whose reads return io.EOF only if the peer has ended it in order.
//
// The kernel reports the failure of a connection once, to the read or write that asks first. If a write takes a reset,
// the reads after it return the same as at an end in order.
type checkedConn struct {
	net.Conn
	// writing has one element while a write is in progress.
	writing chan struct{}
	// failure is an error of a read or write, EPIPE only if there was no other one; nil if there was none. Timeouts of
	// deadlines do not count.
	failure atomic.Pointer[error]
}

// Checked returns a connection that reads from c and writes to it, and whose reads return io.EOF only if the peer has
// ended it in order. All reads and writes must go through it.
func Checked(c net.Conn) net.Conn { return &checkedConn{Conn: c, writing: make(chan struct{}, 1)} }

// Read reads from the connection.
func (c *checkedConn) Read(buf []byte) (n int, err error) {
	n, err = c.Conn.Read(buf)
	if err == io.EOF {
		return n, c.checkEnd()
	}
	c.recordFailure(err)
	return n, err
}

// Write writes to the connection.
func (c *checkedConn) Write(data []byte) (n int, err error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err = c.Conn.Write(data)
	c.recordFailure(err)
	return n, err
}

func (c *checkedConn) recordFailure(err error) {
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
	case errors.Is(err, syscall.EPIPE):
		c.failure.CompareAndSwap(nil, &err)
	default:
		c.failure.Store(&err)
	}
}

// writeEndTimeout bounds the wait for a write in progress to end with its connection.
const writeEndTimeout = 100 * clock.Millis(1)

// errEndUnknown is returned at an end of which the kernel does not tell whether it is in order.
var errEndUnknown = errors.New("connection ended while the request was being sent")

// checkEnd returns io.EOF if the peer has ended the connection in order, and else the reason for which it failed.
func (c *checkedConn) checkEnd() error {
	state := c.state()
	if state == unix.BPF_TCP_CLOSE_WAIT {
		return io.EOF
	}
	timer := time.NewTimer(writeEndTimeout.Duration())
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		<-c.writing
	case <-timer.C:
		return errEndUnknown
	}
	failure := c.failure.Load()
	// Writes fail with EPIPE alone if the reset came after an end in order; else a read or a write has failed with
	// ECONNRESET.
	if failure == nil || state == unix.BPF_TCP_CLOSE && errors.Is(*failure, syscall.EPIPE) {
		return io.EOF
	}
	return *failure
}

// state returns the state of the connection in the kernel; 0 if it is not known.
func (c *checkedConn) state() (state uint8) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state
}

// SyscallConn returns the socket of the connection.
func (c *checkedConn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }
