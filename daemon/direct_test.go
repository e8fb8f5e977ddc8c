package daemon

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// A caller sends one request of each kind and claims to be another organisation.
// It must get the endpoint's answer, and the endpoint must see the organisation
// that the key belongs to and never the key.
func TestRequestsOfEachKind(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	app := ts.endpoint("i-app", "app", "v1", nil)
	pool := ts.endpoint("i-pool", "pool", "v1", always(standin.Reply{Events: 3, Confidence: 90}))
	ts.publish()
	e := ts.entry("entry-a")

	r := e.send("POST", "/fee/x?y=%2F", "paid", func(r *http.Request) {
		r.Header.Set("Tenant-Id", "org-2")
		r.Header.Set("Expect-Replica", "i-other")
	})
	is.NoErr(r.err)
	is.Equal(r.status, 200)
	is.True(strings.HasPrefix(r.header.Get("Response-Signature"), "sig.i-app"))
	run := app.Runs()[0]
	is.Equal(run.Organisation, "org-1")
	is.Equal(run.Path, "/fee/x?y=%2F")
	is.Equal(run.Body, "paid")
	is.Equal(run.Header.Get("Api-Key"), "")

	r = e.send("POST", "/chat/1", "hello")
	is.NoErr(r.err)
	is.True(hasEvents(r.body, 3))
	is.Equal(pool.Runs()[0].Model, "small")

	is.Equal(e.send("GET", "/none/1", "").status, 404)
	is.Equal(e.send("GET", "/read/1", "", func(r *http.Request) { r.Header.Set("Api-Key", "wrong") }).status, 401)
	is.Equal(e.send("GET", "/read/1", "", func(r *http.Request) { r.Header.Del("Request-Id") }).status, 400)
	is.Equal(e.send("POST", "/fee/1", strings.Repeat("x", 10001)).status, 413)
	is.Equal(e.send("GET", "/read/1", "", func(r *http.Request) { r.Header.Set("X", strings.Repeat("x", 5000)) }).status, 431)
	is.Equal(len(app.Runs()), 1)
}

// The small model reports low confidence in an answer. The caller must get only the
// large model's answer; a confident answer of the small model is passed on.
func TestLowConfidenceEscalatesToLargerModel(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	respond := func(r *http.Request) standin.Reply {
		reply := standin.Reply{Events: 2, BreakAfter: -1, Confidence: 95}
		if r.Header.Get("Model") == "small" && strings.HasSuffix(r.URL.Path, "hard") {
			reply.Confidence = 10
		}
		return reply
	}
	ts.endpoint("i-1", "pool", "v1", respond)
	ts.endpoint("i-2", "pool", "v1", respond)
	ts.publish()
	e := ts.entry("entry-a")
	is.True(hasEvents(e.send("POST", "/chat/easy", "x").body, 2))
	is.True(hasEvents(e.send("POST", "/chat/hard", "x").body, 2))
	models := make(map[string]int)
	for _, endpoint := range ts.endpoints {
		for _, run := range endpoint.Runs() {
			models[run.Path+" "+run.Model]++
		}
	}
	is.Equal(models, map[string]int{"/chat/easy small": 1, "/chat/hard small": 1, "/chat/hard large": 1})
}

// An endpoint fails in the middle of an event. The stream must resume at another
// endpoint after the last complete event, so that the caller sees each event once.
func TestBrokenStreamResumesAtAnotherEndpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	var mu sync.Mutex
	broken := false
	respond := func(*http.Request) standin.Reply {
		mu.Lock()
		defer mu.Unlock()
		reply := standin.Reply{Events: 6, BreakAfter: -1, Confidence: 95}
		if !broken {
			broken = true
			reply.BreakAfter = 3
		}
		return reply
	}
	ts.endpoint("i-1", "pool", "v1", respond)
	ts.endpoint("i-2", "pool", "v1", respond)
	ts.publish()
	r := ts.entry("entry-a").send("POST", "/chat/1", "x")
	is.NoErr(r.err)
	is.True(hasEvents(r.body, 6))
}

// A stream breaks at every endpoint. The caller must be able to see that its answer
// is incomplete: the connection closes without the end marker of the body.
func TestUnresumableStreamBreaksConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	for i := range 3 {
		ts.endpoint(fmt.Sprintf("i-%d", i), "pool", "v1", func(*http.Request) standin.Reply {
			return standin.Reply{Events: 9, BreakAfter: 2, Confidence: 95}
		})
	}
	ts.publish()
	r := ts.entry("entry-a").send("POST", "/chat/1", "x")
	is.True(r.err != nil)
}

// On a kept-alive connection an endpoint first sends the answer to another request,
// or an extra answer after the right one, or one without a length. No caller may get
// the answer to another request.
func TestMisdirectedAnswersAreDiscarded(t *testing.T) {
	t.Parallel()
	for name, reply := range map[string]standin.Reply{"other answer first": {OtherAnswerFirst: true}, "extra answer": {ExtraAnswer: true}, "no length": {NoLength: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ts := newTestSite(t)
			ts.endpoint("i-app", "app", "v1", always(reply))
			ts.publish()
			e := ts.entry("entry-a")
			for range 4 {
				req := e.request("GET", "/read/1", "")
				id := req.Header.Get("Request-Id")
				r := e.do(req)
				is.NoErr(r.err)
				is.Equal(r.status, 200)
				is.Equal(r.body, "answer of "+id)
			}
		})
	}
}

// An endpoint runs a non-idempotent request and its answer is lost. The caller must
// get a status that does not promise that the request did not run, and the request
// must not run a second time.
func TestLostNonIdempotentAnswerIsNotRetried(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	one := ts.endpoint("i-1", "app", "v1", always(standin.Reply{DropAnswer: true}))
	two := ts.endpoint("i-2", "app", "v1", always(standin.Reply{DropAnswer: true}))
	ts.publish()
	r := ts.entry("entry-a").send("POST", "/fee/1", "x")
	is.NoErr(r.err)
	is.Equal(r.status, 502)
	is.Equal(r.header.Get("Retry-After"), "")
	is.Equal(len(one.Runs())+len(two.Runs()), 1)
}

// All endpoints refuse a non-idempotent request without running it. The caller must
// get the refusal at once, with the time after which to retry.
func TestNotRunRefusalIsReturnedAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	ts.endpoint("i-1", "app", "v1", always(standin.Reply{NotRun: true}))
	ts.endpoint("i-2", "app", "v1", always(standin.Reply{NotRun: true}))
	ts.publish()
	e := ts.entry("entry-a")
	startedAt := time.Now()
	r := e.send("POST", "/fee/1", "x")
	is.True(time.Since(startedAt) < 300*time.Millisecond)
	is.True(r.status == 503 || r.status == 429)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after <= 1)
}

// An idempotent request reaches an endpoint that is silent, fails, loses the answer
// or does not sign it. It must be retried at another endpoint before its timeout.
func TestIdempotentRequestIsRetriedInTime(t *testing.T) {
	t.Parallel()
	for name, reply := range map[string]standin.Reply{"silent": {Delay: 5 * time.Second}, "failing": {Status: 500}, "dropped answer": {DropAnswer: true}, "no signature": {NoSignature: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ts := newTestSite(t)
			ts.endpoint("i-bad", "app", "v1", always(reply))
			ts.endpoint("i-good", "app", "v1", nil)
			ts.publish()
			e := ts.entry("entry-a")
			for range 6 {
				r := e.send("GET", "/read/1", "")
				is.NoErr(r.err)
				is.Equal(r.status, 200)
				is.True(strings.HasPrefix(r.header.Get("Response-Signature"), "sig.i-good"))
			}
		})
	}
}

// Every endpoint fails an idempotent request. The caller must get the endpoint's
// failure unchanged and signed.
func TestEndpointFailureIsPassedThrough(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	ts.endpoint("i-1", "app", "v1", always(standin.Reply{Status: 500}))
	ts.publish()
	r := ts.entry("entry-a").send("GET", "/read/1", "")
	is.Equal(r.status, 500)
	is.True(strings.HasPrefix(r.header.Get("Response-Signature"), "sig.i-1"))
}

// A caller closes its connection in the middle of a stream. The run at the endpoint
// must be cancelled at once.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	t.Parallel()
	ts := newTestSite(t)
	pool := ts.endpoint("i-1", "pool", "v1", always(standin.Reply{Events: 100, EventDelay: 100 * time.Millisecond, Confidence: 95}))
	ts.publish()
	e := ts.entry("entry-a")
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := http.DefaultClient.Do(e.request("POST", "/chat/1", "x").WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	if _, err = bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	ts.eventually(400*time.Millisecond, "the run is cancelled", func() bool { return pool.Runs()[0].Disconnected })
}

// A request takes longer than its route's timeout. It must end at that timeout, not
// at the longer one that the caller asked for.
func TestRequestEndsAtRouteTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	ts.endpoint("i-1", "app", "v1", always(standin.Reply{Delay: 10 * time.Second}))
	ts.publish()
	e := ts.entry("entry-a")
	startedAt := time.Now()
	r := e.send("POST", "/fee/1", "x", func(r *http.Request) { r.Header.Set("Request-Timeout-Ms", "8000") })
	elapsed := time.Since(startedAt)
	is.Equal(r.status, 504)
	is.True(elapsed > 1400*time.Millisecond && elapsed < 1800*time.Millisecond)
}

// A key is revoked while the store does not answer this entry. The entry cannot
// learn of it, so it must stop serving requests with a key before the key lease
// expires, and serve them again once the store has confirmed the configuration.
func TestKeyLeaseExpiresWithoutStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	ts.keyLease = 2500
	app := ts.endpoint("i-1", "app", "v1", nil)
	ts.publish()
	e := ts.entry("entry-a")
	is.Equal(e.send("GET", "/read/1", "").status, 200)
	e.storeHandler.SetFault(standin.Silent)
	revokedAt := time.Now()
	ts.keys = []string{"key-2"}
	ts.publish()
	for time.Since(revokedAt) < 3*time.Second {
		before := len(app.Runs())
		sent := time.Now()
		r := e.send("GET", "/read/1", "")
		if sent.Sub(revokedAt) > 2500*time.Millisecond && len(app.Runs()) > before {
			t.Fatalf("a request ran %s after its key was revoked", sent.Sub(revokedAt))
		}
		if sent.Sub(revokedAt) > 2500*time.Millisecond {
			is.Equal(r.status, 503)
			is.True(r.header.Get("Retry-After") != "")
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.storeHandler.SetFault(standin.NoFault)
	ts.eventually(4*time.Second, "the store is read again", func() bool {
		return e.send("GET", "/read/1", "", func(r *http.Request) { r.Header.Set("Api-Key", "key-2") }).status == 200
	})
	is.Equal(e.send("GET", "/read/1", "").status, 401)
}

// The store compacts its history while an entry cannot read it. The entry must read
// the streams again from the start: if it kept requesting the compacted records, it
// would keep its old configuration for good, with new routes unknown and its key lease
// expired.
func TestStreamsAreReadAgainAfterCompaction(t *testing.T) {
	t.Parallel()
	ts := newTestSite(t)
	ts.endpoint("i-1", "app", "v1", nil)
	ts.publish()
	e := ts.entry("entry-a")
	e.storeHandler.SetFault(standin.Down)
	ts.publish()
	ts.publish()
	ts.store.Compact("keyed.op")
	ts.store.Compact("keyed.servers")
	e.storeHandler.SetFault(standin.NoFault)
	ts.eventually(3*time.Second, "the newest configuration is in force", func() bool {
		c := e.loop.View().Config()
		return c != nil && c.Version() == int64(ts.version)
	})
}

// Entries start at the same moment, before any has written its address to the store.
// They must still discover each other: otherwise each would use the full rate limit of
// an endpoint in cold start, and judge upgrades alone.
func TestEntriesThatStartTogetherDiscoverEachOther(t *testing.T) {
	t.Parallel()
	ts := newTestSite(t)
	ts.endpoint("i-1", "app", "v1", nil)
	ts.publish()
	all := []*testEntry{ts.startEntry("entry-a"), ts.startEntry("entry-b"), ts.startEntry("entry-c"), ts.startEntry("entry-d")}
	ts.eventually(4*time.Second, "all entries count four entries", func() bool {
		for _, e := range all {
			if e.loop.View().Entries() != len(all) {
				return false
			}
		}
		return true
	})
}

// One endpoint's registration says that it is draining, another's is removed. Soon
// after, both must get no new requests.
func TestLeavingEndpointsGetNoNewRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	leaving := ts.endpoint("i-1", "app", "v1", nil)
	removed := ts.endpoint("i-2", "app", "v1", nil)
	ts.endpoint("i-3", "app", "v1", nil)
	ts.publish()
	e := ts.entry("entry-a")
	ts.store.Put("keyed.servers", "i-1", leaving.Registration("app", "a", "v1", "draining", 2))
	ts.store.Put("keyed.servers", "i-2", nil)
	time.Sleep(1500 * time.Millisecond)
	before := leaving.Received() + removed.Received()
	for range 30 {
		is.Equal(e.send("GET", "/read/1", "").status, 200)
	}
	is.Equal(leaving.Received()+removed.Received(), before)
}

// Another writer puts registrations into the store that describe no usable endpoint.
// The valid endpoint must still be used, and each invalid registration be logged.
func TestInvalidRegistrationsAreIgnored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	good := ts.endpoint("i-1", "app", "v1", nil)
	for i, text := range []string{`{`, `[]`, `{"service":7}`, `{"service":"app","address":"nowhere","zone":"a","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1}`, `{"service":"app","address":"127.0.0.1:1","zone":"a","version":"v1","slots":4,"state":"odd","coldRemainingMs":0,"sequence":1}`} {
		ts.store.Put("keyed.servers", fmt.Sprintf("i-bad-%d", i), []byte(text))
	}
	ts.publish()
	e := ts.entry("entry-a")
	is.Equal(e.loop.View().Fleet().Size(), 1)
	for range 5 {
		is.Equal(e.send("GET", "/read/1", "").status, 200)
	}
	is.Equal(good.Received(), 5)
	ts.eventually(time.Second, "five invalid registrations are logged", func() bool {
		return strings.Count(e.log.String(), "Endpoint's entry cannot be used") == 5
	})
}

// An entry is stopped while it streams an answer and while a caller keeps sending
// requests. It must report not ready at once, finish its requests, and stop when idle.
func TestPlannedStopFinishesRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	ts.endpoint("i-1", "pool", "v1", always(standin.Reply{Events: 12, EventDelay: 300 * time.Millisecond, Confidence: 95}))
	ts.endpoint("i-2", "app", "v1", nil)
	ts.publish()
	e := ts.entry("entry-a")
	stream := make(chan response, 1)
	go func() { stream <- e.send("POST", "/chat/1", "x") }()
	time.Sleep(400 * time.Millisecond)
	e.signals <- syscall.SIGTERM
	ts.eventually(500*time.Millisecond, "the entry is not ready", func() bool { ready, _ := e.ready(); return !ready })
	for range 20 {
		r := e.send("GET", "/read/1", "")
		is.NoErr(r.err)
		is.Equal(r.status, 200)
		time.Sleep(100 * time.Millisecond)
	}
	r := <-stream
	is.NoErr(r.err)
	is.True(hasEvents(r.body, 12))
	select {
	case err := <-e.done:
		is.NoErr(err)
	case <-time.After(4 * time.Second):
		t.Fatal("the entry does not stop")
	}
}

// Calls to the store cost money, so only a few of many entries read it and pass
// updates on to the others. A change must be in force at all entries soon, also after
// the readers have stopped and after the store has become unreachable for the next
// readers.
func TestFewEntriesReadTheStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	leaving := ts.endpoint("i-1", "app", "v1", nil)
	ts.endpoint("i-2", "app", "v1", nil)
	ts.publish()
	var all []*testEntry
	for i := range 8 {
		all = append(all, ts.entry(fmt.Sprintf("entry-%d", i)))
	}
	inForce := func(entries []*testEntry) func() bool {
		return func() bool {
			for _, e := range entries {
				if e.loop.View().Config().Version() != int64(ts.version) {
					return false
				}
			}
			return true
		}
	}
	ts.eventually(4*time.Second, "all know of eight", func() bool {
		for _, e := range all {
			if e.loop.View().Entries() != len(all) {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second)
	before := ts.store.Calls()
	time.Sleep(3 * time.Second)
	// Two entries that read two streams make about 15 calls together; eight would make 60.
	is.True(ts.store.Calls()-before < 25)
	ts.publish()
	ts.eventually(300*time.Millisecond, "the change is in force everywhere", inForce(all))
	ts.store.Put("keyed.servers", "i-1", leaving.Registration("app", "a", "v1", "draining", 2))
	ts.eventually(1500*time.Millisecond, "all entries see that an endpoint leaves", func() bool {
		for _, e := range all {
			if !e.loop.View().Fleet().Find("i-1").Leaving {
				return false
			}
		}
		return true
	})

	for _, e := range all[:2] {
		e.signals <- syscall.SIGTERM
	}
	time.Sleep(200 * time.Millisecond)
	ts.publish()
	ts.eventually(2*time.Second, "the change is in force without the first readers", inForce(all[2:]))
	for _, e := range all[2:4] {
		e.storeHandler.SetFault(standin.Down)
	}
	time.Sleep(1500 * time.Millisecond)
	ts.publish()
	ts.eventually(2*time.Second, "the change is in force with the store unreachable for the next readers", inForce(all[2:]))
	for _, e := range all[2:] {
		is.Equal(e.send("GET", "/read/1", "").status, 200)
	}
}

// A zone is taken out of service and brought back. While it is out, its endpoints must
// get no new requests from any entry, including those that do not read the store.
func TestZoneTakenOutGetsNothingNew(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	ts.endpoint("i-1", "app", "v1", nil)
	other := ts.endpoint("i-2", "app", "v1", nil)
	ts.store.Put("keyed.servers", "i-2", other.Registration("app", "b", "v1", "ready", 2))
	ts.publish()
	entries := []*testEntry{ts.entry("entry-a"), ts.entry("entry-b"), ts.entry("entry-c")}
	ts.store.Put("keyed.op", "evacuate/a", []byte("{}"))
	for _, e := range entries {
		ts.eventually(time.Second, "the zone is out", func() bool { return e.loop.View().Fleet().ZoneOut("a") })
	}
	before := ts.endpoints["i-1"].Received()
	for i := range 30 {
		is.Equal(entries[i%3].send("GET", "/read/1", "").status, 200)
	}
	is.Equal(ts.endpoints["i-1"].Received(), before)
	ts.store.Put("keyed.op", "evacuate/a", nil)
	for _, e := range entries {
		ts.eventually(time.Second, "the zone is back", func() bool { return !e.loop.View().Fleet().ZoneOut("a") })
	}
}

// Endpoints become slow under load but their streams continue. A request that waits
// there must not be moved to the end of another endpoint's queue: that would double the
// work when capacity is scarcest.
func TestRequestStaysQueuedAtSlowEndpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	respond := func(r *http.Request) standin.Reply {
		switch {
		case strings.HasPrefix(r.URL.Path, "/chat/long"):
			return standin.Reply{Events: 80, EventDelay: 40 * time.Millisecond, Confidence: 95, BreakAfter: -1}
		case strings.HasPrefix(r.URL.Path, "/chat/slow"):
			return standin.Reply{Delay: 700 * time.Millisecond, Events: 2, Confidence: 95, BreakAfter: -1}
		}
		return standin.Reply{Events: 2, Confidence: 95, BreakAfter: -1}
	}
	for i := range 2 {
		ts.endpoint(fmt.Sprintf("i-%d", i), "pool", "v1", respond)
	}
	ts.publish()
	e := ts.entry("entry-a")
	for range 20 {
		e.send("POST", "/chat/quick", "x")
	}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { e.send("POST", "/chat/long", "x") })
	}
	time.Sleep(200 * time.Millisecond)
	for i := range 40 {
		time.Sleep(20 * time.Millisecond)
		wg.Go(func() { e.send("POST", fmt.Sprintf("/chat/slow-%d", i), "x") })
	}
	wg.Wait()
	slow := 0
	for _, endpoint := range ts.endpoints {
		for _, run := range endpoint.Runs() {
			if strings.HasPrefix(run.Path, "/chat/slow") {
				slow++
			}
		}
	}
	is.Equal(slow, 40) // about 80 if each request is moved after 360 ms
}

// An idempotent request times out while its last endpoint is silent. It must end, and
// not be sent to the other endpoints with no time remaining: each would run it in vain.
func TestNoAttemptAfterTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	ts.routes[1]["maxAttempts"] = 5
	for i := range 5 {
		ts.endpoint(fmt.Sprintf("i-%d", i), "app", "v1", always(standin.Reply{Delay: 3 * time.Second}))
	}
	ts.publish()
	e := ts.entry("entry-a")
	r := e.send("GET", "/read/1", "", func(r *http.Request) { r.Header.Set("Request-Timeout-Ms", "300") })
	is.Equal(r.status, 504)
	seen := 0
	for _, endpoint := range ts.endpoints {
		seen += endpoint.Received()
	}
	is.True(seen <= 2) // relay.minFirstByteTimeout (200 ms) at the first endpoint, the remaining 100 ms at the second one
}

// The small model reports low confidence, but no endpoint has capacity for the large
// model. The caller must get the small model's answer instead of an error.
func TestLowConfidenceAnswerIsUsedWithoutLargerModel(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ts := newTestSite(t)
	ts.coldPerSecond = 3 // few enough that there is no capacity for the large model
	ts.endpoint("i-1", "pool", "v1", always(standin.Reply{Events: 2, Confidence: 5}))
	ts.publish()
	e := ts.entry("entry-a")
	counts := make(map[int]int)
	for range 6 {
		counts[e.send("POST", "/chat/1", "x").status]++
	}
	is.Equal(counts[http.StatusBadGateway], 0)
	is.True(counts[http.StatusOK] >= 2)
}
