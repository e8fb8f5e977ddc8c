// Package decision defines the decisions of an entry that can be made by more than one strategy,
// and the strategies. One build contains all strategies, so that operators can compare them on
// their own site.
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

// Name is the name of a decision.
type Name string

// Strategy is the name of a strategy for a decision.
type Strategy string

// Strategies of decisions that enable or disable a mechanism.
const (
	On  Strategy = "on"
	Off Strategy = "off"
)

// Decision is a decision with its strategies.
type Decision struct {
	Name Name
	// Load is the load pattern for which the decision matters.
	Load string
	// Strategies holds the default first.
	Strategies []Strategy
}

// Decisions that enable or disable a mechanism.
const (
	// ReportedWork counts the pending work that other entries report.
	ReportedWork Name = "told-work"
	// ReportedBlocks counts prompt blocks as cached that other entries report to have sent.
	ReportedBlocks Name = "told-parts"
	// CachedBlocks charges only the prefill of blocks that an endpoint has not cached.
	CachedBlocks Name = "kept-parts"
	// Waiting adds the prefill time of the prompts waiting at an endpoint to its cost.
	Waiting Name = "waiting"
	// LatePrompts refuses prompts that would be late at every endpoint.
	LatePrompts Name = "late-prompts"
	// UnreachableEndpoints avoids endpoints that could not be reached.
	UnreachableEndpoints Name = "lost-endpoints"
	// Failures avoids endpoints that failed recently.
	Failures Name = "failures"
	// UnreportedCost prefers endpoints whose work is reported to this entry.
	UnreportedCost Name = "blind-cost"
	// UrgentReports reports a long prompt at once instead of with the next periodic report.
	UrgentReports Name = "urgent-reports"
	// StayIfBusy abandons a slow endpoint only if another one has capacity.
	StayIfBusy Name = "stay-if-busy"
)

// Decisions with several strategies.
const (
	// Drop decides whether the smallest model's answer is dropped in favour of the largest one's.
	Drop Name = "drop"
	// FirstByteTimeout decides how long to wait for an endpoint that sends nothing.
	FirstByteTimeout Name = "patience"
	// Affinity decides where prompts with shared blocks go if it is not known which endpoint
	// has these cached.
	Affinity Name = "affinity"
	// Start decides what state of endpoints an entry starts with.
	Start Name = "start"
	// EarlyRequests decides what happens to requests that arrive at an entry that has just started
	// and has not loaded the state of its site yet.
	EarlyRequests Name = "early-requests"
	// Connection decides how a request that may run only once gets its connection.
	Connection Name = "connection"
)

// Strategies of Start.
const (
	// Snapshot gets the cached prompt blocks and the speeds of models from another entry.
	Snapshot Strategy = "snapshot"
	// Empty starts without them.
	Empty Strategy = "blank"
)

// Strategies of EarlyRequests.
const (
	// Hold holds requests until the state of the site is loaded, for at most a fraction of the
	// caller timeout.
	Hold Strategy = "hold"
	// Refuse refuses requests so that callers retry.
	Refuse Strategy = "refuse"
)

// Strategies of Drop.
const (
	// ByTime charges the larger model for the fraction of the remaining time that its first byte
	// takes.
	ByTime Strategy = "by-time"
	// ByPressure does the same in proportion to the current load of endpoints.
	ByPressure Strategy = "by-pressure"
	// ByPrice does not charge the larger model for its time.
	ByPrice Strategy = "by-price"
	// ByRating drops an answer with a confidence below 50.
	ByRating Strategy = "by-opinion"
)

// Strategies of FirstByteTimeout.
const (
	// ByMean waits for a multiple of the route's mean time to the first byte.
	ByMean Strategy = "by-mean"
	// ByError waits for the expected time of this request plus a margin for the error of such
	// expectations.
	ByError Strategy = "by-error"
	// CallerTimeout waits until the request's own timeout.
	CallerTimeout Strategy = "endless"
)

// Strategies of Affinity.
const (
	// ByZone prefers an endpoint of the same zone by a hash of the blocks.
	ByZone Strategy = "by-zone"
	// AllZones prefers the first endpoint of all zones by that hash.
	AllZones Strategy = "everywhere"
	// NoAffinity prefers none.
	NoAffinity Strategy = "none"
)

// Strategies of Connection.
const (
	// Watched watches a new connection for a short time before it sends on it.
	Watched Strategy = "watched"
	// Immediate sends on a new connection at once.
	Immediate Strategy = "fresh"
)

// All is the list of decisions.
var All = []Decision{
	{Drop, "half of the prompts are too hard for the smallest model while endpoints are busy", []Strategy{ByPressure, ByTime, ByPrice, ByRating}},
	{FirstByteTimeout, "an endpoint loses an answer, or stops, while others have room", []Strategy{ByMean, ByError, CallerTimeout}},
	{Start, "entries are stopped and started in turn, and callers go on", []Strategy{Snapshot, Empty}},
	{EarlyRequests, "all entries are stopped at once, and callers go on", []Strategy{Hold, Refuse}},
	{Affinity, "entries that hear nothing of one another send prompts that share parts", []Strategy{ByZone, AllZones, NoAffinity}},
	{Connection, "endpoints have as many connections as they take and reset new ones", []Strategy{Watched, Immediate}},
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

// Strategies holds the chosen strategies. The zero value holds the defaults.
type Strategies struct {
	// chosen holds only known decisions and strategies.
	chosen map[Name]Strategy
}

// Choose returns the strategies given by the names of their decisions, and the defaults for all
// others. The error is an ErrUnknown.
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

// For returns the strategy of a decision, which must be in All.
func (s Strategies) For(n Name) Strategy {
	if strategy, ok := s.chosen[n]; ok {
		return strategy
	}
	d, _ := find(n)
	return d.Strategies[0]
}

// Disabled reports whether a mechanism is disabled.
func (s Strategies) Disabled(n Name) bool {
	// This runs for each endpoint of each request, and most processes use only defaults.
	return len(s.chosen) > 0 && s.For(n) == Off
}
