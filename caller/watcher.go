package caller

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
	"golang.org/x/sys/unix"
)

// ErrLeft is the cause with which a Watcher ends the context of a request.
var ErrLeft = errors.New("caller: caller has left")

// watchInterval is the interval at which the connections of requests in progress are polled.
const watchInterval = 50 * clock.Millis(1)

// Watcher ends the contexts of requests whose callers leave. net/http no longer watches a connection once it has read a
// byte behind the request, such as the first one of the next request. The zero value is ready for use.
type Watcher struct {
	mu      sync.Mutex
	watched map[*watch]bool
	// running is true while a goroutine polls the connections, which is as long as any are watched.
	running bool
}

// watch is a connection whose request is in progress.
type watch struct {
	conn *Conn
	end  context.CancelCauseFunc
}

// Handler returns a handler that calls next with a context that ends when the caller leaves, with the cause ErrLeft
// unless the server has noticed it first.
func (s *Watcher) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := Of(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer s.add(&watch{conn: c, end: cancel})()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// add watches a connection until remove is called.
func (s *Watcher) add(x *watch) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watched == nil {
		s.watched = make(map[*watch]bool)
	}
	s.watched[x] = true
	if !s.running {
		s.running = true
		go s.run()
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watched, x)
	}
}

// run polls the connections until none is watched.
func (s *Watcher) run() {
	var p poller
	for clock.Pause(context.Background(), watchInterval) {
		if p.watched = s.list(p.watched[:0]); len(p.watched) == 0 {
			return
		}
		p.poll()
	}
}

// poller polls many connections in one system call.
type poller struct {
	watched []*watch
	fds     []unix.PollFd
}

// poll ends the requests whose callers have left.
func (p *poller) poll() {
	p.fds = p.fds[:0]
	for _, x := range p.watched {
		p.fds = append(p.fds, unix.PollFd{Fd: x.conn.fd, Events: unix.POLLRDHUP})
	}
	n, err := unix.Poll(p.fds, 0)
	if err != nil || n == 0 {
		return
	}
	for i, x := range p.watched {
		// The descriptor may belong to another connection by now, which Left rules out.
		if p.fds[i].Revents != 0 && x.conn.Left() {
			x.end(ErrLeft)
		}
	}
}

// list appends the connections that are watched. If there are none, the goroutine must end.
func (s *Watcher) list(all []*watch) []*watch {
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.watched {
		all = append(all, x)
	}
	s.running = len(all) > 0
	return all
}
