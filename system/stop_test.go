package system

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Replaces all endpoints under load, one after the other, and then all of them again. Callers must
// not notice the planned stops.
func TestEndpointsReplacedTwiceUnderLoad(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 2, endpoints: 3, zones: 2, firstTokenDelay: 5, tokenGap: 2, tokenCount: 30}
	c := newCluster(t, s)
	var stop atomic.Bool
	var served, sent atomic.Int64
	var wg sync.WaitGroup
	defer func() {
		stop.Store(true)
		wg.Wait()
	}()
	for i := range 6 {
		wg.Go(func() {
			for !stop.Load() {
				// With the same question, all requests would go to the endpoint that has its prefix
				// cached.
				r := c.streamChatAbout(c.entries[i%2], nil, fmt.Sprint("question ", sent.Add(1)))
				if r.status != http.StatusOK || !r.complete || r.text != fullText(s) {
					t.Errorf("status %d, complete %v, run %q", r.status, r.complete, r.runState)
				}
				served.Add(1)
			}
		})
	}
	for range 2 {
		for _, p := range c.endpoints {
			c.eventually("requests still served", func() bool { return served.Swap(0) > 0 })
			p.stop(t)
			c.start(p)
			before := c.engines[p.vm.ID].Started()
			c.eventually("replacement serves", func() bool { return c.engines[p.vm.ID].Started() > before })
		}
	}
	stop.Store(true)
	wg.Wait()
	is.True(!t.Failed())
}

// Sends a second SIGTERM to an endpoint that is stopping during a stream. The process must end at
// once, and the stream must resume at another endpoint without a gap for the caller.
func TestSecondStopCancelsRunsAndStreamResumes(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 1, endpoints: 2, zones: 1, firstTokenDelay: 5, tokenGap: 20, tokenCount: 150}
	c := newCluster(t, s)
	answered := make(chan result, 1)
	go func() { answered <- c.streamChat(c.entries[0], nil) }()
	var busy *process
	c.eventually("stream under way", func() bool {
		for _, p := range c.endpoints {
			if c.engines[p.vm.ID].Running() == 1 {
				busy = p
			}
		}
		return busy != nil
	})
	c.eventually("process ended", func() bool {
		_ = busy.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-busy.done:
			return true
		default:
			return false
		}
	})
	r := <-answered
	is.Equal(r.status, http.StatusOK)
	is.True(r.complete)
	is.Equal(r.text, fullText(s))
	is.Equal(c.engines[busy.vm.ID].Cancelled(), 1)
}

// Stops all endpoints at once and starts them again. Requests in progress must complete, new ones
// must be refused as not run, and the restarted endpoints must serve.
func TestAllEndpointsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 1, endpoints: 3, zones: 2, firstTokenDelay: 5, tokenGap: 10, tokenCount: 60}
	c := newCluster(t, s)
	const callers = 6
	answers := make(chan result, callers)
	for range callers {
		go func() { answers <- c.streamChat(c.entries[0], nil) }()
	}
	c.eventually("streams under way", func() bool { return c.runningCount() == callers })
	var stops sync.WaitGroup
	for _, p := range c.endpoints {
		stops.Go(func() { p.stop(t) })
	}
	for range callers {
		r := <-answers
		is.Equal(r.status, http.StatusOK)
		is.Equal(r.text, fullText(s))
	}
	stops.Wait()
	r := c.streamChat(c.entries[0], nil)
	is.True(r.status != http.StatusOK)
	is.Equal(r.runState, "not-run")
	for _, p := range c.endpoints {
		c.start(p)
	}
	c.eventually("restarted endpoints serve", func() bool { return c.streamChat(c.entries[0], nil).complete })
}

// runningCount returns the number of requests running in all engines.
func (c *cluster) runningCount() (n int64) {
	for _, e := range c.engines {
		n += e.Running()
	}
	return n
}
