package limit

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
)

// maxWaiting bounds the requests that wait at one entry for one pool.
const maxWaiting = 512

// Item is a request for a slot.
type Item struct {
	ID           string
	Organisation string
	// Weight is the organisation's share of the service relative to the weights of others, at least
	// 1.
	Weight int
	// Priority orders an organisation's own requests, the highest first; it has no effect on
	// other organisations.
	Priority int32
	// Deadline is when the caller times out.
	Deadline clock.Millis
}

// fairQueue is a bounded queue that serves organisations in proportion to their weights
// (start-time fair queueing): an organisation with few requests is served soon, however many
// requests others have waiting.
type fairQueue struct {
	// queues holds only organisations that have waiting requests or whose nextStart is after
	// virtualTime.
	queues      map[string]*orgQueue
	virtualTime float64
	size        int
}

// orgQueue holds one organisation's waiting requests, the next one first.
type orgQueue struct {
	items  []Item
	weight float64
	// nextStart is the virtual time at which the organisation's next request is due.
	nextStart float64
}

func newFairQueue() fairQueue { return fairQueue{queues: make(map[string]*orgQueue)} }

// push adds a request. If the queue is full, it returns the request that is dropped: the newest
// of the lowest priority from the organisation with the most waiting requests relative to its
// weight.
func (f *fairQueue) push(it Item) (out Item, dropped bool) {
	q := f.queueOf(it)
	i := slices.IndexFunc(q.items, func(o Item) bool { return o.Priority < it.Priority })
	if i < 0 {
		i = len(q.items)
	}
	q.items = slices.Insert(q.items, i, it)
	f.size++
	if f.size <= maxWaiting {
		return out, false
	}
	return f.dropLast(f.longest()), true
}

func (f *fairQueue) queueOf(it Item) *orgQueue {
	q, ok := f.queues[it.Organisation]
	if !ok {
		q = &orgQueue{}
		f.queues[it.Organisation] = q
	}
	if len(q.items) == 0 {
		q.nextStart = max(q.nextStart, f.virtualTime)
	}
	q.weight = float64(max(it.Weight, 1))
	return q
}

func (f *fairQueue) longest() (name string) {
	maxLoad := -1.0
	for n, q := range f.queues {
		if load := float64(len(q.items)) / q.weight; load > maxLoad || load == maxLoad && n < name {
			maxLoad, name = load, n
		}
	}
	return name
}

func (f *fairQueue) dropLast(name string) Item {
	q := f.queues[name]
	last := len(q.items) - 1
	it := q.items[last]
	q.items = q.items[:last]
	f.size--
	return it
}

// pop removes and returns the next request.
func (f *fairQueue) pop() (it Item, ok bool) {
	next := ""
	for n, q := range f.queues {
		if len(q.items) == 0 {
			if q.nextStart <= f.virtualTime {
				delete(f.queues, n)
			}
			continue
		}
		if !ok || q.nextStart < f.queues[next].nextStart || q.nextStart == f.queues[next].nextStart && n < next {
			next, ok = n, true
		}
	}
	if !ok {
		return it, false
	}
	q := f.queues[next]
	it = q.items[0]
	q.items = q.items[1:]
	f.size--
	f.virtualTime = q.nextStart
	q.nextStart += 1 / q.weight
	return it, true
}

// remove takes a request out of the queue; found is false if it is not waiting.
func (f *fairQueue) remove(it Item) (found bool) {
	q, ok := f.queues[it.Organisation]
	if !ok {
		return false
	}
	i := slices.IndexFunc(q.items, func(o Item) bool { return o.ID == it.ID })
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	f.size--
	return true
}

// share returns the fraction of the service that the request's organisation gets while requests of
// others wait too, and the number of the organisation's requests ahead of this one.
func (f *fairQueue) share(it Item) (share float64, ahead int) {
	sum := float64(max(it.Weight, 1))
	for n, q := range f.queues {
		if len(q.items) > 0 && n != it.Organisation {
			sum += q.weight
		}
	}
	if q, ok := f.queues[it.Organisation]; ok {
		for _, o := range q.items {
			if o.Priority >= it.Priority {
				ahead++
			}
		}
	}
	return float64(max(it.Weight, 1)) / sum, ahead
}
