package system

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Kills an endpoint while answers stream from it. Callers must still get complete answers: requests
// that had not started run at another endpoint, and started ones resume there after the last
// delivered piece. Each request must have one bill.
func TestKilledEndpointLosesNoRepeatableRequest(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 2, endpoints: 4, zones: 2, firstTokenDelay: 5, tokenGap: 4, tokenCount: 20}
	c := newCluster(t, s)
	const callers, each = 8, 12
	var served atomic.Int64
	results := make(chan result, callers*each)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for range each {
				results <- c.streamChat(c.entries[i%2], nil)
				served.Add(1)
			}
		})
	}
	c.eventually("load under way", func() bool { return served.Load() >= callers })
	c.endpoints[0].kill()
	wg.Wait()
	close(results)
	bills := 0
	for r := range results {
		is.Equal(r.status, http.StatusOK)
		is.True(r.complete)
		is.Equal(r.text, fullText(s)) // complete, in order, nothing repeated
		bills++
	}
	c.eventually("one bill per request", func() bool { return len(c.bills()) == bills })
}

// Kills an entry under load. Callers retry at the other entry with the same
// idempotency key, and each must get a complete answer.
func TestKilledEntryLosesNoKeyedRequest(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 2, endpoints: 4, zones: 2, firstTokenDelay: 5, tokenGap: 4, tokenCount: 20}
	c := newCluster(t, s)
	const callers = 16
	var started atomic.Int64
	results := make(chan result, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			h := http.Header{"Idempotency-Key": {"key-" + string(rune('a'+i))}}
			started.Add(1)
			r := c.streamChat(c.entries[i%2], h)
			if !r.complete {
				r = c.streamChat(c.entries[1], h)
			}
			results <- r
		})
	}
	c.eventually("load under way", func() bool { return started.Load() == callers })
	c.entries[0].kill()
	wg.Wait()
	close(results)
	for r := range results {
		is.Equal(r.status, http.StatusOK)
		is.True(r.complete)
		is.Equal(r.text, fullText(s))
	}
}

// Stops an entry and an endpoint during long streams. A process must not end before the streams
// through it have been delivered completely.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 2, endpoints: 3, zones: 2, firstTokenDelay: 20, tokenGap: 10, tokenCount: 60}
	c := newCluster(t, s)
	const callers = 9
	results := make(chan result, callers)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() { results <- c.streamChat(c.entries[0], nil) })
	}
	c.eventually("streams under way", func() bool {
		n := int64(0)
		for _, e := range c.engines {
			n += e.Running()
		}
		return n == callers
	})
	var stops sync.WaitGroup
	stops.Go(func() { c.endpoints[0].stop(t) })
	stops.Go(func() { c.entries[0].stop(t) })
	wg.Wait()
	stops.Wait()
	close(results)
	for r := range results {
		is.Equal(r.status, http.StatusOK)
		is.True(r.complete)
		is.Equal(r.text, fullText(s))
	}
	c.eventually("one bill per request", func() bool { return len(c.bills()) == callers })
}

// Takes a zone out of service under load. Once the change is in force, no endpoint of the zone may
// get new work. No caller may be refused.
func TestZoneTakenOutReceivesNoNewWork(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 2, endpoints: 4, zones: 2, firstTokenDelay: 1, tokenGap: 1, tokenCount: 4}
	c := newCluster(t, s)
	is.True(c.streamChat(c.entries[0], nil).complete)
	c.publish("id=\"out\"\nauthor=\"test\"\nkind=\"patch\"\nbase=0\n[tables.zones.zone-a]\nstate=\"out\"\n")
	inZone := func() (n int) {
		for i, p := range c.endpoints {
			if zoneName(i, s) == "zone-a" {
				n += c.engines[p.vm.ID].Started()
			}
		}
		return n
	}
	quietRounds := 0
	c.eventually("no new work in the zone", func() bool {
		before := inZone()
		for i := range 8 {
			if !c.streamChat(c.entries[i%2], nil).complete {
				t.Error("a caller was refused while the other zone was healthy")
			}
		}
		if inZone() > before {
			quietRounds = 0
			return false
		}
		quietRounds++
		return quietRounds == 5
	})
}

// Kills an endpoint during service calls without an idempotency key. The service must receive each
// call at most once, and must not receive a call that is reported as "not-run".
func TestUnkeyedPostRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	s := clusterSpec{entries: 1, endpoints: 1, plain: 2, zones: 2, firstTokenDelay: 1, tokenGap: 1, tokenCount: 2}
	c := newCluster(t, s)
	var wg sync.WaitGroup
	paths := []string{"fee-a", "fee-b", "fee-c", "fee-d", "fee-e", "fee-f"}
	type outcome struct {
		status int
		run    string
	}
	outcomes := make([]outcome, len(paths))
	for i, path := range paths {
		wg.Go(func() {
			status, h, _ := c.call(t.Context(), c.entries[0], http.MethodPost, "/v1/services/records/"+path, "renew", nil)
			outcomes[i] = outcome{status, h.Get("Parsleydeal-Run")}
		})
	}
	c.endpoints[1].kill()
	wg.Wait()
	for i, path := range paths {
		runs := 0
		for _, p := range c.plain {
			runs += p.Calls(http.MethodPost, "/"+path)
		}
		is.True(runs <= 1)
		if outcomes[i].run == "not-run" {
			is.Equal(runs, 0)
		}
	}
}
