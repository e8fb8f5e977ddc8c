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

// An endpoint that names a rate in its answers got as much as before, from first attempts,
// further ones and resumptions of all entries.
func TestAdvertisedRateLimitIsKept(t *testing.T) {
	t.Parallel()
	const rate = 1.6
	w := newTown(t)
	limited := w.startTroubled(func(a *standin.Reply) { a.Rate = rate })
	w.publish()
	var entries []*entryAt
	for _, name := range []string{"entry-a", "entry-b", "entry-c", "entry-d"} {
		entries = append(entries, w.entry(name))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.trickle(ctx, entries, "GET", "/read/1")
	w.trickle(ctx, entries, "POST", "/chat/1")
	begun := time.Now()
	time.Sleep(8 * time.Second)
	for _, e := range limited {
		if n := mostRuns(e.Runs(), begun.Add(time.Second), 4*time.Second); float64(n) > 1.5*4*rate+5 {
			t.Errorf("%s ran %d requests in 4 s and takes %g a second", e.Name, n, rate)
		}
		if len(e.Runs()) == 0 {
			t.Errorf("%s got nothing at all", e.Name)
		}
	}
}

// The store is away, and an endpoint that leaves can say so in its answers only. Entries
// went on sending to it, by first attempts, further ones and resumptions, until it was gone.
func TestEndpointThatAdvertisesLeavingGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	w := newTown(t)
	begun := time.Now()
	leaves := func() bool { return time.Since(begun) > 2*time.Second }
	leaving := w.startTroubled(func(a *standin.Reply) { a.Leaving = leaves() })
	w.publish()
	entries := []*entryAt{w.entry("entry-a"), w.entry("entry-b")}
	for _, e := range entries {
		e.door.SetFault(standin.Silent)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.trickle(ctx, entries, "GET", "/read/1")
	w.trickle(ctx, entries, "POST", "/chat/1")
	time.Sleep(time.Until(begun.Add(4500 * time.Millisecond)))
	const drain = 500 * time.Millisecond
	for _, e := range leaving {
		late := 0
		for _, r := range e.Runs() {
			if r.At.Sub(begun) > 2*time.Second+drain {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%s ran %d requests more than %s after it had said that it leaves", e.Name, late, drain)
		}
		if len(e.Runs()) == 0 {
			t.Errorf("%s got nothing before", e.Name)
		}
	}
}

// All endpoints of a service refuse with a time to come back, and each further request of an
// entry found them again.
func TestAdvertisedPauseIsKept(t *testing.T) {
	t.Parallel()
	const pause = time.Second
	w := newTown(t)
	var mu sync.Mutex
	refused := make(map[int][]time.Time)
	for i := range 2 {
		w.endpoint(fmt.Sprintf("i-%d", i), "app", "v1", func(*http.Request) standin.Reply {
			mu.Lock()
			defer mu.Unlock()
			refused[i] = append(refused[i], time.Now())
			return standin.Reply{NotRun: true, RetryAfter: pause}
		})
	}
	w.publish()
	entry := w.entry("entry-a")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.trickle(ctx, []*entryAt{entry}, "GET", "/read/1")
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
			t.Errorf("i-%d got %d requests while it wanted none: %v after the first", i, n, after)
		}
	}
}

// withinPause counts the requests in the second half of a pause that an endpoint asked for
// with an earlier one.
func withinPause(refused []time.Time, pause time.Duration) (n int) {
	for i, at := range refused {
		if slices.ContainsFunc(refused[:i], func(told time.Time) bool { return at.Sub(told) > pause/2 && at.Sub(told) < pause }) {
			n++
		}
	}
	return n
}

// startTroubled starts three endpoints of each service, and returns the first of each, whose
// answers are changed. Streams break off and go on elsewhere, and answers are poor.
func (w *town) startTroubled(change func(a *standin.Reply)) (troubled []*standin.Endpoint) {
	for service, act := range map[string]standin.Reply{
		"app":  {BreakAfter: -1},
		"pool": {BreakAfter: 1, Events: 3, Confidence: 30},
	} {
		for i := range 3 {
			e := w.endpoint(fmt.Sprintf("i-%s-%d", service, i), service, "v1", func(*http.Request) standin.Reply {
				a := act
				if i == 0 {
					change(&a)
				}
				return a
			})
			if i == 0 {
				troubled = append(troubled, e)
			}
		}
	}
	return troubled
}

// trickle sends some hundred requests a second through entries until the test ends.
func (w *town) trickle(ctx context.Context, entries []*entryAt, method, path string) {
	for n := range 10 {
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				entries[(n+i)%len(entries)].send(method, path, "")
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}

// mostRuns is the most requests that began within a span after an instant.
func mostRuns(runs []standin.Run, after time.Time, span time.Duration) (most int) {
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.At.Sub(first.At) < span {
				n++
			}
		}
		if first.At.After(after) {
			most = max(most, n)
		}
	}
	return most
}
