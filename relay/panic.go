package relay

import (
	"fmt"
	"runtime/debug"

	"github.com/parsleydeal/parsleydeal/refusal"
)

// maxStackBytes bounds the stack that is logged of a panic, in bytes.
const maxStackBytes = 2 << 10

// serveRecovered is like serve, and returns a refusal if it panics. net/http would close the connection without an answer
// and log neither the request's ID nor its endpoint.
func (x *exchange) serveRecovered() (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = x.panicked(v, debug.Stack())
		}
	}()
	return x.serve()
}

// panicked counts and logs a panic, and returns the refusal for the caller.
func (x *exchange) panicked(v any, stack []byte) error {
	s := x.server
	s.panics.Inc()
	s.cfg.Log.Error("Request handler panicked", "request", x.id(), "route", x.routeName(), "endpoint", x.endpoint, "sends", x.sends, "panic", v, "stack", string(stack[:min(len(stack), maxStackBytes)]))
	if !x.written {
		// It may hold the head of an endpoint's answer.
		clear(x.w.Header())
	}
	x.w.Header().Set("Connection", "close")
	return refusal.New(refusal.Internal, fmt.Sprint(v)).WithRun(refusal.Unknown)
}
