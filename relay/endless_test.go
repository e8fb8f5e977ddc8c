package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/platform/standin"
)

// Guards against an endpoint that goes on to get requests although it answers with a head that does not end: it takes
// longer than one that refuses.
func TestEndpointWithEndlessHeadIsAvoided(t *testing.T) {
	is := is.New(t)
	endless, err := standin.StartEndpoint("i-endless", func(*http.Request) standin.Reply { return standin.Reply{BreakAfter: -1, Endless: standin.EndlessFields} })
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
