package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
)

var errUnread = errors.New("endpoint cut off an answer that nobody read")

// eventsOf returns a reader of events with the given size, whose endpoint cuts off the answer if an
// event is not read within patience.
func eventsOf(events, size int, patience time.Duration) *readAhead {
	var mu sync.Mutex
	n, lastRead := 0, time.Now()
	r := &readAhead{
		prepare: func() error { return nil },
		read: func() (event, error) {
			mu.Lock()
			defer mu.Unlock()
			if time.Since(lastRead) > patience {
				return event{}, errUnread
			}
			if n++; n > events {
				return event{}, io.EOF
			}
			lastRead = time.Now()
			return event{raw: bytes.Repeat([]byte("x"), size), id: strconv.Itoa(n)}, nil
		},
		interrupt: func() {}, held: newHeldBytes(clock.Boot(), 1<<20), caller: heldAnswer{cut: func(int, clock.Millis) {}},
	}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// Guards against an answer that its endpoint cuts off because the caller stops reading for a while:
// the entry must read on, and the caller must get every event once and in order.
func TestSlowCallerGetsWholeAnswer(t *testing.T) {
	is := is.New(t)
	r := eventsOf(40, 100, 200*time.Millisecond)
	defer r.close()
	got := 0
	for {
		e, err := r.next()
		if err == io.EOF {
			break
		}
		is.NoErr(err)
		got++
		is.Equal(e.id, strconv.Itoa(got))
		is.NoErr(r.during(func() error {
			if got == 3 {
				time.Sleep(400 * time.Millisecond)
			}
			return nil
		}))
	}
	is.Equal(got, 40)
	is.Equal(r.held.bytes(), 0)
}

// Guards against memory that grows with the answer of a caller that reads nothing: at the bound the
// entry stops reading from the endpoint.
func TestReadAheadIsBounded(t *testing.T) {
	is := is.New(t)
	r := eventsOf(1000, 10<<10, time.Minute)
	_, err := r.next()
	is.NoErr(err)
	is.NoErr(r.during(func() error {
		time.Sleep(300 * time.Millisecond)
		is.True(r.held.bytes() >= maxReadAheadBytes && r.held.bytes() < maxReadAheadBytes+20<<10)
		return nil
	}))
	r.close()
	is.Equal(r.held.bytes(), 0)
}

// Guards against the end of the process, and with it of all answers, when many callers read slowly:
// the slowest one of the lowest rank is cut off, and no other.
func TestSlowestCallerOfLowestRankIsCutOff(t *testing.T) {
	is := is.New(t)
	now := clock.Millis(0)
	h := newHeldBytes(clock.New(func() clock.Millis { return now }), 1000)
	var cuts []string
	answer := func(name string, rank, n int) *heldAnswer {
		a := &heldAnswer{rank: rank, cut: func(int, clock.Millis) { cuts = append(cuts, name) }}
		h.hold(a, n)
		now += 10
		return a
	}
	answer("urgent", 0, 300)
	old := answer("old", 2, 300)
	answer("new", 2, 300)
	is.Equal(len(cuts), 0)
	last := answer("last", 1, 200)
	is.Equal(cuts, []string{"old"})
	is.Equal(h.bytes(), 800)
	h.release(old, 300) // its end changes nothing
	h.release(last, 200)
	is.Equal(h.bytes(), 600)
}

// Guards against an answer above the size that is buffered: it was delivered without its end, but
// with a matching length, so that the caller took it for complete.
func TestLargeAnswerIsDeliveredWhole(t *testing.T) {
	is := is.New(t)
	const size = maxAnswerBytes + 100_000
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(bytes.Repeat([]byte("y"), size))
	}))
	defer endpoint.Close()
	route := &catalog.Route{Host: "h", Prefix: "/", Kind: catalog.Idempotent, MaxAttempts: 2, Public: true, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	s := serverOn(clock.Boot(), viewOf(route, []fleet.Change{slotsOf("i-1", endpoint.Listener.Addr().String())}))
	s.cfg.Dialect.Read = func(*http.Request) (*Request, error) {
		return &Request{ID: "r", Method: http.MethodGet, Target: "/x", Path: "/x", Host: "h"}, nil
	}
	entry := httptest.NewServer(s)
	defer entry.Close()
	resp, err := http.Get(entry.URL)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(body), size)
}

// Guards against bodies in flight that fill the memory: a request without room is refused before
// any endpoint gets it.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	received := 0
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received++ }))
	defer endpoint.Close()
	route := &catalog.Route{Host: "h", Prefix: "/", Kind: catalog.Idempotent, MaxAttempts: 2, Public: true, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	s := serverOn(clock.Boot(), viewOf(route, []fleet.Change{slotsOf("i-1", endpoint.Listener.Addr().String())}))
	s.bodies.limit = 1000
	s.cfg.Dialect.Read = func(*http.Request) (*Request, error) {
		return &Request{ID: "r", Method: http.MethodPost, Target: "/x", Path: "/x", Host: "h"}, nil
	}
	s.cfg.Dialect.SetRefusalHeaders = func(http.Header, string) {}
	entry := httptest.NewServer(s)
	defer entry.Close()
	resp, err := http.Post(entry.URL, "text/plain", strings.NewReader(strings.Repeat("z", 501)))
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusTooManyRequests)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(received, 0)
	is.Equal(s.bodies.bytes(), 0)
}

// A body above the limit can never be served. The caller must be told so, and not to come back when
// there is memory.
func TestBodyAboveLimitIsTooLarge(t *testing.T) {
	is := is.New(t)
	route := &catalog.Route{Host: "h", Prefix: "/", Kind: catalog.Idempotent, MaxAttempts: 2, Public: true, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	s := serverOn(clock.Boot(), viewOf(route, []fleet.Change{slotsOf("i-1", "127.0.0.1:9")}))
	s.bodies.limit = 1000
	s.cfg.Dialect.Read = func(*http.Request) (*Request, error) {
		return &Request{ID: "r", Method: http.MethodPost, Target: "/x", Path: "/x", Host: "h"}, nil
	}
	s.cfg.Dialect.SetRefusalHeaders = func(http.Header, string) {}
	entry := httptest.NewServer(s)
	defer entry.Close()
	c, err := net.Dial("tcp", entry.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", defaultMaxBodyBytes+1)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}
