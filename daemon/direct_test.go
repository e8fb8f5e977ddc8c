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

// A caller sends one request of each kind on a calm day, and tries to pass for
// another organisation. It gets the endpoint's own answer, and the endpoint sees
// the organisation of the key and never the key.
func TestRequestsOfEachKind(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	app := w.endpoint("i-app", "app", "v1", nil)
	pool := w.endpoint("i-pool", "pool", "v1", always(standin.Reply{Events: 3, Confidence: 90}))
	w.publish()
	e := w.entry("entry-a")

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
	is.True(pieces(r.body, 3))
	is.Equal(pool.Runs()[0].Model, "small")

	is.Equal(e.send("GET", "/none/1", "").status, 404)
	is.Equal(e.send("GET", "/read/1", "", func(r *http.Request) { r.Header.Set("Api-Key", "wrong") }).status, 401)
	is.Equal(e.send("GET", "/read/1", "", func(r *http.Request) { r.Header.Del("Request-Id") }).status, 400)
	is.Equal(e.send("POST", "/fee/1", strings.Repeat("x", 10001)).status, 413)
	is.Equal(e.send("GET", "/read/1", "", func(r *http.Request) { r.Header.Set("X", strings.Repeat("x", 5000)) }).status, 431)
	is.Equal(len(app.Runs()), 1)
}

// The small model thinks little of its answer. The caller sees only the large
// model's; an answer in which the small one is confident is handed on.
func TestLowConfidenceEscalatesToLargerModel(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	act := func(r *http.Request) standin.Reply {
		a := standin.Reply{Events: 2, BreakAfter: -1, Confidence: 95}
		if r.Header.Get("Model") == "small" && strings.HasSuffix(r.URL.Path, "hard") {
			a.Confidence = 10
		}
		return a
	}
	w.endpoint("i-1", "pool", "v1", act)
	w.endpoint("i-2", "pool", "v1", act)
	w.publish()
	e := w.entry("entry-a")
	is.True(pieces(e.send("POST", "/chat/easy", "x").body, 2))
	is.True(pieces(e.send("POST", "/chat/hard", "x").body, 2))
	models := make(map[string]int)
	for _, endpoint := range w.endpoints {
		for _, run := range endpoint.Runs() {
			models[run.Path+" "+run.Model]++
		}
	}
	is.Equal(models, map[string]int{"/chat/easy small": 1, "/chat/hard small": 1, "/chat/hard large": 1})
}

// An endpoint dies in the middle of an event. The stream goes on at another one
// after the last whole event; the caller sees each event once.
func TestBrokenStreamResumesAtAnotherEndpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	var mu sync.Mutex
	broke := false
	act := func(*http.Request) standin.Reply {
		mu.Lock()
		defer mu.Unlock()
		a := standin.Reply{Events: 6, BreakAfter: -1, Confidence: 95}
		if !broke {
			broke = true
			a.BreakAfter = 3
		}
		return a
	}
	w.endpoint("i-1", "pool", "v1", act)
	w.endpoint("i-2", "pool", "v1", act)
	w.publish()
	r := w.entry("entry-a").send("POST", "/chat/1", "x")
	is.NoErr(r.err)
	is.True(pieces(r.body, 6))
}

// A stream breaks at every endpoint. The caller must see that its answer is not
// whole: the connection breaks without the mark of a complete body.
func TestUnresumableStreamBreaksConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	for i := range 3 {
		w.endpoint(fmt.Sprintf("i-%d", i), "pool", "v1", func(*http.Request) standin.Reply {
			return standin.Reply{Events: 9, BreakAfter: 2, Confidence: 95}
		})
	}
	w.publish()
	r := w.entry("entry-a").send("POST", "/chat/1", "x")
	is.True(r.err != nil)
}

// An endpoint's kept connection brings an answer to somebody else's request
// first, or one more after the own. Neither reaches a caller.
func TestMisdirectedAnswersAreDiscarded(t *testing.T) {
	t.Parallel()
	for name, a := range map[string]standin.Reply{"foreign": {OtherAnswerFirst: true}, "surplus": {ExtraAnswer: true}, "unframed": {NoLength: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTown(t)
			w.endpoint("i-app", "app", "v1", always(a))
			w.publish()
			e := w.entry("entry-a")
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

// An endpoint takes a fee and its answer is lost. The caller gets a status that
// promises nothing, and the fee is not taken a second time.
func TestLostNonIdempotentAnswerIsNotRetried(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	one := w.endpoint("i-1", "app", "v1", always(standin.Reply{DropAnswer: true}))
	two := w.endpoint("i-2", "app", "v1", always(standin.Reply{DropAnswer: true}))
	w.publish()
	r := w.entry("entry-a").send("POST", "/fee/1", "x")
	is.NoErr(r.err)
	is.Equal(r.status, 502)
	is.Equal(r.header.Get("Retry-After"), "")
	is.Equal(len(one.Runs())+len(two.Runs()), 1)
}

// All endpoints refuse a fee without running it. The caller is told so at once,
// with the time to come back.
func TestNotRunRefusalIsReturnedAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	w.endpoint("i-1", "app", "v1", always(standin.Reply{NotRun: true}))
	w.endpoint("i-2", "app", "v1", always(standin.Reply{NotRun: true}))
	w.publish()
	e := w.entry("entry-a")
	begun := time.Now()
	r := e.send("POST", "/fee/1", "x")
	is.True(time.Since(begun) < 300*time.Millisecond)
	is.True(r.status == 503 || r.status == 429)
	after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0 && after <= 1)
}

// A read runs into an endpoint that has fallen silent, and into one that fails.
// It is asked elsewhere while it can still be in time.
func TestIdempotentRequestIsRetriedInTime(t *testing.T) {
	t.Parallel()
	for name, a := range map[string]standin.Reply{"silent": {Delay: 5 * time.Second}, "failing": {Status: 500}, "lost": {DropAnswer: true}, "unsigned": {NoSignature: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newTown(t)
			w.endpoint("i-bad", "app", "v1", always(a))
			w.endpoint("i-good", "app", "v1", nil)
			w.publish()
			e := w.entry("entry-a")
			for range 6 {
				r := e.send("GET", "/read/1", "")
				is.NoErr(r.err)
				is.Equal(r.status, 200)
				is.True(strings.HasPrefix(r.header.Get("Response-Signature"), "sig.i-good"))
			}
		})
	}
}

// Every endpoint fails a read. The caller gets the endpoint's own failure,
// unchanged and signed.
func TestEndpointFailureIsPassedThrough(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	w.endpoint("i-1", "app", "v1", always(standin.Reply{Status: 500}))
	w.publish()
	r := w.entry("entry-a").send("GET", "/read/1", "")
	is.Equal(r.status, 500)
	is.True(strings.HasPrefix(r.header.Get("Response-Signature"), "sig.i-1"))
}

// A caller closes its connection in the middle of a stream. The endpoint's work
// is stopped at once.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	t.Parallel()
	w := newTown(t)
	pool := w.endpoint("i-1", "pool", "v1", always(standin.Reply{Events: 100, EventDelay: 100 * time.Millisecond, Confidence: 95}))
	w.publish()
	e := w.entry("entry-a")
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := http.DefaultClient.Do(e.request("POST", "/chat/1", "x").WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	if _, err = bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	w.eventually(400*time.Millisecond, "the run is cut", func() bool { return pool.Runs()[0].Disconnected })
}

// A request outlasts its route's bound. It is ended at the bound, not at the
// caller's own deadline.
func TestRequestEndsAtRouteTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	w.endpoint("i-1", "app", "v1", always(standin.Reply{Delay: 10 * time.Second}))
	w.publish()
	e := w.entry("entry-a")
	begun := time.Now()
	r := e.send("POST", "/fee/1", "x", func(r *http.Request) { r.Header.Set("Request-Timeout-Ms", "8000") })
	took := time.Since(begun)
	is.Equal(r.status, 504)
	is.True(took > 1400*time.Millisecond && took < 1800*time.Millisecond)
}

// A key is taken away while the store turns this entry away. The entry cannot
// hear of it, so that it stops serving keyed requests before the key's time is
// up, and serves them again when the store has confirmed the configuration.
func TestKeyLeaseExpiresWithoutStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	w.lease = 2500
	app := w.endpoint("i-1", "app", "v1", nil)
	w.publish()
	e := w.entry("entry-a")
	is.Equal(e.send("GET", "/read/1", "").status, 200)
	e.door.SetFault(standin.Silent)
	taken := time.Now()
	w.keys = []string{"key-2"}
	w.publish()
	for time.Since(taken) < 3*time.Second {
		before := len(app.Runs())
		sent := time.Now()
		r := e.send("GET", "/read/1", "")
		if sent.Sub(taken) > 2500*time.Millisecond && len(app.Runs()) > before {
			t.Fatalf("a request ran %s after its key was taken away", sent.Sub(taken))
		}
		if sent.Sub(taken) > 2500*time.Millisecond {
			is.Equal(r.status, 503)
			is.True(r.header.Get("Retry-After") != "")
		}
		time.Sleep(20 * time.Millisecond)
	}
	e.door.SetFault(standin.NoFault)
	w.eventually(4*time.Second, "the store is read again", func() bool {
		return e.send("GET", "/read/1", "", func(r *http.Request) { r.Header.Set("Api-Key", "key-2") }).status == 200
	})
	is.Equal(e.send("GET", "/read/1", "").status, 401)
}

// The store forgets its history while an entry reads it. The entry must read the
// streams anew: one that asks for the forgotten records again and again would
// stay on its old configuration for good, with routes unknown and keys expired.
func TestStreamsAreReadAgainAfterCompaction(t *testing.T) {
	t.Parallel()
	w := newTown(t)
	w.endpoint("i-1", "app", "v1", nil)
	w.publish()
	e := w.entry("entry-a")
	e.door.SetFault(standin.Down)
	w.publish()
	w.publish()
	w.store.Compact("keyed.op")
	w.store.Compact("keyed.servers")
	e.door.SetFault(standin.NoFault)
	w.eventually(3*time.Second, "the newest configuration is in force", func() bool {
		c := e.loop.View().Config()
		return c != nil && c.Version == int64(w.version)
	})
}

// Entries start at the same moment, before any has written its address. They must
// find one another all the same: entries that do not know of each other each take
// the whole bound of an endpoint in cold start, and judge upgrades alone.
func TestEntriesThatStartTogetherDiscoverEachOther(t *testing.T) {
	t.Parallel()
	w := newTown(t)
	w.endpoint("i-1", "app", "v1", nil)
	w.publish()
	all := []*entryAt{w.start("entry-a"), w.start("entry-b"), w.start("entry-c"), w.start("entry-d")}
	w.eventually(4*time.Second, "all entries know of four", func() bool {
		for _, e := range all {
			if e.loop.View().Entries() != len(all) {
				return false
			}
		}
		return true
	})
}

// An endpoint says that it leaves, another's entry is removed. Both get nothing
// new soon after.
func TestLeavingEndpointsGetNoNewRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	leaving := w.endpoint("i-1", "app", "v1", nil)
	removed := w.endpoint("i-2", "app", "v1", nil)
	w.endpoint("i-3", "app", "v1", nil)
	w.publish()
	e := w.entry("entry-a")
	w.store.Put("keyed.servers", "i-1", leaving.Registration("app", "a", "v1", "draining", 2))
	w.store.Put("keyed.servers", "i-2", nil)
	time.Sleep(1500 * time.Millisecond)
	before := leaving.Received() + removed.Received()
	for range 30 {
		is.Equal(e.send("GET", "/read/1", "").status, 200)
	}
	is.Equal(leaving.Received()+removed.Received(), before)
}

// Another writer puts entries into the store that name no endpoint, and takes
// the name of one. The others go on being used and the bad ones are named in the
// log.
func TestInvalidRegistrationsAreIgnored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	good := w.endpoint("i-1", "app", "v1", nil)
	for i, text := range []string{`{`, `[]`, `{"service":7}`, `{"service":"app","address":"nowhere","zone":"a","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1}`, `{"service":"app","address":"127.0.0.1:1","zone":"a","version":"v1","slots":4,"state":"odd","coldRemainingMs":0,"sequence":1}`} {
		w.store.Put("keyed.servers", fmt.Sprintf("i-bad-%d", i), []byte(text))
	}
	w.publish()
	e := w.entry("entry-a")
	is.Equal(e.loop.View().Fleet().Size(), 1)
	for range 5 {
		is.Equal(e.send("GET", "/read/1", "").status, 200)
	}
	is.Equal(good.Received(), 5)
	w.eventually(time.Second, "five faults are logged", func() bool {
		return strings.Count(e.log.String(), "Endpoint's entry cannot be used") == 5
	})
}

// An entry is stopped while it streams and while a caller goes on using its
// connection. It is not ready at once, ends what it has, and goes when it is idle.
func TestPlannedStopFinishesRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	w.endpoint("i-1", "pool", "v1", always(standin.Reply{Events: 12, EventDelay: 300 * time.Millisecond, Confidence: 95}))
	w.endpoint("i-2", "app", "v1", nil)
	w.publish()
	e := w.entry("entry-a")
	stream := make(chan reply, 1)
	go func() { stream <- e.send("POST", "/chat/1", "x") }()
	time.Sleep(400 * time.Millisecond)
	e.signals <- syscall.SIGTERM
	w.eventually(500*time.Millisecond, "the entry is not ready", func() bool { ready, _ := e.ready(); return !ready })
	for range 20 {
		r := e.send("GET", "/read/1", "")
		is.NoErr(r.err)
		is.Equal(r.status, 200)
		time.Sleep(100 * time.Millisecond)
	}
	r := <-stream
	is.NoErr(r.err)
	is.True(pieces(r.body, 12))
	select {
	case err := <-e.done:
		is.NoErr(err)
	case <-time.After(4 * time.Second):
		t.Fatal("the entry does not stop")
	}
}

// Many entries run beside one store whose calls are paid for. A few of them read
// it and the others hear from these; a change is in force at all of them at once,
// and goes on reaching them when the readers stop and when the store turns the
// readers away.
func TestFewEntriesReadTheStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	leaving := w.endpoint("i-1", "app", "v1", nil)
	w.endpoint("i-2", "app", "v1", nil)
	w.publish()
	var all []*entryAt
	for i := range 8 {
		all = append(all, w.entry(fmt.Sprintf("entry-%d", i)))
	}
	inForce := func(entries []*entryAt) func() bool {
		return func() bool {
			for _, e := range entries {
				if e.loop.View().Config().Version != int64(w.version) {
					return false
				}
			}
			return true
		}
	}
	w.eventually(4*time.Second, "all know of eight", func() bool {
		for _, e := range all {
			if e.loop.View().Entries() != len(all) {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second)
	before := w.store.Calls()
	time.Sleep(3 * time.Second)
	// Two readers of two streams each make about 15 calls; eight make 60.
	is.True(w.store.Calls()-before < 25)
	w.publish()
	w.eventually(300*time.Millisecond, "the change is in force everywhere", inForce(all))
	w.store.Put("keyed.servers", "i-1", leaving.Registration("app", "a", "v1", "draining", 2))
	w.eventually(1500*time.Millisecond, "all know that an endpoint leaves", func() bool {
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
	w.publish()
	w.eventually(2*time.Second, "the change is in force without the first readers", inForce(all[2:]))
	for _, e := range all[2:4] {
		e.door.SetFault(standin.Down)
	}
	time.Sleep(1500 * time.Millisecond)
	w.publish()
	w.eventually(2*time.Second, "the change is in force with the next readers turned away", inForce(all[2:]))
	for _, e := range all[2:] {
		is.Equal(e.send("GET", "/read/1", "").status, 200)
	}
}

// A zone is taken out of service and brought back. Its endpoints get nothing new
// from any entry while it is out, also at the entries that only hear of it.
func TestZoneTakenOutGetsNothingNew(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	w.endpoint("i-1", "app", "v1", nil)
	other := w.endpoint("i-2", "app", "v1", nil)
	w.store.Put("keyed.servers", "i-2", other.Registration("app", "b", "v1", "ready", 2))
	w.publish()
	entries := []*entryAt{w.entry("entry-a"), w.entry("entry-b"), w.entry("entry-c")}
	w.store.Put("keyed.op", "evacuate/a", []byte("{}"))
	for _, e := range entries {
		w.eventually(time.Second, "the zone is out", func() bool { return e.loop.View().Fleet().ZoneOut("a") })
	}
	before := w.endpoints["i-1"].Received()
	for i := range 30 {
		is.Equal(entries[i%3].send("GET", "/read/1", "").status, 200)
	}
	is.Equal(w.endpoints["i-1"].Received(), before)
	w.store.Put("keyed.op", "evacuate/a", nil)
	for _, e := range entries {
		w.eventually(time.Second, "the zone is back", func() bool { return !e.loop.View().Fleet().ZoneOut("a") })
	}
}

// Endpoints turn slow under load while their streams go on. A request that waits
// there is not taken elsewhere to the end of another queue: that would double the
// work when there is least room for it.
func TestRequestStaysQueuedAtSlowEndpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	act := func(r *http.Request) standin.Reply {
		switch {
		case strings.HasPrefix(r.URL.Path, "/chat/long"):
			return standin.Reply{Events: 80, EventDelay: 40 * time.Millisecond, Confidence: 95, BreakAfter: -1}
		case strings.HasPrefix(r.URL.Path, "/chat/slow"):
			return standin.Reply{Delay: 700 * time.Millisecond, Events: 2, Confidence: 95, BreakAfter: -1}
		}
		return standin.Reply{Events: 2, Confidence: 95, BreakAfter: -1}
	}
	for i := range 2 {
		w.endpoint(fmt.Sprintf("i-%d", i), "pool", "v1", act)
	}
	w.publish()
	e := w.entry("entry-a")
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
	for _, endpoint := range w.endpoints {
		for _, run := range endpoint.Runs() {
			if strings.HasPrefix(run.Path, "/chat/slow") {
				slow++
			}
		}
	}
	is.Equal(slow, 40) // about 80 when each leaves after 360 ms
}

// A read's time is up while its last endpoint is silent. It is ended, and not sent
// to the other endpoints with no time left, each of which would run it in vain.
func TestNoAttemptAfterTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	w.routes[1]["maxAttempts"] = 5
	for i := range 5 {
		w.endpoint(fmt.Sprintf("i-%d", i), "app", "v1", always(standin.Reply{Delay: 3 * time.Second}))
	}
	w.publish()
	e := w.entry("entry-a")
	r := e.send("GET", "/read/1", "", func(r *http.Request) { r.Header.Set("Request-Timeout-Ms", "300") })
	is.Equal(r.status, 504)
	seen := 0
	for _, endpoint := range w.endpoints {
		seen += endpoint.Received()
	}
	is.True(seen <= 2) // 200 ms at the first, the rest at the second
}

// The small model thinks little of its answer, but no endpoint has room for the
// larger one. The caller gets the answer that there is, and not nothing.
func TestLowConfidenceAnswerIsUsedWithoutLargerModel(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newTown(t)
	w.cold = 3 // requests a second that the endpoint takes
	w.endpoint("i-1", "pool", "v1", always(standin.Reply{Events: 2, Confidence: 5}))
	w.publish()
	e := w.entry("entry-a")
	ends := make(map[int]int)
	for range 6 {
		ends[e.send("POST", "/chat/1", "x").status]++
	}
	is.Equal(ends[http.StatusBadGateway], 0)
	is.True(ends[http.StatusOK] >= 2)
}
