// Package load sends load at a set rate to entries as callers do, and checks the system's
// guarantees from the caller's side.
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

// ErrInvalid is the type of errors for a plan or a result that cannot be used.
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

// Plan describes the load to send. The same plan and seed give the same requests at the same times,
// counted from the start of a run.
type Plan struct {
	Seed uint64 `toml:"seed" json:"seed"`
	// Rate is the mean number of requests per second; it does not depend on their outcomes.
	Rate     float64      `toml:"rate" json:"rate"`
	Duration clock.Millis `toml:"duration" json:"duration"`
	Arrival  string       `toml:"arrival" json:"arrival"`
	// Burst is the number of requests that are due at the same time when Arrival is "bursts".
	Burst int `toml:"burst" json:"burst"`
	// MaxOpen bounds the requests in flight; a request that is due beyond it is counted as not
	// sent.
	MaxOpen int `toml:"max-open" json:"max-open"`
	// Timeout bounds one request including its retries.
	Timeout clock.Millis `toml:"timeout" json:"timeout"`
	// Retries is the maximum number of times that a request is sent again. Only a request that did
	// not run or is safe to repeat is sent again.
	Retries int `toml:"retries" json:"retries"`
	// Words is the median number of words of a prompt. The number has a log-normal distribution;
	// Spread is the standard deviation of its logarithm.
	Words  float64 `toml:"words" json:"words"`
	Spread float64 `toml:"spread" json:"spread"`
	// Keyed is the fraction of requests with an idempotency key.
	Keyed float64 `toml:"keyed" json:"keyed"`
	// Doubled is the fraction of keyed service calls that are sent twice at the same time.
	Doubled float64 `toml:"doubled" json:"doubled"`
	// Sessions is the number of sessions, and InSession the fraction of chat requests that belong
	// to one.
	Sessions  int     `toml:"sessions" json:"sessions"`
	InSession float64 `toml:"in-session" json:"in-session"`
	// Entries are base URLs. Each retry of a request goes to the next entry, as a load balancer
	// would send it.
	Entries []string `toml:"entries" json:"entries"`
	// Crowds are times in which most requests go to a few entries.
	Crowds []Crowd `toml:"crowds" json:"crowds,omitempty"`
	// Direct is the base URL of an engine. Every chat request is also sent straight to it, which
	// shows the latency that the system adds; nothing is sent if Direct is empty. DirectModel is
	// the model name in these requests.
	Direct        string         `toml:"direct" json:"direct,omitempty"`
	DirectModel   string         `toml:"direct-model" json:"direct-model,omitempty"`
	Organisations []Organisation `toml:"organisations" json:"organisations"`
	Routes        []Route        `toml:"routes" json:"routes"`
	Services      []Service      `toml:"services" json:"services"`
}

// Crowd is a time, from the start of the run, in which the given fraction of the requests go first to a few entries.
// Their retries go to the next ones, as always.
type Crowd struct {
	From     clock.Millis `toml:"from" json:"from"`
	Until    clock.Millis `toml:"until" json:"until"`
	Fraction float64      `toml:"fraction" json:"fraction"`
	// Entry is the number of the first of these entries, from 0, and Entries how many they are; 0 means one.
	Entry   int `toml:"entry" json:"entry"`
	Entries int `toml:"entries" json:"entries"`
}

// Organisation is an organisation that sends requests.
type Organisation struct {
	Name string `toml:"name" json:"name"`
	// Key is the bearer key. Results do not contain it.
	Key    string  `toml:"key" json:"-"`
	Weight float64 `toml:"weight" json:"weight"`
}

// Route is a route of the tables; chat requests give its name as their model.
type Route struct {
	Name   string  `toml:"name" json:"name"`
	Weight float64 `toml:"weight" json:"weight"`
	// Versions lists the allowed versions; if it is empty, versions are not checked.
	Versions []string `toml:"versions" json:"versions,omitempty"`
	// Stream requests server-sent events.
	Stream bool `toml:"stream" json:"stream"`
}

// Service describes calls to a plain service, that is, one that is not a model.
type Service struct {
	Name   string  `toml:"name" json:"name"`
	Method string  `toml:"method" json:"method"`
	Path   string  `toml:"path" json:"path"`
	Weight float64 `toml:"weight" json:"weight"`
	// Repeatable means that a call may be sent again whatever became of the earlier try.
	Repeatable bool `toml:"repeatable" json:"repeatable"`
}

// DefaultPlan returns the values of the settings that a plan file omits. It has no entries,
// organisations, routes or services.
func DefaultPlan() Plan {
	return Plan{
		Seed: 1, Rate: 20, Duration: 10 * clock.Second, Arrival: Poisson, Burst: 8, MaxOpen: 512, Timeout: 30 * clock.Second, Retries: 3,
		Words: 40, Spread: 0.6, Keyed: 0.3, Doubled: 0.1, Sessions: 20, InSession: 0.5,
	}
}

// ReadPlan reads and checks a TOML plan; settings that the file omits have the values of
// DefaultPlan. It returns ErrInvalid when the file cannot be read or the plan is not valid.
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

// Check returns an ErrInvalid that lists every fault of the plan, or nil.
func (p *Plan) Check() error {
	var faults []string
	require := func(ok bool, format string, a ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, a...))
		}
	}
	require(p.Rate > 0 && p.Rate <= maxRate, "rate: is %v, above 0 and at most %d is allowed", p.Rate, maxRate)
	require(p.Duration > 0 && p.Rate*float64(p.Duration)/float64(clock.Second) <= maxRequests, "duration: is %s, above 0 and at most %d requests in all is allowed", p.Duration, maxRequests)
	require(p.Arrival == Poisson || p.Arrival == Even || p.Arrival == Bursts, "arrival: is %q, %q, %q or %q is allowed", p.Arrival, Poisson, Even, Bursts)
	require(p.Burst >= 1, "burst: is %d, at least 1 is allowed", p.Burst)
	require(p.MaxOpen >= 1 && p.MaxOpen <= maxOpen, "max-open: is %d, 1 to %d is allowed", p.MaxOpen, maxOpen)
	require(p.Timeout > 0, "timeout: is %s, above 0 is allowed", p.Timeout)
	require(p.Retries >= 0 && p.Retries <= 10, "retries: is %d, 0 to 10 is allowed", p.Retries)
	require(p.Words >= 1 && p.Spread >= 0 && p.Spread <= 3, "words and spread: are %v and %v, at least 1 and 0 to 3 are allowed", p.Words, p.Spread)
	for name, fraction := range map[string]float64{"keyed": p.Keyed, "doubled": p.Doubled, "in-session": p.InSession} {
		require(fraction >= 0 && fraction <= 1, "%s: is %v, 0 to 1 is allowed", name, fraction)
	}
	for i, c := range p.Crowds {
		require(c.From < c.Until && c.Fraction >= 0 && c.Fraction <= 1, "crowds: number %d needs from before until, and a fraction of 0 to 1", i+1)
		require(c.Entry >= 0 && c.Entries >= 0 && c.Entry+max(c.Entries, 1) <= len(p.Entries), "crowds: number %d names entries that are not listed", i+1)
	}
	require(len(p.Entries) > 0, "entries: at least one is needed")
	require(sumWeights(p.Organisations, func(o Organisation) float64 { return o.Weight }) > 0, "organisations: at least one with a weight is needed")
	require(p.totalWeight() > 0, "routes or services: at least one with a weight is needed")
	require(p.Direct == "" || p.DirectModel != "", "direct-model: is needed beside direct")
	if len(faults) == 0 {
		return nil
	}
	return ErrInvalid.New("%s", strings.Join(faults, "\n"))
}

// totalWeight sums the weights of all routes and services.
func (p *Plan) totalWeight() float64 {
	return sumWeights(p.Routes, func(r Route) float64 { return r.Weight }) + sumWeights(p.Services, func(s Service) float64 { return s.Weight })
}

// sumWeights sums the weights of a list; a negative weight counts as 0.
func sumWeights[T any](list []T, weight func(T) float64) (sum float64) {
	for _, x := range list {
		sum += max(weight(x), 0)
	}
	return sum
}
