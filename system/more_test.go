package system

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/standin"
)

// Guards against an engine that goes on working for callers that sent more bytes behind their request before they left.
func TestNothingRunsOnForCallersThatSentMore(t *testing.T) {
	const callers, behindAfter, leaveAfter, knownAfter = 20, 50 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond
	const body = `{"model":"quick","stream":true,"messages":[{"role":"user","content":"hello"}]}`
	for name, behind := range map[string]string{"nothing": "", "empty line": "\r\n", "next request": "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, clusterSpec{entries: 1, endpoints: 2, zones: 2, firstTokenDelay: 1, tokenGap: 1, tokenCount: 3})
			is.Equal(c.streamChat(c.entries[0], nil).status, http.StatusOK)
			engines := []*standin.Engine{c.engines["endpoint-0"], c.engines["endpoint-1"]}
			running := func() (n int64) {
				for _, e := range engines {
					n += e.Running()
				}
				return n
			}
			for _, e := range engines {
				e.SetFaults(standin.EngineFaults{Stall: true})
			}
			var conns []net.Conn
			for range callers {
				conn, err := net.Dial("tcp4", c.entries[0].callersAddress)
				is.NoErr(err)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", callerKey, len(body), body)
				is.NoErr(err)
				conns = append(conns, conn)
			}
			time.Sleep(behindAfter)
			for _, conn := range conns {
				_, err := fmt.Fprint(conn, behind)
				is.NoErr(err)
			}
			time.Sleep(leaveAfter - behindAfter)
			is.True(running() > 0)
			for _, conn := range conns {
				is.NoErr(conn.Close())
			}
			time.Sleep(knownAfter)
			is.Equal(running(), int64(0))
		})
	}
}
