package daemon

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// Streams come without length and chunks; a sixth of them breaks off inside an event, by a close or a
// reset. Guards against a stream that is passed on as whole although it is not, or not resumed.
func TestUnframedStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	const events, streams = 6, 300
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 1))
	respond := func(*http.Request) standin.Reply {
		mu.Lock()
		defer mu.Unlock()
		reply := standin.Reply{Events: events, EventDelay: 2 * time.Millisecond, BreakAfter: -1, Confidence: 95, Unframed: true, Reset: random.IntN(2) == 0}
		if random.IntN(6) == 0 {
			reply.BreakAfter = random.IntN(events)
		}
		return reply
	}
	for i := range 4 {
		ts.endpoint(fmt.Sprint("i-", i), "pool", "v1", respond)
	}
	ts.publish()
	e := ts.entry("entry-a")
	var callers sync.WaitGroup
	failed := 0
	for i := range streams {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			r := e.send("POST", "/chat/1", "x")
			if r.err != nil || r.status != http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				failed++
				t.Logf("status %d, error %v, %q", r.status, r.err, r.body)
				return
			}
			if !hasEvents(r.body, events) {
				t.Errorf("passed on as whole: %q", r.body)
			}
		})
	}
	callers.Wait()
	t.Logf("%d of %d streams failed", failed, streams)
	is.True(failed <= streams/20) // those whose three attempts all broke off
}
