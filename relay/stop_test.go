package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/platform/standin"
	"github.com/parsleydeal/parsleydeal/site"
)

// stopSite is a server with one endpoint, and callers in front of it.
type stopSite struct {
	is       *is.I
	server   *Server
	endpoint *standin.Endpoint
	url      string
}

// Guards against a stream of which a part was sent and that is cut before its entry ends.
func TestStreamThatHasBegunGoesOnAtEndOfStop(t *testing.T) {
	s := newStopSite(t, 0)
	s.endpoint.Respond = func(*http.Request) standin.Reply {
		return standin.Reply{BreakAfter: -1, Events: continuationEvents, EventDelay: 50 * time.Millisecond}
	}
	s.server.cfg.View = func() *site.View {
		return viewOf(continuationRoute(catalog.Streaming, false), []fleet.Change{slotsOf("i", s.endpoint.Address())})
	}
	s.server.Leave(1000, 200)
	resp, body := s.send()
	s.is.Equal(resp.StatusCode, http.StatusOK)
	s.is.Equal(body, wholeStream("r-1"))
}

// Guards against a request that comes after load balancers have noticed the stop, and is cut because it takes longer than
// usual.
func TestLateRequestIsTakenOnlyIfItsDeadlineIsBeforeTheEnd(t *testing.T) {
	for left, status := range map[clock.Millis]int{3000: http.StatusServiceUnavailable, 6000: http.StatusOK} {
		s := newStopSite(t, 0)
		s.server.Leave(0, left)
		resp, _ := s.send()
		s.is.Equal(resp.StatusCode, status)
		s.is.Equal(s.endpoint.Received() > 0, status == http.StatusOK)
	}
}

// newStopSite returns a site whose endpoint works for a time on each request.
func newStopSite(t *testing.T, work time.Duration) *stopSite {
	t.Helper()
	s := &stopSite{is: is.New(t)}
	var err error
	s.endpoint, err = standin.StartEndpoint("i", func(*http.Request) standin.Reply { return standin.Reply{BreakAfter: -1, Delay: work} })
	s.is.NoErr(err)
	t.Cleanup(s.endpoint.Close)
	s.server = serverOn(clock.Boot(), viewOf(continuationRoute(catalog.NonIdempotent, false), []fleet.Change{slotsOf("i", s.endpoint.Address())}))
	s.server.cfg.Dialect = Dialect{Read: readEnding, Call: callWithBody, Head: headOfRaw, SetRefusalHeaders: func(http.Header, string) {}}
	entry := httptest.NewServer(s.server)
	t.Cleanup(entry.Close)
	s.url = entry.URL + "/x"
	return s
}

// send sends a request and returns its complete answer.
func (s *stopSite) send() (resp *http.Response, body string) {
	r, err := http.NewRequest(http.MethodPost, s.url, strings.NewReader("body"))
	s.is.NoErr(err)
	r.Header.Set("Request-Id", "r-1")
	resp, err = http.DefaultClient.Do(r)
	s.is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	s.is.NoErr(err)
	return resp, string(data)
}

// Guards against a request that is cut without an answer when the entry that passed it on ends as planned, and against
// that being held against its endpoint.
func TestRequestThatStillRunsAtEndOfStopIsAnswered(t *testing.T) {
	s := newStopSite(t, 2*time.Second)
	time.AfterFunc(50*time.Millisecond, func() { s.server.Leave(500, 500) })
	start := time.Now()
	resp, body := s.send()
	s.is.Equal(resp.StatusCode, http.StatusBadGateway)
	s.is.True(strings.Contains(body, "unknown"))
	s.is.True(time.Since(start) > 400*time.Millisecond)
	s.is.True(time.Since(start) < 550*time.Millisecond)
	s.is.Equal(len(s.server.TrafficCounts().Counts), 0)
}

// Guards against a request that a stopping entry passes on although it cannot end in time, and against one that is refused
// although it can.
func TestStopTakesWhatItHasTimeFor(t *testing.T) {
	for left, status := range map[clock.Millis]int{200: http.StatusServiceUnavailable, 3000: http.StatusOK} {
		s := newStopSite(t, 150*time.Millisecond)
		for range 4 {
			resp, _ := s.send()
			s.is.Equal(resp.StatusCode, http.StatusOK)
		}
		s.server.Leave(left, left)
		received := s.endpoint.Received()
		resp, body := s.send()
		s.is.Equal(resp.StatusCode, status)
		s.is.True(resp.Close)
		if status != http.StatusOK {
			s.is.Equal(s.endpoint.Received(), received)
			s.is.True(strings.Contains(body, "not-run"))
			s.is.True(resp.Header.Get("Retry-After") != "")
		}
	}
}
