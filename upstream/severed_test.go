package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
)

// All open connections to an endpoint go silent for good, and new ones work. Guards against more than one request that
// waits in vain for each endpoint.
func TestOneSilentConnectionTellsOfAllOlderOnes(t *testing.T) {
	const connections = 6
	is := is.New(t)
	var severed atomic.Bool
	all := make(chan struct{})
	var together sync.WaitGroup
	together.Add(connections)
	go func() { together.Wait(); close(all) }()
	address := serveConns(t, func(c net.Conn, r *bufio.Reader) {
		isOld := !severed.Load()
		for first := true; ; first = false {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if isOld && first {
				together.Done()
				<-all
			}
			if !isOld || !severed.Load() {
				_, _ = io.WriteString(c, matchingAnswer)
			}
		}
	})
	p := NewPool(clock.System())
	call := callTo(address)
	call.MaxIdle = connections
	get := func() error {
		a, err := p.Do(context.Background(), call)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, a)
		a.Close()
		return err
	}
	var warm sync.WaitGroup
	for range connections {
		warm.Go(func() { _ = get() })
	}
	warm.Wait()
	severed.Store(true)
	is.True(errorx.IsOfType(get(), ErrSilent))
	for range connections {
		is.NoErr(get())
	}
}
