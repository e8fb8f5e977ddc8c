// Package overload limits how many connections a process accepts when it falls behind with reading requests. A connection
// that is closed before its request was read costs a few microseconds, and its caller tries another process at once; a
// request that was read and cannot be answered in time costs both of them more.
package overload

import (
	"net"
	"slices"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// maxReadDelay is the read delay above which the process has fallen behind: the time from the arrival of a request until
	// its handler starts, which three quarters of the requests exceed. A process that runs for a part of each 100 ms only
	// reaches a quarter of its requests well below that.
	maxReadDelay = 100 * clock.Millis(1)
	readQuantile = 0.25
	// maxSchedulerDelay is the same for the time that a tenth of the goroutines wait for a processor. It also shows where the
	// operating system does not tell when requests arrived.
	maxSchedulerDelay = 150 * clock.Millis(1)
	// interval is the time between two adjustments of the limit, and minSamples the number of requests that a read delay is
	// based on. Measurements older than maxSampleAge are dropped, so that a process with little work never falls behind.
	interval     = 200 * clock.Millis(1)
	minSamples   = 8
	maxSampleAge = clock.Second
	// minLimit is the lowest limit, and probeInterval the longest time for which all connections are closed.
	minLimit      = 8
	probeInterval = 250 * clock.Millis(1)
	// minDecrease and maxDecrease bound the factor of one decrease, increase is that of one increase.
	minDecrease = 0.7
	maxDecrease = 0.9
	increase    = 1.0 / 8
	// nearLimit is the fraction of the limit from which it counts as reached. The limit is lifted once no connection was
	// closed and the limit not lowered for calmTime.
	nearLimit = 0.9
	calmTime  = 3 * clock.Second
)

// Limiter bounds the connections with a request in progress. There is no limit until the process falls behind. The limit
// then follows what the process can do: it falls while requests or goroutines wait and rises while they don't. Nothing is
// measured while no requests come. It is safe for concurrent use.
type Limiter struct {
	clock clock.Clock
	// schedulerDelay measures how long goroutines have waited for a processor since the last call, unless too few have.
	schedulerDelay func() (d clock.Millis, ok bool)
	// onChange is called without locks when a limit comes into force and when it is lifted.
	onChange func(Status)
	mu       sync.Mutex
	// active holds the connections with a request in progress or expected. limit bounds their number; 0 for none.
	active map[net.Conn]bool
	limit  float64
	// samples are the read delays since the last measurement, the first one at firstSampleAt.
	samples       []clock.Millis
	firstSampleAt clock.Millis
	// readDelay and schedulerWait are the last measured delays, readAt and scheduledAt when they were measured.
	readDelay     clock.Millis
	readAt        clock.Millis
	schedulerWait clock.Millis
	scheduledAt   clock.Millis
	// adjustedAt is when the limit was last adjusted, settledAt the time from which delays show the effect of the last decrease.
	adjustedAt clock.Millis
	settledAt  clock.Millis
	// pressedAt is when a connection was last closed or the limit lowered, admittedAt when one was last accepted.
	pressedAt  clock.Millis
	admittedAt clock.Millis
	accepted   uint64
	closed     uint64
}

// Status is the state of a Limiter.
type Status struct {
	// Limit is the limit in force; 0 if there is none.
	Limit  int
	Active int
	// ReadDelay and SchedulerDelay are the last measured delays of reading and of goroutines that could run.
	ReadDelay      clock.Millis
	SchedulerDelay clock.Millis
	// Accepted and Closed count the connections since the start.
	Accepted uint64
	Closed   uint64
}

// NewLimiter returns a limiter of this process without a limit in force; onChange may be nil.
func NewLimiter(c clock.Clock, onChange func(Status)) *Limiter {
	return NewLimiterWith(c, newScheduler().delay, onChange)
}

// NewLimiterWith returns a limiter of a process whose scheduler schedulerDelay measures.
func NewLimiterWith(c clock.Clock, schedulerDelay func() (d clock.Millis, ok bool), onChange func(Status)) *Limiter {
	if onChange == nil {
		onChange = func(Status) {}
	}
	return &Limiter{clock: c, schedulerDelay: schedulerDelay, onChange: onChange, active: make(map[net.Conn]bool)}
}

// Status returns the current state.
func (l *Limiter) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status()
}

func (l *Limiter) status() Status {
	return Status{Limit: int(l.limit), Active: len(l.active), ReadDelay: l.readDelay, SchedulerDelay: l.schedulerWait, Accepted: l.accepted, Closed: l.closed}
}

// Limited reports whether a limit is in force.
func (l *Limiter) Limited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit > 0
}

// Admit reports whether a new connection is accepted. It accepts one in each probeInterval whatever the limit.
func (l *Limiter) Admit() (ok bool) {
	l.update(func(now clock.Millis) { ok = l.admit(now) })
	return ok
}

func (l *Limiter) admit(now clock.Millis) bool {
	if l.limit > 0 && float64(len(l.active)) >= l.limit && now-l.admittedAt < probeInterval {
		l.pressedAt = now
		l.closed++
		return false
	}
	l.admittedAt = now
	l.accepted++
	return true
}

// RecordReadDelay records how long a request lay unread before its handler started.
func (l *Limiter) RecordReadDelay(d clock.Millis) {
	l.update(func(now clock.Millis) {
		if len(l.samples) == 0 || now-l.firstSampleAt > maxSampleAge {
			l.samples, l.firstSampleAt = l.samples[:0], now
		}
		l.samples = append(l.samples, d)
		if now-l.firstSampleAt < interval || len(l.samples) < minSamples {
			return
		}
		slices.Sort(l.samples)
		l.readDelay, l.readAt = l.samples[int(readQuantile*float64(len(l.samples)))], now
		l.samples = l.samples[:0]
	})
}

// update carries out a change, adjusts the limit if that is due, and reports a limit that came into force or was lifted.
func (l *Limiter) update(change func(now clock.Millis)) {
	now := l.clock.Now()
	l.mu.Lock()
	was := l.limit > 0
	change(now)
	if now-l.adjustedAt >= interval {
		l.adjust(now)
	}
	changed, status := (l.limit > 0) != was, l.status()
	l.mu.Unlock()
	if changed {
		l.onChange(status)
	}
}

// adjust adapts the limit to the delays.
func (l *Limiter) adjust(now clock.Millis) {
	if wait, ok := l.schedulerDelay(); ok {
		l.schedulerWait, l.scheduledAt = wait, now
	}
	// excess is the larger delay as a multiple of what is allowed. Delays from before the last decrease show nothing of it.
	since := max(l.settledAt, now-maxSampleAge)
	excess, measured := 0.0, false
	if l.readAt > since {
		excess, measured = float64(l.readDelay)/float64(maxReadDelay), true
	}
	if l.scheduledAt > since {
		excess, measured = max(excess, float64(l.schedulerWait)/float64(maxSchedulerDelay)), true
	}
	active := float64(len(l.active))
	reached := active >= l.limit*nearLimit || l.pressedAt >= l.adjustedAt
	l.adjustedAt = now
	switch {
	case excess > 1 && active >= minLimit:
		// Until it has answered what it accepted before, delays show nothing of the limit.
		if l.limit > 0 && active > l.limit {
			return
		}
		l.limit = max(active*min(max(1/excess, minDecrease), maxDecrease), minLimit)
		l.settledAt, l.pressedAt = now+max(l.readDelay, l.schedulerWait), now
	case l.limit == 0:
	case now-l.pressedAt >= calmTime:
		l.limit = 0
	case reached && measured:
		l.limit += max(l.limit*increase, 1)
	}
}
