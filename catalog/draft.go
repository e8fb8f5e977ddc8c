package catalog

import (
	"math"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors. Their types say what is wrong with a configuration.
var Errors = errorx.NewNamespace("catalog")

// The types of errors.
var (
	// ErrUnreadable means that the record is not in the format of a configuration.
	ErrUnreadable = Errors.NewType("unreadable")
	// ErrIncomplete means that a part is missing without which no request can be served.
	ErrIncomplete = Errors.NewType("incomplete")
	// ErrOutOfRange means that a value has no meaning.
	ErrOutOfRange = Errors.NewType("out-of-range")
	// ErrDangling means that a route names a service that the configuration lacks.
	ErrDangling = Errors.NewType("dangling")
	// ErrAmbiguous means that a name, path or key stands for two things.
	ErrAmbiguous = Errors.NewType("ambiguous")
)

// Draft is a configuration as operators wrote it.
type Draft struct {
	Version       int64
	Routes        []*Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Check returns the configuration if the draft is valid as a whole. What it leaves out has its default; only
// routes and services must be there. The draft must not be changed afterwards.
func (d Draft) Check() (c *Config, err error) {
	c = &Config{draft: d, services: make(map[string]Service, len(d.Services)), byHost: make(map[string][]*Route), byKey: make(map[string]*Organisation)}
	switch {
	case d.Version <= 0:
		return nil, ErrOutOfRange.New("version %d", d.Version)
	case len(d.Routes) == 0:
		return nil, ErrIncomplete.New("there are no routes")
	case len(d.Services) == 0:
		return nil, ErrIncomplete.New("there are no services")
	case d.Limits.MaxHeaderBytes < 0 || d.Limits.MaxBodyBytes < 0 || d.Limits.IdleTimeout < 0:
		return nil, ErrOutOfRange.New("a limit is negative")
	}
	if err = c.addServices(); err != nil {
		return nil, err
	}
	if err = c.addRoutes(); err != nil {
		return nil, err
	}
	if err = c.addOrganisations(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) addServices() error {
	for _, s := range c.draft.Services {
		switch _, known := c.services[s.Name]; {
		case s.Name == "":
			return ErrIncomplete.New("a service has no name")
		case known:
			return ErrAmbiguous.New("service %s occurs twice", s.Name)
		case !isAmount(s.ColdPerSecond) || s.MaxConnections < 0:
			return ErrOutOfRange.New("service %s: a limit is negative", s.Name)
		}
		c.services[s.Name] = s
	}
	return nil
}

func (c *Config) addRoutes() error {
	names := make(map[string]bool, len(c.draft.Routes))
	prefixes := make(map[[2]string]bool, len(c.draft.Routes))
	for _, r := range c.draft.Routes {
		host := strings.ToLower(r.Host)
		if err := c.checkRoute(r); err != nil {
			return err
		}
		if names[r.Name] && r.Name != "" {
			return ErrAmbiguous.New("route %s occurs twice", r.Name)
		}
		if prefixes[[2]string{host, r.Prefix}] {
			return ErrAmbiguous.New("route %s: another one has its host and prefix", r.Name)
		}
		names[r.Name], prefixes[[2]string{host, r.Prefix}] = true, true
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return nil
}

func (c *Config) checkRoute(r *Route) error {
	switch {
	case r.Host == "":
		return ErrIncomplete.New("route %s has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return ErrOutOfRange.New("route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Kind < NonIdempotent || r.Kind > Streaming:
		return ErrOutOfRange.New("route %s: kind is unknown", r.Name)
	case r.Timeout < 0 || r.LatencyTarget < 0 || r.TargetGap < 0:
		return ErrOutOfRange.New("route %s: a time is negative", r.Name)
	case r.Priority < 0:
		return ErrOutOfRange.New("route %s: priority is negative", r.Name)
	case r.MaxAttempts < 1:
		return ErrOutOfRange.New("route %s: %d attempts", r.Name, r.MaxAttempts)
	case slices.Contains(r.Models, ""):
		return ErrIncomplete.New("route %s: a model has no name", r.Name)
	}
	total := 0.0
	for _, t := range r.Targets {
		if _, ok := c.services[t.Service]; !ok {
			return ErrDangling.New("route %s: there is no service %q", r.Name, t.Service)
		}
		if !isAmount(t.Weight) {
			return ErrOutOfRange.New("route %s: weight %g", r.Name, t.Weight)
		}
		total += t.Weight
	}
	if total <= 0 || math.IsInf(total, 0) {
		return ErrOutOfRange.New("route %s: its weights add up to %g", r.Name, total)
	}
	return nil
}

func (c *Config) addOrganisations() error {
	names := make(map[string]bool, len(c.draft.Organisations))
	for i := range c.draft.Organisations {
		o := &c.draft.Organisations[i]
		switch {
		case o.Name == "":
			return ErrIncomplete.New("an organisation has no name")
		case names[o.Name]:
			return ErrAmbiguous.New("organisation %s occurs twice", o.Name)
		case o.HasPriority && o.Priority < 0:
			return ErrOutOfRange.New("organisation %s: priority is negative", o.Name)
		case slices.Contains(o.Keys, ""):
			return ErrIncomplete.New("organisation %s: a key is empty", o.Name)
		}
		names[o.Name] = true
		for _, k := range o.Keys {
			if other := c.byKey[k]; other != nil && other != o {
				return ErrAmbiguous.New("organisations %s and %s have the same key", other.Name, o.Name)
			}
			c.byKey[k] = o
		}
	}
	return nil
}

// isAmount reports whether a number is finite and not negative.
func isAmount(n float64) bool { return n >= 0 && !math.IsInf(n, 0) }
