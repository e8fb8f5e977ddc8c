package upgrade

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// Reports come twice, without counts and with some. Each outcome counts once: a
// good version must not be rolled back for one failure that was told ten times.
func TestOutcomesCountOnce(t *testing.T) {
	is := is.New(t)
	u := New(Order{Service: "s", Target: "v2", Span: 20000}, 0)
	k := Key{Route: "r", Target: true}
	for range 10 {
		u.Take("a/1", Counts{k: {Ended: 5, Bad: 1}})
		u.Take("a/1", nil)
		u.Take("a/1", Counts{{Route: "q"}: {Ended: 3}})
	}
	u.Take("a/2", Counts{k: {Ended: 2}}) // started again
	is.Equal(u.Total(), Count{Ended: 7, Bad: 1})
}

// A version fails a third of its requests on one route only, and others beside it
// hardly any. It is found before fifty have failed, whatever the order.
func TestBadVersionIsFoundBeforeFifty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := New(Order{Service: "s", Target: "v2", Span: 20000}, 0)
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
			u.Take("a", Counts{{Route: "r", Target: true}: bad, {Route: "q", Target: true}: other, {Route: "r"}: old, {Route: "q"}: old})
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
func TestCommonCauseBlamesNoVersion(t *testing.T) {
	u := New(Order{Service: "s", Target: "v2", Span: 20000}, 0)
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
		u.Take("a", Counts{{Route: "r", Target: true}: fresh, {Route: "r"}: old})
		if u.Judge(clock.Millis(i), 1) {
			t.Fatalf("%s after %+v beside %+v", u.Reason(), fresh, old)
		}
	}
}

// The share never falls while an order runs, so that no session moves back.
func TestShareOnlyRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		exposure := rapid.Float64Range(0.01, 1).Draw(t, "exposure")
		a := rapid.Float64Range(0, 1).Draw(t, "a")
		b := rapid.Float64Range(a, 1).Draw(t, "b")
		if Share(b, exposure) < Share(a, exposure) {
			t.Fatalf("%v at %v, %v at %v", Share(a, exposure), a, Share(b, exposure), b)
		}
	})
}
