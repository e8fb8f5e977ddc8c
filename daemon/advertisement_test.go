package daemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// An endpoint advertises a rate limit in its answers. All entries together must keep to it;
// the failure was that first attempts, retries and resumptions ignored it.
func TestAdvertisedRateLimitIsKept(t *testing.T) {
	t.Parallel()
	const rate = 1.6
	ts := newTestSite(t)
	limited := ts.startModified(func(reply *standin.Reply) { reply.Rate = rate })
	ts.publish()
	var entries []*testEntry
	for _, name := range []string{"entry-a", "entry-b", "entry-c", "entry-d"} {
		entries = append(entries, ts.entry(name))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ts.sendSteadily(ctx, entries, "GET", "/read/1")
	ts.sendSteadily(ctx, entries, "POST", "/chat/1")
	startedAt := time.Now()
	time.Sleep(8 * time.Second)
	for _, e := range limited {
		if n := maxRuns(e.Runs(), startedAt.Add(time.Second), 4*time.Second); float64(n) > 1.5*4*rate+5 {
			t.Errorf("%s ran %d requests in 4 s, its rate limit is %g per second", e.Name, n, rate)
		}
		if len(e.Runs()) == 0 {
			t.Errorf("%s got no requests at all", e.Name)
		}
	}
}

// The store is unreachable, so a leaving endpoint can advertise only in its answers that it is
// leaving. The failure was that entries kept sending it first attempts, retries and resumptions
// until it stopped.
func TestEndpointThatAdvertisesLeavingGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	ts := newTestSite(t)
	startedAt := time.Now()
	leaves := func() bool { return time.Since(startedAt) > 2*time.Second }
	leaving := ts.startModified(func(reply *standin.Reply) { reply.Leaving = leaves() })
	ts.publish()
	entries := []*testEntry{ts.entry("entry-a"), ts.entry("entry-b")}
	for _, e := range entries {
		e.storeHandler.SetFault(standin.Silent)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ts.sendSteadily(ctx, entries, "GET", "/read/1")
	ts.sendSteadily(ctx, entries, "POST", "/chat/1")
	time.Sleep(time.Until(startedAt.Add(4500 * time.Millisecond)))
	const drain = 500 * time.Millisecond
	for _, e := range leaving {
		late := 0
		for _, r := range e.Runs() {
			if r.At.Sub(startedAt) > 2*time.Second+drain {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%s ran %d requests more than %s after it had advertised that it leaves", e.Name, late, drain)
		}
		if len(e.Runs()) == 0 {
			t.Errorf("%s got no requests before it left", e.Name)
		}
	}
}

// All endpoints of a service refuse requests and advertise a pause with Retry-After. The failure
// was that an entry ignored the pause and still sent them every further request.
func TestAdvertisedPauseIsKept(t *testing.T) {
	t.Parallel()
	const pause = time.Second
	ts := newTestSite(t)
	var mu sync.Mutex
	refused := make(map[int][]time.Time)
	for i := range 2 {
		ts.endpoint(fmt.Sprintf("i-%d", i), "app", "v1", func(*http.Request) standin.Reply {
			mu.Lock()
			defer mu.Unlock()
			refused[i] = append(refused[i], time.Now())
			return standin.Reply{NotRun: true, RetryAfter: pause}
		})
	}
	ts.publish()
	entry := ts.entry("entry-a")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ts.sendSteadily(ctx, []*testEntry{entry}, "GET", "/read/1")
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for i, all := range refused {
		if last := all[len(all)-1]; last.Sub(all[0]) < pause {
			t.Errorf("i-%d is not tried again after its pause", i)
		}
		if n := withinPause(all, pause); n > 0 {
			var after []time.Duration
			for _, at := range all {
				after = append(after, at.Sub(all[0]))
			}
			t.Errorf("i-%d got %d requests during its pause: %v after the first", i, n, after)
		}
	}
}

// withinPause counts the refused requests that arrived in the second half of a pause that the
// endpoint had advertised with an earlier refusal. The first half is not counted, because requests
// that were in transit at the refusal may arrive then.
func withinPause(refused []time.Time, pause time.Duration) (n int) {
	for i, at := range refused {
		if slices.ContainsFunc(refused[:i], func(refusedAt time.Time) bool { return at.Sub(refusedAt) > pause/2 && at.Sub(refusedAt) < pause }) {
			n++
		}
	}
	return n
}

// startModified starts three endpoints of each service and returns the first of each; change
// modifies the replies of these first endpoints. Streams break after an event, so that entries
// resume them at another endpoint, and answers have low confidence, so that they escalate.
func (ts *testSite) startModified(change func(reply *standin.Reply)) (modified []*standin.Endpoint) {
	for service, base := range map[string]standin.Reply{
		"app":  {BreakAfter: -1},
		"pool": {BreakAfter: 1, Events: 3, Confidence: 30},
	} {
		for i := range 3 {
			e := ts.endpoint(fmt.Sprintf("i-%s-%d", service, i), service, "v1", func(*http.Request) standin.Reply {
				reply := base
				if i == 0 {
					change(&reply)
				}
				return reply
			})
			if i == 0 {
				modified = append(modified, e)
			}
		}
	}
	return modified
}

// sendSteadily sends about 100 requests per second through entries until ctx ends.
func (ts *testSite) sendSteadily(ctx context.Context, entries []*testEntry, method, path string) {
	for n := range 10 {
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				entries[(n+i)%len(entries)].send(method, path, "")
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}

// maxRuns returns the largest number of runs that started within a window of the given length, of
// all windows that begin with a run later than the time after.
func maxRuns(runs []standin.Run, after time.Time, window time.Duration) (highest int) {
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.At.Sub(first.At) < window {
				n++
			}
		}
		if first.At.After(after) {
			highest = max(highest, n)
		}
	}
	return highest
}
