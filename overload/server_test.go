package overload

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/caller"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Guards against a limited process that reads requests of connections that it closes, answers them, or keeps the
// connections of the callers that it has.
func TestLimitedServerClosesConnectionsUnread(t *testing.T) {
	is := is.New(t)
	var now, handled atomic.Int64
	now.Store(10_000)
	l := NewLimiter(clock.New(func() clock.Millis { return clock.Millis(now.Load()) }), nil)
	release := make(chan struct{})
	srv := httptest.NewUnstartedServer(l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		handled.Add(1)
		<-release
	})))
	srv.Listener = l.Listener(srv.Listener)
	srv.Config.ConnState, srv.Config.ConnContext = l.Track, caller.WithConn
	srv.Start()
	defer srv.Close()
	send := func() net.Conn {
		c, err := net.Dial("tcp4", srv.Listener.Addr().String())
		is.NoErr(err)
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
		return c
	}
	first := send()
	defer first.Close()
	for handled.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	l.mu.Lock()
	l.limit, l.pressedAt = 1, 10_000
	l.mu.Unlock()
	second := send()
	defer second.Close()
	buf := make([]byte, 1000)
	n, err := second.Read(buf)
	is.Equal(n, 0)
	is.True(err != nil)
	is.Equal(l.Status().Closed, uint64(1))
	is.Equal(handled.Load(), int64(1))

	now.Add(int64(probeInterval))
	third := send()
	defer third.Close()
	for handled.Load() == 1 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(third), nil)
	is.NoErr(err)
	is.True(resp.Close)
}
