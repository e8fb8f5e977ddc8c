// Package emulator simulates a site in virtual time: callers, entries that make decisions with the
// product's own packages, and endpoints that prefill and answer prompts. The load is described by
// an operator or a test. A simulation is deterministic for a seed, so that the effect of changed
// decisions can be evaluated without a site.
//
// The model covers these effects: an endpoint prefills prompts one after another, in a time that
// depends on the model and the length; it caches shared blocks in a limited memory and streams
// answers in a limited number of slots; entries report their work to each other within their zone
// only; the smallest model's confidence in its answer is a noisy measure of the answer's quality;
// endpoints may advertise a rate limit, and differ in pace, which other work on their VMs changes; most
// requests may reach a few entries for a while, which may read only so many; endpoints may crash on a block of a prompt and come back; entries may be paused,
// callers leave, and connections at hand go silent.
// The model does not cover how concurrent streams slow each other down, pre-emption, cold starts,
// other faults, upgrades and the store.
package emulator

import (
	"slices"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("emulator")

// ErrSite is returned for a site or load with an invalid value.
var ErrSite = Errors.NewType("site")

// Site describes the zones, entries and endpoints of a site.
type Site struct {
	Zones int `toml:"zones"`
	// Entries and Endpoints are the numbers of entries and endpoints in each zone.
	Entries   int `toml:"entries"`
	Endpoints int `toml:"endpoints"`
	// EntryRate is how many requests an entry can read per second; 0 for any number.
	EntryRate float64 `toml:"entry-rate"`
	// Slots is the number of answers that an endpoint can stream at once, CacheTokens the capacity
	// of its prefix cache in tokens.
	Slots       int `toml:"slots"`
	CacheTokens int `toml:"memory"`
	// WarmBound is the bound of requests per second to an endpoint not known to be cold; 0 for none.
	WarmBound float64 `toml:"warm-bound"`
	// Models is ordered by size, the smallest first.
	Models []Model `toml:"models"`
	// Paces are the typical paces of the endpoints, as multiples of usual, which the endpoints of a
	// zone have in turn; all are as fast as usual if it is empty. Endpoints report their pace.
	Paces     []float64 `toml:"paces"`
	OtherWork OtherWork `toml:"other-work"`
}

// OtherWork is work on the VMs of endpoints that is not theirs.
type OtherWork struct {
	// Fraction of the endpoints are slower by Factor for Millis, then others are.
	Fraction float64 `toml:"fraction"`
	Factor   float64 `toml:"factor"`
	Millis   int64   `toml:"for-ms"`
}

// Model is a model. Every endpoint serves all models.
type Model struct {
	Name string `toml:"name"`
	// TokenMillis is the prefill time of one token, OverheadMillis the time to the first byte in
	// addition to the prefill, and EventMillis the time between two events of an answer; all in
	// milliseconds.
	TokenMillis    float64 `toml:"token"`
	OverheadMillis float64 `toml:"foot"`
	EventMillis    float64 `toml:"event"`
}

// Load describes the requests of callers.
type Load struct {
	Seed uint64 `toml:"seed"`
	// Seconds is the duration of the load. PerSecond is the rate of requests of all callers
	// together.
	Seconds   float64 `toml:"seconds"`
	PerSecond float64 `toml:"per-second"`
	Bursts    []Burst `toml:"bursts"`
	Limits    []Limit `toml:"limits"`
	Kinds     []Kind  `toml:"kinds"`
	Crowds    []Crowd `toml:"crowds"`
	Crashes   []Crash `toml:"crashes"`

	Pauses    []Pause    `toml:"pauses"`
	Leaving   Leaving    `toml:"leaving"`
	Severings []Severing `toml:"severings"`
	// LeftUnnoticed has entries send requests whose callers have left, for comparison.
	LeftUnnoticed bool `toml:"left-unnoticed"`
}

// Crowd is a time, in seconds from the start, in which the given fraction of the requests reaches a few
// entries.
type Crowd struct {
	From     float64 `toml:"from"`
	Until    float64 `toml:"until"`
	Fraction float64 `toml:"fraction"`
	// Entry is the number of the first of these entries, counted over all zones, and Entries how many they are; 0
	// means one.
	Entry   int `toml:"entry"`
	Entries int `toml:"entries"`
	// Zone limits the crowd to requests that would reach the zone of the first entry.
	Zone bool `toml:"zone"`
}

// Crash is a time, in seconds from the start, in which requests arrive on which, or on a block of which,
// endpoints crash.
type Crash struct {
	From      float64 `toml:"from"`
	Until     float64 `toml:"until"`
	PerSecond float64 `toml:"per-second"`
	// Repeats is how often a caller sends its request again if it got no answer. If it is positive, endpoints
	// crash on each of these requests by itself, and there is no such block.
	Repeats int `toml:"repeats"`
}

// Burst multiplies the request rate by Factor between From and Until, in seconds from the start.
type Burst struct {
	From   float64 `toml:"from"`
	Until  float64 `toml:"until"`
	Factor float64 `toml:"factor"`
}

// Limit is a period in which the first endpoints of each zone advertise a rate limit in their
// answers. It lasts from From until Until, in seconds from the start.
type Limit struct {
	From      float64 `toml:"from"`
	Until     float64 `toml:"until"`
	Endpoints int     `toml:"endpoints"`
	// Rate is the number of requests per second that each of these endpoints accepts from all
	// entries together.
	Rate float64 `toml:"rate"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `toml:"name"`
	// Share is the weight of this kind among the requests of all kinds.
	Share float64 `toml:"share"`
	// TargetMillis is the latency target of the first byte, in milliseconds.
	TargetMillis int64 `toml:"aim-ms"`
	// Subjects is the number of different shared blocks, each of SharedTokens tokens. OwnTokens is
	// the mean number of the other tokens of a prompt.
	Subjects int `toml:"subjects"`
	// HotFraction is the fraction of requests that all have the same shared block.
	HotFraction  float64 `toml:"hot"`
	SharedTokens int     `toml:"shared"`
	OwnTokens    int     `toml:"own"`
	Events       int     `toml:"events"`
	// HardFraction is the fraction of the requests that are too hard for the smallest model.
	HardFraction float64 `toml:"hard"`
}

func (k Kind) target() clock.Millis { return clock.Millis(k.TargetMillis) }

// Check returns an ErrSite if a value of the site or load is invalid.
func Check(s Site, l Load) (err error) {
	switch {
	case s.Zones < 1, s.Entries < 1, s.Endpoints < 1:
		return ErrSite.New("zones, entries and endpoints must be 1 or more")
	case s.Slots < 1, s.CacheTokens < 0, s.WarmBound < 0, s.EntryRate < 0:
		return ErrSite.New("slots must be 1 or more, memory, warm-bound and entry-rate 0 or more")
	case len(s.Models) == 0:
		return ErrSite.New("models: at least one is required")
	case l.Seconds <= 0, l.PerSecond <= 0:
		return ErrSite.New("seconds and per-second must be more than 0")
	case slices.ContainsFunc(s.Paces, func(p float64) bool { return p <= 0 }):
		return ErrSite.New("paces must be more than 0")
	case s.OtherWork.Fraction < 0, s.OtherWork.Fraction > 1, s.OtherWork.Fraction > 0 && (s.OtherWork.Factor <= 0 || s.OtherWork.Millis <= 0):
		return ErrSite.New("other-work: a value is out of range")
	case len(l.Kinds) == 0:
		return ErrSite.New("kinds: at least one is required")
	}
	for _, m := range s.Models {
		if m.TokenMillis < 0 || m.OverheadMillis < 0 || m.EventMillis < 0 {
			return ErrSite.New("models: %s has a negative duration", m.Name)
		}
	}
	for _, x := range l.Limits {
		if x.Until <= x.From || x.Endpoints < 1 || x.Endpoints > s.Endpoints || x.Rate < 0 {
			return ErrSite.New("limits: a value is out of range")
		}
	}
	for _, c := range l.Crowds {
		if c.Until <= c.From || c.Fraction < 0 || c.Fraction > 1 || c.Entry < 0 || c.Entries < 0 || c.Entry+max(c.Entries, 1) > s.Zones*s.Entries {
			return ErrSite.New("crowds: a value is out of range")
		}
	}
	if l.Leaving.Fraction < 0 || l.Leaving.Fraction > 1 || l.Leaving.Fraction > 0 && l.Leaving.Millis <= 0 {
		return ErrSite.New("leaving: a value is out of range")
	}
	for _, p := range l.Pauses {
		if p.Until <= p.From || p.Fraction < 0 || p.Fraction > 1 {
			return ErrSite.New("pauses: a value is out of range")
		}
	}
	for _, x := range l.Severings {
		if x.At < 0 || x.Endpoints < 1 || x.Endpoints > s.Endpoints {
			return ErrSite.New("severings: a value is out of range")
		}
	}
	for _, c := range l.Crashes {
		if c.Until <= c.From || c.PerSecond < 0 || c.Repeats < 0 {
			return ErrSite.New("crashes: a value is out of range")
		}
	}
	for _, k := range l.Kinds {
		if k.Share <= 0 || k.TargetMillis <= 0 || k.SharedTokens < 0 || k.OwnTokens < 0 || k.Events < 1 || k.Subjects < 1 || k.HardFraction < 0 || k.HardFraction > 1 || k.HotFraction < 0 || k.HotFraction > 1 {
			return ErrSite.New("kinds: %s has a value out of range", k.Name)
		}
	}
	return nil
}
