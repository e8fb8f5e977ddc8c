// Package decision names the decisions of an entry that can be made in more than one
// way, and the ways. All ways stand in one build, so that operators can compare them on
// their own site.
package decision

import (
	"maps"
	"slices"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("decision")

// ErrUnknown marks a decision or a way that nothing knows.
var ErrUnknown = Errors.NewType("unknown")

// Name names a decision.
type Name string

// Strategy names a way in which a decision is made.
type Strategy string

// Ways of decisions that are a mechanism, which is there or not.
const (
	On  Strategy = "on"
	Off Strategy = "off"
)

// Decision is a decision with its ways.
type Decision struct {
	Name Name
	// Load is the load pattern that the decision answers.
	Load string
	// Strategies holds the way in force first.
	Strategies []Strategy
}

// The mechanisms.
const (
	// ReportedWork takes in what other entries have waiting at endpoints.
	ReportedWork Name = "told-work"
	// ReportedBlocks takes in which prompt parts other entries sent where.
	ReportedBlocks Name = "told-parts"
	// CachedBlocks counts only those parts of a prompt that an endpoint lacks.
	CachedBlocks Name = "kept-parts"
	// Waiting weighs the prompts that wait at an endpoint.
	Waiting Name = "waiting"
	// LatePrompts refuses prompts that would be late everywhere.
	LatePrompts Name = "late-prompts"
	// UnreachableEndpoints leaves endpoints alone that could not be reached.
	UnreachableEndpoints Name = "lost-endpoints"
	// Failures keeps from endpoints that failed lately.
	Failures Name = "failures"
	// UnreportedCost keeps prompts where the entries that send there report their work.
	UnreportedCost Name = "blind-cost"
	// UrgentReports reports a long prompt at once, and not only now and then.
	UrgentReports Name = "urgent-reports"
	// StayIfBusy leaves a slow endpoint only for one with room.
	StayIfBusy Name = "stay-if-busy"
)

// Decisions with several ways.
const (
	// Drop decides whether the smallest model's answer is dropped for the largest one's.
	Drop Name = "drop"
	// FirstByteTimeout decides how long an endpoint that sends nothing is waited for.
	FirstByteTimeout Name = "patience"
	// Affinity decides where prompts go that share parts, as far as nobody knows where
	// these are kept.
	Affinity Name = "affinity"
	// Start decides what an entry that has just started knows of endpoints.
	Start Name = "start"
	// EarlyRequests decides what becomes of requests that come before an entry that has just started
	// knows its site.
	EarlyRequests Name = "early-requests"
	// Connection decides how a request that may run only once gets its connection.
	Connection Name = "connection"
)

// Ways of Start.
const (
	// Snapshot asks a neighbour for the prompt parts kept and the speeds of models.
	Snapshot Strategy = "snapshot"
	// Empty knows nothing.
	Empty Strategy = "blank"
)

// Ways of Early.
const (
	// Hold keeps them for a part of their time until the entry knows its site.
	Hold Strategy = "hold"
	// Refuse tells their callers to come back.
	Refuse Strategy = "refuse"
)

// Ways of Drop.
const (
	// ByTime charges the larger model for the part of the time left that its first byte
	// takes.
	ByTime Strategy = "by-time"
	// ByPressure charges it so as far as endpoints are crowded by now.
	ByPressure Strategy = "by-pressure"
	// ByPrice does not charge it for its time.
	ByPrice Strategy = "by-price"
	// ByRating drops an answer below a confidence of 50.
	ByRating Strategy = "by-opinion"
)

// Ways of Patience.
const (
	// ByMean waits for several times the route's usual first byte.
	ByMean Strategy = "by-mean"
	// ByError waits for what this request was expected to take and how far such
	// expectations are off.
	ByError Strategy = "by-error"
	// CallerTimeout waits for as long as the request has.
	CallerTimeout Strategy = "endless"
)

// Ways of Affinity.
const (
	// ByZone prefers endpoints by a hash of the parts among those near by.
	ByZone Strategy = "by-zone"
	// AllZones takes the first endpoint of all zones by that hash to keep them.
	AllZones Strategy = "everywhere"
	// NoAffinity prefers none.
	NoAffinity Strategy = "none"
)

// Ways of Connection.
const (
	// Watched watches a new connection for a moment before anything is sent on it.
	Watched Strategy = "watched"
	// Immediate sends on a new connection at once.
	Immediate Strategy = "fresh"
)

// All lists the decisions.
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

// Strategies holds the ways chosen. The zero value holds those in force by default.
type Strategies struct {
	// chosen holds only known decisions and ways.
	chosen map[Name]Strategy
}

// Choose takes ways by the names of their decisions.
func Choose(names map[string]string) (w Strategies, err error) {
	w.chosen = make(map[Name]Strategy, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		d, ok := find(Name(name))
		if !ok {
			return Strategies{}, ErrUnknown.New("there is no decision %q", name)
		}
		way := Strategy(names[name])
		if !slices.Contains(d.Strategies, way) {
			return Strategies{}, ErrUnknown.New("%s has no way %q", name, way)
		}
		w.chosen[d.Name] = way
	}
	return w, nil
}

// For returns the way of a decision.
func (w Strategies) For(n Name) Strategy {
	if way, ok := w.chosen[n]; ok {
		return way
	}
	d, _ := find(n)
	return d.Strategies[0]
}

// Disabled reports whether a mechanism is switched off.
func (w Strategies) Disabled(n Name) bool {
	// Most processes choose nothing; this is asked for each endpoint of each request.
	return len(w.chosen) > 0 && w.For(n) == Off
}
