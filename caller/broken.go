package caller

import (
	"net/http"

	"golang.org/x/sys/unix"
)

// ShowBroken returns a handler that calls next. An answer that next aborts ends with a reset where the protocol of its
// caller has no other sign for that: with HTTP/1.0 the end of the connection is that of a whole answer.
func ShowBroken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if !r.ProtoAtLeast(1, 1) {
				Of(r.Context()).resetOnClose()
			}
			panic(p)
		}()
		next.ServeHTTP(w, r)
	})
}

// resetOnClose makes the end of the connection a reset.
func (c *Conn) resetOnClose() {
	if c == nil {
		return
	}
	_ = c.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
}
