package rollout

import "math"

// alpha bounds the chance of a false hold from any one start of the test, and
// 1/alpha the mean number of reports between two of them, while the version's
// true rate is at its limit. Below the limit both are better by far.
const alpha = 1e-6

// alternatives are the rates against which the limit is weighed, as parts of
// the way from the limit to 1.
var alternatives = [...]float64{0.04, 0.12, 0.35, 0.75}

// threshold is the log-likelihood ratio at which a version is held.
var threshold = math.Log(float64(len(alternatives)) / alpha)

// Sample counts n outcomes, of which bad went wrong. Bad may have a fraction:
// for scores between 0 and 1 it sums what lacks to 1.
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

// Test is a one-sided sequential test of a rate against a limit that may be
// looked at after every report. For each alternative it keeps the sum of the
// log-likelihood ratios, begun anew whenever the sum falls below zero, so that
// a long good run does not hide a version that turns bad late (CUSUM).
//
// For every rate up to the limit each factor has a mean of at most 1, also for
// bounded scores by the inequality of the means, so that the product from any
// start is a supermartingale and passes 1/alpha with a chance of at most alpha
// (Ville), whenever and however often one looks.
type Test struct {
	// sums are never negative.
	sums [len(alternatives)]float64
	// since sums the samples since all sums were last zero; total sums all.
	since Sample
	total Sample
	// startedAt is the control's total when since began, wholeAt that of the
	// same version over all organisations.
	startedAt Sample
	wholeAt   Sample
}

// Add takes a sample in. Control is the total of the versions compared with,
// whole that of the same version over all organisations without this sample.
func (t *Test) Add(s Sample, limit float64, control, whole Sample) {
	t.total = t.total.plus(s)
	if t.quiet() {
		t.since = Sample{}
		t.startedAt = control
		t.wholeAt = whole
	}
	t.since = t.since.plus(s)
	for i, part := range alternatives {
		rate := limit + (1-limit)*part
		step := s.Bad*math.Log(rate/limit) + (s.N-s.Bad)*math.Log((1-rate)/(1-limit))
		t.sums[i] = max(t.sums[i]+step, 0)
	}
}

func (t *Test) quiet() bool { return t.sums == [len(alternatives)]float64{} }

// evidence returns the largest sum.
func (t *Test) evidence() float64 {
	most := 0.0
	for _, s := range t.sums {
		most = max(most, s)
	}
	return most
}

// Crossed reports whether the version is to be held: its evidence passes the
// threshold, and in the same span it did worse than the versions beside it, which
// had enough requests to tell. That second part keeps a common cause, such as an
// overload or a rater gone wrong, from holding whichever version is new.
// Compared says that versions to compare with are in use at all. With relative set there must be such versions: lateness alone, for one, may
// as well be the load's fault.
func (t *Test) Crossed(control Sample, compared, relative bool) bool {
	if t.evidence() < threshold {
		return false
	}
	beside := control.minus(t.startedAt)
	if relative {
		return worse(t.since, beside) >= commonWorse
	}
	if !compared {
		return true
	}
	if beside.N*t.since.rate() < commonLeast {
		return t.evidence() >= patience*threshold
	}
	return worse(t.since, beside) >= commonWorse
}

// Suspicious reports whether the evidence is half of what holds a version, and in the same
// span it did worse than the versions beside it by a G statistic that one look passes by
// chance in 1 of 70 cases. It is no verdict, but a reason not to give the version more.
func (t *Test) Suspicious(control Sample) bool {
	return t.evidence() >= threshold/2 && worse(t.since, control.minus(t.startedAt)) >= leaningWorse
}

const (
	// leaningWorse is the G statistic of Leans.
	leaningWorse = 6
	// commonLeast is how much must have gone wrong beside the version by then if
	// the cause were a common one.
	commonLeast = 10
	// patience is how many times the threshold's evidence is waited for while
	// the versions beside it had too few requests to tell.
	patience = 20
	// commonWorse is the G statistic by which the version must then be worse; one
	// look passes it by chance in 1 of 260,000 cases, which leaves room for many
	// looks by many processes.
	commonWorse = 20
)

// worse is the G statistic of two rates, 0 when a's is not the higher one.
func worse(a, b Sample) float64 {
	if b.N == 0 || a.rate() <= b.rate() {
		return 0
	}
	both := a.plus(b).rate()
	return 2 * (a.likelihood(a.rate()) + b.likelihood(b.rate()) - a.likelihood(both) - b.likelihood(both))
}

func (s Sample) likelihood(rate float64) float64 {
	return xlogy(s.Bad, rate) + xlogy(s.N-s.Bad, 1-rate)
}

func xlogy(x, y float64) float64 {
	if x == 0 {
		return 0
	}
	return x * math.Log(y)
}

// Reset begins the test anew and keeps the total.
func (t *Test) Reset() {
	t.sums = [len(alternatives)]float64{}
}
