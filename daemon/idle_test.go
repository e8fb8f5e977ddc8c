package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Operators shorten the time for which callers' connections may stay idle. One that
// is idle for longer is closed, while one whose answer is still being made goes on:
// a caller that waits longer than the bound for its answer must get it.
func TestIdleTimeoutOfOpenConnectionsCanChange(t *testing.T) {
	is := is.New(t)
	var now atomic.Int64
	now.Store(1000)
	i := newIdlers(clock.New(func() clock.Millis { return clock.Millis(now.Load()) }))
	begun, goOn := make(chan struct{}), make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(begun)
			<-goOn
		}
	}))
	srv.Config.ConnState = i.Track
	srv.Start()
	defer srv.Close()
	idle, busy := dial(t, srv), dial(t, srv)
	is.Equal(ask(t, idle, "/quick"), http.StatusOK)
	answered := make(chan int)
	go func() { answered <- ask(t, busy, "/slow") }()
	<-begun
	waitFor(t, func() bool { i.mu.Lock(); defer i.mu.Unlock(); return len(i.since) == 1 })

	now.Store(5900)
	is.Equal(i.expire(5000), 0) // idle for less than the bound
	is.Equal(i.expire(0), 0)    // no bound
	now.Store(6100)
	is.Equal(i.expire(5000), 1)
	_ = idle.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	close(goOn)
	is.Equal(<-answered, http.StatusOK)
}

func dial(t *testing.T, srv *httptest.Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// ask sends a request on a connection and returns the status; 0 when it broke.
func ask(t *testing.T, c net.Conn, path string) int {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("it did not come about within 5 s")
}
