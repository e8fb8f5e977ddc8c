package upgrade

import "github.com/parsleydeal/parsleydeal/rollout"

// Key names what outcomes are counted by: a route, and whether the new version
// answered.
type Key struct {
	Route  string
	Target bool
}

// Count adds up outcomes of one key.
type Count struct {
	// Ended counts answers that ended, Bad those that failed.
	Ended int64
	Bad   int64
	// Timed counts answers whose pace could be told, Slow those that were slower
	// than the old version's usually are.
	Timed int64
	Slow  int64
}

func (c Count) minus(o Count) Count {
	return Count{c.Ended - o.Ended, c.Bad - o.Bad, c.Timed - o.Timed, c.Slow - o.Slow}
}

func (c Count) plus(o Count) Count {
	return Count{c.Ended + o.Ended, c.Bad + o.Bad, c.Timed + o.Timed, c.Slow + o.Slow}
}

// Counts is what one process has counted since it started.
type Counts map[Key]Count

// Limits of a good version: the part of its answers that may fail, and that may
// be slow. A version is bad only when it is beyond them and worse than the old
// one beside it.
const (
	failLimit = 0.05
	slowLimit = 0.3
)

// allRoutes is the route under which the outcomes of all routes are judged.
const allRoutes = ""

// bench holds the sequential tests of one route.
type bench struct {
	failing rollout.Test
	slowing rollout.Test
	// fail and slow sum the old version's samples beside them.
	fail rollout.Sample
	slow rollout.Sample
}

// add takes new outcomes of one version.
func (b *bench) add(c Count, target bool) {
	fail := rollout.Sample{N: float64(c.Ended), Bad: float64(c.Bad)}
	slow := rollout.Sample{N: float64(c.Timed), Bad: float64(c.Slow)}
	if !target {
		b.fail = rollout.Sample{N: b.fail.N + fail.N, Bad: b.fail.Bad + fail.Bad}
		b.slow = rollout.Sample{N: b.slow.N + slow.N, Bad: b.slow.Bad + slow.Bad}
		return
	}
	if fail.N > 0 {
		b.failing.Add(fail, failLimit, b.fail, rollout.Sample{})
	}
	if slow.N > 0 {
		b.slowing.Add(slow, slowLimit, b.slow, rollout.Sample{})
	}
}

// verdict names what the new version is bad at; empty while it is not known to
// be.
func (b *bench) verdict() string {
	switch {
	case b.failing.Crossed(b.fail, b.fail.N > 0, false):
		return "failing"
	case b.slowing.Crossed(b.slow, b.slow.N > 0, true):
		return "slow"
	}
	return ""
}
