package limit

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
)

// maxWaiting bounds the requests that wait at one entry for one pool.
const maxWaiting = 512

// Item is a request that asks for a place.
type Item struct {
	ID           string
	Organisation string
	// Weight is the organisation's share relative to others, at least 1.
	Weight int
	// Priority orders the organisation's own requests; it does not count
	// against those of others.
	Priority int32
	// Deadline is when the caller gives up.
	Deadline clock.Millis
}

// fairQueue is a bounded queue that serves organisations by weight (start-time fair
// queueing): whoever asks for little is served next, however much others ask
// for.
type fairQueue struct {
	// queues holds only organisations with waiting requests, and those that were
	// served ahead of virtual time.
	queues      map[string]*orgQueue
	virtualTime float64
	size        int
}

// orgQueue is one organisation's waiting requests, the next one first.
type orgQueue struct {
	items  []Item
	weight float64
	// nextStart is the virtual time at which its next request is due.
	nextStart float64
}

func newFairQueue() fairQueue { return fairQueue{queues: make(map[string]*orgQueue)} }

// push adds a request. When the queue is full it returns the one that has to
// go: the least urgent, newest one of the organisation that waits with most
// for its weight.
func (f *fairQueue) push(it Item) (out Item, dropped bool) {
	l := f.queueOf(it)
	at := slices.IndexFunc(l.items, func(o Item) bool { return o.Priority < it.Priority })
	if at < 0 {
		at = len(l.items)
	}
	l.items = slices.Insert(l.items, at, it)
	f.size++
	if f.size <= maxWaiting {
		return out, false
	}
	return f.dropLast(f.longest()), true
}

func (f *fairQueue) queueOf(it Item) *orgQueue {
	l, ok := f.queues[it.Organisation]
	if !ok {
		l = &orgQueue{}
		f.queues[it.Organisation] = l
	}
	if len(l.items) == 0 {
		l.nextStart = max(l.nextStart, f.virtualTime)
	}
	l.weight = float64(max(it.Weight, 1))
	return l
}

func (f *fairQueue) longest() (name string) {
	most := -1.0
	for n, l := range f.queues {
		if load := float64(len(l.items)) / l.weight; load > most || load == most && n < name {
			most, name = load, n
		}
	}
	return name
}

func (f *fairQueue) dropLast(name string) Item {
	l := f.queues[name]
	last := len(l.items) - 1
	it := l.items[last]
	l.items = l.items[:last]
	f.size--
	return it
}

// pop takes the next request.
func (f *fairQueue) pop() (it Item, ok bool) {
	next := ""
	for n, l := range f.queues {
		if len(l.items) == 0 {
			if l.nextStart <= f.virtualTime {
				delete(f.queues, n)
			}
			continue
		}
		if !ok || l.nextStart < f.queues[next].nextStart || l.nextStart == f.queues[next].nextStart && n < next {
			next, ok = n, true
		}
	}
	if !ok {
		return it, false
	}
	l := f.queues[next]
	it = l.items[0]
	l.items = l.items[1:]
	f.size--
	f.virtualTime = l.nextStart
	l.nextStart += 1 / l.weight
	return it, true
}

// remove takes a request out that no longer waits.
func (f *fairQueue) remove(it Item) (found bool) {
	l, ok := f.queues[it.Organisation]
	if !ok {
		return false
	}
	at := slices.IndexFunc(l.items, func(o Item) bool { return o.ID == it.ID })
	if at < 0 {
		return false
	}
	l.items = slices.Delete(l.items, at, at+1)
	f.size--
	return true
}

// share is the part of the service that an organisation gets among those that
// wait, and ahead how many of its own requests stand before one of a priority.
func (f *fairQueue) share(it Item) (share float64, ahead int) {
	sum := float64(max(it.Weight, 1))
	for n, l := range f.queues {
		if len(l.items) > 0 && n != it.Organisation {
			sum += l.weight
		}
	}
	if l, ok := f.queues[it.Organisation]; ok {
		for _, o := range l.items {
			if o.Priority >= it.Priority {
				ahead++
			}
		}
	}
	return float64(max(it.Weight, 1)) / sum, ahead
}
