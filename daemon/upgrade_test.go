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

// upgradeOrder asks for an upgrade of the pool.
func (w *town) upgradeOrder(seconds float64) {
	w.store.Put("keyed.op", "rollout/pool", fmt.Appendf(nil, `{"service":"pool","target":"v2","durationS":%g}`, seconds))
}

// load sends chats of many sessions through entries until the test ends. A
// session has a number of requests.
func (w *town) load(ctx context.Context, entries []*entryAt, requests int) {
	for n := range 40 {
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				entries[(n+i)%len(entries)].send("POST", "/chat/1", "x", session(fmt.Sprintf("s-%d-%d", n, i/requests)))
				time.Sleep(40 * time.Millisecond)
			}
		}()
	}
}

// A new version fails half of its requests. Entries judge it together by what
// each of them saw, stop using it and say so to the operator, long before the
// order's time is up, and it got few of the requests.
func TestBadVersionIsRolledBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	var old []*standin.Endpoint
	for i := range 3 {
		old = append(old, w.endpoint(fmt.Sprintf("i-old-%d", i), "pool", "v1", always(standin.Reply{Events: 2, Confidence: 95})))
	}
	w.publish()
	entries := []*entryAt{w.entry("entry-a"), w.entry("entry-b")}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.load(ctx, entries, 5)
	time.Sleep(500 * time.Millisecond)
	w.upgradeOrder(20)
	var mu sync.Mutex
	n := 0
	bad := w.endpoint("i-new", "pool", "v2", func(*http.Request) standin.Reply {
		mu.Lock()
		defer mu.Unlock()
		n++
		if n%2 == 0 {
			return standin.Reply{Status: 500, BreakAfter: -1}
		}
		return standin.Reply{Events: 2, Confidence: 95, BreakAfter: -1}
	})
	w.eventually(10*time.Second, "the version is rolled back", func() bool {
		return strings.Contains(string(w.store.Newest("keyed.status", "rollout/pool")), `"rolled_back"`)
	})
	before := len(bad.Runs())
	time.Sleep(500 * time.Millisecond)
	is.Equal(len(bad.Runs()), before)
	all := before
	for _, e := range old {
		all += len(e.Runs())
	}
	is.True(float64(before) < 0.2*float64(all)+30)
}

// A new version is good. Sessions keep the version that they had through the
// first half, then all move, and the operator is told when nothing runs on the
// old version any more.
func TestGoodVersionIsCompleted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	old := w.endpoint("i-old", "pool", "v1", always(standin.Reply{Events: 2, Confidence: 95}))
	w.publish()
	entries := []*entryAt{w.entry("entry-a"), w.entry("entry-b")}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w.load(ctx, entries, 100000)
	time.Sleep(500 * time.Millisecond)
	fresh := w.endpoint("i-new", "pool", "v2", always(standin.Reply{Events: 2, Confidence: 95}))
	begun := time.Now()
	w.upgradeOrder(6)
	w.eventually(8*time.Second, "the upgrade is completed", func() bool {
		return strings.Contains(string(w.store.Newest("keyed.status", "rollout/pool")), `"completed"`)
	})
	is.True(time.Since(begun) < 6*time.Second)
	for _, run := range fresh.Runs() {
		// All forty sessions were in use before the order.
		if run.At.Sub(begun) < 2800*time.Millisecond {
			t.Fatalf("a session moved %s after the order", run.At.Sub(begun))
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
