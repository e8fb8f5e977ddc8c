package daemon

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// An endpoint that names a rate in its answers got as much as before, from first attempts,
// further ones and resumptions of all entries.
func TestEndpointGetsNoMoreThanTheRateItNames(t *testing.T) {
	t.Parallel()
	const rate = 1.6
	w := newTown(t)
	acts := map[string]standin.Act{
		"app":  {BreakAfter: -1},
		"pool": {BreakAfter: 1, Events: 3, Confidence: 30},
	}
	var limited []*standin.Endpoint
	for service, act := range acts {
		for i := range 3 {
			a := act
			if i == 0 {
				a.Rate = rate
			}
			e := w.endpoint(fmt.Sprintf("i-%s-%d", service, i), service, "v1", func(*http.Request) standin.Act { return a })
			if i == 0 {
				limited = append(limited, e)
			}
		}
	}
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
