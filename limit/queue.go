package limit

import (
	"context"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// maxQueues bounds the versions and services with a queue of their own. All further ones share one
// queue, which has the empty name.
const maxQueues = 256

// Queues holds one queue for each model version or plain service. It is safe for concurrent use.
type Queues struct {
	clock  clock.Clock
	mu     sync.Mutex
	queues map[string]*Queue
}

// NewQueues returns an empty set of queues.
func NewQueues(c clock.Clock) *Queues {
	return &Queues{clock: c, queues: make(map[string]*Queue)}
}

// For returns the queue of a version or service, and creates it if needed.
func (q *Queues) For(name string) *Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, known := q.queues[name]; !known && len(q.queues) >= maxQueues {
		name = ""
	}
	queue, known := q.queues[name]
	if !known {
		queue = &Queue{clock: q.clock, admission: NewAdmission(), waiting: make(map[string]chan error)}
		q.queues[name] = queue
	}
	return queue
}

// Queue blocks requests until its Admission lets them start. It is safe for concurrent use.
type Queue struct {
	clock     clock.Clock
	mu        sync.Mutex
	admission *Admission
	// waiting holds one channel for each waiting request, by its ID. The channel gets nil when the
	// request may start, or the error with which it is refused.
	waiting map[string]chan error
}

// Acquire waits for a slot. It returns a refusal as soon as it is clear that none will be free
// in time, or if ctx ends first. After a nil error the caller must call Release exactly once.
func (q *Queue) Acquire(ctx context.Context, it Item) (err error) {
	ready, err := q.arrive(it)
	if err != nil || ready == nil {
		return err
	}
	timeout := min(it.Deadline-q.clock.Now(), maxWait)
	t := time.NewTimer(timeout.Duration())
	defer t.Stop()
	select {
	case err = <-ready:
		return err
	case <-ctx.Done():
	case <-t.C:
	}
	return q.giveUp(ctx, it, ready)
}

func (q *Queue) arrive(it Item) (ready chan error, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	v, retry, dropped := q.admission.Arrive(q.clock.Now(), it)
	q.refuse(dropped, "made room for others")
	switch v {
	case Start:
		return nil, nil
	case Refuse:
		return nil, saturated("no place will be free in time", retry)
	}
	ready = make(chan error, 1)
	q.waiting[it.ID] = ready
	return ready, nil
}

func saturated(reason string, retry clock.Millis) error {
	return refusal.New(refusal.Saturated, reason).WithRetryAfter(retry)
}

func (q *Queue) refuse(items []Item, reason string) {
	for _, it := range items {
		q.notify(it, saturated(reason, q.admission.RetryAfter(it)))
	}
}

func (q *Queue) notify(it Item, err error) {
	if ready, ok := q.waiting[it.ID]; ok {
		delete(q.waiting, it.ID)
		ready <- err
	}
}

// giveUp takes a request out of the queue. If the request was granted a slot at the same moment, it
// uses that slot, or releases it if the caller has disconnected.
func (q *Queue) giveUp(ctx context.Context, it Item, ready chan error) (err error) {
	q.mu.Lock()
	found := q.admission.Remove(it)
	delete(q.waiting, it.ID)
	retry := q.admission.RetryAfter(it)
	q.mu.Unlock()
	if !found {
		if err = <-ready; err != nil || ctx.Err() == nil {
			return err
		}
		q.Release(Neutral)
	}
	if ctx.Err() == context.Canceled {
		return refusal.New(refusal.Cancelled, "cancelled by the caller")
	}
	return saturated("no place was free in time", retry)
}

// Accepted records that a gate accepted a request that holds a slot.
func (q *Queue) Accepted() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch(q.admission.Accepted(q.clock.Now()))
}

// Release frees the slot of a request that has ended.
func (q *Queue) Release(o Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch(q.admission.Release(q.clock.Now(), o))
}

func (q *Queue) dispatch(started, expired []Item) {
	q.refuse(expired, "no place was free in time")
	for _, it := range started {
		q.notify(it, nil)
	}
}
