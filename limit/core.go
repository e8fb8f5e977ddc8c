package limit

import "github.com/parsleydeal/parsleydeal/clock"

const (
	// maxWait is how long a request may wait for a place.
	maxWait = 10 * clock.Second
	// leastRetry and mostRetry bound the time at which a refused caller is told
	// to come back.
	leastRetry = 200 * clock.Millis(1)
	mostRetry  = 30 * clock.Second
	// rateSpan is the span over which the rate of ended requests is smoothed.
	rateSpan = 2 * clock.Second
)

// Verdict is what becomes of a request that asks for a place.
type Verdict int

// The verdicts.
const (
	Start Verdict = iota
	Wait
	Refuse
)

// Admission decides who may start at one pool. It reads no clock and waits for
// nothing; Queue runs it for requests.
type Admission struct {
	window window
	fair   fair
	// rate is how many requests end in a millisecond, smoothed over rateSpan as if
	// all of it had been seen; it is 0 while unknown.
	rate    float64
	endedAt clock.Millis
	// seen is how much of rateSpan had requests under way, at most all of it.
	seen clock.Millis
}

// NewAdmission makes an idle core.
func NewAdmission() *Admission {
	return &Admission{window: window{size: firstWindow}, fair: newFair()}
}

// Arrive takes a request in. A request that could only give up waiting is
// refused at once, with the time at which to come back. Dropped lists others
// that had to make room; they are refused too.
func (c *Admission) Arrive(now clock.Millis, it Item) (v Verdict, retry clock.Millis, dropped []Item) {
	if c.fair.size == 0 && c.window.room() {
		c.start(now)
		return Start, 0, nil
	}
	wait := c.expected(it)
	if wait > maxWait || now+wait > it.Deadline {
		return Refuse, bounded(wait), nil
	}
	out, full := c.fair.push(it)
	if !full {
		return Wait, 0, nil
	}
	if out.ID == it.ID {
		return Refuse, bounded(wait), nil
	}
	return Wait, 0, []Item{out}
}

// expected is about how long a request would wait.
func (c *Admission) expected(it Item) clock.Millis {
	if c.rate == 0 {
		return 0
	}
	share, ahead := c.fair.share(it)
	rate := c.rate * float64(rateSpan) / float64(max(c.seen, 1))
	return clock.Millis(float64(ahead+1) / (rate * share))
}

// start takes a place. Time without any request under way says nothing of how
// fast requests end: were it counted, the first ones after a start or a pause
// would make the pool look many times slower than it is, and those behind them
// would be refused and told to come back much too late.
func (c *Admission) start(now clock.Millis) {
	if c.window.used == 0 {
		c.endedAt = now
	}
	c.window.used++
}

// RetryAfter is when a request refused now is told to come back.
func (c *Admission) RetryAfter(it Item) clock.Millis { return bounded(c.expected(it)) }

func bounded(d clock.Millis) clock.Millis { return min(max(d, leastRetry), mostRetry) }

// Accepted tells that a gate took a started request, and returns who may start now.
func (c *Admission) Accepted(now clock.Millis) (started, expired []Item) {
	c.window.grow(now)
	return c.next(now)
}

// Release gives a place back and returns who may start now. Expired lists waiting
// requests whose callers have given up by now.
func (c *Admission) Release(now clock.Millis, o Outcome) (started, expired []Item) {
	c.window.end(now, o)
	if o != Refused {
		c.count(now)
	}
	return c.next(now)
}

func (c *Admission) next(now clock.Millis) (started, expired []Item) {
	for c.window.room() {
		it, ok := c.fair.pop()
		if !ok {
			break
		}
		if it.Deadline <= now {
			expired = append(expired, it)
			continue
		}
		c.start(now)
		started = append(started, it)
	}
	return started, expired
}

// count smooths the rate of ended requests.
func (c *Admission) count(now clock.Millis) {
	span := max(now-c.endedAt, 0)
	c.endedAt = now
	keep := max(1-float64(span)/float64(rateSpan), 0)
	c.rate = c.rate*keep + 1/float64(rateSpan)
	c.seen = min(c.seen+span, rateSpan)
}

// Remove takes out a request that no longer waits; found is false when it has
// started or was dropped.
func (c *Admission) Remove(it Item) (found bool) { return c.fair.remove(it) }
