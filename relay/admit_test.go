package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/platform/standin"
	"github.com/parsleydeal/parsleydeal/site"
)

// All entries start at the same time, and requests arrive before the state of the site is loaded.
// Without a wait hundreds were refused, although the entry would have been ready half a second
// later.
func TestEarlyRequestWaitsForStart(t *testing.T) {
	for _, x := range []struct {
		name          string
		callerTimeout clock.Millis
		startsIn      clock.Millis
		strategy      string
		status        int
	}{
		{"starts in time", 2000, 200, "hold", http.StatusOK},
		{"starts too late for the caller", 300, 5000, "hold", http.StatusServiceUnavailable},
		{"never starts", 60000, 1 << 40, "hold", http.StatusServiceUnavailable},
		{"refused", 2000, 200, "refuse", http.StatusServiceUnavailable},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			e, err := standin.StartEndpoint("i-1", nil)
			is.NoErr(err)
			defer e.Close()
			c := clock.Boot()
			startedAt := c.Now()
			started := make(chan struct{})
			route := &catalog.Route{Name: "r", Host: "h", Prefix: "/", Public: true, Kind: catalog.Idempotent, Timeout: 2000, LatencyTarget: 500, MaxAttempts: 2, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
			before, after := site.NewState(site.Self{Name: "e"}, 0).View(), viewOf(route, []fleet.Change{slotsOf("i-1", e.Address())})
			server := serverOn(c, nil)
			server.startedAt = startedAt
			server.cfg.Started = started
			server.cfg.View = func() *site.View {
				select {
				case <-started:
					return after
				default:
					return before
				}
			}
			server.cfg.Dialect.Read = func(r *http.Request) (*Request, error) {
				return &Request{ID: "r-1", Method: r.Method, Path: "/x", Host: "h", CallerTimeout: x.callerTimeout}, nil
			}
			server.cfg.Dialect.SetRefusalHeaders = func(http.Header, string) {}
			server.cfg.Strategies, err = decision.Choose(map[string]string{"early-requests": x.strategy})
			is.NoErr(err)
			go func() {
				clock.Pause(t.Context(), x.startsIn)
				close(started)
			}()
			w := httptest.NewRecorder()
			server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
			is.Equal(w.Code, x.status)
			took := c.Since(startedAt)
			is.True(took < maxStartWait+300)
			if x.status != http.StatusOK {
				is.True(w.Header().Get("Retry-After") != "")
				is.True(took <= x.callerTimeout/2+200)
				is.Equal(e.Received(), 0)
			}
		})
	}
}
