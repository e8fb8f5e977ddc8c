package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

// idleCheckInterval is the interval between two checks of idle connections: short compared with
// the idle timeouts that operators set, which are several seconds.
const idleCheckInterval = 500 * clock.Millis(1)

// idleConns tracks the callers' connections that wait for a request. Operators can change
// the idle timeout while connections are open, which http.Server.IdleTimeout cannot follow.
type idleConns struct {
	clock clock.Clock
	mu    sync.Mutex
	// idleSince is when each idle connection became idle.
	idleSince map[net.Conn]clock.Millis
}

func newIdleConns(c clock.Clock) *idleConns {
	return &idleConns{clock: c, idleSince: make(map[net.Conn]clock.Millis)}
}

// Track records a connection's state; it is called as http.Server.ConnState.
func (i *idleConns) Track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.idleSince[c] = i.clock.Now()
	} else {
		delete(i.idleSince, c)
	}
}

// expire ends the wait of connections that have been idle for longer than timeout; 0 means
// no timeout. The pending read times out, and the server closes the connection. A request
// in progress is not interrupted: it made its connection active first, which removed the
// connection from idleSince.
func (i *idleConns) expire(timeout clock.Millis) (expired int) {
	if timeout <= 0 {
		return 0
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.Now()
	for c, since := range i.idleSince {
		if now-since > timeout && c.SetReadDeadline(time.Unix(1, 0)) == nil {
			delete(i.idleSince, c)
			expired++
		}
	}
	return expired
}

// run expires connections until the context ends.
func (i *idleConns) run(ctx context.Context, timeout func() clock.Millis) {
	for clock.Pause(ctx, idleCheckInterval) {
		i.expire(timeout())
	}
}
