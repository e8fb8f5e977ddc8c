// Package experiment names the decisions that operators may switch off to measure what
// each is worth on their own site.
package experiment

import "slices"

// Mechanism is a decision that can be switched off.
type Mechanism string

// The mechanisms.
const (
	// Objective weighs a larger model's gain against its price and time; without it an
	// answer is dropped below a confidence of 50.
	Objective Mechanism = "objective"
	// Crowding counts the time that a larger model takes from other requests.
	Crowding Mechanism = "crowding"
	// ToldWork takes in what other entries have waiting at endpoints.
	ToldWork Mechanism = "told-work"
	// ToldParts takes in which prompt parts other entries sent where.
	ToldParts Mechanism = "told-parts"
	// KeptParts counts only those parts of a prompt that an endpoint lacks.
	KeptParts Mechanism = "kept-parts"
	// Homes sends what is alike to the same endpoints.
	Homes Mechanism = "homes"
	// Waiting weighs the prompts that wait at an endpoint.
	Waiting Mechanism = "waiting"
	// LatePrompts refuses prompts that would be late everywhere.
	LatePrompts Mechanism = "late-prompts"
	// LostEndpoints leaves endpoints alone that could not be reached.
	LostEndpoints Mechanism = "lost-endpoints"
	// Failures keeps from endpoints that failed lately.
	Failures Mechanism = "failures"
	// Silence leaves an endpoint that sends nothing to anybody.
	Silence Mechanism = "silence"
	// Near keeps prompts where the entries that send there tell of their work.
	Near Mechanism = "near"
	// News tells a long prompt at once, and not only now and then.
	News Mechanism = "news"
	// Stay leaves a slow endpoint only for one with room.
	Stay Mechanism = "stay"
)

// All lists the mechanisms.
var All = []Mechanism{
	Objective, Crowding, ToldWork, ToldParts, KeptParts, Homes, Waiting, LatePrompts, LostEndpoints, Failures, Silence, Near, News, Stay,
}

// Known reports whether there is a mechanism of a name.
func Known(name string) bool { return slices.Contains(All, Mechanism(name)) }

// Off holds the mechanisms that are switched off. The zero value is none.
type Off struct{ names []Mechanism }

// OffOf makes the set of some names, all of them known.
func OffOf(names []string) (o Off) {
	for _, n := range names {
		o.names = append(o.names, Mechanism(n))
	}
	return o
}

// Has reports whether a mechanism is switched off.
func (o Off) Has(m Mechanism) bool { return slices.Contains(o.names, m) }
