package limit

import (
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

// Share bounds the attempts beyond the first by the requests of the same span:
// in each span there are at most ratio times its requests, and slack more. It
// keeps one entry's share of a bound that holds over sliding spans for all of
// them, and unlike Retries lets a busy span make up for a quiet one within it.
type Share struct {
	mu           sync.Mutex
	windowLength clock.Millis
	ratio        float64
	slack        float64
	// buckets holds the counts of a span, one for each part of it; at is the number
	// of the part that is counted now.
	buckets [windowBuckets + 1]bucket
	current clock.Millis
}

type bucket struct {
	requests int
	retries  int
}

// windowBuckets is how finely a span is parted. Extra attempts are remembered for
// one part more than requests, so that the bound holds for every span, wherever
// in a part it begins.
const windowBuckets = 10

// NewShare makes a share that has seen nothing.
func NewShare(span clock.Millis, ratio, slack float64) *Share {
	return &Share{windowLength: span, ratio: ratio, slack: slack}
}

// RecordRequest counts a request.
func (s *Share) RecordRequest(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now).requests++
}

// TryRetry counts one more attempt, if it is allowed.
func (s *Share) TryRetry(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.advance(now)
	if !s.hasRoom() {
		return false
	}
	slot.retries++
	return true
}

// CanRetry reports whether one more attempt would be allowed.
func (s *Share) CanRetry(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	return s.hasRoom()
}

func (s *Share) hasRoom() bool {
	requests, extra := 0, 0
	for i, x := range s.buckets {
		extra += x.retries
		if clock.Millis(i) != (s.current+1)%clock.Millis(len(s.buckets)) {
			requests += x.requests
		}
	}
	return float64(extra+1) <= s.ratio*float64(requests)+s.slack
}

// advance forgets what lies outside the span and returns the part of now.
func (s *Share) advance(now clock.Millis) *bucket {
	at := now / max(s.windowLength/windowBuckets, 1)
	n := clock.Millis(len(s.buckets))
	for i := s.current + 1; i <= at && i <= s.current+n; i++ {
		s.buckets[i%n] = bucket{}
	}
	s.current = max(s.current, at)
	return &s.buckets[s.current%n]
}
