package upgrade

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// Reports come twice, without counts and with some. Each outcome counts once: a
// good version must not be rolled back for one failure that was told ten times.
func TestRepeatedReportsCountOnce(t *testing.T) {
	is := is.New(t)
	u := New(Order{Service: "s", Target: "v2", Duration: 20000}, 0)
	k := Key{Route: "r", Target: true}
	for range 10 {
		u.AddCounts("a/1", Counts{k: {Ended: 5, Bad: 1}})
		u.AddCounts("a/1", nil)
		u.AddCounts("a/1", Counts{{Route: "q"}: {Ended: 3}})
	}
	u.AddCounts("a/2", Counts{k: {Ended: 2}}) // started again
	is.Equal(u.Total(), Count{Ended: 7, Bad: 1})
}

// A version fails a third of its requests on one route only, and others beside it
// hardly any. It is found before fifty have failed, whatever the order.
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

// Everything fails a quarter of its requests for a while, the old version as much
// as the new one. The new version is not to blame.
func TestCommonFailureRollsNothingBack(t *testing.T) {
	u := New(Order{Service: "s", Target: "v2", Duration: 20000}, 0)
	var fresh, old Count
	for i := range 4000 {
		old.Ended++
		if i%4 == 0 {
			old.Bad++
		}
		if i%10 == 0 {
			fresh.Ended++
			if i%40 == 0 {
				fresh.Bad++
			}
		}
		u.AddCounts("a", Counts{{Route: "r", Target: true}: fresh, {Route: "r"}: old})
		if u.Judge(clock.Millis(i), 1) {
			t.Fatalf("%s after %+v beside %+v", u.Reason(), fresh, old)
		}
	}
}

// The share never falls while an order runs, so that no session moves back.
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

// A version takes eight times as long for two fifths of its requests and is as fast
// as the old one with the others. With an eighth of the traffic it was rolled back
// only after it had got nearly all, 4 s later than agreed. Now it is found before
// its fiftieth slow answer.
func TestIntermittentlySlowVersionIsRolledBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u, fresh := judged(t, 8, 61, 52, 40)
		if u.Phase() != RolledBack || fresh.Slow[2] >= 50 {
			t.Fatalf("%s after %+v", u.Phase(), fresh)
		}
	})
}

// A version has 71 to 204 ms between the events of its streams, under a load that
// gives the old one's 21 to 106 ms. All its answers are beyond the 0.65 quantile of
// the old version's and three quarters beyond the 0.8 quantile, which alone told too
// late.
func TestSlowVersionIsRolledBackUnderLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u, fresh := judged(t, 8, 98, 70, 10)
		if u.Phase() != RolledBack || fresh.Ended >= 60 {
			t.Fatalf("%s after %+v", u.Phase(), fresh)
		}
	})
}

// A good version has as many slow answers as the old one, by each grade: it stays.
func TestVersionAsSlowAsOldOneIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if u, fresh := judged(t, 1, 35, 20, 3); u.Phase() != Running {
			t.Fatalf("%s after %+v", u.Reason(), fresh)
		}
	})
}

// Endpoints are cut off while a slow version is brought in, and every second answer of
// the old version is slow as well. Nearly all of the new one's are, but sixteen of them
// are too few for a verdict: its share rose, the old version fell idle and it was
// completed.
func TestSuspiciousVersionIsRolledBackBeforeItsShareRises(t *testing.T) {
	kept := 0
	for seed := range uint64(200) {
		if u := judgedBeside(seed, 16, [3]int{55, 40, 6}, 97, 70, 20); u.Phase() != RolledBack {
			kept++
		}
	}
	if kept > 10 {
		t.Errorf("the share of %d of 200 slow versions rose", kept)
	}
}

// The same faults with a good version: both versions are as slow. Few are rolled back
// for nothing; each is ordered once more.
func TestGoodVersionIsKeptDuringFaults(t *testing.T) {
	wrong := 0
	for seed := range uint64(500) {
		if u := judgedBeside(seed, 40, [3]int{55, 40, 6}, 55, 40, 6); u.Phase() != Running {
			wrong++
		}
	}
	if wrong > 15 {
		t.Errorf("%d of 500 good versions were rolled back", wrong)
	}
}

// judgedBeside plays so many answers of a new version until half of its span has passed,
// one for every eight of an old one of which so many in a hundred are slow by each grade.
func judgedBeside(seed uint64, answers int, slowOld [3]int, slow ...int) (u *Upgrade) {
	const half = 10000
	u = New(Order{Service: "s", Target: "v2", Duration: 2 * half}, 0)
	r := rand.New(rand.NewPCG(seed, 1))
	var old, fresh Count
	for i := range answers {
		for range 8 {
			old.add(r.IntN(100), slowOld[:]...)
		}
		fresh.add(r.IntN(100), slow...)
		u.AddCounts("a", Counts{{Route: "r", Target: true}: fresh, {Route: "r"}: old})
		if u.Judge(clock.Millis((i+1)*half/answers), 1) {
			break
		}
	}
	return u
}

// judged plays 2,000 answers of the old version, and one of a new version for every
// so many of these, of which so many in a hundred are slow by each grade. It ends with
// the verdict.
func judged(t *rapid.T, every int, slow ...int) (u *Upgrade, fresh Count) {
	u = New(Order{Service: "s", Target: "v2", Duration: 20000}, 0)
	draw := evenly(t)
	var old Count
	for i := range 2000 {
		old.add(draw(), 35, 20, 3)
		if i%every == 0 {
			fresh.add(draw(), slow...)
		}
		u.AddCounts("a", Counts{{Route: "r", Target: true}: fresh, {Route: "r"}: old})
		if u.Judge(clock.Millis(i), 1) {
			break
		}
	}
	return u, fresh
}

// evenly draws numbers below a hundred, all as often: rapid's own draws prefer
// small ones.
func evenly(t *rapid.T) func() int {
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	return func() int { return r.IntN(100) }
}

// add counts an answer by a draw out of a hundred, of which so many are slow by each
// grade.
func (c *Count) add(draw int, slow ...int) {
	c.Ended++
	c.Timed++
	for i, n := range slow {
		if draw < n {
			c.Slow[i]++
		}
	}
}

// delayed plays so many timed and dropped answers of a new version, beside ten times as many
// of an old one, and returns the state of the order at half of its span.
func delayed(answers int64, slow, delayedSlow func(n int64) [len(SlowThresholds)]int64) *Upgrade {
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

// A slow version gets few requests, and most of its answers are dropped before their events.
// It was completed on a handful of timed answers.
func TestDelaysDecideWhenFewAnswersAreTimed(t *testing.T) {
	is := is.New(t)
	all := func(n int64) [len(SlowThresholds)]int64 { return [len(SlowThresholds)]int64{n, n, 0} }
	u := delayed(5, all, all)
	is.Equal(u.Total(), Count{Ended: 10, Timed: 5, Slow: all(5)})
	is.Equal(u.Phase(), RolledBack)
	u = delayed(5, all, func(int64) [len(SlowThresholds)]int64 { return [len(SlowThresholds)]int64{} })
	is.Equal(u.Phase(), Running)
}

// On a busy site prompts are foretold roughly, and many first bytes of a good version are
// late beside its timed answers. These decide there.
func TestDelaysDoNotOutweighTimedAnswers(t *testing.T) {
	is := is.New(t)
	few := func(n int64) [len(SlowThresholds)]int64 { return [len(SlowThresholds)]int64{n / 3, n / 5, 0} }
	all := func(n int64) [len(SlowThresholds)]int64 { return [len(SlowThresholds)]int64{n, n, 0} }
	is.Equal(delayed(2*fewTimed, few, all).Phase(), Running)
	is.Equal(delayed(fewTimed/2, few, all).Phase(), RolledBack)
}
