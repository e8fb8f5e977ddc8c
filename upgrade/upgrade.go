package upgrade

import (
	"math"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// idleDuration is how long nothing must have run on the old version before the upgrade is
	// complete. The counts received from peers may be two report intervals old.
	idleDuration = 700 * clock.Millis(1)
	// completionMargin is how long before its deadline an upgrade is completed even if the old
	// version is still in use. Streams that this cuts off continue on the new version, whereas an
	// order that is not completed in time counts as failed.
	completionMargin = 1500 * clock.Millis(1)
)

// Upgrade tracks the execution of one order. It reads no clock: callers pass the time.
type Upgrade struct {
	order    Order
	schedule Schedule
	phase    Phase
	// reason is why the upgrade ended; empty while it runs.
	reason string
	// lastCounts and lastLatencies hold the last cumulative counts of each process; nil once the
	// upgrade has ended.
	lastCounts    map[string]Counts
	lastLatencies map[string]Latencies
	baseline      baseline
	// ungraded holds samples of the new version for which the baseline has too few samples so far.
	ungraded     Latencies
	testsByRoute map[string]*routeTests
	// withDelays holds tests over all routes that include the delays of dropped answers.
	withDelays routeTests
	// total sums all outcomes of the new version.
	total Count
	// entries is the number of entries that are running, reporters that of processes whose counts
	// were recorded.
	entries   int
	reporters int
	// idleSince is when the old version became idle; 0 while it is in use.
	idleSince clock.Millis
}

// New starts tracking an order that takes effect at startedAt.
func New(o Order, startedAt clock.Millis) *Upgrade {
	return newUpgrade(o, Schedule{startedAt: startedAt, span: o.Duration})
}

// Resume starts tracking an order that was started the given time ago, when all that was known of its version is lost.
// What is left of its duration has a schedule of its own.
func Resume(o Order, now, age clock.Millis) *Upgrade {
	return newUpgrade(o, resumedSchedule(o, now, age))
}

func newUpgrade(o Order, s Schedule) *Upgrade {
	return &Upgrade{order: o, schedule: s, lastCounts: make(map[string]Counts), lastLatencies: make(map[string]Latencies), baseline: make(baseline), testsByRoute: make(map[string]*routeTests)}
}

// Order returns the order.
func (u *Upgrade) Order() Order { return u.order }

// Renumber changes the number of the order, whose record was written again.
func (u *Upgrade) Renumber(number int64) { u.order.Number = number }

// Phase returns the state of the upgrade.
func (u *Upgrade) Phase() Phase { return u.phase }

// Reason returns why the upgrade ended; empty while it runs.
func (u *Upgrade) Reason() string { return u.reason }

// Reporters returns the number of processes whose counts were recorded.
func (u *Upgrade) Reporters() int { return u.reporters }

// Total sums the recorded outcomes of the new version.
func (u *Upgrade) Total() Count { return u.total }

// Ungraded returns how many samples of the new version there was nothing to compare with.
func (u *Upgrade) Ungraded() (n int64) {
	for _, samples := range u.ungraded {
		n += samples
	}
	return n
}

// Schedule returns the schedule of the upgrade.
func (u *Upgrade) Schedule() Schedule { return u.schedule }

// Resumed reports whether the schedule is that of an order with which all processes had to begin again.
func (u *Upgrade) Resumed() bool { return u.schedule.span < u.order.Duration }

// AdjustSchedule applies the schedule of a peer if it started earlier, so that a process started during an upgrade does
// not start over with the shares.
func (u *Upgrade) AdjustSchedule(s Schedule) {
	if s.startedAt < u.schedule.startedAt {
		u.schedule = s
	}
}

// Set applies a phase that another process decided on. It reports whether the phase changed; an
// upgrade that has ended never changes.
func (u *Upgrade) Set(p Phase, reason string) (changed bool) {
	if u.phase != Running || p == Running {
		return false
	}
	u.phase, u.reason = p, reason
	u.lastCounts, u.lastLatencies, u.baseline = nil, nil, nil
	return true
}

// AddCounts records the cumulative counts of one process. Counts may omit keys that have not
// changed. A restarted process must have another name, so that the counts of a process never
// decrease.
func (u *Upgrade) AddCounts(process string, counts Counts) {
	if u.phase != Running {
		return
	}
	last, ok := u.lastCounts[process]
	if !ok {
		last = make(Counts)
		u.lastCounts[process] = last
		u.reporters++
	}
	added := make(Counts, len(counts))
	for k, c := range counts {
		added[k] = c.minus(last[k])
		last[k] = c
	}
	u.addAllOutcomes(added)
}

// AddLatencies records the cumulative latency samples of one process; see AddCounts. share is the
// new version's share of requests.
func (u *Upgrade) AddLatencies(process string, samples Latencies, share float64) {
	if u.phase != Running {
		return
	}
	last, ok := u.lastLatencies[process]
	if !ok {
		last = make(Latencies, len(samples))
		u.lastLatencies[process] = last
	}
	added := make(Latencies)
	for b, n := range samples {
		if d := n - last[b]; d > 0 {
			last[b], added[b] = n, d
		}
	}
	u.gradeSamples(added, share)
}

// gradeSamples counts new samples as slow or not. Those of the old version come first: the new
// version's are compared with them.
func (u *Upgrade) gradeSamples(added Latencies, share float64) {
	for b, n := range u.ungraded {
		added[b] += n
	}
	u.ungraded = make(Latencies)
	for b, n := range added {
		if !b.Target {
			u.baseline.add(b.LatencyKey, b.Index, n)
		}
	}
	factor := 1.0
	if share > earlyShare {
		factor = loadedFactor
	}
	graded := make(Counts)
	known := make(map[LatencyKey]limits)
	for b, n := range added {
		l, ok := known[b.LatencyKey]
		if !ok {
			keyFactor := factor
			if b.Delay {
				keyFactor = 1
			}
			if l, ok = u.baseline.limits(b.LatencyKey, keyFactor); !ok {
				if b.Target {
					u.ungraded[b] = n
				}
				continue
			}
			known[b.LatencyKey] = l
		}
		k := Key{Route: b.Route, Target: b.Target, Delay: b.Delay}
		graded[k] = graded[k].plus(l.grade(b.Index, n), 1)
	}
	u.addAllOutcomes(graded)
}

// addAllOutcomes adds the new version's outcomes first: the old version's of the same report are
// then part of what they are compared with.
func (u *Upgrade) addAllOutcomes(added Counts) {
	for _, target := range []bool{true, false} {
		for k, c := range added {
			if k.Target == target {
				u.addOutcomes(k, c)
			}
		}
	}
}

// addOutcomes adds new outcomes to the tests.
func (u *Upgrade) addOutcomes(k Key, c Count) {
	if c == (Count{}) {
		return
	}
	u.withDelays.add(c, k.Target)
	if k.Delay {
		return
	}
	if k.Target {
		u.total = u.total.plus(c, 1)
	}
	u.testsOf(k.Route).add(c, k.Target)
	u.testsOf(allRoutes).add(c, k.Target)
}

func (u *Upgrade) testsOf(route string) *routeTests {
	tests, ok := u.testsByRoute[route]
	if !ok {
		tests = &routeTests{}
		u.testsByRoute[route] = tests
	}
	return tests
}

// Judge decides whether the upgrade ends, and reports whether it did. It rolls back as soon as the
// new version is bad, or if the new version seems bad when its share is about to rise. It
// completes the upgrade once the old version is idle, or shortly before the deadline, unless the new version seems bad by
// what few entries have counted. old is the number of requests running on the old version in all processes.
func (u *Upgrade) Judge(now clock.Millis, old int) (changed bool) {
	if u.phase != Running {
		return false
	}
	for route, tests := range u.testsByRoute {
		if v := tests.verdict(); v != "" {
			return u.Set(RolledBack, v+" on "+routeName(route))
		}
	}
	if v := u.suspicion(); v != "" && u.schedule.ElapsedRatio(now) >= pinnedRatio && u.covered() {
		return u.Set(RolledBack, "its share was to rise, and it seems "+v)
	}
	if old > 0 || u.schedule.ElapsedRatio(now) < fullTrafficRatio {
		u.idleSince = 0
	} else if u.idleSince == 0 {
		u.idleSince = now
	}
	reason := ""
	switch {
	case u.idleSince > 0 && now-u.idleSince >= idleDuration:
		reason = "old version is idle"
	case u.schedule.ElapsedRatio(now) >= fullTrafficRatio && u.schedule.Age(now) >= u.schedule.span-completionMargin:
		reason = "time is up"
	default:
		return false
	}
	if v := u.suspicion(); v != "" {
		return u.Set(RolledBack, reason+", and it seems "+v)
	}
	return u.Set(Completed, reason)
}

// SetEntries sets the number of entries that are running and report their counts.
func (u *Upgrade) SetEntries(n int) { u.entries = n }

// minCoverage is the fraction of the entries whose counts are needed to end an upgrade on
// suspicion. Weak evidence from a few entries must not decide for all.
const minCoverage = 0.75

func (u *Upgrade) covered() bool {
	return float64(u.reporters) >= minCoverage*float64(u.entries)
}

const (
	// minTimed is the number of timed answers of the new version below which the first-byte delays
	// of dropped answers (Key.Delay) are considered too. Delays are weaker evidence: they are
	// measured against a forecast of the prompt's wait, which is rough.
	minTimed = 100
	// clearedThreshold and slowRatio define when fewer timed answers suffice to leave delays out:
	// their slow ones make it unlikely, by a log-likelihood ratio of clearedThreshold, that
	// slowRatio of the new version's answers are slow.
	clearedThreshold = 4.0
	slowRatio        = 0.5
)

// suspicion returns the name of the measure by which the new version seems to be bad over all
// routes; "" if there is none.
func (u *Upgrade) suspicion() string {
	if v := u.testsOf(allRoutes).suspicion(); v != "" || u.total.Timed >= minTimed || u.cleared() {
		return v
	}
	return u.withDelays.suspicion()
}

// cleared reports whether the timed answers alone show that the new version is not slow.
func (u *Upgrade) cleared() bool {
	const threshold = 1
	good := 1 - SlowThresholds[threshold].Quantile
	slow, fast := float64(u.total.Slow[threshold]), float64(u.total.Timed-u.total.Slow[threshold])
	return fast*math.Log((1-good)/(1-slowRatio))+slow*math.Log(good/slowRatio) >= clearedThreshold
}

func routeName(route string) string {
	if route == allRoutes {
		return "all routes"
	}
	return route
}
