package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the making of a connection. Within a region one takes
	// a few milliseconds; an endpoint without power does not answer at all.
	connectTimeout = 300 * clock.Millis(1)
	// readBuffer fits the head of an answer and the events of a stream.
	readBuffer = 4 << 10
	// silentAfter is how long sent bytes may stay unacknowledged before the
	// connection counts as broken.
	silentAfter = 3 * clock.Second
)

// Pool keeps idle connections to endpoints. It is safe for use by many
// goroutines.
type Pool struct {
	clock  clock.Clock
	dialer net.Dialer
	mu     sync.Mutex
	// idle holds at most as many connections of each address as the last call to it
	// allowed, the one used last at the end.
	idle map[string][]*conn
	// opened counts the connections open, made those ever made.
	opened atomic.Int64
	made   atomic.Int64
}

// NewPool makes an empty pool.
func NewPool(c clock.Clock) *Pool {
	return &Pool{clock: c, dialer: net.Dialer{Timeout: connectTimeout.Duration(), KeepAlive: -1}, idle: make(map[string][]*conn)}
}

// OpenConns returns the number of open connections.
func (p *Pool) OpenConns() int64 { return p.opened.Load() }

// TotalConns returns the number of connections ever made.
func (p *Pool) TotalConns() int64 { return p.made.Load() }

func (p *Pool) take(ctx context.Context, call Call) (c *conn, err error) {
	for !call.NewConnection {
		c = p.pop(call.Address)
		if c == nil {
			break
		}
		if p.clock.Now()-c.idleSince <= c.idleFor && c.quiet() {
			c.mostIdle = call.MaxIdle
			return c, nil
		}
		c.release(false)
	}
	raw, err := p.dialer.DialContext(ctx, "tcp4", call.Address)
	if err != nil {
		return nil, err
	}
	p.opened.Add(1)
	p.made.Add(1)
	limitSilence(raw)
	c = &conn{net: raw, r: bufio.NewReaderSize(raw, readBuffer), pool: p, to: call.Address, mostIdle: call.MaxIdle}
	if err = c.settle(call.SettleTime); err != nil {
		c.release(false)
		return nil, err
	}
	return c, nil
}

// settle watches a new connection for a while, and fails if the endpoint ends it.
func (c *conn) settle(span clock.Millis) (err error) {
	if span <= 0 {
		return nil
	}
	if err = c.net.SetReadDeadline(time.Now().Add(span.Duration())); err != nil {
		return err
	}
	if _, err = c.r.Peek(1); !TimedOut(err) {
		return errUnsettled.WithUnderlyingErrors(err)
	}
	return c.net.SetReadDeadline(time.Time{})
}

// errUnsettled tells of a new connection that was ended, or brought bytes, before
// anything was sent on it.
var errUnsettled = ErrNotSent.New("new connection was not kept open")

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[address]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	p.idle[address] = all[:len(all)-1]
	return c
}

func (p *Pool) put(c *conn) bool {
	// A read deadline that has passed would make the next look at it fail.
	if c.net.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.to]) >= c.mostIdle {
		return false
	}
	p.idle[c.to] = append(p.idle[c.to], c)
	return true
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep() {
	now := p.clock.Now()
	var old []*conn
	p.mu.Lock()
	for address, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if now-c.idleSince > c.idleFor {
				old = append(old, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.release(false)
	}
}

// quiet reports whether an idle connection is open and has brought nothing. One
// that the endpoint closed would take the request and lose it; on one with bytes
// that belong to no request the next answer would be a wrong one.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.net.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// limitSilence has the kernel break a connection whose other side no longer
// acknowledges anything.
func limitSilence(c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter))
	})
}
