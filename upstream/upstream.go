// Package upstream sends requests to endpoints over HTTP/1.1 connections of its
// own. net/http's transport repeats some requests by itself, adds headers and
// hides which connection an answer came on; a router that must know whether a
// request may have run can use none of this.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("upstream")

// Kinds of errors.
var (
	// ErrNotSent marks a request of which nothing left this process.
	ErrNotSent = Errors.NewType("not-sent")
	// ErrLost marks a request that may have run: its connection broke or fell
	// silent before the whole answer was in.
	ErrLost = Errors.NewType("lost")
	// ErrSilent marks a request that may have run and whose endpoint sent nothing
	// for too long.
	ErrSilent = ErrLost.NewSubtype("silent")
)

// Call is one request to an endpoint.
type Call struct {
	Address string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that a length is sent although the body is empty.
	HasBody bool
	// NewConnection asks for a new connection. A kept one may have been closed by the
	// other side, which shows only after the request was sent on it.
	NewConnection bool
	// SettleTime is how long a new connection is watched before anything is sent on it. An
	// endpoint that has as many connections as it takes accepts one more and resets it;
	// a request that was sent by then may have run as far as its caller can know.
	SettleTime clock.Millis
	// MaxIdle bounds the idle connections to the address.
	MaxIdle int
	// Matches reports whether an answer belongs to this call.
	Matches func(h http.Header) bool
	// FirstByteTimeout is asked how long to wait for the answer's first byte, with what has been
	// waited already; 0 gives the call up.
	FirstByteTimeout func(waited clock.Millis) clock.Millis
}

// Answer is an endpoint's answer whose body is still to be read.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 when it is not announced.
	Length int64
	conn   *conn
	body   io.ReadCloser
	// bodySent is closed when the request's body was sent or could not be.
	bodySent chan struct{}
	sendErr  *atomic.Pointer[error]
	stop     func() bool
	// connected is how long it took to have a connection.
	connected clock.Millis
	// whole is true once the body was read to its end.
	whole bool
	// keep says that the connection may be used again after the answer.
	keep   bool
	closed bool
}

// maxSkipped bounds the answers to earlier requests that are passed over on a
// connection before it is given up.
const maxSkipped = 2

// Do sends a call and waits for the head of its answer. The connection is closed
// as soon as the context ends, so that the endpoint stops its work.
func (p *Pool) Do(ctx context.Context, call Call) (a *Answer, err error) {
	begun := p.clock.Now()
	c, err := p.take(ctx, call)
	if err != nil {
		return nil, ErrNotSent.Wrap(err, "connect to %s", call.Address)
	}
	a = &Answer{conn: c, connected: p.clock.Since(begun), bodySent: make(chan struct{}), sendErr: &atomic.Pointer[error]{}}
	a.stop = context.AfterFunc(ctx, func() { _ = c.net.Close() })
	go a.send(call)
	if err = a.await(call); err == nil {
		err = a.readHead(call)
	}
	if err == nil {
		return a, nil
	}
	a.Close()
	if TimedOut(err) {
		return nil, ErrSilent.Wrap(err, "no answer from %s", call.Address)
	}
	return nil, ErrLost.Wrap(err, "no answer from %s", call.Address)
}

// ConnectTime returns how long it took to have a connection; 0 for a kept one.
func (a *Answer) ConnectTime() clock.Millis { return a.connected }

// headPatience bounds the rest of a head once its first byte is there.
const headPatience = 2 * clock.Second

// await waits for the first byte of the answer for as long as the call says.
func (a *Answer) await(call Call) (err error) {
	begun := a.conn.pool.clock.Now()
	for {
		left := call.FirstByteTimeout(a.conn.pool.clock.Since(begun))
		if left <= 0 {
			return os.ErrDeadlineExceeded
		}
		if err = a.SetReadTimeout(left); err != nil {
			return err
		}
		_, err = a.conn.r.Peek(1)
		if err == nil {
			return a.SetReadTimeout(headPatience)
		}
		if !TimedOut(err) {
			return a.cause(err)
		}
	}
}

// TimedOut reports whether an error is that of a wait that took too long.
func TimedOut(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// send writes the request beside the reading of its answer: an endpoint may
// answer before it has read a long body.
func (a *Answer) send(call Call) {
	defer close(a.bodySent)
	_, err := a.conn.net.Write(encode(call))
	if err != nil {
		a.sendErr.Store(&err)
	}
}

// encode writes a request with the headers given and nothing else but a length.
func encode(call Call) []byte {
	var b bytes.Buffer
	b.Grow(len(call.Body) + 1024)
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	for name, values := range call.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if call.HasBody || len(call.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

func (a *Answer) readHead(call Call) (err error) {
	req := &http.Request{Method: call.Method}
	for range maxSkipped + 1 {
		resp, err := http.ReadResponse(a.conn.r, req)
		if err != nil {
			return a.cause(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if call.Matches == nil || call.Matches(resp.Header) {
			a.take(resp)
			return nil
		}
		// An answer to an earlier request on this connection. It must not reach
		// this caller, and the own one may follow it.
		if _, err = io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return errForeign
		}
		a.conn.dirty = true
	}
	return errForeign
}

var errForeign = errors.New("answer belongs to another request")

// cause prefers what broke the sending to the end of the connection that
// followed from it.
func (a *Answer) cause(err error) error {
	select {
	case <-a.bodySent:
		if sent := a.sendErr.Load(); sent != nil {
			return *sent
		}
	default:
	}
	return err
}

func (a *Answer) take(resp *http.Response) {
	a.Status, a.Header, a.Length, a.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
	// An answer without a length ends with its connection.
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.keep = framed && !resp.Close
	a.conn.keepAlive(resp.Header.Get("Keep-Alive"))
}

// Read reads the body, waiting at most for the patience that was set last.
func (a *Answer) Read(buf []byte) (n int, err error) {
	n, err = a.body.Read(buf)
	a.whole = a.whole || err == io.EOF
	return n, err
}

// SetReadTimeout bounds the wait of the next reads, from now on.
func (a *Answer) SetReadTimeout(patience clock.Millis) error {
	return a.conn.net.SetReadDeadline(time.Now().Add(patience.Duration()))
}

// Close gives the connection back when it is clean, and closes it otherwise,
// which also stops the endpoint's work.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	ended := a.stop()
	sent := false
	select {
	case <-a.bodySent:
		sent = a.sendErr.Load() == nil
	default:
	}
	// Bytes beyond the answer belong to no request: on this connection the next
	// answer would not be the next request's.
	clean := ended && sent && a.whole && a.keep && !a.conn.dirty && a.conn.r.Buffered() == 0
	a.conn.release(clean)
}

// conn is one connection to an endpoint. One call at a time uses it.
type conn struct {
	net  net.Conn
	r    *bufio.Reader
	pool *Pool
	to   string
	// dirty connections have brought bytes that belonged to no request.
	dirty bool
	// mostIdle bounds the idle connections to the endpoint, by the last call.
	mostIdle int
	// idleSince and idleFor bound its use after the last answer.
	idleSince clock.Millis
	idleFor   clock.Millis
}

const (
	// defaultIdle is how long a connection is kept that announces no time of its
	// own. Endpoints drop idle connections without notice, and sooner at times.
	defaultIdle = 2 * clock.Second
	// mostIdle bounds what an endpoint announces.
	mostIdle = 10 * clock.Second
)

// keepAlive takes the idle time that an endpoint announces. Half of it is used:
// what is sent just as the endpoint closes is lost.
func (c *conn) keepAlive(header string) {
	c.idleFor = defaultIdle
	for part := range strings.SplitSeq(header, ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil && n >= 0 {
				c.idleFor = min(clock.Millis(n)*clock.Second/2, mostIdle)
			}
		}
	}
}

func (c *conn) release(clean bool) {
	if !clean || !c.pool.put(c) {
		_ = c.net.Close()
		c.pool.opened.Add(-1)
	}
}
