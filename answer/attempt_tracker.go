package answer

import (
	"sync"

	"github.com/parsleydeal/parsleydeal/refusal"
)

// Attempt identifies one attempt of a request.
type Attempt struct {
	Request string
	Number  uint32
}

// Claim is the position of an attempt's claim on the log. The zero value means that the attempt has
// no claim.
type Claim struct {
	Stream string
	Offset int64
}

// attemptState is the last recorded state of an attempt. The zero value means that it is unknown.
type attemptState int

const (
	// waiting attempts have arrived and are not dispatched yet.
	waiting attemptState = iota + 1
	// dispatched attempts are running at the engine.
	dispatched
	// ended attempts ran.
	ended
	// revoked attempts did not run and will never run (a tombstone).
	revoked
	// reopened attempts are repeatable and gave no complete answer; they may arrive again.
	reopened
)

// AttemptTracker records the state of attempts that may run at most once. It ensures that an
// attempt reported as "not-run" never runs: such an attempt is revoked, and refused even if it
// arrives later. It is safe for concurrent use.
type AttemptTracker struct {
	mu sync.Mutex
	// maxAttempts bounds the tracked attempts. Beyond it the oldest one that is neither waiting nor
	// dispatched is evicted. From then on an untracked attempt is in an unknown state if its claim
	// is in the same stream at or below the offset of the evicted attempt's claim.
	maxAttempts int
	states      map[Attempt]attemptState
	// claims has the claim of each tracked attempt.
	claims map[Attempt]Claim
	order  []Attempt
	// evictedOffsets has, by stream of claims, the highest offset of an evicted attempt's claim. An
	// untracked attempt with a claim at or below that offset may have been evicted: it must not run
	// here, and it cannot be reported as not run. The map has at most maxStreams streams.
	evictedOffsets map[string]int64
	// tooManyStreams is true once evictedOffsets was full; from then on the state of every
	// untracked attempt is unknown.
	tooManyStreams bool
}

// maxStreams bounds the streams of claims in evictedOffsets.
const maxStreams = 1024

// NewAttemptTracker returns an empty tracker. It evicts attempts beyond maxAttempts, but none that
// are waiting or dispatched.
func NewAttemptTracker(maxAttempts int) *AttemptTracker {
	return &AttemptTracker{maxAttempts: maxAttempts, states: make(map[Attempt]attemptState), claims: make(map[Attempt]Claim), evictedOffsets: make(map[string]int64)}
}

// Arrive records an incoming attempt. If ok is false the attempt must be refused with the returned
// run state: not-run for a revoked attempt, ran for one that arrived before, which must not run
// twice, and unknown for one that may have been evicted. A reopened attempt is accepted again.
func (t *AttemptTracker) Arrive(a Attempt, c Claim) (run refusal.Run, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.states[a] {
	case revoked:
		return refusal.NotRun, false
	case waiting, dispatched, ended:
		return refusal.Ran, false
	case reopened:
		t.states[a] = waiting
		return refusal.NotRun, true
	}
	if c.Stream != "" && t.maybeEvicted(c) {
		return refusal.Unknown, false
	}
	t.add(a, c, waiting)
	return refusal.NotRun, true
}

// Dispatch marks a waiting attempt as running. It reports false if the attempt was revoked while
// it waited, so that an attempt is never both revoked and run.
func (t *AttemptTracker) Dispatch(a Attempt) (ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.states[a] != waiting {
		return false
	}
	t.states[a] = dispatched
	return true
}

// End records the end of an attempt. One that was not dispatched is revoked, as its refusal
// reported that it did not run.
func (t *AttemptTracker) End(a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.states[a] {
	case waiting:
		t.states[a] = revoked
	case dispatched:
		t.states[a] = ended
	}
}

// Reopen records that a repeatable attempt ended without a complete answer. A caller's retry with
// the same idempotency key has the same request ID and attempt number; if the attempt were revoked,
// this endpoint would refuse the key until the attempt is evicted.
func (t *AttemptTracker) Reopen(a Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.states[a] {
	case waiting, dispatched:
		t.states[a] = reopened
	}
}

// Revoke prevents an attempt from running and returns its run state: not-run if it did not run and
// never will at this endpoint. The state of an untracked attempt without a claim stays unknown,
// because the record of its revocation may be evicted before the attempt arrives. Running is true
// while the attempt runs.
func (t *AttemptTracker) Revoke(a Attempt, c Claim) (run refusal.Run, running bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.states[a] {
	case dispatched:
		return refusal.Ran, true
	case ended:
		return refusal.Ran, false
	case waiting, revoked, reopened:
		t.states[a] = revoked
		return refusal.NotRun, false
	}
	if t.maybeEvicted(c) {
		return refusal.Unknown, false
	}
	t.add(a, c, revoked)
	if c.Stream == "" {
		return refusal.Unknown, false
	}
	return refusal.NotRun, false
}

// maybeEvicted reports whether an untracked attempt may have been evicted.
func (t *AttemptTracker) maybeEvicted(c Claim) bool {
	last, found := t.evictedOffsets[c.Stream]
	return t.tooManyStreams || found && c.Offset <= last
}

func (t *AttemptTracker) add(a Attempt, c Claim, state attemptState) {
	t.states[a] = state
	t.claims[a] = c
	t.order = append(t.order, a)
	if len(t.order) > t.maxAttempts {
		t.evictOldest()
	}
}

// evictOldest drops the oldest attempt that is neither waiting nor dispatched, if there is one.
func (t *AttemptTracker) evictOldest() {
	for i, a := range t.order {
		if s := t.states[a]; s == waiting || s == dispatched {
			continue
		}
		c := t.claims[a]
		if last, found := t.evictedOffsets[c.Stream]; !found || c.Offset > last {
			t.recordEviction(c)
		}
		delete(t.states, a)
		delete(t.claims, a)
		t.removeFromOrder(i)
		return
	}
}

// removeFromOrder removes an element of order. The most common case, the first element, is removed
// without moving the others.
func (t *AttemptTracker) removeFromOrder(i int) {
	if i == 0 {
		t.order = t.order[1:]
		return
	}
	t.order = append(t.order[:i], t.order[i+1:]...)
}

func (t *AttemptTracker) recordEviction(c Claim) {
	if _, found := t.evictedOffsets[c.Stream]; !found && len(t.evictedOffsets) == maxStreams {
		t.tooManyStreams = true
		return
	}
	t.evictedOffsets[c.Stream] = c.Offset
}
