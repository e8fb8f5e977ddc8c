// Package decision names the decisions of an entry that can be made by more than one strategy, and
// the strategies. The program contains all of them, so that operators can choose and compare
// strategies on their own site.
package decision

import (
	"maps"
	"slices"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("decision")

// ErrUnknown is returned for an unknown decision or strategy.
var ErrUnknown = Errors.NewType("unknown")

// Name is the name of a decision, as used in settings.
type Name string

// Strategy is the name of a strategy for a decision, as used in settings.
type Strategy string

// Strategies of decisions that enable or disable a mechanism.
const (
	On  Strategy = "on"
	Off Strategy = "off"
)

// Decision describes a decision and lists its strategies.
type Decision struct {
	Name Name
	// Load describes the load pattern under which the choice of strategy matters.
	Load string
	// Strategies lists the strategies, the default first.
	Strategies []Strategy
}

// Decisions whether to use a mechanism. Each comment describes what On does.
const (
	// ReportedWork includes the pending work that other entries report in the wait at an endpoint.
	ReportedWork Name = "told-work"
	// ReportedBlocks treats the prompt blocks that other entries report to have sent to an
	// endpoint as cached there.
	ReportedBlocks Name = "told-parts"
	// CachedBlocks charges a prompt only for the prefill of blocks that the endpoint has not
	// cached.
	CachedBlocks Name = "kept-parts"
	// Waiting adds the prefill time of the prompts waiting at an endpoint to its cost.
	Waiting Name = "waiting"
	// LatePrompts refuses prompts that would be late at every endpoint.
	LatePrompts Name = "late-prompts"
	// UnreachableEndpoints avoids endpoints that could not be reached.
	UnreachableEndpoints Name = "lost-endpoints"
	// Failures makes endpoints that failed recently cost more.
	Failures Name = "failures"
	// UnreportedCost prefers endpoints for which this entry gets reports of other entries' work.
	UnreportedCost Name = "blind-cost"
	// UrgentReports reports a long prompt to other entries at once instead of with the next
	// periodic report.
	UrgentReports Name = "urgent-reports"
	// StayIfBusy keeps waiting for a slow endpoint unless another one has capacity.
	StayIfBusy Name = "stay-if-busy"
)

// Decisions between several strategies.
const (
	// Drop decides whether the smallest model's answer is dropped in favour of the largest one's.
	Drop Name = "drop"
	// FirstByteTimeout decides how long to wait for the first byte of an endpoint.
	FirstByteTimeout Name = "patience"
	// Affinity decides where prompts with shared blocks go while it is not known which endpoint
	// has the blocks cached.
	Affinity Name = "affinity"
	// Start decides with what state of the endpoints an entry starts.
	Start Name = "start"
	// EarlyRequests decides what happens to requests that arrive at an entry before it has loaded
	// the state of its site.
	EarlyRequests Name = "early-requests"
	// Pace decides how the pace that an endpoint reports changes the expected time of work there.
	Pace Name = "pace"
	// Connection decides how to send a request that may run only once on a new connection.
	Connection Name = "connection"
)

// Strategies of Start.
const (
	// Snapshot gets the cached prompt blocks of the endpoints and the speeds of models from
	// another entry.
	Snapshot Strategy = "snapshot"
	// Empty starts without cached blocks and speeds.
	Empty Strategy = "blank"
)

// Strategies of EarlyRequests.
const (
	// Hold delays requests until the state of the site is loaded, for at most a fraction of the
	// caller timeout.
	Hold Strategy = "hold"
	// Refuse refuses requests at once, so that callers retry.
	Refuse Strategy = "refuse"
)

// Strategies of Drop.
const (
	// ByTime weighs the value of a better answer against the larger model's price and time. The
	// time is measured as the fraction of the remaining time until the larger model's first byte.
	ByTime Strategy = "by-time"
	// ByPressure is ByTime with the charge for time scaled by the current load of the endpoints.
	ByPressure Strategy = "by-pressure"
	// ByPrice weighs the value of a better answer against the larger model's price only.
	ByPrice Strategy = "by-price"
	// ByConfidence drops an answer with a confidence below 50.
	ByConfidence Strategy = "by-opinion"
)

// Strategies of FirstByteTimeout.
const (
	// ByMean waits for a multiple of the route's mean time to the first byte.
	ByMean Strategy = "by-mean"
	// ByError waits for the expected time to the first byte of this request plus a margin for the
	// error of that estimate.
	ByError Strategy = "by-error"
	// CallerTimeout waits until the request's own timeout expires.
	CallerTimeout Strategy = "endless"
)

// Strategies of Affinity.
const (
	// ByZone prefers, by a hash of endpoint and shared block, one endpoint of the entry's own
	// zone.
	ByZone Strategy = "by-zone"
	// AllZones prefers, by the same hash, one endpoint out of all zones.
	AllZones Strategy = "everywhere"
	// NoAffinity prefers no endpoint.
	NoAffinity Strategy = "none"
)

// Strategies of Pace.
const (
	// Recent uses the endpoint's typical pace and its last reported deviation from it, with a
	// weight that falls with the age of the report.
	Recent Strategy = "recent"
	// Typical uses the endpoint's typical pace only.
	Typical Strategy = "typical"
	// Ignored assumes that every endpoint is as fast as usual.
	Ignored Strategy = "ignored"
)

// Strategies of Connection.
const (
	// Watched waits a short time on a new connection, in case the endpoint resets it, before it
	// sends the request.
	Watched Strategy = "watched"
	// Immediate sends the request on a new connection at once.
	Immediate Strategy = "fresh"
)

// All is the list of decisions.
var All = []Decision{
	{Drop, "half of the prompts are too hard for the smallest model while endpoints are busy", []Strategy{ByPressure, ByTime, ByPrice, ByConfidence}},
	{FirstByteTimeout, "an endpoint loses an answer, or stops, while others have room", []Strategy{ByMean, ByError, CallerTimeout}},
	{Start, "entries are stopped and started in turn, and callers go on", []Strategy{Snapshot, Empty}},
	{EarlyRequests, "all entries are stopped at once, and callers go on", []Strategy{Hold, Refuse}},
	{Affinity, "entries that hear nothing of one another send prompts that share parts", []Strategy{ByZone, AllZones, NoAffinity}},
	{Connection, "endpoints have as many connections as they take and reset new ones", []Strategy{Watched, Immediate}},
	{Pace, "endpoints share their VMs with others and turn slow for parts of a second", []Strategy{Recent, Typical, Ignored}},
	mechanism(ReportedWork, "several entries send long prompts at once"),
	mechanism(ReportedBlocks, "prompts share parts, and callers reach any entry"),
	mechanism(CachedBlocks, "prompts share parts that endpoints keep"),
	mechanism(Waiting, "prompts of different length come in bursts"),
	mechanism(LatePrompts, "more prompts come than can be read in time"),
	mechanism(UnreachableEndpoints, "an endpoint is gone before the store says so"),
	mechanism(Failures, "an endpoint fails a part of its requests"),
	mechanism(UnreportedCost, "entries of other zones fill endpoints that this one hears nothing of"),
	mechanism(UrgentReports, "a long prompt is followed by others within half a second"),
	mechanism(StayIfBusy, "all other endpoints are busy when one turns slow"),
}

func mechanism(n Name, load string) Decision { return Decision{n, load, []Strategy{On, Off}} }

// find returns a decision by its name.
func find(n Name) (d Decision, ok bool) {
	i := slices.IndexFunc(All, func(d Decision) bool { return d.Name == n })
	if i < 0 {
		return d, false
	}
	return All[i], true
}

// Strategies holds the chosen strategy of each decision. The zero value holds the defaults.
type Strategies struct {
	// chosen holds only known decisions and strategies. A decision that is missing uses its
	// default.
	chosen map[Name]Strategy
}

// Choose returns the strategies that the argument gives by decision name, with the default for
// each decision that it omits. The error is an ErrUnknown.
func Choose(strategies map[string]string) (s Strategies, err error) {
	s.chosen = make(map[Name]Strategy, len(strategies))
	for _, name := range slices.Sorted(maps.Keys(strategies)) {
		d, ok := find(Name(name))
		if !ok {
			return Strategies{}, ErrUnknown.New("there is no decision %q", name)
		}
		strategy := Strategy(strategies[name])
		if !slices.Contains(d.Strategies, strategy) {
			return Strategies{}, ErrUnknown.New("%s has no way %q", name, strategy)
		}
		s.chosen[d.Name] = strategy
	}
	return s, nil
}

// For returns the chosen strategy of a decision, or its default. The decision must be in All.
func (s Strategies) For(n Name) Strategy {
	if strategy, ok := s.chosen[n]; ok {
		return strategy
	}
	d, _ := find(n)
	return d.Strategies[0]
}

// Disabled reports whether the mechanism that a decision controls is disabled.
func (s Strategies) Disabled(n Name) bool {
	// Fast path: this runs for each endpoint of each request, and most processes use only
	// defaults.
	return len(s.chosen) > 0 && s.For(n) == Off
}
