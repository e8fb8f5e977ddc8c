package limit

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// An outage makes every request ask for more attempts. Whatever the requests'
// pattern, no span has more of them than its bound.
func TestShareHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span = 10 * clock.Second
		s := NewShare(span, 0.6, 5)
		type step struct {
			at    clock.Millis
			extra bool
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
			requests, extra := 0, 0
			for j := i; j < len(steps) && steps[j].at-steps[i].at < span; j++ {
				if steps[j].extra {
					extra++
				} else {
					requests++
				}
			}
			// The bound counts the requests of this span or the one before it.
			before := 0
			for j := range i {
				if steps[i].at-steps[j].at <= span && !steps[j].extra {
					before++
				}
			}
			if float64(extra) > 0.6*float64(requests+before)+5 {
				t.Fatalf("%d extra for %d requests, %d before", extra, requests, before)
			}
		}
	})
}

// Half of the answers of a few seconds are poor, as after a run of good ones.
// With a small entry's share of the slack a bucket of tokens would let less than
// a third of them be asked again, though the span as a whole allows it.
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
