// Package bootstrap lets an entry take the state of its site from another entry when it starts, so
// that the calls to the store do not grow with the number of starts. Entries that start at the same
// time form a tree: a few read the store, and each entry that has the state passes it on to a few
// others and refers the rest to those. Search and Desk decide and do no I/O; Client and Handler
// carry their decisions out over HTTP.
package bootstrap

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/site"
)

const (
	// hedgeDelay is how long after an entry was asked another one is asked as well, unless the
	// first one has answered. silentHedgeDelay is the same while no VM has answered.
	hedgeDelay       = 250 * clock.Millis(1)
	silentHedgeDelay = 100 * clock.Millis(1)
	// maxAsked is the maximum number of entries that are asked at the same time.
	maxAsked = 3
	// retryDelay is how long after it failed or referred to others an entry is asked again.
	retryDelay = 100 * clock.Millis(1)
	// seedPatience is how long an entry that others ask first looks for the state. It is a few
	// round trips, since the others wait for it.
	seedPatience = 120 * clock.Millis(1)
	// silentPatience is how long an entry looks for the state while no VM has answered, and patience
	// how long once one has.
	silentPatience = 400 * clock.Millis(1)
	patience       = 1200 * clock.Millis(1)
	// patienceSpread is by how much the patience of entries differs, so that those which give up
	// do not all read the store at the same moment.
	patienceSpread = 600 * clock.Millis(1)
	// maxCandidates bounds the entries that a search keeps.
	maxCandidates = 64
)

// Search looks for an entry that has the state of the site. It reads no clock and is not safe for
// concurrent use.
type Search struct {
	self      site.EntryAddress
	seed      bool
	startedAt clock.Millis
	// spread is between 0 and 1 and differs between entries.
	spread     float64
	candidates []candidate
	asked      int
	lastAsked  clock.Millis
	// answered is true once an entry or its VM has answered.
	answered bool
	// attempts is the number of times that an entry may still be asked; negative for no limit.
	attempts int
}

type candidate struct {
	site.EntryAddress
	// notBefore is when the entry may be asked next; asked is true while an answer is awaited.
	notBefore clock.Millis
	asked     bool
}

// Unlimited is the number of attempts of a search that only its patience ends.
const Unlimited = -1

// NewSearch returns a search that begins with the seeds and asks an entry at most so many times as
// attempts allow. The hash identifies this process.
func NewSearch(self site.EntryAddress, seeds []site.EntryAddress, attempts int, hash uint64, now clock.Millis) *Search {
	const fractions = 1 << 16
	s := &Search{self: self, startedAt: now, spread: float64(hash%fractions) / fractions, attempts: attempts}
	for i := range seeds {
		e := seeds[(i+int(hash>>16%fractions))%len(seeds)]
		if e.Address == self.Address {
			s.seed = true
			continue
		}
		s.add(e)
	}
	if s.seed && attempts == Unlimited {
		// Others wait for this entry, so that it asks each other seed once.
		s.attempts = len(s.candidates)
	}
	return s
}

// Seed reports whether other entries ask this one first.
func (s *Search) Seed() bool { return s.seed }

func (s *Search) add(e site.EntryAddress) {
	known := func(c candidate) bool { return c.Address == e.Address }
	if e.Address == "" || e.Address == s.self.Address || len(s.candidates) >= maxCandidates || slices.ContainsFunc(s.candidates, known) {
		return
	}
	s.candidates = append(s.candidates, candidate{EntryAddress: e})
}

// Next returns the entry to ask now. If there is none, wait is how long until there may be one. ok
// is false if the search has failed.
func (s *Search) Next(now clock.Millis) (e site.EntryAddress, wait clock.Millis, ok bool) {
	remaining := s.startedAt + s.patience() - now
	if remaining <= 0 || len(s.candidates) == 0 || s.attempts == 0 && s.asked == 0 {
		return e, 0, false
	}
	if s.attempts == 0 {
		return e, remaining, true
	}
	if hedgeAt := s.lastAsked + s.hedgeDelay(); s.asked > 0 && now < hedgeAt {
		return e, min(hedgeAt-now, remaining), true
	}
	if s.asked >= maxAsked {
		return e, remaining, true
	}
	best := -1
	wait = remaining
	for i, c := range s.candidates {
		switch {
		case c.asked:
		case c.notBefore > now:
			wait = min(wait, c.notBefore-now)
		case best < 0 || s.prefers(c, s.candidates[best]):
			best = i
		}
	}
	if best < 0 {
		return e, wait, true
	}
	s.candidates[best].asked = true
	s.asked++
	s.attempts--
	s.lastAsked = now
	return s.candidates[best].EntryAddress, 0, true
}

// prefers reports whether an entry is to be asked before another one: those of the own zone first,
// since traffic between zones is charged for, then those that were not asked yet.
func (s *Search) prefers(a, b candidate) bool {
	if near := a.Zone == s.self.Zone; near != (b.Zone == s.self.Zone) {
		return near
	}
	return a.notBefore < b.notBefore
}

func (s *Search) hedgeDelay() clock.Millis {
	if s.answered {
		return hedgeDelay
	}
	return silentHedgeDelay
}

func (s *Search) patience() clock.Millis {
	switch {
	case s.seed:
		return seedPatience
	case !s.answered:
		return silentPatience + clock.Millis(s.spread*float64(patienceSpread))
	}
	return patience + clock.Millis(s.spread*float64(patienceSpread))
}

// Reached records that an entry has accepted the connection; it may hold the request until it has
// the state.
func (s *Search) Reached() { s.answered = true }

// Failed records that an entry could not be reached or that its state cannot be used. refused is
// true if its VM refused the connection: the entry is probably about to start.
func (s *Search) Failed(address string, refused bool, now clock.Millis) {
	s.answered = s.answered || refused
	s.retryLater(address, now)
}

// Referred records that an entry answered without its state and named others.
func (s *Search) Referred(address string, others []site.EntryAddress, now clock.Millis) {
	s.answered = true
	s.retryLater(address, now)
	for _, e := range others {
		s.add(e)
	}
}

func (s *Search) retryLater(address string, now clock.Millis) {
	for i := range s.candidates {
		if c := &s.candidates[i]; c.Address == address && c.asked {
			c.asked, c.notBefore = false, now+retryDelay
			s.asked--
		}
	}
}
