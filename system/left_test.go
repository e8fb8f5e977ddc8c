package system

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/standin"
)

// Callers send whole requests to a paused entry and leave before it goes on. Guards against an entry that sends their
// requests to endpoints.
func TestNothingRunsForCallersThatLeftPausedEntry(t *testing.T) {
	const callers, leaveAfter, resumeAfter = 40, 150 * time.Millisecond, 600 * time.Millisecond
	is := is.New(t)
	c := newCluster(t, clusterSpec{entries: 1, endpoints: 2, zones: 2, firstTokenDelay: 1, tokenGap: 1, tokenCount: 3})
	for range 4 {
		is.Equal(c.streamChat(c.entries[0], nil).status, http.StatusOK)
	}
	started := func() int {
		return int(c.engines["endpoint-0"].Started() + c.engines["endpoint-1"].Started())
	}
	before := started()
	paused := c.entries[0].cmd.Process
	is.NoErr(paused.Signal(syscall.SIGSTOP))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(standin.WaitStopped(ctx, paused.Pid))
	const body = `{"model":"quick","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	var all sync.WaitGroup
	for range callers {
		conn, err := net.Dial("tcp4", c.entries[0].callersAddress)
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", callerKey, len(body), body)
		is.NoErr(err)
		all.Go(func() { time.Sleep(leaveAfter); _ = conn.Close() })
	}
	all.Wait()
	time.Sleep(resumeAfter)
	is.NoErr(paused.Signal(syscall.SIGCONT))
	time.Sleep(time.Second)
	is.Equal(started()-before, 0)
	is.Equal(c.streamChat(c.entries[0], nil).status, http.StatusOK)
}
