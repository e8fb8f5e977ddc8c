// Package emulator plays a site in virtual time: callers, entries that decide by the
// product's own packages, and endpoints that read prompts and answer them. It replays
// loads that an operator or a test describes, to the digit from one seed, so that a
// change of a decision can be judged without a site.
//
// What is modelled: an endpoint reads prompts one after another, by model and length,
// keeps shared parts in a limited memory, and streams answers in a limited number of
// slots; entries hear of one another's work within their zone; the smallest model's
// opinion of its answer is a noisy word on how good that is; endpoints may name a rate that
// they take. What is not: how running
// streams slow one another, pre-emption, cold starts, faults, upgrades and the store.
package emulator

import (
	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("emulator")

// ErrSite marks a site or load that cannot be played.
var ErrSite = Errors.NewType("site")

// Site describes the machines.
type Site struct {
	Zones int `toml:"zones"`
	// Entries and Endpoints are their numbers in each zone.
	Entries   int `toml:"entries"`
	Endpoints int `toml:"endpoints"`
	// Slots is how many answers an endpoint streams at once, Memory how many tokens of
	// prompt parts it keeps.
	Slots       int `toml:"slots"`
	CacheTokens int `toml:"memory"`
	// Models are in the order of their size, the smallest first.
	Models []Model `toml:"models"`
}

// Model is a model that all endpoints serve.
type Model struct {
	Name string `toml:"name"`
	// TokenMillis is how long a token takes to read, Foot what a first byte takes beside the
	// reading, Event the span between two events; all in milliseconds.
	TokenMillis    float64 `toml:"token"`
	OverheadMillis float64 `toml:"foot"`
	EventMillis    float64 `toml:"event"`
}

// Load describes what callers ask.
type Load struct {
	Seed uint64 `toml:"seed"`
	// Seconds is how long callers ask, PerSecond how often all together.
	Seconds   float64 `toml:"seconds"`
	PerSecond float64 `toml:"per-second"`
	Bursts    []Burst `toml:"bursts"`
	Limits    []Limit `toml:"limits"`
	Kinds     []Kind  `toml:"kinds"`
}

// Burst is a span in which callers ask more often.
type Burst struct {
	From   float64 `toml:"from"`
	Until  float64 `toml:"until"`
	Factor float64 `toml:"factor"`
}

// Limit is a span in which the first endpoints of each zone name a rate in their answers.
type Limit struct {
	From      float64 `toml:"from"`
	Until     float64 `toml:"until"`
	Endpoints int     `toml:"endpoints"`
	// Rate is how many requests a second each of them takes from all entries.
	Rate float64 `toml:"rate"`
}

// Kind is a kind of request.
type Kind struct {
	Name string `toml:"name"`
	// Share is its part of all requests, by weight.
	Share float64 `toml:"share"`
	// TargetMillis is when its first byte should come at the latest.
	TargetMillis int64 `toml:"aim-ms"`
	// Subjects is how many shared parts there are, of Shared tokens each; Own is the
	// mean of what a prompt has beside its shared part.
	Subjects int `toml:"subjects"`
	// HotFraction is the part of the requests that ask for one and the same subject.
	HotFraction  float64 `toml:"hot"`
	SharedTokens int     `toml:"shared"`
	OwnTokens    int     `toml:"own"`
	Events       int     `toml:"events"`
	// HardFraction is the part of requests that are too hard for the smallest model.
	HardFraction float64 `toml:"hard"`
}

func (k Kind) aim() clock.Millis { return clock.Millis(k.TargetMillis) }

// Check tells what makes a site and a load unplayable.
func Check(s Site, l Load) (err error) {
	switch {
	case s.Zones < 1, s.Entries < 1, s.Endpoints < 1:
		return ErrSite.New("zones, entries and endpoints must be 1 or more")
	case s.Slots < 1, s.CacheTokens < 0:
		return ErrSite.New("slots must be 1 or more, memory 0 or more")
	case len(s.Models) == 0:
		return ErrSite.New("models: there must be one")
	case l.Seconds <= 0, l.PerSecond <= 0:
		return ErrSite.New("seconds and per-second must be more than 0")
	case len(l.Kinds) == 0:
		return ErrSite.New("kinds: there must be one")
	}
	for _, m := range s.Models {
		if m.TokenMillis < 0 || m.OverheadMillis < 0 || m.EventMillis < 0 {
			return ErrSite.New("models: %s has a negative span", m.Name)
		}
	}
	for _, x := range l.Limits {
		if x.Until <= x.From || x.Endpoints < 1 || x.Endpoints > s.Endpoints || x.Rate < 0 {
			return ErrSite.New("limits: one has a figure out of range")
		}
	}
	for _, k := range l.Kinds {
		if k.Share <= 0 || k.TargetMillis <= 0 || k.SharedTokens < 0 || k.OwnTokens < 0 || k.Events < 1 || k.Subjects < 1 || k.HardFraction < 0 || k.HardFraction > 1 || k.HotFraction < 0 || k.HotFraction > 1 {
			return ErrSite.New("kinds: %s has a figure out of range", k.Name)
		}
	}
	return nil
}
