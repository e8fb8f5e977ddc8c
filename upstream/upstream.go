// Package upstream sends requests to endpoints over its own HTTP/1.1 connections. The transport
// of net/http retries some requests by itself, adds headers and hides which connection an answer
// came from, so it does not suit a router that must know whether a request may have run.
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
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("upstream")

// Types of errors.
var (
	// ErrNotSent marks a request of which no byte left this process.
	ErrNotSent = Errors.NewType("not-sent")
	// ErrRefused marks a request of which no byte left this process because nothing listens at the
	// endpoint's address.
	ErrRefused = ErrNotSent.NewSubtype("refused")
	// ErrAbandoned marks a request of which no byte left this process because nobody waits for its answer.
	ErrAbandoned = ErrNotSent.NewSubtype("abandoned")
	// ErrLost marks a request that may have run: its connection broke or timed out before the
	// full answer was received.
	ErrLost = Errors.NewType("lost")
	// ErrSilent marks a request that may have run, and whose endpoint sent nothing before a
	// timeout.
	ErrSilent = ErrLost.NewSubtype("silent")
	// ErrTooLong marks a request that may have run, and whose endpoint sent more than maxHeadBytes before the head of the
	// answer was complete.
	ErrTooLong = ErrLost.NewSubtype("too-long")
	// ErrInvalidHead marks a request that may have run, and whose endpoint sent a head that is none although net/http
	// accepts it.
	ErrInvalidHead = ErrLost.NewSubtype("invalid-head")
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
	// HasBody is true if a Content-Length is sent even for an empty body.
	HasBody bool
	// NewConnection requires a new connection. The endpoint may have closed an idle one, and only
	// a request sent on it would reveal that.
	NewConnection bool
	// SettleTime is how long a new connection is watched before anything is sent on it. An
	// endpoint at its connection limit accepts one more connection and then resets it. If a
	// request has been sent by then, this process cannot tell whether it ran.
	SettleTime clock.Millis
	// MaxIdle bounds the idle connections to the address.
	MaxIdle int
	// Abandoned reports whether nobody waits for the answer any more. It is called right before the request is
	// sent; nil if that is not known.
	Abandoned func() bool
	// Sending is called when the request is about to be sent; nil is allowed.
	Sending func()
	// Matches reports whether an answer belongs to this call. Nil accepts every answer.
	Matches func(h http.Header) bool
	// FirstByteTimeout returns how much longer to wait for the first byte of the answer after
	// having waited the given time. A result of 0 or less ends the call.
	FirstByteTimeout func(waited clock.Millis) clock.Millis
}

// Answer is an endpoint's answer whose body has not been read yet.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	conn   *conn
	body   io.ReadCloser
	// bodySent is closed when the request has been sent or sending has failed.
	bodySent chan struct{}
	sendErr  *atomic.Pointer[error]
	stop     func() bool
	// readUntil is the deadline of reads. delayed is true if the last read timed out and this process noticed that so late
	// that it says nothing of the endpoint.
	readUntil atomic.Int64
	delayed   atomic.Bool
	// connectTime is how long it took to get a connection.
	connectTime clock.Millis
	framing     Framing
	// complete is true once the body has been read to its end.
	complete bool
	// reusable is true if the connection may be used again after the answer.
	reusable bool
	closed   bool
}

// maxSkipped bounds the answers to earlier requests that are skipped on a connection before it
// is closed.
const maxSkipped = 2

// maxHeadBytes bounds what is read for the head of an answer, with all that is skipped before it. Heads of endpoints have
// some hundred bytes.
const maxHeadBytes = 64 << 10

// Do sends a call and waits for the head of its answer. The error is an ErrNotSent, or an
// ErrLost (with its subtype ErrSilent) if the request may have run. The connection is closed as
// soon as ctx ends, so that the endpoint stops its work. The caller must close the answer.
func (p *Pool) Do(ctx context.Context, call Call) (a *Answer, err error) {
	start := p.clock.Now()
	c, reused, err := p.acquire(ctx, call)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrRefused.Wrap(err, "connect to %s", call.Address)
	}
	if err != nil {
		return nil, withDelay(ErrNotSent.Wrap(err, "connect to %s", call.Address), TimedOut(err) && p.clock.Since(start) > connectTimeout+maxTimerDelay)
	}
	if ctx.Err() != nil || call.Abandoned != nil && call.Abandoned() {
		c.release(true)
		return nil, ErrAbandoned.New("nobody waits for the answer")
	}
	if call.Sending != nil {
		call.Sending()
	}
	a = &Answer{conn: c, connectTime: p.clock.Since(start), bodySent: make(chan struct{}), sendErr: &atomic.Pointer[error]{}}
	a.stop = context.AfterFunc(ctx, func() { _ = c.net.Close() })
	go a.send(call)
	c.in.startHead()
	if err = a.awaitFirstByte(call); err == nil {
		err = a.readHead(call)
	}
	if err == nil {
		c.in.endHead()
		return a, nil
	}
	a.Close()
	if errorx.IsOfType(err, ErrInvalidHead) {
		return nil, err
	}
	if c.in.left == 0 {
		return nil, ErrTooLong.Wrap(err, "no answer from %s", call.Address)
	}
	if TimedOut(err) {
		if reused && !a.Delayed() {
			p.dropIdle(call.Address, start)
		}
		return nil, withDelay(ErrSilent.Wrap(err, "no answer from %s", call.Address), a.Delayed())
	}
	return nil, ErrLost.Wrap(err, "no answer from %s", call.Address)
}

// Framing is how the end of a body is known.
type Framing string

// The framings. An Unframed body ends with its connection.
const (
	ByLength Framing = "length"
	ByChunks Framing = "chunks"
	Unframed Framing = "none"
)

// Framing returns how the end of the body is known.
func (a *Answer) Framing() Framing { return a.framing }

// ConnectTime returns how long it took to get a connection; about 0 for an idle one.
func (a *Answer) ConnectTime() clock.Millis { return a.connectTime }

// headTimeout bounds the rest of a head after its first byte.
const headTimeout = 2 * clock.Second

// awaitFirstByte waits for the first byte of the answer for as long as the call allows.
func (a *Answer) awaitFirstByte(call Call) (err error) {
	start := a.conn.pool.clock.Now()
	for {
		remaining := call.FirstByteTimeout(a.conn.pool.clock.Since(start))
		if remaining <= 0 {
			return os.ErrDeadlineExceeded
		}
		if err = a.SetReadTimeout(remaining); err != nil {
			return err
		}
		if _, err = a.conn.r.Peek(1); a.isDelayed(err) {
			// The answer may have arrived while this process did not run.
			if err = a.SetReadTimeout(secondLookTimeout); err != nil {
				return err
			}
			_, err = a.conn.r.Peek(1)
		}
		if err == nil {
			a.delayed.Store(false)
			return a.SetReadTimeout(headTimeout)
		}
		if !TimedOut(err) {
			return a.cause(err)
		}
	}
}

const (
	// maxTimerDelay is by how much a timeout may be noticed late and still tell that the endpoint was silent. Beyond that
	// this process did not run, or had too much else to do, and the endpoint may have answered in time.
	maxTimerDelay = 100 * clock.Millis(1)
	// secondLookTimeout is how long to wait for an answer that should have arrived in such a time.
	secondLookTimeout = 20 * clock.Millis(1)
)

// delayed is the property of an error whose timeout was noticed too late.
var delayed = errorx.RegisterProperty("delayed")

func withDelay(err *errorx.Error, isDelayed bool) error {
	if isDelayed {
		return err.WithProperty(delayed, true)
	}
	return err
}

// Delayed reports whether err is a timeout that this process noticed so late that it says nothing of the endpoint.
func Delayed(err error) bool {
	_, ok := errorx.ExtractProperty(err, delayed)
	return ok
}

// Delayed reports whether the last read timed out that much later than it should have.
func (a *Answer) Delayed() bool { return a.delayed.Load() }

// isDelayed notes whether a read that ended with err timed out too late.
func (a *Answer) isDelayed(err error) bool {
	late := err != nil && TimedOut(err) && a.conn.pool.clock.Now() > clock.Millis(a.readUntil.Load())+maxTimerDelay
	a.delayed.Store(late)
	return late
}

// TimedOut reports whether err is a timeout.
func TimedOut(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// send writes the request concurrently with the reading of its answer, because an endpoint may
// answer before it has read a long body.
func (a *Answer) send(call Call) {
	defer close(a.bodySent)
	_, err := a.conn.net.Write(encode(call))
	if err != nil {
		a.sendErr.Store(&err)
	}
}

// encode writes a request with the given headers and no others, except Host and Content-Length.
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
		start := a.conn.headBytes()
		resp, err := http.ReadResponse(a.conn.r, req)
		if err != nil {
			return a.cause(err)
		}
		raw := a.conn.in.head[start:a.conn.headBytes()]
		if err = errors.Join(checkHead(resp.StatusCode, resp.Header), checkFraming(raw, resp)); err != nil {
			return ErrInvalidHead.Wrap(err, "answer from %s", call.Address)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if call.Matches == nil || call.Matches(resp.Header) {
			a.setHead(resp)
			return nil
		}
		// This is an answer to an earlier request on this connection. It must not reach this
		// caller; the answer to this call may follow.
		if _, err = io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return errMismatch
		}
		a.conn.dirty = true
	}
	return errMismatch
}

var errMismatch = errors.New("answer belongs to another request")

// cause returns the error of sending the request, if there was one, and else err: a read error
// after a failed send is only its consequence.
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

func (a *Answer) setHead(resp *http.Response) {
	a.Status, a.Header, a.Length, a.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
	a.framing = framingOf(resp)
	a.reusable = a.framing != Unframed && !resp.Close
	a.conn.setIdleTimeout(resp.Header.Get("Keep-Alive"))
}

// framingOf returns how the end of the body of an answer is known. The answer to a HEAD request has no body.
func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return ByChunks
	case resp.ContentLength >= 0, resp.Request.Method == http.MethodHead:
		return ByLength
	}
	return Unframed
}

// Read reads the body, within the read timeout that was set last.
func (a *Answer) Read(buf []byte) (n int, err error) {
	n, err = a.body.Read(buf)
	a.isDelayed(err)
	a.complete = a.complete || err == io.EOF
	return n, err
}

// SetReadTimeout sets the deadline of all following reads to now plus the timeout.
func (a *Answer) SetReadTimeout(timeout clock.Millis) error {
	a.readUntil.Store(int64(a.conn.pool.clock.Now() + timeout))
	return a.conn.net.SetReadDeadline(time.Now().Add(timeout.Duration()))
}

// Close returns the connection to the pool if the answer was read completely, and closes it
// otherwise, which also stops the endpoint's work.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	active := a.stop()
	// Bytes after the answer belong to no request: the next request on this connection would
	// read them as its answer.
	clean := active && a.complete && a.reusable && !a.conn.dirty && a.conn.r.Buffered() == 0
	a.conn.idleSince = a.conn.pool.clock.Now()
	a.conn.release(clean && a.sent())
}

// sendGrace is how long Close waits for the end of sending. The endpoint has answered, so that
// usually only the goroutine that sent the request has yet to be scheduled.
const sendGrace = 20 * clock.Millis(1)

// sent reports whether the whole request was sent.
func (a *Answer) sent() bool {
	select {
	case <-a.bodySent:
		return a.sendErr.Load() == nil
	default:
	}
	timer := time.NewTimer(sendGrace.Duration())
	defer timer.Stop()
	select {
	case <-a.bodySent:
		return a.sendErr.Load() == nil
	case <-timer.C:
		return false
	}
}

// boundedReader reads from a connection up to a bound.
type boundedReader struct {
	r io.Reader
	// left is how many bytes may still be read, or unbounded.
	left int
	// head holds what was read while there was a bound.
	head []byte
}

// startHead begins to bound and keep what is read.
func (b *boundedReader) startHead() { b.left, b.head = maxHeadBytes, b.head[:0] }

// endHead ends that.
func (b *boundedReader) endHead() {
	b.left = unbounded
	if cap(b.head) > readBufferSize {
		b.head = nil
	}
}

// unbounded is the bound of a boundedReader that has none.
const unbounded = -1

var errHeadTooLong = errors.New("head of the answer is too long")

// Read reads from the connection.
func (b *boundedReader) Read(buf []byte) (n int, err error) {
	switch {
	case b.left == unbounded:
		return b.r.Read(buf)
	case b.left == 0:
		return 0, errHeadTooLong
	}
	n, err = b.r.Read(buf[:min(len(buf), b.left)])
	b.left -= n
	b.head = append(b.head, buf[:n]...)
	return n, err
}

// conn is one connection to an endpoint. It is used by one call at a time.
type conn struct {
	net net.Conn
	// r reads from in, which bounds the heads of answers.
	r       *bufio.Reader
	in      *boundedReader
	pool    *Pool
	address string
	// dirty is true once an answer to an earlier request was skipped on this connection.
	dirty bool
	// maxIdle bounds the idle connections to the endpoint, as given by the last call.
	maxIdle int
	// idleSince is the end of the last answer, or when the connection was opened if no call has used it, and
	// idleTimeout how long it may be used after that.
	idleSince   clock.Millis
	idleTimeout clock.Millis
}

const (
	// defaultIdleTimeout is how long a connection is kept if its endpoint advertises no timeout.
	// Endpoints drop idle connections without notice, sometimes sooner than advertised.
	defaultIdleTimeout = 2 * clock.Second
	// maxIdleTimeout bounds the timeout that an endpoint advertises.
	maxIdleTimeout = 10 * clock.Second
)

// setIdleTimeout takes the idle timeout from a Keep-Alive header. Half of it is used, because a
// request that is sent just as the endpoint closes the connection is lost.
func (c *conn) setIdleTimeout(header string) {
	c.idleTimeout = defaultIdleTimeout
	for part := range strings.SplitSeq(header, ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(text); err == nil && n >= 0 {
				c.idleTimeout = min(clock.Millis(n)*clock.Second/2, maxIdleTimeout)
			}
		}
	}
}

// headBytes returns how many bytes have been parsed since startHead.
func (c *conn) headBytes() int { return len(c.in.head) - c.r.Buffered() }

func (c *conn) release(clean bool) {
	if !clean || !c.pool.put(c) {
		_ = c.net.Close()
		c.pool.openConns.Add(-1)
	}
}
