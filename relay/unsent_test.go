package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// An entry that has just started connects to endpoints that crashed long before. Guards against the crash being held against
// requests that no endpoint got, and against the blocks that all requests have.
func TestRequestsThatWereNotSentAreNoSuspects(t *testing.T) {
	const requests = 6
	route := &catalog.Route{Name: "r", Kind: catalog.Streaming, Timeout: 5000, LatencyTarget: 3000, MaxAttempts: 3, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	view := viewOf(route, []fleet.Change{slotsOf("i-0", "127.0.0.1:1"), slotsOf("i-1", "127.0.0.1:2")})
	c := clock.System()
	server := serverOn(c, view)
	var dials atomic.Int64
	connecting := make(chan struct{})
	server.cfg.Pool = upstream.NewPoolWith(c, func(context.Context, string, string) (net.Conn, error) {
		n := dials.Add(1)
		if n == requests {
			close(connecting)
		}
		<-connecting
		time.Sleep(time.Duration(n%requests) * 5 * time.Millisecond)
		return nil, syscall.ECONNREFUSED
	})
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			now := c.Now()
			x := &exchange{
				server: server, view: view, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x", nil), startedAt: now, deadline: now + 5000,
				req: &Request{ID: fmt.Sprint("r-", i), Method: http.MethodGet, Target: fmt.Sprint("/", i), Blocks: []placement.Block{{ID: "shared"}, {ID: fmt.Sprint("own-", i)}}}, route: route, service: "app",
			}
			_ = x.run(context.Background())
		})
	}
	all.Wait()
	suspected, quarantined, _ := server.quarantine.Counts()
	is.New(t).Equal([]int{suspected, quarantined}, []int{0, 0})
}
