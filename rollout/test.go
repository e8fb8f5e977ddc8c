package rollout

import "math"

// alpha is an upper bound on the probability of a false hold from any one start of the test, and
// 1/alpha a lower bound on the mean number of reports between two false holds, while the version's
// true rate is at its limit. Below the limit both are far better.
const alpha = 1e-6

// alternatives are the rates of the alternative hypotheses, as fractions of the distance from the
// limit to 1.
var alternatives = [...]float64{0.04, 0.12, 0.35, 0.75}

// threshold is the log-likelihood ratio at which a version is held.
var threshold = math.Log(float64(len(alternatives)) / alpha)

// Sample counts n outcomes, of which bad went wrong. Bad may be fractional: for scores between 0
// and 1 it sums their differences from 1.
type Sample struct {
	N   float64
	Bad float64
}

func (s Sample) plus(o Sample) Sample  { return Sample{s.N + o.N, s.Bad + o.Bad} }
func (s Sample) minus(o Sample) Sample { return Sample{s.N - o.N, s.Bad - o.Bad} }

func (s Sample) rate() float64 {
	if s.N == 0 {
		return 0
	}
	return s.Bad / s.N
}

// Test is a one-sided sequential test of a rate against a limit that may be evaluated after every
// report. For each alternative it keeps the sum of the log-likelihood ratios, which restarts at
// zero whenever it falls below, so that a long good run does not hide a version that turns bad late
// (CUSUM).
//
// For every rate up to the limit each factor has a mean of at most 1, also for bounded scores by
// the inequality of the means. The product from any start is thus a supermartingale and passes
// 1/alpha with a probability of at most alpha (Ville), whenever and however often it is evaluated.
type Test struct {
	// sums are never negative.
	sums [len(alternatives)]float64
	// sinceReset sums the samples since all sums were last zero; total sums all.
	sinceReset Sample
	total      Sample
	// controlAtStart is the control's total when sinceReset started, overallAtStart that of the
	// same version over all organisations.
	controlAtStart Sample
	overallAtStart Sample
}

// Add adds a sample. Control is the total of the versions to compare with, overall that of the same
// version over all organisations without this sample.
func (t *Test) Add(s Sample, limit float64, control, overall Sample) {
	t.total = t.total.plus(s)
	if t.atZero() {
		t.sinceReset = Sample{}
		t.controlAtStart = control
		t.overallAtStart = overall
	}
	t.sinceReset = t.sinceReset.plus(s)
	for i, fraction := range alternatives {
		rate := limit + (1-limit)*fraction
		step := s.Bad*math.Log(rate/limit) + (s.N-s.Bad)*math.Log((1-rate)/(1-limit))
		t.sums[i] = max(t.sums[i]+step, 0)
	}
}

func (t *Test) atZero() bool { return t.sums == [len(alternatives)]float64{} }

// statistic returns the largest sum.
func (t *Test) statistic() float64 {
	largest := 0.0
	for _, s := range t.sums {
		largest = max(largest, s)
	}
	return largest
}

// Crossed reports whether the version is to be held: the statistic has reached the threshold, and
// over the same time the version did worse than the control. The second condition prevents a common
// cause, such as an overload or a faulty rater, from holding whichever version is new. While the
// control has too few requests to show a difference, the statistic must reach unconfirmedFactor
// times the threshold instead. Compared reports whether versions to compare with are in use at all;
// if not, the threshold alone decides. A relative test requires them, since slowness, for example,
// may equally be caused by load.
func (t *Test) Crossed(control Sample, compared, relative bool) bool {
	if t.statistic() < threshold {
		return false
	}
	window := control.minus(t.controlAtStart)
	if relative {
		return gStatistic(t.sinceReset, window) >= holdG
	}
	if !compared {
		return true
	}
	if window.N*t.sinceReset.rate() < minExpectedFailures {
		return t.statistic() >= unconfirmedFactor*threshold
	}
	return gStatistic(t.sinceReset, window) >= holdG
}

// Suspicious reports whether the statistic has reached half of the threshold, and over the same
// time the version did worse than the control by a G statistic that one evaluation exceeds by
// chance in 1 of 70 cases. This is no verdict, but a reason not to give the version more traffic.
func (t *Test) Suspicious(control Sample) bool {
	return t.statistic() >= threshold/2 && gStatistic(t.sinceReset, control.minus(t.controlAtStart)) >= suspicionG
}

const (
	// suspicionG is the minimum G statistic of Suspicious.
	suspicionG = 6
	// minExpectedFailures is how many outcomes of the control would have gone wrong by then if the
	// cause were a common one; with fewer the control is too small.
	minExpectedFailures = 10
	// unconfirmedFactor is the multiple of the threshold that the statistic must reach while the
	// control is too small.
	unconfirmedFactor = 20
	// holdG is the minimum G statistic by which a held version must be worse than the control. One
	// evaluation exceeds it by chance in 1 of 260,000 cases, which allows for many evaluations by
	// many processes.
	holdG = 20
)

// gStatistic returns the G statistic of two rates, or 0 when a's is not the higher one.
func gStatistic(a, b Sample) float64 {
	if b.N == 0 || a.rate() <= b.rate() {
		return 0
	}
	both := a.plus(b).rate()
	return 2 * (a.logLikelihood(a.rate()) + b.logLikelihood(b.rate()) - a.logLikelihood(both) - b.logLikelihood(both))
}

func (s Sample) logLikelihood(rate float64) float64 {
	return xlogy(s.Bad, rate) + xlogy(s.N-s.Bad, 1-rate)
}

func xlogy(x, y float64) float64 {
	if x == 0 {
		return 0
	}
	return x * math.Log(y)
}

// Reset restarts the test and keeps the total.
func (t *Test) Reset() {
	t.sums = [len(alternatives)]float64{}
}
