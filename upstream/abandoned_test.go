package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Nobody waits for the answer any more once there is a connection. Guards against a request that is sent all the same,
// and against a new connection for each such request.
func TestAbandonedCallIsNotSent(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int32
	call := callTo(serveConns(t, func(c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			arrived.Add(1)
			_, _ = io.WriteString(c, matchingAnswer)
		}
	}))
	p := NewPool(clock.System())
	abandoned := call
	abandoned.Abandoned = func() bool { return true }
	_, err := p.Do(context.Background(), abandoned)
	is.True(errorx.IsOfType(err, ErrAbandoned))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		_, err = p.Do(ended, call)
		is.True(errorx.IsOfType(err, ErrNotSent))
	}
	a, err := p.Do(context.Background(), call)
	is.NoErr(err)
	a.Close()
	is.Equal(arrived.Load(), int32(1))
	is.Equal(p.TotalConns(), int64(1))
}
