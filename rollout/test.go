package rollout

import "math"

// alpha bounds the errors of the test for a version whose true rate is just at its limit. It is an
// upper bound on the probability of a false hold from any one start of the test, and 1/alpha is a
// lower bound on the mean number of reports between two false holds. For a version below its
// limit, false holds are far rarer.
const alpha = 1e-6

// alternatives are the failure rates of the alternative hypotheses, as fractions of the distance
// from the limit to 1.
var alternatives = [...]float64{0.04, 0.12, 0.35, 0.75}

// threshold is the log-likelihood ratio from which a version is bad.
var threshold = math.Log(float64(len(alternatives)) / alpha)

// Sample counts N outcomes, of which Bad are bad. Bad may be fractional: for scores between 0 and
// 1 it is the sum of 1 minus each score.
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

// Test is a one-sided sequential test (CUSUM) of a rate against a limit. It may be evaluated after
// every report. For each alternative hypothesis it adds up log-likelihood ratios. A sum that falls
// below zero restarts at zero, so that a long good run does not hide a version that turns bad
// late.
//
// If the true rate is at most the limit, each likelihood ratio has a mean of at most 1. This also
// holds for scores between 0 and 1, by the inequality of arithmetic and geometric means. From any
// start the product of the ratios is thus a supermartingale, and by Ville's inequality it exceeds
// 1/alpha with a probability of at most alpha, however often it is evaluated.
type Test struct {
	// sums holds the sum of log-likelihood ratios for each alternative; never negative.
	sums [len(alternatives)]float64
	// sinceReset sums the samples since all sums were last zero; total sums all samples.
	sinceReset Sample
	total      Sample
	// controlAtStart is the control's total at the start of sinceReset, and overallAtStart the
	// total of the tested version over all organisations at that time.
	controlAtStart Sample
	overallAtStart Sample
}

// Add adds a sample. control is the total of the versions to compare with, and overall the total
// of the tested version over all organisations without this sample.
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

// statistic returns the largest of the sums.
func (t *Test) statistic() float64 {
	largest := 0.0
	for _, s := range t.sums {
		largest = max(largest, s)
	}
	return largest
}

// Crossed reports whether the version is to be held: its statistic has reached the threshold, and
// since the sums were last zero it did worse than the control. The second condition prevents a
// common cause, such as an overload or a faulty rater, from holding whichever version is new.
// While the control has too few requests to show a difference, the statistic must reach
// unconfirmedFactor times the threshold instead.
//
// compared is false if no version to compare with is in use; then the threshold alone decides. If
// relative is true, the version is held only if it is worse than a control. This is for signals
// such as slowness, which load may cause as well.
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

// Suspicious reports whether there is weak evidence against the version: a reason not to give it
// more traffic, but not to hold it. The statistic has reached half of the threshold, and over the
// same time the version did worse than the control by a G statistic that one evaluation exceeds by
// chance in 1 of 70 cases. It also did so over all samples: a few slow answers in a row, as when an
// endpoint is cut off for a moment, say little about a version.
func (t *Test) Suspicious(control Sample) bool {
	return t.statistic() >= threshold/2 && gStatistic(t.sinceReset, control.minus(t.controlAtStart)) >= suspicionG &&
		gStatistic(t.total, control) >= suspicionG
}

const (
	// suspicionG is the minimum G statistic for Suspicious.
	suspicionG = 6
	// minExpectedFailures is how many bad outcomes the control must be expected to have if a
	// common cause had made it as bad as the tested version. If fewer are expected, the control is
	// too small to compare with.
	minExpectedFailures = 10
	// unconfirmedFactor is the multiple of the threshold that the statistic must reach while the
	// control is too small.
	unconfirmedFactor = 20
	// holdG is the minimum G statistic by which a version must be worse than the control to be
	// held. One evaluation exceeds it by chance in 1 of 260,000 cases, which allows for many
	// evaluations by many processes.
	holdG = 20
)

// gStatistic returns the G statistic (likelihood ratio test) for the difference of two rates, or 0
// if a's rate is not the higher one.
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

// Reset restarts the test but retains the total.
func (t *Test) Reset() {
	t.sums = [len(alternatives)]float64{}
}
