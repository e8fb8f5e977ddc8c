package limit

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// During an outage every request needs retries. Whatever the arrival pattern, no window may contain
// more retries than the bound.
func TestShareHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const windowLength = 10 * clock.Second
		s := NewShare(windowLength, 0.6, 5)
		type step struct {
			at    clock.Millis
			retry bool
		}
		var steps []step
		now := clock.Millis(0)
		for range rapid.IntRange(50, 400).Draw(t, "requests") {
			now += clock.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			s.RecordRequest(now)
			steps = append(steps, step{now, false})
			for range 3 {
				if s.TryRetry(now) {
					steps = append(steps, step{now, true})
				}
			}
		}
		for i := range steps {
			requests, retries := 0, 0
			for j := i; j < len(steps) && steps[j].at-steps[i].at < windowLength; j++ {
				if steps[j].retry {
					retries++
				} else {
					requests++
				}
			}
			// The bound includes the requests of the preceding window length, because the window
			// that Share uses may have started up to one window length before this one.
			before := 0
			for j := range i {
				if steps[i].at-steps[j].at <= windowLength && !steps[j].retry {
					before++
				}
			}
			if float64(retries) > 0.6*float64(requests+before)+5 {
				t.Fatalf("%d retries for %d requests, %d before", retries, requests, before)
			}
		}
	})
}

// Within one window of 10 s, the first 50 answers are good and the next 50 poor, so that each poor
// one needs a retry. The window's requests earn enough retries for all of them, but a token bucket
// with a burst as small as one entry's slack (1.7) would not save those that the first 50 requests
// earn, and would allow fewer than 34 retries.
func TestShareCarriesUnusedRetriesWithinWindow(t *testing.T) {
	is := is.New(t)
	s := NewShare(10*clock.Second, 0.63, 1.7)
	b := NewRetryBudgetWith(0.63, 1.7)
	now := clock.Millis(0)
	share, bucket := 0, 0
	for i := range 100 {
		now += 80
		s.RecordRequest(now)
		b.RecordRequest()
		if i >= 50 {
			if s.TryRetry(now) {
				share++
			}
			if b.TryRetry() {
				bucket++
			}
		}
	}
	is.Equal(share, 50)
	is.True(bucket < 34)
}

// Endpoints begin to refuse while retries that only improve answers have used much of the window.
// Guards against such retries taking those that refused requests need.
func TestOptionalRetriesYieldToNeededOnes(t *testing.T) {
	is := is.New(t)
	s := NewShare(10*clock.Second, 0.7, 5)
	deniedAt, optional, needed := clock.Millis(0), 0, 0
	for now := clock.Millis(0); now < 20*clock.Second; now += 10 {
		s.RecordRequest(now)
		if now >= 10*clock.Second && !s.TryRetry(now) {
			deniedAt = now
		} else if now >= 10*clock.Second {
			needed++
		}
		if now%20 != 0 || !s.TryOptional(now) {
			continue
		}
		optional++
		is.True(now < 10*clock.Second || deniedAt == 0)
	}
	is.True(optional >= 499) // all of the first 10 s
	is.True(needed > 600)    // nearly all that 1,000 requests earn
}
