package relay

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/site"
)

// An entry's configuration is older than that of operators, or was not confirmed lately. Guards against a
// refusal by an older configuration than the one that must be in force.
func TestRefusalNeedsConfirmedConfiguration(t *testing.T) {
	const confirmedAt = clock.Minute
	service := catalog.Service{Name: "app"}
	route := func(path string) *catalog.Route {
		return &catalog.Route{Name: path, Host: "h", Prefix: path, MaxAttempts: 1, Targets: []catalog.Target{{Service: "app", Weight: 1}}}
	}
	config := func(version int64, key string, routes ...*catalog.Route) *catalog.Config {
		c, err := catalog.Draft{Version: version, Routes: routes, Services: []catalog.Service{service}, Organisations: []catalog.Organisation{{Name: "org", Keys: []string{key}}}}.Check()
		is.New(t).NoErr(err)
		return c
	}
	before, after := config(1, "old", route("/a/")), config(2, "new", route("/a/"), route("/b/"))
	for _, x := range []struct {
		name      string
		path, key string
		age       clock.Millis
		confirm   string
		confirms  int
		code      refusal.Code
	}{
		{"route was added", "/b/x", "new", 1900, "newer", 1, ""},
		{"key was added", "/a/x", "new", 1900, "newer", 1, ""},
		{"no such route", "/c/x", "new", 1900, "newer", 1, refusal.NoRoute},
		{"no such key", "/a/x", "other", 1900, "same", 1, refusal.Unauthorised},
		{"confirmed lately", "/b/x", "old", 1000, "newer", 0, refusal.NoRoute},
		{"cannot be confirmed", "/b/x", "old", 1900, "fails", 1, refusal.Stale},
		{"allowed", "/a/x", "old", 1900, "newer", 0, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			s := site.NewState(site.Self{Name: "e"}, 0)
			read := func(c *catalog.Config, at clock.Millis) {
				site.Reduce(s, site.OperatorRead{Now: at, SentAt: at, Full: true, Next: site.Position{Offset: c.Version()}, Update: site.OperatorUpdate{Config: c}})
			}
			site.Reduce(s, site.VerdictsRead{Now: confirmedAt})
			site.Reduce(s, site.EndpointsRead{Now: confirmedAt, SentAt: confirmedAt, Full: true})
			read(before, confirmedAt)
			now := confirmedAt + x.age
			server := New(Config{Clock: clock.New(func() clock.Millis { return now }), View: s.View, Strict: true, KeyLease: 4700, RetryRatio: 1, RetryWindow: 1000})
			confirms := 0
			server.cfg.Confirm = func(_ context.Context, since clock.Millis) error {
				confirms++
				is.True(since > confirmedAt)
				switch x.confirm {
				case "fails":
					return errors.New("store does not answer")
				case "same":
					read(before, now)
				default:
					read(after, now)
				}
				return nil
			}
			r := httptest.NewRequest(http.MethodGet, x.path, nil)
			e := &exchange{server: server, w: httptest.NewRecorder(), r: r, startedAt: now, view: s.View(), req: &Request{ID: "r", Path: x.path, Host: "h", Key: x.key, CallerTimeout: 2000}}
			err := e.admit()
			code := refusal.Code("")
			if refused, ok := refusal.As(err); ok {
				code = refused.Code()
			}
			is.Equal(code, x.code)
			is.Equal(confirms, x.confirms)
			if code == refusal.Stale {
				refused, _ := refusal.As(err)
				is.Equal(refused.Status(), http.StatusServiceUnavailable)
				is.True(refused.RetryAfter() > 0)
			}
		})
	}
}
