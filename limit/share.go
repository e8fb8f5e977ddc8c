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
	mu    sync.Mutex
	span  clock.Millis
	ratio float64
	slack float64
	// slots holds the counts of a span, one for each part of it; at is the number
	// of the part that is counted now.
	slots [shareSlots + 1]shareSlot
	at    clock.Millis
}

type shareSlot struct {
	requests int
	extra    int
}

// shareSlots is how finely a span is parted. Extra attempts are remembered for
// one part more than requests, so that the bound holds for every span, wherever
// in a part it begins.
const shareSlots = 10

// NewShare makes a share that has seen nothing.
func NewShare(span clock.Millis, ratio, slack float64) *Share {
	return &Share{span: span, ratio: ratio, slack: slack}
}

// RecordRequest counts a request.
func (s *Share) RecordRequest(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now).requests++
}

// TryRetry counts one more attempt, if it is allowed.
func (s *Share) TryRetry(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	slot := s.turn(now)
	if !s.room() {
		return false
	}
	slot.extra++
	return true
}

// CanRetry reports whether one more attempt would be allowed.
func (s *Share) CanRetry(now clock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	return s.room()
}

func (s *Share) room() bool {
	requests, extra := 0, 0
	for i, x := range s.slots {
		extra += x.extra
		if clock.Millis(i) != (s.at+1)%clock.Millis(len(s.slots)) {
			requests += x.requests
		}
	}
	return float64(extra+1) <= s.ratio*float64(requests)+s.slack
}

// turn forgets what lies outside the span and returns the part of now.
func (s *Share) turn(now clock.Millis) *shareSlot {
	at := now / max(s.span/shareSlots, 1)
	n := clock.Millis(len(s.slots))
	for i := s.at + 1; i <= at && i <= s.at+n; i++ {
		s.slots[i%n] = shareSlot{}
	}
	s.at = max(s.at, at)
	return &s.slots[s.at%n]
}
