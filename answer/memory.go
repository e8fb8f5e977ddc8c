package answer

import (
	"sync"

	"github.com/parsleydeal/parsleydeal/refusal"
)

// Attempt names one attempt of a request.
type Attempt struct {
	Request string
	Number  uint32
}

// Claim is where an attempt's claim stands on the log; the zero value is an
// attempt without one.
type Claim struct {
	Stream string
	Offset int64
}

// fate is what is known of an attempt.
type fate int

const (
	// waiting attempts have arrived and were not dispatched.
	waiting fate = iota + 1
	// dispatched attempts are under way at the engine.
	dispatched
	// ended attempts ran.
	ended
	// barred attempts did not run and never will (a tombstone).
	barred
	// reopened attempts may be repeated and gave no whole answer; they may come
	// again.
	reopened
)

// AttemptTracker knows what became of the attempts that may run at most once, so that a
// refusal which says "not run" is true: an attempt that was said not to have run
// is barred, also when it arrives later.
type AttemptTracker struct {
	mu sync.Mutex
	// bound is the most attempts remembered. Beyond it the oldest that is not
	// under way falls out, and with it all knowledge of claims up to its own.
	bound int
	fates map[Attempt]fate
	// claims holds the claim of each remembered attempt.
	claims map[Attempt]Claim
	order  []Attempt
	// forgotten is, by stream, the highest claim that fell out. An attempt with a
	// claim at or below it can be neither barred nor run here. There are as many
	// entries as streams of claims.
	forgotten map[string]int64
	// overflown is true once forgotten was full; then nothing is known of any
	// attempt that is not remembered.
	overflown bool
}

// maxStreams bounds the streams of claims that are told apart.
const maxStreams = 1024

// NewAttemptTracker makes a memory of at most so many attempts.
func NewAttemptTracker(bound int) *AttemptTracker {
	return &AttemptTracker{bound: bound, fates: make(map[Attempt]fate), claims: make(map[Attempt]Claim), forgotten: make(map[string]int64)}
}

// Arrive notes an attempt that came in. It returns the run state to refuse with
// when the attempt may not go on: barred attempts did not run, known ones are
// not run twice.
func (m *AttemptTracker) Arrive(a Attempt, c Claim) (run refusal.Run, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.fates[a] {
	case barred:
		return refusal.NotRun, false
	case waiting, dispatched, ended:
		return refusal.Ran, false
	case reopened:
		m.fates[a] = waiting
		return refusal.NotRun, true
	}
	if c.Stream != "" && m.lost(c) {
		return refusal.Unknown, false
	}
	m.set(a, c, waiting)
	return refusal.NotRun, true
}

// Dispatch marks a waiting attempt as run. It reports false when the attempt
// was barred while it waited: the two cannot both happen.
func (m *AttemptTracker) Dispatch(a Attempt) (ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fates[a] != waiting {
		return false
	}
	m.fates[a] = dispatched
	return true
}

// End notes that an attempt is over. One that was not dispatched is barred: its
// refusal has said that it did not run.
func (m *AttemptTracker) End(a Attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.fates[a] {
	case waiting:
		m.fates[a] = barred
	case dispatched:
		m.fates[a] = ended
	}
}

// Reopen notes that an attempt which may be repeated is over without a whole
// answer. A caller that asks again with its key makes the same attempt; were it
// barred, that key would be refused here until the memory is full.
func (m *AttemptTracker) Reopen(a Attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.fates[a] {
	case waiting, dispatched:
		m.fates[a] = reopened
	}
}

// Revoke refuses an attempt for ever and returns what can be said of it: not-run
// when it did not run and never will here. Of an unknown attempt without a claim
// nothing can be said: its bar may fall out before it arrives.
func (m *AttemptTracker) Revoke(a Attempt, c Claim) (run refusal.Run, running bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.fates[a] {
	case dispatched:
		return refusal.Ran, true
	case ended:
		return refusal.Ran, false
	case waiting, barred, reopened:
		m.fates[a] = barred
		return refusal.NotRun, false
	}
	if m.lost(c) {
		return refusal.Unknown, false
	}
	m.set(a, c, barred)
	if c.Stream == "" {
		return refusal.Unknown, false
	}
	return refusal.NotRun, false
}

// lost reports whether an unknown attempt may be one that fell out.
func (m *AttemptTracker) lost(c Claim) bool {
	last, some := m.forgotten[c.Stream]
	return m.overflown || some && c.Offset <= last
}

func (m *AttemptTracker) set(a Attempt, c Claim, f fate) {
	m.fates[a] = f
	m.claims[a] = c
	m.order = append(m.order, a)
	if len(m.order) > m.bound {
		m.forget()
	}
}

// forget drops the oldest attempt that is not under way.
func (m *AttemptTracker) forget() {
	for i, a := range m.order {
		if f := m.fates[a]; f == waiting || f == dispatched {
			continue
		}
		c := m.claims[a]
		if last, some := m.forgotten[c.Stream]; !some || c.Offset > last {
			m.remember(c)
		}
		delete(m.fates, a)
		delete(m.claims, a)
		m.dropOrder(i)
		return
	}
}

// dropOrder drops an entry of the order; the first, which is the usual one,
// without moving the rest.
func (m *AttemptTracker) dropOrder(i int) {
	if i == 0 {
		m.order = m.order[1:]
		return
	}
	m.order = append(m.order[:i], m.order[i+1:]...)
}

func (m *AttemptTracker) remember(c Claim) {
	if _, some := m.forgotten[c.Stream]; !some && len(m.forgotten) == maxStreams {
		m.overflown = true
		return
	}
	m.forgotten[c.Stream] = c.Offset
}
