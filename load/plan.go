// Package load sends bounded load to entries as callers do, and judges each
// promise as a caller sees it.
package load

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/pelletier/go-toml/v2"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("load")

// ErrInvalid marks a plan or a result that cannot be used.
var ErrInvalid = Errors.NewType("invalid")

// The arrival distributions.
const (
	Poisson = "poisson"
	Even    = "even"
	Bursts  = "bursts"
)

// Bounds of a plan.
const (
	maxRate     = 20000
	maxRequests = 2_000_000
	maxOpen     = 20000
)

// Plan says what to send. The same plan and seed give the same requests at the
// same instants.
type Plan struct {
	Seed uint64 `toml:"seed" json:"seed"`
	// Rate is the mean of requests a second, whatever becomes of them.
	Rate     float64      `toml:"rate" json:"rate"`
	Duration clock.Millis `toml:"duration" json:"duration"`
	Arrival  string       `toml:"arrival" json:"arrival"`
	// Burst is how many requests come together when Arrival is "bursts".
	Burst int `toml:"burst" json:"burst"`
	// MaxOpen bounds the requests under way; those beyond are counted as not
	// sent.
	MaxOpen int `toml:"max-open" json:"max-open"`
	// Timeout bounds one request with its retries.
	Timeout clock.Millis `toml:"timeout" json:"timeout"`
	// Retries is how often a request that did not run, or may be repeated, is
	// sent again.
	Retries int `toml:"retries" json:"retries"`
	// Words and Spread describe the log-normal length of prompts: its median
	// and the standard deviation of its logarithm.
	Words  float64 `toml:"words" json:"words"`
	Spread float64 `toml:"spread" json:"spread"`
	// Keyed is the share of requests with an idempotency key.
	Keyed float64 `toml:"keyed" json:"keyed"`
	// Doubled is the share of keyed calls of services that are sent twice.
	Doubled float64 `toml:"doubled" json:"doubled"`
	// Sessions is how many sessions there are, and InSession the share of chat
	// requests that belong to one.
	Sessions  int     `toml:"sessions" json:"sessions"`
	InSession float64 `toml:"in-session" json:"in-session"`
	// Entries are base URLs. A request that an entry cannot take goes to the
	// next, as a balancer would send it.
	Entries []string `toml:"entries" json:"entries"`
	// Direct is the base URL of an engine to which every request of routes is
	// also sent directly, to measure what the system adds. DirectModel is the
	// version to name there.
	Direct        string         `toml:"direct" json:"direct,omitempty"`
	DirectModel   string         `toml:"direct-model" json:"direct-model,omitempty"`
	Organisations []Organisation `toml:"organisations" json:"organisations"`
	Routes        []Route        `toml:"routes" json:"routes"`
	Services      []Service      `toml:"services" json:"services"`
}

// Organisation is one that sends.
type Organisation struct {
	Name string `toml:"name" json:"name"`
	// Key is the bearer key. Results do not hold it.
	Key    string  `toml:"key" json:"-"`
	Weight float64 `toml:"weight" json:"weight"`
}

// Route is one that chat requests name.
type Route struct {
	Name   string  `toml:"name" json:"name"`
	Weight float64 `toml:"weight" json:"weight"`
	// Versions are the versions allowed; empty checks none.
	Versions []string `toml:"versions" json:"versions,omitempty"`
	// Stream asks for server-sent events.
	Stream bool `toml:"stream" json:"stream"`
}

// Service is one call of a plain service.
type Service struct {
	Name   string  `toml:"name" json:"name"`
	Method string  `toml:"method" json:"method"`
	Path   string  `toml:"path" json:"path"`
	Weight float64 `toml:"weight" json:"weight"`
	// Repeatable calls may be sent again whatever became of them.
	Repeatable bool `toml:"repeatable" json:"repeatable"`
}

// DefaultPlan returns the plan before a file is read.
func DefaultPlan() Plan {
	return Plan{
		Seed: 1, Rate: 20, Duration: 10 * clock.Second, Arrival: Poisson, Burst: 8, MaxOpen: 512, Timeout: 30 * clock.Second, Retries: 3,
		Words: 40, Spread: 0.6, Keyed: 0.3, Doubled: 0.1, Sessions: 20, InSession: 0.5,
	}
}

// ReadPlan reads a plan over the defaults. ErrInvalid says what is wrong.
func ReadPlan(path string) (p Plan, err error) {
	p = DefaultPlan()
	data, err := os.ReadFile(path)
	if err != nil {
		return p, ErrInvalid.Wrap(err, "read plan")
	}
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err = dec.Decode(&p); err != nil {
		return p, ErrInvalid.Wrap(err, "read plan %s", path)
	}
	return p, p.Check()
}

// Check reports every fault of a plan.
func (p *Plan) Check() error {
	var faults []string
	need := func(ok bool, format string, a ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, a...))
		}
	}
	need(p.Rate > 0 && p.Rate <= maxRate, "rate: is %v, above 0 and at most %d is allowed", p.Rate, maxRate)
	need(p.Duration > 0 && p.Rate*float64(p.Duration)/float64(clock.Second) <= maxRequests, "duration: is %s, above 0 and at most %d requests in all is allowed", p.Duration, maxRequests)
	need(p.Arrival == Poisson || p.Arrival == Even || p.Arrival == Bursts, "arrival: is %q, %q, %q or %q is allowed", p.Arrival, Poisson, Even, Bursts)
	need(p.Burst >= 1, "burst: is %d, at least 1 is allowed", p.Burst)
	need(p.MaxOpen >= 1 && p.MaxOpen <= maxOpen, "max-open: is %d, 1 to %d is allowed", p.MaxOpen, maxOpen)
	need(p.Timeout > 0, "timeout: is %s, above 0 is allowed", p.Timeout)
	need(p.Retries >= 0 && p.Retries <= 10, "retries: is %d, 0 to 10 is allowed", p.Retries)
	need(p.Words >= 1 && p.Spread >= 0 && p.Spread <= 3, "words and spread: are %v and %v, at least 1 and 0 to 3 are allowed", p.Words, p.Spread)
	for name, share := range map[string]float64{"keyed": p.Keyed, "doubled": p.Doubled, "in-session": p.InSession} {
		need(share >= 0 && share <= 1, "%s: is %v, 0 to 1 is allowed", name, share)
	}
	need(len(p.Entries) > 0, "entries: at least one is needed")
	need(weightOf(p.Organisations, func(o Organisation) float64 { return o.Weight }) > 0, "organisations: at least one with a weight is needed")
	need(p.work() > 0, "routes or services: at least one with a weight is needed")
	need(p.Direct == "" || p.DirectModel != "", "direct-model: is needed beside direct")
	if len(faults) == 0 {
		return nil
	}
	return ErrInvalid.New("%s", strings.Join(faults, "\n"))
}

func (p *Plan) work() float64 {
	return weightOf(p.Routes, func(r Route) float64 { return r.Weight }) + weightOf(p.Services, func(s Service) float64 { return s.Weight })
}

func weightOf[T any](list []T, weight func(T) float64) (sum float64) {
	for _, x := range list {
		sum += max(weight(x), 0)
	}
	return sum
}
