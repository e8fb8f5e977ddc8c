package evidence

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"pgregory.net/rapid"
)

// Reports of three processes, each with two incarnations, arrive in any order, some repeatedly and
// some never. The sum must always be that of the newest report of each incarnation: if a repeated
// or late report counted again, a good version would be held for errors that never occurred.
func TestReportsCountOnceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s := NewState("judge", 1)
		newest := make(map[source]int64)
		sum := Stats{}
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			src := source{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm"), rapid.Uint64Range(1, 2).Draw(t, "epoch")}
			n := rapid.Int64Range(1, 20).Draw(t, "count")
			newest[src] = max(newest[src], n)
			d, _ := s.Merge(&wire.Count{Vm: src.vm, Epoch: src.epoch, Version: "m@1", Started: 2 * n, Errors: n})
			sum = sum.Plus(d.Stats)
		}
		want := int64(0)
		for _, n := range newest {
			want += n
		}
		is.Equal(sum.Errors, want)
		is.Equal(sum.Started, 2*want)
	})
}

// A process gets its own counts back from a peer, or impossible counts from a faulty peer. Neither
// may change the sums.
func TestEchoedAndInvalidCountsAreIgnored(t *testing.T) {
	is := is.New(t)
	s := NewState("judge", 7)
	for _, c := range []*wire.Count{
		{Vm: "judge", Epoch: 7, Version: "m@1", Errors: 5},
		{Vm: "a", Epoch: 1, Version: "m@1", Errors: -1},
		{Vm: "a", Epoch: 1, Version: "m@1", Ratings: 1, RatingSum: 9},
		{Vm: "a", Epoch: 1, Errors: 5},
	} {
		_, ok := s.Merge(c)
		is.True(!ok) // the count adds nothing
	}
	_, ok := s.Merge(&wire.Count{Vm: "judge", Epoch: 6, Version: "m@1", Errors: 5})
	is.True(ok) // counts of an earlier incarnation of this process are added
}

// One report is lost. Later ones must repeat its counts: otherwise the judge, the process that
// sums the counts of a version, would never receive them once traffic has stopped.
func TestLostReportIsRepeated(t *testing.T) {
	is := is.New(t)
	s := NewState("a", 1)
	s.Reduce(event.Tick{Now: 1})
	s.Reduce(event.AttemptEnded{Version: "m@1", Failed: true})
	for _, now := range []clock.Millis{reportInterval, 2 * reportInterval, 10 * reportWindow} {
		_, changed := s.Reduce(event.Tick{Now: now + 1})
		is.True(changed)
		is.Equal(s.Report()[0].GetErrors(), int64(1))
	}
}
