package daemon

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// orderUpgrade orders an upgrade of the service "pool" to version v2.
func (ts *testSite) orderUpgrade(seconds float64) {
	ts.store.Put("keyed.op", "rollout/pool", fmt.Appendf(nil, `{"service":"pool","target":"v2","durationS":%g}`, seconds))
}

// sendChats sends chats of 40 sessions at a time through entries until ctx ends.
// Each session has the given number of requests.
func (ts *testSite) sendChats(ctx context.Context, entries []*testEntry, requests int) {
	for n := range 40 {
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				entries[(n+i)%len(entries)].send("POST", "/chat/1", "x", session(fmt.Sprintf("s-%d-%d", n, i/requests)))
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
}

// arrivalTime is how long a request may be on its way to an endpoint on a busy machine.
const arrivalTime = 100 * time.Millisecond

// A new version fails half of its requests. The entries must judge it by their combined counts,
// stop using it and report the rollback to the operator, long before the duration of the upgrade
// order has passed and after few requests.
func TestBadVersionIsRolledBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	var old []*standin.Endpoint
	for i := range 3 {
		old = append(old, ts.endpoint(fmt.Sprintf("i-old-%d", i), "pool", "v1", always(standin.Reply{Events: 2, Confidence: 95})))
	}
	ts.publish()
	entries := []*testEntry{ts.entry("entry-a"), ts.entry("entry-b")}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ts.sendChats(ctx, entries, 5)
	time.Sleep(500 * time.Millisecond)
	ts.orderUpgrade(20)
	var mu sync.Mutex
	n := 0
	bad := ts.endpoint("i-new", "pool", "v2", func(*http.Request) standin.Reply {
		mu.Lock()
		defer mu.Unlock()
		n++
		if n%2 == 0 {
			return standin.Reply{Status: 500, BreakAfter: -1}
		}
		return standin.Reply{Events: 2, Confidence: 95, BreakAfter: -1}
	})
	ts.eventually(10*time.Second, "the version is rolled back", func() bool {
		return strings.Contains(string(ts.store.Newest("keyed.status", "rollout/pool")), `"rolled_back"`)
	})
	ts.eventually(time.Second, "all entries know the verdict", func() bool {
		for _, e := range entries {
			if !strings.Contains(e.log.String(), "phase=rolled-back") {
				return false
			}
		}
		return true
	})
	time.Sleep(arrivalTime)
	before := len(bad.Runs())
	time.Sleep(500 * time.Millisecond)
	is.Equal(len(bad.Runs()), before)
	all := before
	for _, e := range old {
		all += len(e.Runs())
	}
	is.True(float64(before) < 0.2*float64(all)+30)
}

// A new version is good. Sessions must keep their version during the first half of the upgrade
// order's duration, then all change to the new one, and completion must be reported to the operator
// once nothing runs on the old version any more.
func TestGoodVersionIsCompleted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	old := ts.endpoint("i-old", "pool", "v1", always(standin.Reply{Events: 2, Confidence: 95}))
	ts.publish()
	entries := []*testEntry{ts.entry("entry-a"), ts.entry("entry-b")}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ts.sendChats(ctx, entries, 100000)
	time.Sleep(500 * time.Millisecond)
	updated := ts.endpoint("i-new", "pool", "v2", always(standin.Reply{Events: 2, Confidence: 95}))
	orderedAt := time.Now()
	ts.orderUpgrade(6)
	ts.eventually(8*time.Second, "the upgrade is completed", func() bool {
		return strings.Contains(string(ts.store.Newest("keyed.status", "rollout/pool")), `"completed"`)
	})
	is.True(time.Since(orderedAt) < 6*time.Second)
	for _, run := range updated.Runs() {
		// All forty sessions ran on v1 before the upgrade was ordered, and must stay there during
		// this time.
		if run.At.Sub(orderedAt) < 2800*time.Millisecond {
			t.Fatalf("a session changed its version %s after the order", run.At.Sub(orderedAt))
		}
	}
	done := time.Now()
	time.Sleep(500 * time.Millisecond)
	for _, run := range old.Runs() {
		if run.At.After(done) {
			t.Fatal("the old version got a request after the upgrade was completed")
		}
	}
}
