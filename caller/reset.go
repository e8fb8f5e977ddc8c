package caller

import (
	"net/http"

	"golang.org/x/sys/unix"
)

// ResetUnlessWhole returns a handler that calls next. With HTTP/1.0 the end of the connection is that of a whole answer, so
// that an aborted answer has to end with a reset, also when it ends with this process.
func ResetUnlessWhole(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		c := Of(r.Context())
		c.setResetOnClose(true)
		next.ServeHTTP(w, r)
		c.setResetOnClose(false)
	})
}

// setResetOnClose sets whether the connection ends with a reset when it is closed, whoever closes it.
func (c *Conn) setResetOnClose(reset bool) {
	if c == nil {
		return
	}
	linger := unix.Linger{}
	if reset {
		linger.Onoff = 1
	}
	_ = c.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &linger)
	})
}
