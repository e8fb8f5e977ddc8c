package upgrade

import (
	"fmt"

	"github.com/parsleydeal/parsleydeal/rollout"
)

// Key groups outcomes by route and version. Target is true for the new version. Delay is true for
// counts of first-byte delays. These are used for answers that were dropped in favour of a larger
// model's before the time between their events could be measured: the delay is how much later than
// forecast the first byte arrived.
type Key struct {
	Route  string
	Target bool
	Delay  bool
}

// Count sums the outcomes of one key.
type Count struct {
	// Ended counts answers that ended; Bad counts those of them that failed.
	Ended int64
	Bad   int64
	// Timed counts answers whose latency could be measured; Slow counts, for each of
	// SlowThresholds, how many of these exceeded it.
	Timed int64
	Slow  [len(SlowThresholds)]int64
}

func (c Count) minus(o Count) Count { return c.plus(o, -1) }

// plus returns c + sign*o.
func (c Count) plus(o Count, sign int64) Count {
	c.Ended += sign * o.Ended
	c.Bad += sign * o.Bad
	c.Timed += sign * o.Timed
	for i := range c.Slow {
		c.Slow[i] += sign * o.Slow[i]
	}
	return c
}

// Counts holds the outcomes that one process has counted since it started.
type Counts map[Key]Count

// maxFailureRatio is the fraction of a good version's answers that may fail.
const maxFailureRatio = 0.05

// SlowThreshold defines which answers are slow: those that take longer than Factor times a
// quantile of the old version's latency.
type SlowThreshold struct {
	// Quantile is the fraction of the old version's answers that are faster than the quantile,
	// from 0 to 1.
	Quantile float64
	Factor   float64
	// limit is the fraction of a good version's answers that may exceed the threshold. At a Factor
	// of 1, the fraction for the old version itself is 1-Quantile.
	limit float64
}

// SlowThresholds lists the definitions of a slow answer. A threshold with a high quantile is the
// quickest to detect a new version that is several times slower throughout. It fails if the old
// version has many slow answers itself: under a load that makes the time between events vary
// several-fold, most events of a slow version hardly exceed the 0.8 quantile, and a lower quantile
// detects it. A version that is slow only sometimes is detected by a multiple of a quantile, which
// few of the old version's answers exceed.
var SlowThresholds = [...]SlowThreshold{
	{Quantile: 0.65, Factor: 1, limit: 0.4},
	{Quantile: 0.8, Factor: 1, limit: 0.25},
	{Quantile: 0.8, Factor: 2.5, limit: 0.06},
}

// allRoutes is the key in testsByRoute for all routes together.
const allRoutes = ""

// measure is one criterion by which a version may be bad, such as its failure rate. It is a
// sequential test of the new version with the old version as control: the version is bad only if
// its rate exceeds the limit and is also worse than the old version's.
type measure struct {
	name  string
	limit float64
	// relative measures need answers of the old version to compare with, since an overload makes
	// both versions slow.
	relative bool
	// sample returns the part of a count that this measure tests.
	sample func(c Count) rollout.Sample
}

// measures lists the failure rate and one measure for each of SlowThresholds.
var measures = func() (all [1 + len(SlowThresholds)]measure) {
	all[0] = measure{"failing", maxFailureRatio, false, func(c Count) rollout.Sample { return sampleOf(c.Ended, c.Bad) }}
	for i, t := range SlowThresholds {
		name := fmt.Sprintf("slower than %g times the %g quantile", t.Factor, t.Quantile)
		all[1+i] = measure{name, t.limit, true, func(c Count) rollout.Sample { return sampleOf(c.Timed, c.Slow[i]) }}
	}
	return all
}()

func sampleOf(n, bad int64) rollout.Sample {
	return rollout.Sample{N: float64(n), Bad: float64(bad)}
}

// routeTests holds the tests of the new version on one route, one for each of measures.
type routeTests struct {
	tests [len(measures)]rollout.Test
	// old sums the old version's samples during the upgrade, by measure.
	old [len(measures)]rollout.Sample
}

// add records new outcomes of one version; target is true for the new version.
func (r *routeTests) add(c Count, target bool) {
	for i, m := range measures {
		sample := m.sample(c)
		switch {
		case !target:
			r.old[i] = rollout.Sample{N: r.old[i].N + sample.N, Bad: r.old[i].Bad + sample.Bad}
		case sample.N > 0:
			r.tests[i].Add(sample, m.limit, r.old[i], rollout.Sample{})
		}
	}
}

// verdict returns the name of the measure by which the new version is bad; "" if no measure has
// sufficient evidence.
func (r *routeTests) verdict() string {
	for i, m := range measures {
		if r.tests[i].Crossed(r.old[i], r.old[i].N > 0, m.relative) {
			return m.name
		}
	}
	return ""
}

// suspicion returns the name of the measure by which the new version seems to be bad, although the
// evidence is too weak for a verdict; "" if there is none.
func (r *routeTests) suspicion() string {
	for i, m := range measures {
		if r.tests[i].Suspicious(r.old[i]) {
			return m.name
		}
	}
	return ""
}
