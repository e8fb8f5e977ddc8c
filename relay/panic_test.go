package relay

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// Guards against a connection that is closed without an answer because the handler of its request panicked, and against
// memory that stays reserved for it.
func TestPanicInHandlerIsAnswered(t *testing.T) {
	is := is.New(t)
	e, err := standin.StartEndpoint("i", func(*http.Request) standin.Reply { return standin.Reply{BreakAfter: -1} })
	is.NoErr(err)
	defer e.Close()
	server := serverOn(clock.Boot(), viewOf(continuationRoute(catalog.NonIdempotent, false), []fleet.Change{slotsOf("i", e.Address())}))
	server.cfg.Dialect = Dialect{Read: readEnding, Call: callWithBody, SetRefusalHeaders: func(h http.Header, id string) { h.Set("Request-Id", id) }}
	server.cfg.Dialect.Head = func(_ int, h http.Header) Head {
		// net/http panics on this status.
		return Head{Status: 42, Signed: true, Confidence: -1, Header: h}
	}
	entry := httptest.NewServer(server)
	defer entry.Close()
	r, err := http.NewRequest(http.MethodPost, entry.URL+"/x", strings.NewReader("body"))
	is.NoErr(err)
	r.Header.Set("Request-Id", "r-1")
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusInternalServerError)
	is.Equal(resp.Header.Get("Request-Id"), "r-1")
	is.Equal(resp.Header.Get("Response-Signature"), "")
	is.True(resp.Close)
	is.Equal(server.panics.Get(), uint64(1))
	is.Equal(server.bodies.bytes()+server.buffered.bytes(), 0)
	is.Equal(server.Active(), int64(0))
}
