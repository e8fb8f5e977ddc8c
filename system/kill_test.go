package system

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// A VM of an endpoint vanishes while answers stream from it. Callers must still
// get whole answers: what had not begun runs elsewhere, what had begun resumes
// after the last delivered piece, and each request has one bill.
func TestKilledEndpointLosesNoRepeatableRequest(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 2, endpoints: 4, zones: 2, first: 5, gap: 4, tokens: 20}
	c := newCluster(t, s)
	const callers, each = 8, 12
	var served atomic.Int64
	results := make(chan result, callers*each)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for range each {
				results <- c.ask(c.entries[i%2], nil)
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
		is.True(r.whole)
		is.Equal(r.text, wholeText(s)) // whole, in order, nothing twice
		bills++
	}
	c.eventually("one bill a request", func() bool { return len(c.bills()) == bills })
}

// An entry's VM vanishes under load. The balancer's clients call again at the
// other entry with the same idempotency key; every caller ends with a whole
// answer.
func TestKilledEntryLosesNoKeyedRequest(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 2, endpoints: 4, zones: 2, first: 5, gap: 4, tokens: 20}
	c := newCluster(t, s)
	const callers = 16
	var begun atomic.Int64
	results := make(chan result, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			h := http.Header{"Idempotency-Key": {"key-" + string(rune('a'+i))}}
			begun.Add(1)
			r := c.ask(c.entries[i%2], h)
			if !r.whole {
				r = c.ask(c.entries[1], h)
			}
			results <- r
		})
	}
	c.eventually("load under way", func() bool { return begun.Load() == callers })
	c.entries[0].kill()
	wg.Wait()
	close(results)
	for r := range results {
		is.Equal(r.status, http.StatusOK)
		is.True(r.whole)
		is.Equal(r.text, wholeText(s))
	}
}

// Operators stop an entry and an endpoint in the middle of long streams. A
// planned stop cuts no request: each stream ends whole before its process does.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 2, endpoints: 3, zones: 2, first: 20, gap: 10, tokens: 60}
	c := newCluster(t, s)
	const callers = 9
	results := make(chan result, callers)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() { results <- c.ask(c.entries[0], nil) })
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
		is.True(r.whole)
		is.Equal(r.text, wholeText(s))
	}
	c.eventually("one bill a request", func() bool { return len(c.bills()) == callers })
}

// Operators take a zone out while callers keep asking. After the change is in
// force no endpoint of that zone gets new work, and no caller is refused.
func TestZoneTakenOutReceivesNoNewWork(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 2, endpoints: 4, zones: 2, first: 1, gap: 1, tokens: 4}
	c := newCluster(t, s)
	is.True(c.ask(c.entries[0], nil).whole)
	c.publish("id=\"out\"\nauthor=\"test\"\nkind=\"patch\"\nbase=0\n[tables.zones.zone-a]\nstate=\"out\"\n")
	inZone := func() (n int) {
		for i, p := range c.endpoints {
			if zone(i, s) == "zone-a" {
				n += c.engines[p.vm.ID].Started()
			}
		}
		return n
	}
	quiet := 0
	c.eventually("zone without new work", func() bool {
		before := inZone()
		for i := range 8 {
			if !c.ask(c.entries[i%2], nil).whole {
				t.Error("a caller was refused while the other zone was healthy")
			}
		}
		if inZone() > before {
			quiet = 0
			return false
		}
		quiet++
		return quiet == 5
	})
}

// A fee call is posted, and the endpoint's VM vanishes before the caller hears
// of it. The caller must not be told "not run" unless the service never saw the
// call, and the service must not see it twice.
func TestUnkeyedPostRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	s := shape{entries: 1, endpoints: 1, plain: 2, zones: 2, first: 1, gap: 1, tokens: 2}
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
