package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"golang.org/x/net/http/httpguts"
)

// endlessConn is a connection to an endpoint that sends a beginning, and then the same bytes again and again.
type endlessConn struct {
	net.Conn
	beginning, repeated []byte
	// next is where repeated goes on.
	next int
	// read is the number of bytes that were read.
	read   atomic.Int64
	closed atomic.Bool
}

func (c *endlessConn) Read(buf []byte) (n int, err error) {
	if c.closed.Load() || len(c.beginning)+len(c.repeated) == 0 {
		return 0, io.EOF
	}
	n = copy(buf, c.beginning)
	c.beginning = c.beginning[n:]
	for n < len(buf) && len(c.repeated) > 0 {
		more := copy(buf[n:], c.repeated[c.next:])
		n, c.next = n+more, (c.next+more)%len(c.repeated)
	}
	c.read.Add(int64(n))
	return n, nil
}

func (c *endlessConn) Write(data []byte) (int, error)  { return len(data), nil }
func (c *endlessConn) Close() error                    { c.closed.Store(true); return nil }
func (c *endlessConn) SetReadDeadline(time.Time) error { return nil }

// do sends a call to an endpoint that answers on the connection.
func (c *endlessConn) do() (a *Answer, err error) {
	p := NewPoolWith(clock.Boot(), func(context.Context, string, string) (net.Conn, error) { return c, nil })
	return p.Do(context.Background(), Call{
		Address: "10.0.0.1:1", Method: http.MethodGet, Target: "/", Host: "h", Matches: func(h http.Header) bool { return h.Get("Request-Id") != "other" },
		FirstByteTimeout: func(clock.Millis) clock.Millis { return clock.Second },
	})
}

const okHead = "HTTP/1.1 200 OK\r\n"

// Guards against a head without an end that is read until the memory is used up, and against the body of an answer to
// another request that is read to its end.
func TestHeadsWithoutEndAreGivenUp(t *testing.T) {
	for name, x := range map[string]struct {
		beginning, repeated string
		tooLong             bool
	}{
		"status line":                  {"HTTP/1.1 200 ", "x", true},
		"field value":                  {okHead + "X: ", "x", true},
		"fields":                       {okHead, "X: x\r\n", true},
		"folded field":                 {okHead + "X: x\r\n", " x\r\n", true},
		"empty lines":                  {"", "\r\n", false},
		"interim answers of one kind":  {"", "HTTP/1.1 100 Continue\r\n\r\n", false},
		"body of another, chunked":     {okHead + "Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", true},
		"body of another, unframed":    {okHead + "Request-Id: other\r\n\r\n", "x", true},
		"body of another, long length": {okHead + "Request-Id: other\r\nContent-Length: 1000000000000000\r\n\r\n", "x", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &endlessConn{beginning: []byte(x.beginning), repeated: []byte(x.repeated)}
			_, err := c.do()
			is.True(errorx.IsOfType(err, ErrLost))
			is.True(c.read.Load() <= maxHeadBytes)
			is.True(c.closed.Load())
			is.Equal(errorx.IsOfType(err, ErrTooLong), x.tooLong)
		})
	}
}

// The bound is that of a head: a body behind it may be longer.
func TestBodyIsNotBoundedLikeItsHead(t *testing.T) {
	is := is.New(t)
	c := &endlessConn{beginning: []byte(okHead + "\r\n"), repeated: []byte("x")}
	a, err := c.do()
	is.NoErr(err)
	n, err := io.CopyN(io.Discard, a, 4*maxHeadBytes)
	is.NoErr(err)
	is.Equal(n, int64(4*maxHeadBytes))
	a.Close()
	is.True(c.closed.Load())
}

// Whatever an endpoint sends without an end, a call ends and has read no more than a head may have, unless the head is
// complete and valid.
func FuzzHead(f *testing.F) {
	f.Add([]byte(okHead), []byte("X: x\r\n"))
	f.Add([]byte(okHead+"Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"), []byte("1\r\nx\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"), []byte("\r\n"))
	for _, head := range []string{
		"HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 +20 Trouble\r\n", "HTTP/1.1 999 Trouble\r\n", okHead + "Bad Name: x\r\n", okHead + "Content-Length : 5\r\n",
		okHead + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", okHead + "X: a\r\n\tb\r\n", okHead + "X: a\rb\r\n",
	} {
		f.Add([]byte(head+"\r\n"), []byte("x"))
	}
	f.Fuzz(func(t *testing.T, beginning, repeated []byte) {
		if len(beginning) > maxHeadBytes/2 || len(repeated) > maxHeadBytes/2 {
			return
		}
		c := &endlessConn{beginning: bytes.Clone(beginning), repeated: bytes.Clone(repeated)}
		a, err := c.do()
		if err == nil {
			checkValid(t, a)
			_, err = io.CopyN(io.Discard, a, maxHeadBytes)
			a.Close()
			if err != nil && !errors.Is(err, io.EOF) && c.read.Load() > 4*maxHeadBytes {
				t.Fatalf("%d bytes of a body were read: %v", c.read.Load(), err)
			}
			return
		}
		if n := c.read.Load(); n > maxHeadBytes {
			t.Fatalf("%d bytes were read: %v", n, err)
		}
	})
}

// checkValid fails if the head of an answer cannot be passed on as it is.
func checkValid(t *testing.T, a *Answer) {
	t.Helper()
	if a.Status < 200 || a.Status > 599 {
		t.Fatalf("status %d", a.Status)
	}
	for name, values := range a.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			t.Fatalf("field name %q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				t.Fatalf("value %q of %s", v, name)
			}
		}
	}
}
