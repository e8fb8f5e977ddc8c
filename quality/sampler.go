// Package quality estimates how good versions are from late and lossy ratings,
// and finds the cheapest plan that meets a route's quality target.
package quality

import (
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// samplesPerSecond bounds the answers that one entry hands to the rater.
	samplesPerSecond = 4.0
	// sampleBurst is how many it may hand over at once.
	sampleBurst = 20.0
	// youngRatings is how many ratings a version must have before it counts as
	// well known.
	youngRatings = 400
	// knownReserve is the part of the bucket that well known versions leave to
	// young ones.
	knownReserve = 0.7
	// knownEvery samples one in so many answers of a well known version.
	knownEvery = 10
)

// Sampler chooses the answers that go to the rater. It bounds their rate and
// prefers versions of which little is known. It never looks at how an answer
// came out, so that the ratings speak for all answers.
type Sampler struct {
	mu     sync.Mutex
	tokens float64
	last   clock.Millis
	turn   int
}

// NewSampler makes a sampler with a full bucket.
func NewSampler() *Sampler { return &Sampler{tokens: sampleBurst} }

// Sample reports whether the answer about to be made is sampled. Ratings is how
// many ratings the version has; a version on trial is sampled like a young one.
func (s *Sampler) Sample(now clock.Millis, ratings int64, trial bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.tokens+samplesPerSecond*float64(now-s.last)/float64(clock.Second), sampleBurst)
	s.last = now
	least := 1.0
	if ratings >= youngRatings && !trial {
		s.turn++
		least += knownReserve * sampleBurst
		if s.turn%knownEvery != 0 {
			return false
		}
	}
	if s.tokens < least {
		return false
	}
	s.tokens--
	return true
}
