package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/platform/standin"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// The time of a request passes while it waits for a connection after its first endpoint has failed it. Guards against that
// endpoint's answer being replaced by one of the entry.
func TestFailureIsNotLostToAbandonedAttempt(t *testing.T) {
	is := is.New(t)
	const timeout = 120 * clock.Millis(1)
	route := &catalog.Route{Name: "r", Kind: catalog.Idempotent, Timeout: 5000, LatencyTarget: 2000, MaxAttempts: 3, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	var changes []fleet.Change
	for _, name := range []string{"i-1", "i-2"} {
		e, err := standin.StartEndpoint(name, func(*http.Request) standin.Reply { return standin.Reply{Status: http.StatusInternalServerError} })
		is.NoErr(err)
		defer e.Close()
		changes = append(changes, slotsOf(name, e.Address()))
	}
	view := viewOf(route, changes)
	c := clock.Boot()
	server := serverOn(c, view)
	server.cfg.Dialect.Call, server.cfg.Dialect.Head = replayCall, replayHead
	var dials atomic.Int32
	server.cfg.Pool = upstream.NewPoolWith(c, func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			<-ctx.Done()
		}
		return net.Dial(network, address)
	})
	w, now := httptest.NewRecorder(), c.Now()
	x := &exchange{
		server: server, view: view, w: w, r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: now, deadline: now + 5000,
		req: &Request{ID: "r-1", Method: http.MethodGet}, route: route, service: "app",
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout.Duration())
	defer cancel()
	is.NoErr(x.run(ctx))
	is.Equal(w.Code, http.StatusInternalServerError)
	is.Equal(dials.Load(), int32(2))
}
