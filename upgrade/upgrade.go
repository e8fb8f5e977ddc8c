package upgrade

import "github.com/parsleydeal/parsleydeal/clock"

const (
	// settle is how long nothing may have run on the old version before the move
	// is done. What peers say of themselves is up to two of their reports old.
	settle = 700 * clock.Millis(1)
	// lastCall is how long before the end of the span a move is done even though
	// the old version still works. An order that is not done in time counts as
	// failed, while the streams cut by it go on at the new version.
	lastCall = 1500 * clock.Millis(1)
)

// Upgrade is one order on its way. It reads no clock.
type Upgrade struct {
	order     Order
	startedAt clock.Millis
	phase     Phase
	// reason says what the verdict rests on.
	reason string
	// seen holds the last cumulative counts of each process.
	seen    map[string]Counts
	benches map[string]*bench
	// thin has the delays of dropped answers besides, of all routes.
	thin bench
	// total sums all outcomes of the new version.
	total Count
	// idleSince is when the old version was first seen idle; 0 while it works.
	idleSince clock.Millis
}

// New begins an order that was given some time before now.
func New(o Order, startedAt clock.Millis) *Upgrade {
	return &Upgrade{order: o, startedAt: startedAt, seen: make(map[string]Counts), benches: make(map[string]*bench)}
}

// Order returns the order.
func (u *Upgrade) Order() Order { return u.order }

// Phase returns the state of the move.
func (u *Upgrade) Phase() Phase { return u.phase }

// Reason says what a verdict rests on.
func (u *Upgrade) Reason() string { return u.reason }

// Total sums the outcomes of the new version that were seen.
func (u *Upgrade) Total() Count { return u.total }

// Age returns how long the order has been under way.
func (u *Upgrade) Age(now clock.Millis) clock.Millis { return now - u.startedAt }

// AdjustStart takes an earlier beginning that a peer has seen, so that a process that
// started in the middle of a move does not begin it anew.
func (u *Upgrade) AdjustStart(at clock.Millis) {
	u.startedAt = min(u.startedAt, at)
}

// ElapsedRatio is the part of the span that has passed.
func (u *Upgrade) ElapsedRatio(now clock.Millis) float64 {
	return float64(u.Age(now)) / float64(max(u.order.Duration, 1))
}

// Set takes a state that was agreed on elsewhere. A verdict is final.
func (u *Upgrade) Set(p Phase, reason string) (changed bool) {
	if u.phase != Running || p == Running {
		return false
	}
	u.phase, u.reason = p, reason
	return true
}

// AddCounts adds the cumulative counts of one process; what is missing has not changed.
// A process that starts again has another name, so that its counts never fall
// back.
func (u *Upgrade) AddCounts(process string, counts Counts) {
	before, ok := u.seen[process]
	if !ok {
		before = make(Counts)
		u.seen[process] = before
	}
	for k, c := range counts {
		d := c.minus(before[k])
		before[k] = c
		if d == (Count{}) {
			continue
		}
		u.thin.add(d, k.Target)
		if k.Delay {
			continue
		}
		if k.Target {
			u.total = u.total.plus(d, 1)
		}
		u.bench(k.Route).add(d, k.Target)
		u.bench(allRoutes).add(d, k.Target)
	}
}

func (u *Upgrade) bench(route string) *bench {
	b, ok := u.benches[route]
	if !ok {
		b = &bench{}
		u.benches[route] = b
	}
	return b
}

// Judge finds the move's end: rolled back as soon as the new version is bad, or when its
// share is to rise while the evidence leans against it, completed when the old version
// works on nothing any more. Old is the number of requests that run on the old version,
// all processes together.
func (u *Upgrade) Judge(now clock.Millis, old int) (changed bool) {
	if u.phase != Running {
		return false
	}
	for route, b := range u.benches {
		if v := b.verdict(); v != "" {
			return u.Set(RolledBack, v+" on "+nameOf(route))
		}
	}
	if v := u.leaning(); v != "" && u.ElapsedRatio(now) >= firstPart {
		return u.Set(RolledBack, "its share was to rise, and it seems "+v)
	}
	if old > 0 || u.ElapsedRatio(now) < fullFrom {
		u.idleSince = 0
	} else if u.idleSince == 0 {
		u.idleSince = now
	}
	switch {
	case u.idleSince > 0 && now-u.idleSince >= settle:
		return u.Set(Completed, "old version is idle")
	case u.ElapsedRatio(now) >= fullFrom && u.Age(now) >= u.order.Duration-lastCall:
		return u.Set(Completed, "time is up")
	}
	return false
}

// fewTimed is how many timed answers of the new version are so few that the delays of dropped
// ones are asked as well: these tell less, since what a prompt meets is foretold roughly.
const fewTimed = 100

// leaning names what the new version seems to be bad at.
func (u *Upgrade) leaning() string {
	if v := u.bench(allRoutes).leaning(); v != "" || u.total.Timed >= fewTimed {
		return v
	}
	return u.thin.leaning()
}

func nameOf(route string) string {
	if route == allRoutes {
		return "all routes"
	}
	return route
}
