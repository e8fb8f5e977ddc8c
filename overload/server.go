package overload

import (
	"net"
	"net/http"

	"github.com/parsleydeal/parsleydeal/caller"
)

// Listener returns a listener that closes the connections of inner that the limiter does not admit.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return &listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (c net.Conn, err error) {
	for {
		if c, err = l.Listener.Accept(); err != nil || l.limiter.Admit() {
			return c, err
		}
		_ = c.Close()
	}
}

// Track counts connections with a request in progress or expected; it is meant for http.Server.ConnState. A connection that
// is hijacked no longer counts.
func (l *Limiter) Track(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		l.active[c] = true
	default:
		delete(l.active, c)
	}
}

// Handler returns a handler that measures how long requests lie unread and then calls next. While a limit is in force,
// answers close their connections, so that callers with a kept one move to other processes too.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.RecordReadDelay(caller.Of(r.Context()).Unread())
		if l.Limited() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
