package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
)

// serveConns passes each connection to a function until the test ends.
func serveConns(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return lis.Addr().String()
}

func callTo(address string) Call {
	return Call{
		Address: address, Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, MaxIdle: 2,
		Matches:          func(h http.Header) bool { return h.Get("Id") == "1" },
		FirstByteTimeout: func(waited clock.Millis) clock.Millis { return 300 - waited },
	}
}

const matchingAnswer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nown"

// An endpoint closes an idle connection just after its answer. The next request must not be sent
// on it: that request would be lost, and it may not be retried.
func TestClosedConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, matchingAnswer)
		}
	})
	p := NewPool(clock.System())
	for range 3 {
		a, err := p.Do(context.Background(), callTo(address))
		is.NoErr(err)
		body, err := io.ReadAll(a)
		is.NoErr(err)
		is.Equal(string(body), "own")
		a.Close()
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(p.TotalConns(), int64(3))
}

// A late answer to an earlier request arrives on a connection before the answer to its next
// request. It must be skipped, and the connection must not be reused afterwards.
func TestLateAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 4\r\n\r\nlate"+matchingAnswer)
			time.Sleep(200 * time.Millisecond)
		}
	})
	p := NewPool(clock.System())
	a, err := p.Do(context.Background(), callTo(address))
	is.NoErr(err)
	body, err := io.ReadAll(a)
	is.NoErr(err)
	is.Equal(string(body), "own")
	a.Close()
	is.Equal(p.OpenConns(), int64(0))
}

// Error types must show whether a request may have run: nothing was sent to an address without a
// listener, while a silent or broken connection may have carried the request.
func TestErrorTypesReportWhetherRequestMayHaveRun(t *testing.T) {
	is := is.New(t)
	p := NewPool(clock.System())
	_, err := p.Do(context.Background(), callTo("127.0.0.1:1"))
	is.True(errorx.IsOfType(err, ErrNotSent))
	silent := serveConns(t, func(_ net.Conn, r *bufio.Reader) { _, _ = r.ReadString(0) })
	_, err = p.Do(context.Background(), callTo(silent))
	is.True(errorx.IsOfType(err, ErrSilent) && errorx.IsOfType(err, ErrLost))
	broken := serveConns(t, func(_ net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) })
	_, err = p.Do(context.Background(), callTo(broken))
	is.True(errorx.IsOfType(err, ErrLost) && !errorx.IsOfType(err, ErrSilent))
	is.Equal(p.OpenConns(), int64(0))
}

// An endpoint refuses a long body before it has read it, and then reads on. The answer must be
// returned, and the rest of the body must not be taken for the next request.
func TestEarlyAnswerToLongBody(t *testing.T) {
	is := is.New(t)
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, matchingAnswer)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, req.Body)
	})
	p := NewPool(clock.System())
	call := callTo(address)
	call.Method, call.Body, call.HasBody = http.MethodPost, []byte(strings.Repeat("x", 8<<20)), true
	a, err := p.Do(context.Background(), call)
	is.NoErr(err)
	body, err := io.ReadAll(a)
	is.NoErr(err)
	is.Equal(string(body), "own")
	a.Close()
	is.Equal(p.OpenConns(), int64(0))
}

// The connection breaks in the middle of an answer. Reading it must return an error.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	for _, head := range []string{"Content-Length: 10\r\n\r\nown", "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n"} {
		address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+head)
			}
		})
		a, err := NewPool(clock.System()).Do(context.Background(), callTo(address))
		is.NoErr(err)
		_, err = io.ReadAll(a)
		is.True(err != nil)
		a.Close()
	}
}

// An endpoint at its connection limit accepts a new connection and resets it. A request that may
// run only once must not be sent on that connection, because it would be lost.
func TestNothingIsSentOnConnectionOverLimit(t *testing.T) {
	is := is.New(t)
	got := make(chan struct{}, 1)
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if _, err := r.ReadByte(); err == nil {
			got <- struct{}{}
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	call := callTo(address)
	call.NewConnection, call.SettleTime = true, 50
	_, err := NewPool(clock.System()).Do(context.Background(), call)
	is.True(errorx.IsOfType(err, ErrNotSent))
	is.Equal(len(got), 0)
}

// Without a bound, the idle connections of many entries use up an endpoint's connection limit,
// and the endpoint then resets new ones.
func TestIdleConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, matchingAnswer)
		}
	})
	p := NewPool(clock.System())
	call := callTo(address)
	call.NewConnection = true
	for range 5 {
		a, err := p.Do(context.Background(), call)
		is.NoErr(err)
		_, err = io.ReadAll(a)
		is.NoErr(err)
		a.Close()
	}
	is.Equal(p.TotalConns(), int64(5))
	is.Equal(p.OpenConns(), int64(2))
}
