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

// Way names a way in which a decision is made.
type Way string

// Ways of decisions that are a mechanism, which is there or not.
const (
	On  Way = "on"
	Off Way = "off"
)

// Decision is a decision with its ways.
type Decision struct {
	Name Name
	// Load is the load pattern that the decision answers.
	Load string
	// Ways holds the way in force first.
	Ways []Way
}

// The mechanisms.
const (
	// ToldWork takes in what other entries have waiting at endpoints.
	ToldWork Name = "told-work"
	// ToldParts takes in which prompt parts other entries sent where.
	ToldParts Name = "told-parts"
	// KeptParts counts only those parts of a prompt that an endpoint lacks.
	KeptParts Name = "kept-parts"
	// Waiting weighs the prompts that wait at an endpoint.
	Waiting Name = "waiting"
	// LatePrompts refuses prompts that would be late everywhere.
	LatePrompts Name = "late-prompts"
	// LostEndpoints leaves endpoints alone that could not be reached.
	LostEndpoints Name = "lost-endpoints"
	// Failures keeps from endpoints that failed lately.
	Failures Name = "failures"
	// BlindCost keeps prompts where the entries that send there report their work.
	BlindCost Name = "blind-cost"
	// UrgentReports reports a long prompt at once, and not only now and then.
	UrgentReports Name = "urgent-reports"
	// StayIfBusy leaves a slow endpoint only for one with room.
	StayIfBusy Name = "stay-if-busy"
)

// Decisions with several ways.
const (
	// Drop decides whether the smallest model's answer is dropped for the largest one's.
	Drop Name = "drop"
	// Patience decides how long an endpoint that sends nothing is waited for.
	Patience Name = "patience"
	// Affinity decides where prompts go that share parts, as far as nobody knows where
	// these are kept.
	Affinity Name = "affinity"
	// Start decides what an entry that has just started knows of endpoints.
	Start Name = "start"
	// Early decides what becomes of requests that come before an entry that has just started
	// knows its site.
	Early Name = "early-requests"
	// Connection decides how a request that may run only once gets its connection.
	Connection Name = "connection"
)

// Ways of Start.
const (
	// Snapshot asks a neighbour for the prompt parts kept and the speeds of models.
	Snapshot Way = "snapshot"
	// Blank knows nothing.
	Blank Way = "blank"
)

// Ways of Early.
const (
	// Hold keeps them for a part of their time until the entry knows its site.
	Hold Way = "hold"
	// Refuse tells their callers to come back.
	Refuse Way = "refuse"
)

// Ways of Drop.
const (
	// ByTime charges the larger model for the part of the time left that its first byte
	// takes.
	ByTime Way = "by-time"
	// ByPressure charges it so as far as endpoints are crowded by now.
	ByPressure Way = "by-pressure"
	// ByPrice does not charge it for its time.
	ByPrice Way = "by-price"
	// ByOpinion drops an answer below a confidence of 50.
	ByOpinion Way = "by-opinion"
)

// Ways of Patience.
const (
	// ByMean waits for several times the route's usual first byte.
	ByMean Way = "by-mean"
	// ByError waits for what this request was expected to take and how far such
	// expectations are off.
	ByError Way = "by-error"
	// Endless waits for as long as the request has.
	Endless Way = "endless"
)

// Ways of Affinity.
const (
	// ByZone prefers endpoints by a hash of the parts among those near by.
	ByZone Way = "by-zone"
	// Everywhere takes the first endpoint of all zones by that hash to keep them.
	Everywhere Way = "everywhere"
	// NoAffinity prefers none.
	NoAffinity Way = "none"
)

// Ways of Connection.
const (
	// Watched watches a new connection for a moment before anything is sent on it.
	Watched Way = "watched"
	// Fresh sends on a new connection at once.
	Fresh Way = "fresh"
)

// All lists the decisions.
var All = []Decision{
	{Drop, "half of the prompts are too hard for the smallest model while endpoints are busy", []Way{ByPressure, ByTime, ByPrice, ByOpinion}},
	{Patience, "an endpoint loses an answer, or stops, while others have room", []Way{ByMean, ByError, Endless}},
	{Start, "entries are stopped and started in turn, and callers go on", []Way{Snapshot, Blank}},
	{Early, "all entries are stopped at once, and callers go on", []Way{Hold, Refuse}},
	{Affinity, "entries that hear nothing of one another send prompts that share parts", []Way{ByZone, Everywhere, NoAffinity}},
	{Connection, "endpoints have as many connections as they take and reset new ones", []Way{Watched, Fresh}},
	mechanism(ToldWork, "several entries send long prompts at once"),
	mechanism(ToldParts, "prompts share parts, and callers reach any entry"),
	mechanism(KeptParts, "prompts share parts that endpoints keep"),
	mechanism(Waiting, "prompts of different length come in bursts"),
	mechanism(LatePrompts, "more prompts come than can be read in time"),
	mechanism(LostEndpoints, "an endpoint is gone before the store says so"),
	mechanism(Failures, "an endpoint fails a part of its requests"),
	mechanism(BlindCost, "entries of other zones fill endpoints that this one hears nothing of"),
	mechanism(UrgentReports, "a long prompt is followed by others within half a second"),
	mechanism(StayIfBusy, "all other endpoints are busy when one turns slow"),
}

func mechanism(n Name, load string) Decision { return Decision{n, load, []Way{On, Off}} }

// find returns a decision by its name.
func find(n Name) (d Decision, ok bool) {
	i := slices.IndexFunc(All, func(d Decision) bool { return d.Name == n })
	if i < 0 {
		return d, false
	}
	return All[i], true
}

// Ways holds the ways chosen. The zero value holds those in force by default.
type Ways struct {
	// chosen holds only known decisions and ways.
	chosen map[Name]Way
}

// Choose takes ways by the names of their decisions.
func Choose(names map[string]string) (w Ways, err error) {
	w.chosen = make(map[Name]Way, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		d, ok := find(Name(name))
		if !ok {
			return Ways{}, ErrUnknown.New("there is no decision %q", name)
		}
		way := Way(names[name])
		if !slices.Contains(d.Ways, way) {
			return Ways{}, ErrUnknown.New("%s has no way %q", name, way)
		}
		w.chosen[d.Name] = way
	}
	return w, nil
}

// Of returns the way of a decision.
func (w Ways) Of(n Name) Way {
	if way, ok := w.chosen[n]; ok {
		return way
	}
	d, _ := find(n)
	return d.Ways[0]
}

// Off reports whether a mechanism is switched off.
func (w Ways) Off(n Name) bool {
	// Most processes choose nothing; this is asked for each endpoint of each request.
	return len(w.chosen) > 0 && w.Of(n) == Off
}
