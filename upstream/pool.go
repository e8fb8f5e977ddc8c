package upstream

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds connecting. Within a region it takes a few milliseconds; an endpoint
	// without power does not answer at all.
	connectTimeout = 300 * clock.Millis(1)
	// readBufferSize fits the head of an answer and the events of a stream.
	readBufferSize = 4 << 10
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection counts
	// as broken.
	unackedTimeout = 3 * clock.Second
)

// Pool keeps idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	clock clock.Clock
	dial  dialFunc
	mu    sync.Mutex
	// idle holds the idle connections by address, the most recently used last. There are at most
	// as many as the last call to the address allowed.
	idle map[string][]*conn
	// openConns counts the connections that are open, totalConns all that were ever opened, and droppedConns those
	// that were given up because an older one was silent.
	openConns    atomic.Int64
	totalConns   atomic.Int64
	droppedConns atomic.Int64
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns an empty pool.
func NewPool(c clock.Clock) *Pool {
	dialer := net.Dialer{Timeout: connectTimeout.Duration(), KeepAlive: -1}
	return NewPoolWith(c, dialer.DialContext)
}

// NewPoolWith returns an empty pool that opens connections with dial. Connections that are not TCP
// connections are used for one request only.
func NewPoolWith(c clock.Clock, dial dialFunc) *Pool {
	return &Pool{clock: c, dial: dial, idle: make(map[string][]*conn)}
}

// OpenConns returns the number of open connections.
func (p *Pool) OpenConns() int64 { return p.openConns.Load() }

// DroppedConns returns the number of idle connections that were given up because another one to the same address had no
// answer.
func (p *Pool) DroppedConns() int64 { return p.droppedConns.Load() }

// TotalConns returns the number of connections ever opened.
func (p *Pool) TotalConns() int64 { return p.totalConns.Load() }

// acquire returns a connection for a call; reused is true for one that was idle.
func (p *Pool) acquire(ctx context.Context, call Call) (c *conn, reused bool, err error) {
	for !call.NewConnection {
		c = p.pop(call.Address)
		if c == nil {
			break
		}
		if p.clock.Now()-c.idleSince <= c.idleTimeout && c.usable() {
			c.maxIdle = call.MaxIdle
			return c, true, nil
		}
		c.release(false)
	}
	netConn, err := p.dial(ctx, "tcp4", call.Address)
	if err != nil {
		return nil, false, err
	}
	netConn = Checked(netConn)
	p.openConns.Add(1)
	p.totalConns.Add(1)
	setUnackedTimeout(netConn)
	in := &boundedReader{r: netConn, left: unbounded}
	c = &conn{net: netConn, in: in, r: bufio.NewReaderSize(in, readBufferSize), pool: p, address: call.Address, maxIdle: call.MaxIdle, idleSince: p.clock.Now(), idleTimeout: defaultIdleTimeout}
	if err = c.watchNew(call.SettleTime); err != nil {
		c.release(false)
		return nil, false, err
	}
	return c, false, nil
}

// watchNew waits for a short time on a new connection and fails if the endpoint closes it or
// sends anything.
func (c *conn) watchNew(d clock.Millis) (err error) {
	if d <= 0 {
		return nil
	}
	if err = c.net.SetReadDeadline(time.Now().Add(d.Duration())); err != nil {
		return err
	}
	if _, err = c.r.Peek(1); !TimedOut(err) {
		return errConnRejected.WithUnderlyingErrors(err)
	}
	return c.net.SetReadDeadline(time.Time{})
}

// errConnRejected is returned for a new connection that was closed, or on which bytes arrived,
// before anything was sent on it.
var errConnRejected = ErrNotSent.New("new connection was not kept open")

// probeTimeout bounds a probe; an endpoint in the same region accepts a connection in a few
// milliseconds.
const probeTimeout = 100 * clock.Millis(1)

// Probe opens a connection to an address and closes it again. accepted means that something listens
// there, refused that nothing does. Neither is known if there was no reply in time.
func (p *Pool) Probe(ctx context.Context, address string) (accepted, refused bool) {
	if accepted, refused = probe(ctx, p.dial, address); accepted {
		p.totalConns.Add(1)
	}
	return accepted, refused
}

func probe(ctx context.Context, dial dialFunc, address string) (accepted, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	c, err := dial(ctx, "tcp4", address)
	if err != nil {
		return false, errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return true, false
}

// EndLookDelay is how long after its answer a process may go on to listen that ended with it: the operating system closes
// its connections one after the other.
const EndLookDelay = 30 * clock.Millis(1)

// Causes for which an answer that ends with its connection is not whole.
var (
	ErrNoContent   = errors.New("answer ends after its head")
	ErrServerEnded = errors.New("server ended with its answer")
)

// CheckWhole returns why an answer whose body was read to its end, with the given size in bytes, is not whole. Only one
// without length and chunks leaves that open: the operating system closes the connections of a process that was killed as
// if their answers were whole, and a success without a byte is the same as one that was cut off after its head.
func CheckWhole(ctx context.Context, resp *http.Response, size int) (err error) {
	switch {
	case resp.Uncompressed || framingOf(resp) != Unframed:
		return nil
	case size == 0 && resp.StatusCode < http.StatusMultipleChoices:
		return ErrNoContent
	}
	clock.Pause(ctx, EndLookDelay)
	if _, refused := probe(ctx, new(net.Dialer).DialContext, resp.Request.URL.Host); refused {
		return ErrServerEnded
	}
	return nil
}

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
	// A read deadline in the past would make the next check of the connection fail.
	if c.net.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= c.maxIdle {
		return false
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	return true
}

// Sweep closes connections that have been idle for too long. It must be called regularly.
func (p *Pool) Sweep() {
	now := p.clock.Now()
	p.mu.Lock()
	addresses := slices.Collect(maps.Keys(p.idle))
	p.mu.Unlock()
	for _, address := range addresses {
		p.closeIdle(address, func(c *conn) bool { return now-c.idleSince > c.idleTimeout })
	}
}

// dropIdle closes the connections to an address that have been idle since before the given time. One that was used
// then got no answer, and a fault that makes a connection silent for good seldom concerns one alone.
func (p *Pool) dropIdle(address string, before clock.Millis) {
	n := p.closeIdle(address, func(c *conn) bool { return c.idleSince <= before })
	p.droppedConns.Add(int64(n))
}

// closeIdle closes the idle connections to an address that match, and returns their number.
func (p *Pool) closeIdle(address string, match func(c *conn) bool) (closed int) {
	p.mu.Lock()
	all := p.idle[address]
	remaining := all[:0]
	var matching []*conn
	for _, c := range all {
		if match(c) {
			matching = append(matching, c)
		} else {
			remaining = append(remaining, c)
		}
	}
	if len(remaining) == 0 {
		delete(p.idle, address)
	} else {
		p.idle[address] = remaining
	}
	p.mu.Unlock()
	for _, c := range matching {
		c.release(false)
	}
	return len(matching)
}

// usable reports whether an idle connection is open and has no unread bytes. A request sent on a
// connection that the endpoint has closed would be lost, and unread bytes would be taken for the
// answer to the next request.
func (c *conn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := rawConn(c.net)
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

// setUnackedTimeout has the kernel break a connection whose peer no longer acknowledges sent
// bytes.
func setUnackedTimeout(c net.Conn) {
	raw, err := rawConn(c)
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout))
	})
}

// rawConn returns the socket of a connection.
func rawConn(c net.Conn) (raw syscall.RawConn, err error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}
