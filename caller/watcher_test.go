package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startServer starts a server with a watcher. Each request is reported to begun, waits for release, and reports why its
// context ended.
func startServer(t *testing.T) (address string, begun chan struct{}, release func(), ended chan error) {
	t.Helper()
	begun, ended = make(chan struct{}, 8), make(chan error, 8)
	released := make(chan struct{})
	srv := httptest.NewUnstartedServer(new(Watcher).Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		select {
		case <-r.Context().Done():
		case <-released:
		}
		ended <- context.Cause(r.Context())
		_, _ = io.WriteString(w, r.URL.Path)
	})))
	srv.Config.ConnContext = WithConn
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), begun, func() { close(released) }, ended
}

func send(t *testing.T, address, path string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against requests that go on for a caller that sent the beginning of its next request before it left.
func TestCallerThatSentMoreIsSeenToLeave(t *testing.T) {
	for name, leave := range map[string]func(c net.Conn) error{
		"close": net.Conn.Close,
		"reset": func(c net.Conn) error { _ = c.(*net.TCPConn).SetLinger(0); return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, begun, _, ended := startServer(t)
			c := send(t, address, "/")
			<-begun
			_, err := c.Write([]byte("G"))
			is.NoErr(err)
			time.Sleep(20 * time.Millisecond)
			is.NoErr(leave(c))
			select {
			case err := <-ended:
				is.Equal(err, ErrLeft)
			case <-time.After(500 * time.Millisecond):
				t.Fatal("the request goes on")
			}
		})
	}
}

// A caller that sends its next request early and stays gets both answers.
func TestCallerThatSentMoreAndStaysIsServed(t *testing.T) {
	is := is.New(t)
	address, begun, release, ended := startServer(t)
	c := send(t, address, "/first")
	<-begun
	_, err := io.WriteString(c, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(4 * watchInterval.Duration())
	release()
	r := bufio.NewReader(c)
	for _, path := range []string{"/first", "/second"} {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), path)
		is.NoErr(<-ended)
	}
}

// Guards against a request that ends because the descriptor of an earlier connection belongs to another one now.
func TestReusedDescriptorEndsNoOtherRequest(t *testing.T) {
	is := is.New(t)
	near, _ := connect(t)
	other, otherFar := connect(t)
	near.fd = other.fd
	var s Watcher
	ctx, cancel := context.WithCancelCause(context.Background())
	defer s.add(&watch{conn: near, end: cancel})()
	is.NoErr(otherFar.Close())
	is.True(waitLeft(other))
	time.Sleep(3 * watchInterval.Duration())
	is.NoErr(ctx.Err())
}

// Guards against a goroutine for each request: one asks all connections, and ends with the last of them.
func TestWatcherEndsWithItsLastRequest(t *testing.T) {
	is := is.New(t)
	var s Watcher
	for range 3 {
		near, _ := connect(t)
		remove := s.add(&watch{conn: near, end: func(error) {}})
		is.True(s.running)
		remove()
	}
	for n := 0; n < 100; n++ {
		s.mu.Lock()
		running := s.running
		s.mu.Unlock()
		if !running {
			return
		}
		time.Sleep(watchInterval.Duration() / 10)
	}
	t.Fatal("the watcher goes on without connections")
}

// Measures one round over a hundred connections.
func BenchmarkPoll(b *testing.B) {
	var p poller
	for range 100 {
		near, _ := connect(b)
		p.watched = append(p.watched, &watch{conn: near})
	}
	for b.Loop() {
		p.poll()
	}
}
