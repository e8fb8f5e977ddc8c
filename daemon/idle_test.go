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

// Operators shorten the idle timeout while connections are open. A connection that has
// been idle for longer must be closed, but not one whose request is still being served:
// a caller that waits longer than the timeout for its answer must get it.
func TestIdleTimeoutOfOpenConnectionsCanChange(t *testing.T) {
	is := is.New(t)
	var now atomic.Int64
	now.Store(1000)
	i := newIdleConns(clock.New(func() clock.Millis { return clock.Millis(now.Load()) }))
	running, finish := make(chan struct{}), make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(running)
			<-finish
		}
	}))
	srv.Config.ConnState = i.Track
	srv.Start()
	defer srv.Close()
	idle, busy := dial(t, srv), dial(t, srv)
	is.Equal(get(t, idle, "/quick"), http.StatusOK)
	status := make(chan int)
	go func() { status <- get(t, busy, "/slow") }()
	<-running
	eventually(t, func() bool { i.mu.Lock(); defer i.mu.Unlock(); return len(i.idleSince) == 1 })

	now.Store(5900)
	is.Equal(i.expire(5000), 0) // idle for less than the timeout
	is.Equal(i.expire(0), 0)    // no timeout
	now.Store(6100)
	is.Equal(i.expire(5000), 1)
	_ = idle.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	close(finish)
	is.Equal(<-status, http.StatusOK)
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

// get sends a request on a connection and returns the status, or 0 if the connection failed.
func get(t *testing.T, c net.Conn, path string) int {
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

func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition was not met within 5 s")
}
