package upgrade

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// Processes report the same counts again, or reports without counts. If a repeated failure counted
// again, a good version would be rolled back for a single failure reported ten times.
func TestRepeatedReportsCountOnce(t *testing.T) {
	is := is.New(t)
	u := New(Order{Service: "s", Target: "v2", Duration: 20000}, 0)
	k := Key{Route: "r", Target: true}
	for range 10 {
		u.AddCounts("a/1", Counts{k: {Ended: 5, Bad: 1}})
		u.AddCounts("a/1", nil)
		u.AddCounts("a/1", Counts{{Route: "q"}: {Ended: 3}})
	}
	u.AddCounts("a/2", Counts{k: {Ended: 2}}) // after a restart
	is.Equal(u.Total(), Count{Ended: 7, Bad: 1})
}

// A version fails a third of its requests on one route, and hardly any other request fails. It
// must be rolled back before fifty of its requests have failed, in whatever order the outcomes
// arrive.
func TestFailingVersionIsRolledBackWithinFiftyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := New(Order{Service: "s", Target: "v2", Duration: 20000}, 0)
		var bad, other, old Count
		for i := range 3000 {
			old.Ended++
			if i%100 == 0 {
				old.Bad++
			}
			if i%10 == 0 {
				bad.Ended++
				if rapid.IntRange(0, 2).Draw(t, "fails") == 0 {
					bad.Bad++
				}
				other.Ended++
			}
			u.AddCounts("a", Counts{{Route: "r", Target: true}: bad, {Route: "q", Target: true}: other, {Route: "r"}: old, {Route: "q"}: old})
			if u.Judge(clock.Millis(i), 1) {
				break
			}
		}
		if u.Phase() != RolledBack || bad.Bad >= 50 {
			t.Fatalf("%s after %+v", u.Phase(), bad)
		}
	})
}

// A quarter of all requests fail for a while, on the old version as well as on the new one. The
// new version must not be rolled back for a common cause.
func TestCommonFailureRollsNothingBack(t *testing.T) {
	u := New(Order{Service: "s", Target: "v2", Duration: 20000}, 0)
	var target, old Count
	for i := range 4000 {
		old.Ended++
		if i%4 == 0 {
			old.Bad++
		}
		if i%10 == 0 {
			target.Ended++
			if i%40 == 0 {
				target.Bad++
			}
		}
		u.AddCounts("a", Counts{{Route: "r", Target: true}: target, {Route: "r"}: old})
		if u.Judge(clock.Millis(i), 1) {
			t.Fatalf("%s after %+v; old version: %+v", u.Reason(), target, old)
		}
	}
}

// The new version's share must never fall while an upgrade runs: sessions would move back to the
// old version.
func TestShareNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		exposure := rapid.Float64Range(0.01, 1).Draw(t, "exposure")
		a := rapid.Float64Range(0, 1).Draw(t, "a")
		b := rapid.Float64Range(a, 1).Draw(t, "b")
		if Share(b, exposure) < Share(a, exposure) {
			t.Fatalf("%v at %v, %v at %v", Share(a, exposure), a, Share(b, exposure), b)
		}
	})
}

// A version takes eight times as long for two fifths of its requests and is as fast as the old one
// for the rest. It gets only an eighth of the traffic at first and must be detected during that
// time: when it was detected 4 s later, it already had nearly all traffic. It must be rolled back
// before its fiftieth slow answer.
func TestIntermittentlySlowVersionIsRolledBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u, target := untilVerdict(t, 8, 61, 52, 40)
		if u.Phase() != RolledBack || target.Slow[2] >= 50 {
			t.Fatalf("%s after %+v", u.Phase(), target)
		}
	})
}

// A new version has 71 to 204 ms between the events of its streams, under a load where the old
// version has 21 to 106 ms. All its answers exceed the old version's 0.65 quantile, but only three
// quarters exceed the 0.8 quantile, which alone would detect the version too late.
func TestSlowVersionIsRolledBackUnderLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u, target := untilVerdict(t, 8, 98, 70, 10)
		if u.Phase() != RolledBack || target.Ended >= 60 {
			t.Fatalf("%s after %+v", u.Phase(), target)
		}
	})
}

// A good version gets as many requests as the old one and exceeds the three thresholds of slow
// answers as often (35, 20 and 3% of its answers). It must not be rolled back.
func TestVersionAsSlowAsOldOneIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if u, target := untilVerdict(t, 1, 35, 20, 3); u.Phase() != Running {
			t.Fatalf("%s after %+v", u.Reason(), target)
		}
	})
}

// Endpoints become unreachable during the upgrade to a slow version, so that half of the old
// version's answers are slow as well. When the new version's share is about to rise, nearly all of
// its sixteen answers were slow, but so few answers do not suffice for a verdict. The version must
// be rolled back on suspicion alone; otherwise its share rises, the old version becomes idle and
// the upgrade completes.
func TestSuspiciousVersionIsRolledBackBeforeItsShareRises(t *testing.T) {
	risen := 0
	for seed := range uint64(200) {
		if u := afterHalf(seed, 16, [3]int{55, 40, 6}, 97, 70, 20); u.Phase() != RolledBack {
			risen++
		}
	}
	if risen > 10 {
		t.Errorf("the share of %d of 200 slow versions rose", risen)
	}
}

// As in the test above, endpoints become unreachable, but the new version is good: both versions
// are equally slow. Hardly any upgrade may be rolled back for no reason, since operators then have
// to order it again.
func TestGoodVersionIsKeptDuringFaults(t *testing.T) {
	rolledBack := 0
	for seed := range uint64(500) {
		if u := afterHalf(seed, 40, [3]int{55, 40, 6}, 55, 40, 6); u.Phase() != Running {
			rolledBack++
		}
	}
	if rolledBack > 15 {
		t.Errorf("%d of 500 good versions were rolled back", rolledBack)
	}
}

// afterHalf records the given number of answers of a new version over half of an upgrade's
// duration, of which slow[i] percent exceed threshold i. For each answer of the new version it
// records eight answers of the old version, of which slowOld[i] percent exceed threshold i. It
// stops early if the upgrade ends.
func afterHalf(seed uint64, answers int, slowOld [3]int, slow ...int) (u *Upgrade) {
	const half = 10000
	u = New(Order{Service: "s", Target: "v2", Duration: 2 * half}, 0)
	r := rand.New(rand.NewPCG(seed, 1))
	var old, target Count
	for i := range answers {
		for range 8 {
			old.add(r.IntN(100), slowOld[:]...)
		}
		target.add(r.IntN(100), slow...)
		u.AddCounts("a", Counts{{Route: "r", Target: true}: target, {Route: "r"}: old})
		if u.Judge(clock.Millis((i+1)*half/answers), 1) {
			break
		}
	}
	return u
}

// untilVerdict records up to 2,000 answers of the old version and, with every n-th of them (n is
// the argument every), one of the new version. Of the new version's answers, slow[i] percent
// exceed threshold i. It stops when the upgrade ends.
func untilVerdict(t *rapid.T, every int, slow ...int) (u *Upgrade, target Count) {
	u = New(Order{Service: "s", Target: "v2", Duration: 20000}, 0)
	draw := uniform(t)
	var old Count
	for i := range 2000 {
		old.add(draw(), 35, 20, 3)
		if i%every == 0 {
			target.add(draw(), slow...)
		}
		u.AddCounts("a", Counts{{Route: "r", Target: true}: target, {Route: "r"}: old})
		if u.Judge(clock.Millis(i), 1) {
			break
		}
	}
	return u, target
}

// uniform returns a function that draws uniformly distributed numbers below 100. rapid's own draws
// favour small numbers.
func uniform(t *rapid.T) func() int {
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	return func() int { return r.IntN(100) }
}

// add counts a timed answer. draw is a number below 100; the answer exceeds threshold i if draw is
// below slow[i].
func (c *Count) add(draw int, slow ...int) {
	c.Ended++
	c.Timed++
	for i, n := range slow {
		if draw < n {
			c.Slow[i]++
		}
	}
}

// withDelayedAnswers records the given number of timed answers of a new version, as many dropped
// ones, of which only the first-byte delay is known, and ten times as many of both kinds of an old
// version. It returns the upgrade after a call of Judge at half of its
// duration.
func withDelayedAnswers(answers int64, slow, delayedSlow func(n int64) [len(SlowThresholds)]int64) *Upgrade {
	u := New(Order{Service: "s", Target: "v2", Duration: 20000}, 0)
	for i := range answers + 1 {
		n := 10 * i
		old := [len(SlowThresholds)]int64{n * 35 / 100, n / 5, n * 3 / 100}
		u.AddCounts("a", Counts{
			{Route: "r"}:                            {Ended: 2 * n, Timed: n, Slow: old},
			{Route: "r", Delay: true}:               {Timed: n, Slow: old},
			{Route: "r", Target: true}:              {Ended: 2 * i, Timed: i, Slow: slow(i)},
			{Route: "r", Target: true, Delay: true}: {Timed: i, Slow: delayedSlow(i)},
		})
	}
	u.Judge(10000, 1)
	return u
}

// A slow version gets few requests, and most of its answers are dropped in favour of a larger
// model's before their events can be timed. The first-byte delays of dropped answers must count as
// well: otherwise the upgrade completes on a handful of timed answers.
func TestDelaysDecideWhenFewAnswersAreTimed(t *testing.T) {
	is := is.New(t)
	all := func(n int64) [len(SlowThresholds)]int64 { return [len(SlowThresholds)]int64{n, n, 0} }
	u := withDelayedAnswers(5, all, all)
	is.Equal(u.Total(), Count{Ended: 10, Timed: 5, Slow: all(5)})
	is.Equal(u.Phase(), RolledBack)
	u = withDelayedAnswers(5, all, func(int64) [len(SlowThresholds)]int64 { return [len(SlowThresholds)]int64{} })
	is.Equal(u.Phase(), Running)
}

// On a busy site forecasts of a prompt's wait are rough, so many first bytes of a good version come
// later than forecast, although its timed answers (those whose events were timed) are not slow. The
// timed answers must then decide.
func TestDelaysDoNotOutweighTimedAnswers(t *testing.T) {
	is := is.New(t)
	few := func(n int64) [len(SlowThresholds)]int64 { return [len(SlowThresholds)]int64{n / 3, n / 5, 0} }
	all := func(n int64) [len(SlowThresholds)]int64 { return [len(SlowThresholds)]int64{n, n, 0} }
	is.Equal(withDelayedAnswers(2*minTimed, few, all).Phase(), Running)
	is.Equal(withDelayedAnswers(minTimed/2, few, all).Phase(), Running)
	is.Equal(withDelayedAnswers(20, few, all).Phase(), RolledBack) // too few are timed to decide
}

// countsOfOneEntry are such that the new version seems bad, but is not found to be.
var countsOfOneEntry = Counts{
	{Route: "r"}:                            {Ended: 200, Timed: 100, Slow: [3]int64{35, 20, 3}},
	{Route: "r", Delay: true}:               {Timed: 100, Slow: [3]int64{35, 20, 3}},
	{Route: "r", Target: true}:              {Ended: 20, Timed: 10, Slow: [3]int64{3, 2, 0}},
	{Route: "r", Target: true, Delay: true}: {Timed: 10, Slow: [3]int64{10, 10, 10}},
}

// A judge has the counts of one entry of eight, among them a few first-byte delays that were long.
// Guards against it rolling back a good version that all other entries found to be fast: it must wait
// for the counts of most entries.
func TestFewEntriesDoNotDecideOnSuspicion(t *testing.T) {
	is := is.New(t)
	u := New(Order{Service: "s", Target: "v2", Duration: 20000}, 0)
	u.SetEntries(8)
	u.AddCounts("a", countsOfOneEntry)
	u.Judge(10000, 1)
	is.Equal(u.Phase(), Running)
	for _, process := range []string{"b", "c", "d", "e", "f"} {
		u.AddCounts(process, nil)
	}
	u.Judge(10100, 1)
	is.Equal(u.Phase(), RolledBack)
}

// Guards against a version that seems bad and is completed all the same when its time is up, because too few entries were
// heard to roll it back before.
func TestVersionThatSeemsBadIsNotCompleted(t *testing.T) {
	is := is.New(t)
	u := New(Order{Service: "s", Target: "v2", Duration: 20000}, 0)
	u.SetEntries(8)
	u.AddCounts("a", countsOfOneEntry)
	u.Judge(18400, 1)
	is.Equal(u.Phase(), Running)
	u.Judge(18600, 1)
	is.Equal(u.Phase(), RolledBack)
}

// An endpoint of a good version is cut off for a moment, and four of its answers in a row are very
// slow just before its share rises. Guards against rolling the version back although its answers
// were as fast as the old version's before.
func TestSlowAnswersInARowRollNothingBack(t *testing.T) {
	is := is.New(t)
	u := New(Order{Service: "s", Target: "v2", Duration: 20000}, 0)
	var old, target Count
	for i := range 60 {
		for j := range 8 {
			old.add((8*i+j)%100, 35, 20, 4)
		}
		target.add((i*37)%100, 35, 20, 0)
		if i >= 56 {
			target.Slow[2]++
		}
		u.AddCounts("a", Counts{{Route: "r"}: old, {Route: "r", Target: true}: target})
	}
	u.Judge(10000, 1)
	is.Equal(u.Phase(), Running)
}
