package limit

import (
	"context"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// maxQueues bounds the pools with a queue of their own; one more shares the
// queue without a name.
const maxQueues = 256

// Queues holds the queue of each version or plain service.
type Queues struct {
	clock  clock.Clock
	mu     sync.Mutex
	queues map[string]*Queue
}

// NewQueues makes no queue yet.
func NewQueues(c clock.Clock) *Queues {
	return &Queues{clock: c, queues: make(map[string]*Queue)}
}

// For returns the queue of a name.
func (q *Queues) For(name string) *Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, known := q.queues[name]; !known && len(q.queues) >= maxQueues {
		name = ""
	}
	queue, known := q.queues[name]
	if !known {
		queue = &Queue{clock: q.clock, core: NewAdmission(), waiting: make(map[string]chan error)}
		q.queues[name] = queue
	}
	return queue
}

// Queue lets requests start as a Core says.
type Queue struct {
	clock clock.Clock
	mu    sync.Mutex
	core  *Admission
	// waiting holds a channel for each request that waits: nil on it means
	// start.
	waiting map[string]chan error
}

// Acquire waits for a place. It returns a refusal as soon as it is clear that
// none will come in time; a request that entered must call Leave once.
func (q *Queue) Acquire(ctx context.Context, it Item) (err error) {
	ready, err := q.arrive(it)
	if err != nil || ready == nil {
		return err
	}
	limit := min(it.Deadline-q.clock.Now(), maxWait)
	t := time.NewTimer(limit.Duration())
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
	v, retry, dropped := q.core.Arrive(q.clock.Now(), it)
	q.refuse(dropped, "made room for others")
	switch v {
	case Start:
		return nil, nil
	case Refuse:
		return nil, full("no place will be free in time", retry)
	}
	ready = make(chan error, 1)
	q.waiting[it.ID] = ready
	return ready, nil
}

func full(why string, retry clock.Millis) error {
	return refusal.New(refusal.Saturated, why).WithRetryAfter(retry)
}

func (q *Queue) refuse(items []Item, why string) {
	for _, it := range items {
		q.tell(it, full(why, q.core.RetryAfter(it)))
	}
}

func (q *Queue) tell(it Item, err error) {
	if ready, ok := q.waiting[it.ID]; ok {
		delete(q.waiting, it.ID)
		ready <- err
	}
}

// giveUp leaves the queue. The place may have come at the same moment; then it
// is used, or given back when the caller is gone.
func (q *Queue) giveUp(ctx context.Context, it Item, ready chan error) (err error) {
	q.mu.Lock()
	found := q.core.Remove(it)
	delete(q.waiting, it.ID)
	retry := q.core.RetryAfter(it)
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
	return full("no place was free in time", retry)
}

// Accepted tells that a gate took a request which entered.
func (q *Queue) Accepted() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pass(q.core.Accepted(q.clock.Now()))
}

// Release gives a place back.
func (q *Queue) Release(o Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pass(q.core.Release(q.clock.Now(), o))
}

func (q *Queue) pass(started, expired []Item) {
	q.refuse(expired, "no place was free in time")
	for _, it := range started {
		q.tell(it, nil)
	}
}
