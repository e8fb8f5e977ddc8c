// Package catalog holds the configuration that operators publish for a site: routes, services,
// organisations and limits. It looks up the route and the organisation of a request.
package catalog

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Kind says whether a route's requests may be repeated.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again after any failure.
	Idempotent
	// Streaming requests are answered with events. They may run again only if the route is
	// resumable.
	Streaming
)

// Target is a service that serves a share of a route's requests.
type Target struct {
	Service string
	// Weight is not negative. It is relative to the sum of the route's weights, which is positive.
	Weight float64
}

// Route maps requests below a path of a host to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the duration of a request. LatencyTarget is the time within which an answer
	// is of full use, and TargetGap the longest gap between events of a stream that is on time.
	Timeout       clock.Millis
	LatencyTarget clock.Millis
	TargetGap     clock.Millis
	// Priority is the route's rank; 0 goes first.
	Priority int
	// Models are the names of the models that may answer, the smallest first; empty if the
	// caller names the model.
	Models  []string
	Targets []Target
	// MaxAttempts is at least 1.
	MaxAttempts int
	// Public means that requests need no key.
	Public    bool
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request with the given hash, selected by the weights of the
// targets; empty if the route has no targets.
func (r *Route) Service(hash uint64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	draw := Fraction(hash) * total
	for _, t := range r.Targets {
		if draw < t.Weight {
			return t.Service
		}
		draw -= t.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Serves reports whether a service may serve requests of the route.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Fraction maps a hash to a number in [0, 1).
func Fraction(hash uint64) float64 {
	const fraction = 1 << 53
	return float64(hash>>11) / fraction
}

// HashOf returns the hash of a name for Fraction.
func HashOf(name string) uint64 { return xxhash.Sum64String(name) }

// Service is a group of equivalent endpoints.
type Service struct {
	Name string
	// ColdPerSecond is the maximum number of requests per second for an endpoint in cold start;
	// 0 for no limit.
	ColdPerSecond float64
	// MaxConnections is the maximum number of connections to an endpoint from all entries
	// together; 0 for no limit.
	MaxConnections int
}

// Organisation is a customer with its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits limit what callers may send; 0 means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// IdleTimeout is how long a connection may wait for its next request.
	IdleTimeout clock.Millis
}

// Config is one version of the configuration that has passed all checks. It is immutable and safe for
// concurrent use.
type Config struct {
	draft    Draft
	services map[string]Service
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
	// byKey holds the organisation of each key.
	byKey map[string]*Organisation
}

// Version returns the version, which is positive.
func (c *Config) Version() int64 { return c.draft.Version }

// Routes returns all routes. Callers must not change them.
func (c *Config) Routes() []*Route { return c.draft.Routes }

// Organisations returns all organisations. Callers must not change them.
func (c *Config) Organisations() []Organisation { return c.draft.Organisations }

// Limits returns what callers may send.
func (c *Config) Limits() Limits { return c.draft.Limits }

// Service returns a service by its name.
func (c *Config) Service(name string) (s Service, ok bool) {
	s, ok = c.services[name]
	return s, ok
}

// Route returns the route with the longest prefix of a path, or nil. The path is compared as it
// was sent: if it were decoded first, %2e or %2f could reach a route that the operator did not
// intend.
func (c *Config) Route(host, path string) *Route {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.byHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrganisationOf returns the organisation that owns a key.
func (c *Config) OrganisationOf(key string) (o *Organisation, ok bool) {
	if key == "" {
		return nil, false
	}
	o, ok = c.byKey[key]
	return o, ok
}

// NeedsKeys reports whether requests to routes that are not public need a key.
func (c *Config) NeedsKeys() bool { return len(c.draft.Organisations) > 0 }
