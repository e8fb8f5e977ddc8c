// Package quality estimates the quality of versions from ratings that may be late or lost, and
// finds the cheapest plan that meets a route's quality target.
package quality

import (
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// samplesPerSecond bounds how many answers per second one entry sends to the rater.
	samplesPerSecond = 4.0
	// sampleBurst is the capacity of the token bucket: how many answers may be sent to the rater
	// at once.
	sampleBurst = 20.0
	// establishedRatings is the number of ratings from which a version is an established one.
	establishedRatings = 400
	// establishedReserve is the fraction of the bucket that is reserved for other than established
	// versions.
	establishedReserve = 0.7
	// establishedInterval is the number of answers of established versions of which one is
	// sampled.
	establishedInterval = 10
)

// Sampler chooses the answers that are sent to the rater. It bounds their rate with a token bucket
// and prefers versions with few ratings. It decides before the answer exists, so that the outcome
// does not bias the sample. It is safe for concurrent use.
type Sampler struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt clock.Millis
	// establishedAnswers counts the answers of established versions, sampled or not.
	establishedAnswers int
}

// NewSampler returns a sampler with a full bucket.
func NewSampler() *Sampler { return &Sampler{tokens: sampleBurst} }

// Sample reports whether the next answer of a version is to be rated. ratings is the number of the
// version's ratings so far. In a trial, an established version is sampled like a new one.
func (s *Sampler) Sample(now clock.Millis, ratings int64, trial bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.tokens+samplesPerSecond*float64(now-s.refilledAt)/float64(clock.Second), sampleBurst)
	s.refilledAt = now
	required := 1.0
	if ratings >= establishedRatings && !trial {
		s.establishedAnswers++
		required += establishedReserve * sampleBurst
		if s.establishedAnswers%establishedInterval != 0 {
			return false
		}
	}
	if s.tokens < required {
		return false
	}
	s.tokens--
	return true
}
