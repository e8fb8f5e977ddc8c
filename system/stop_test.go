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

// Operators replace all endpoints under load, one after the other and then all
// over again. Every stop is a planned one, so no caller may see any of it.
func TestEndpointsReplacedTwiceUnderLoad(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 2, endpoints: 3, zones: 2, first: 5, gap: 2, tokens: 30}
	c := newCluster(t, s)
	var stop atomic.Bool
	var served, asked atomic.Int64
	var wg sync.WaitGroup
	defer func() {
		stop.Store(true)
		wg.Wait()
	}()
	for i := range 6 {
		wg.Go(func() {
			for !stop.Load() {
				// Each question is another one, so that every endpoint gets some.
				r := c.askAbout(c.entries[i%2], nil, fmt.Sprint("question ", asked.Add(1)))
				if r.status != http.StatusOK || !r.whole || r.text != wholeText(s) {
					t.Errorf("status %d, whole %v, run %q", r.status, r.whole, r.run)
				}
				served.Add(1)
			}
		})
	}
	for range 2 {
		for _, p := range c.endpoints {
			c.eventually("load goes on", func() bool { return served.Swap(0) > 0 })
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

// An operator loses patience and stops an endpoint a second time while a stream
// goes on. The process ends at once, and the caller's stream goes on elsewhere.
func TestSecondStopCancelsRunsAndStreamResumes(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 1, endpoints: 2, zones: 1, first: 5, gap: 20, tokens: 150}
	c := newCluster(t, s)
	answered := make(chan result, 1)
	go func() { answered <- c.ask(c.entries[0], nil) }()
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
	is.True(r.whole)
	is.Equal(r.text, wholeText(s))
	is.Equal(c.engines[busy.vm.ID].Cancelled(), 1)
}

// Operators replace all endpoints at once. What is under way ends whole; what
// comes meanwhile is told that it did not run, and when to come back; and the new
// endpoints serve.
func TestAllEndpointsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 1, endpoints: 3, zones: 2, first: 5, gap: 10, tokens: 60}
	c := newCluster(t, s)
	const callers = 6
	answers := make(chan result, callers)
	for range callers {
		go func() { answers <- c.ask(c.entries[0], nil) }()
	}
	c.eventually("streams under way", func() bool { return c.running() == callers })
	var stops sync.WaitGroup
	for _, p := range c.endpoints {
		stops.Go(func() { p.stop(t) })
	}
	for range callers {
		r := <-answers
		is.Equal(r.status, http.StatusOK)
		is.Equal(r.text, wholeText(s))
	}
	stops.Wait()
	r := c.ask(c.entries[0], nil)
	is.True(r.status != http.StatusOK)
	is.Equal(r.run, "not-run")
	for _, p := range c.endpoints {
		c.start(p)
	}
	c.eventually("new endpoints serve", func() bool { return c.ask(c.entries[0], nil).whole })
}

// running returns how many requests all engines hold.
func (c *cluster) running() (n int64) {
	for _, e := range c.engines {
		n += e.Running()
	}
	return n
}
