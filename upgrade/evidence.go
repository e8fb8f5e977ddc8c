package upgrade

import (
	"fmt"

	"github.com/parsleydeal/parsleydeal/rollout"
)

// Key names what outcomes are counted by: a route, whether the new version answered, and
// whether it is only the delays of first bytes of answers that were dropped.
type Key struct {
	Route  string
	Target bool
	Delay  bool
}

// Count adds up outcomes of one key.
type Count struct {
	// Ended counts answers that ended, Bad those that failed.
	Ended int64
	Bad   int64
	// Timed counts answers whose pace could be told, Slow those of them that were
	// slow by each grade.
	Timed int64
	Slow  [len(SlowThresholds)]int64
}

func (c Count) minus(o Count) Count { return c.plus(o, -1) }

// plus adds up two counts, the other one times a sign.
func (c Count) plus(o Count, sign int64) Count {
	c.Ended += sign * o.Ended
	c.Bad += sign * o.Bad
	c.Timed += sign * o.Timed
	for i := range c.Slow {
		c.Slow[i] += sign * o.Slow[i]
	}
	return c
}

// Counts is what one process has counted since it started.
type Counts map[Key]Count

// failLimit is the part of a good version's answers that may fail.
const failLimit = 0.05

// SlowThreshold is one way in which an answer may be slow: it took longer than a quantile of
// the old version's answers, or than a multiple of that.
type SlowThreshold struct {
	// Quantile is the part of the old version's answers that are below the quantile.
	Quantile float64
	Factor   float64
	// limit is the part of a good version's answers that may be slow by the grade;
	// the old version itself has 1-Rank of them at a factor of 1.
	limit float64
}

// SlowThresholds are the ways in which answers may be slow. A version that is several times
// slower throughout is told soonest by a high rank, unless the old version has many
// slow answers itself: where the load makes its streams' pauses differ several times, a
// slow version's lie hardly beyond the 0.8 quantile. One that is slow at times only is
// told by a multiple, beyond which the old version has few answers.
var SlowThresholds = [...]SlowThreshold{
	{Quantile: 0.65, Factor: 1, limit: 0.4},
	{Quantile: 0.8, Factor: 1, limit: 0.25},
	{Quantile: 0.8, Factor: 2.5, limit: 0.06},
}

// allRoutes is the route under which the outcomes of all routes are judged.
const allRoutes = ""

// measure is one way in which a version may be bad: a sequential test of the new
// version's rate, beside the old version's samples. A version is bad only when it is
// beyond the limit and worse than the old one.
type measure struct {
	name  string
	limit float64
	// relative measures need answers of the old version to compare with: an
	// overload makes both versions slow.
	relative bool
	// sample is what a count says of the measure.
	sample func(c Count) rollout.Sample
}

// measures lists all ways: failing, and slow by each grade.
var measures = func() (all [1 + len(SlowThresholds)]measure) {
	all[0] = measure{"failing", failLimit, false, func(c Count) rollout.Sample { return sampleOf(c.Ended, c.Bad) }}
	for i, g := range SlowThresholds {
		name := fmt.Sprintf("slower than %g times the %g quantile", g.Factor, g.Quantile)
		all[1+i] = measure{name, g.limit, true, func(c Count) rollout.Sample { return sampleOf(c.Timed, c.Slow[i]) }}
	}
	return all
}()

func sampleOf(n, bad int64) rollout.Sample {
	return rollout.Sample{N: float64(n), Bad: float64(bad)}
}

// bench holds the tests of one route, by measure.
type bench struct {
	tests [len(measures)]rollout.Test
	// old sums the old version's samples beside them.
	old [len(measures)]rollout.Sample
}

// add takes new outcomes of one version.
func (b *bench) add(c Count, target bool) {
	for i, m := range measures {
		sample := m.sample(c)
		switch {
		case !target:
			b.old[i] = rollout.Sample{N: b.old[i].N + sample.N, Bad: b.old[i].Bad + sample.Bad}
		case sample.N > 0:
			b.tests[i].Add(sample, m.limit, b.old[i], rollout.Sample{})
		}
	}
}

// verdict names what the new version is bad at; empty while it is not known to
// be.
func (b *bench) verdict() string {
	for i, m := range measures {
		if b.tests[i].Crossed(b.old[i], b.old[i].N > 0, m.relative) {
			return m.name
		}
	}
	return ""
}

// leaning names what the new version seems to be bad at, by evidence that is not enough
// for a verdict.
func (b *bench) leaning() string {
	for i, m := range measures {
		if b.tests[i].Suspicious(b.old[i]) {
			return m.name
		}
	}
	return ""
}
