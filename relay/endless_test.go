package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// Guards against answers that are each buffered up to a bound, and all together use up the memory: beyond the bound for all
// they are passed on as they arrive.
func TestBufferedAnswersAreBoundedTogether(t *testing.T) {
	for _, length := range []string{"length", "chunks"} {
		t.Run(length, func(t *testing.T) { bufferTogether(t, length == "length") })
	}
}

// bufferTogether has callers request large answers that all stop short of their end until the callers are looked at.
func bufferTogether(t *testing.T, withLength bool) {
	t.Helper()
	const callers, size, part = 24, 6 << 20, 5 << 20
	is := is.New(t)
	body := bytes.Repeat([]byte("x"), size)
	var arrived sync.WaitGroup
	arrived.Add(callers)
	released := make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if withLength {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		}
		_, _ = w.Write(body[:part])
		_ = http.NewResponseController(w).Flush()
		arrived.Done()
		<-released
		_, _ = w.Write(body[part:])
	}))
	defer endpoint.Close()
	route := &catalog.Route{Name: "r", Kind: catalog.NonIdempotent, Timeout: 10000, MaxAttempts: 1, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	change := slotsOf("i", endpoint.Listener.Addr().String())
	change.Endpoint.Slots = callers
	server := serverOn(clock.Boot(), viewOf(route, []fleet.Change{change}))
	server.cfg.Dialect.Read = readStalled
	server.cfg.Dialect.SetRefusalHeaders = func(http.Header, string) {}
	front := httptest.NewServer(server)
	defer front.Close()
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			resp, err := http.Get(front.URL)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			if err != nil || !bytes.Equal(got, body) {
				t.Errorf("got %d bytes, %v", len(got), err)
			}
		})
	}
	arrived.Wait()
	time.Sleep(100 * time.Millisecond)
	used := server.buffered.bytes()
	t.Logf("%d MB are buffered", used>>20)
	is.True(used > 0 && used <= server.buffered.limit)
	close(released)
	all.Wait()
	is.Equal(server.buffered.bytes(), 0)
}

// Guards against an endpoint that goes on to get requests although it answers with a head that does not end: it takes
// longer than one that refuses.
func TestEndpointWithEndlessHeadIsAvoided(t *testing.T) {
	is := is.New(t)
	endless, err := standin.StartEndpoint("i-endless", func(*http.Request) standin.Reply {
		return standin.Reply{BreakAfter: -1, Endless: standin.EndlessFields}
	})
	is.NoErr(err)
	defer endless.Close()
	sound, err := standin.StartEndpoint("i-sound", func(*http.Request) standin.Reply { return standin.Reply{BreakAfter: -1} })
	is.NoErr(err)
	defer sound.Close()
	route := &catalog.Route{Name: "r", Kind: catalog.Idempotent, Timeout: 5000, LatencyTarget: 1000, MaxAttempts: 2, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	server := serverOn(clock.Boot(), viewOf(route, []fleet.Change{slotsOf(endless.Name, endless.Address()), slotsOf(sound.Name, sound.Address())}))
	server.cfg.Dialect.Read = readStalled
	for range 40 {
		w := httptest.NewRecorder()
		server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
		is.Equal(w.Code, http.StatusOK)
	}
	is.True(len(endless.Runs()) > 0 && len(endless.Runs()) <= 4)
}

// Guards against bodies of callers without a length that are counted only once they have been read: all of them together
// would use up the memory first.
func TestBodiesInChunksAreCountedWhileTheyAreRead(t *testing.T) {
	const callers, size = 24, 6 << 20
	is := is.New(t)
	server := serverOn(clock.Boot(), viewOf(&catalog.Route{Name: "r", Kind: catalog.NonIdempotent, Timeout: 5000, MaxAttempts: 1, Targets: []catalog.Target{{Service: "app", Weight: 1}}}, nil))
	server.bodies.limit = 32 << 20
	server.cfg.Dialect.Read = readStalled
	server.cfg.Dialect.SetRefusalHeaders = func(http.Header, string) {}
	front := httptest.NewServer(server)
	defer front.Close()
	part := fmt.Sprintf("%x\r\n%s\r\n", size, bytes.Repeat([]byte("x"), size))
	statuses := make(chan int, callers)
	var conns []net.Conn
	for range callers {
		c, err := net.Dial("tcp4", front.Listener.Addr().String())
		is.NoErr(err)
		defer c.Close()
		conns = append(conns, c)
		go func() {
			_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+part)
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
				statuses <- resp.StatusCode
				return
			}
			statuses <- 0
		}()
	}
	// The bodies that find no memory are refused, although none has come to its end.
	for n := range callers - server.bodies.limit/(bodyCopies*size) {
		select {
		case status := <-statuses:
			is.True(status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == 0)
		case <-time.After(2 * time.Second):
			t.Fatalf("%d bodies of %d MB were refused, %d MB are counted", n, size>>20, server.bodies.bytes()>>20)
		}
	}
	is.True(server.bodies.bytes() <= server.bodies.limit)
	for _, c := range conns {
		is.NoErr(c.Close())
	}
}
