package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// Connecting to a sound endpoint times out because the entry itself does not run. Guards against an entry that holds its own
// delay against endpoints, and that no longer avoids one that is silent.
func TestOwnDelayIsNotHeldAgainstEndpoints(t *testing.T) {
	for _, c := range []struct {
		name string
		took clock.Millis
		held bool
	}{{"in-time", 300, true}, {"much-later", 1500, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var now atomic.Int64
			now.Store(1000)
			clk := clock.New(func() clock.Millis { return clock.Millis(now.Load()) })
			route := &catalog.Route{Name: "r", Kind: catalog.Idempotent, Timeout: 60 * clock.Second, MaxAttempts: 2, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
			view := viewOf(route, []fleet.Change{slotsOf("i-0", "127.0.0.1:1")})
			server := serverOn(clk, view)
			dials := 0
			server.cfg.Pool = upstream.NewPoolWith(clk, func(context.Context, string, string) (net.Conn, error) {
				dials++
				now.Add(int64(c.took))
				return nil, os.ErrDeadlineExceeded
			})
			x := &exchange{
				server: server, view: view, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: 1000, deadline: 60 * clock.Second,
				req: &Request{ID: "r-1", Method: http.MethodGet}, route: route, service: "app",
			}
			is.True(x.run(context.Background()) != nil)
			is.True(dials > 1)
			q := x.query(x.plan())
			q.Avoid = nil
			is.Equal(server.selector.HasCapacity(view.Fleet(), q), !c.held)
		})
	}
}
