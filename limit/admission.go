package limit

import "github.com/parsleydeal/parsleydeal/clock"

const (
	// maxWait is how long a request may wait for a slot.
	maxWait = 10 * clock.Second
	// minRetryAfter and maxRetryAfter bound the retry delay that a refusal carries.
	minRetryAfter = 200 * clock.Millis(1)
	maxRetryAfter = 30 * clock.Second
	// rateWindow is the window over which the completion rate is smoothed.
	rateWindow = 2 * clock.Second
)

// Verdict is the outcome of a request for a slot.
type Verdict int

// The verdicts.
const (
	Start Verdict = iota
	Wait
	Refuse
)

// Admission decides which requests may start at one pool. It reads no clock and never blocks;
// Queue drives it on behalf of requests. It is not safe for concurrent use.
type Admission struct {
	window window
	fair   fairQueue
	// rate is the smoothed number of completions per millisecond, 0 while unknown. Until the whole
	// rateWindow has been observed it is too low, which expectedWait corrects.
	rate      float64
	lastEndAt clock.Millis
	// observed is the time during which requests were in flight, at most rateWindow.
	observed clock.Millis
}

// NewAdmission returns an Admission without requests.
func NewAdmission() *Admission {
	return &Admission{window: window{size: initialWindow}, fair: newFairQueue()}
}

// Arrive decides whether a request starts, waits or is refused. A request that could not start
// before its deadline or within maxWait is refused at once, with the delay after which to retry.
// Dropped lists waiting requests that were evicted to make room, which must be refused as well.
func (a *Admission) Arrive(now clock.Millis, it Item) (v Verdict, retry clock.Millis, dropped []Item) {
	if a.fair.size == 0 && a.window.hasRoom() {
		a.takeSlot(now)
		return Start, 0, nil
	}
	wait := a.expectedWait(it)
	if wait > maxWait || now+wait > it.Deadline {
		return Refuse, clampRetryAfter(wait), nil
	}
	evicted, full := a.fair.push(it)
	if !full {
		return Wait, 0, nil
	}
	if evicted.ID == it.ID {
		return Refuse, clampRetryAfter(wait), nil
	}
	return Wait, 0, []Item{evicted}
}

// expectedWait estimates how long a request would wait; 0 while the completion rate is unknown.
func (a *Admission) expectedWait(it Item) clock.Millis {
	if a.rate == 0 {
		return 0
	}
	share, ahead := a.fair.share(it)
	rate := a.rate * float64(rateWindow) / float64(max(a.observed, 1))
	return clock.Millis(float64(ahead+1) / (rate * share))
}

// takeSlot occupies a slot. Time without any request in flight does not count towards the
// completion rate. Otherwise the rate after a start or a pause would be many times too low, and
// waiting requests would be refused with a far too long retry delay.
func (a *Admission) takeSlot(now clock.Millis) {
	if a.window.inFlight == 0 {
		a.lastEndAt = now
	}
	a.window.inFlight++
}

// RetryAfter returns the delay after which a request that is refused now should be retried.
func (a *Admission) RetryAfter(it Item) clock.Millis { return clampRetryAfter(a.expectedWait(it)) }

func clampRetryAfter(d clock.Millis) clock.Millis { return min(max(d, minRetryAfter), maxRetryAfter) }

// Accepted records that a gate accepted a started request. It returns the requests that may
// start now, and those whose deadline has passed.
func (a *Admission) Accepted(now clock.Millis) (started, expired []Item) {
	a.window.grow(now)
	return a.startNext(now)
}

// Release frees the slot of a request that has ended. It returns the waiting requests that may
// start now, and those whose deadline has passed.
func (a *Admission) Release(now clock.Millis, o Outcome) (started, expired []Item) {
	a.window.release(now, o)
	if o != Refused {
		a.recordEnd(now)
	}
	return a.startNext(now)
}

func (a *Admission) startNext(now clock.Millis) (started, expired []Item) {
	for a.window.hasRoom() {
		it, ok := a.fair.pop()
		if !ok {
			break
		}
		if it.Deadline <= now {
			expired = append(expired, it)
			continue
		}
		a.takeSlot(now)
		started = append(started, it)
	}
	return started, expired
}

// recordEnd updates the smoothed completion rate.
func (a *Admission) recordEnd(now clock.Millis) {
	elapsed := max(now-a.lastEndAt, 0)
	a.lastEndAt = now
	decay := max(1-float64(elapsed)/float64(rateWindow), 0)
	a.rate = a.rate*decay + 1/float64(rateWindow)
	a.observed = min(a.observed+elapsed, rateWindow)
}

// Remove takes a request out of the queue; found is false if it has started or was dropped.
func (a *Admission) Remove(it Item) (found bool) { return a.fair.remove(it) }
