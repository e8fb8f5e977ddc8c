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

// fair is a bounded queue that serves organisations by weight (start-time fair
// queueing): whoever asks for little is served next, however much others ask
// for.
type fair struct {
	// queues holds only organisations with waiting requests, and those that were
	// served ahead of virtual time.
	queues  map[string]*line
	virtual float64
	size    int
}

// line is one organisation's waiting requests, the next one first.
type line struct {
	items  []Item
	weight float64
	// start is the virtual time at which its next request is due.
	start float64
}

func newFair() fair { return fair{queues: make(map[string]*line)} }

// push adds a request. When the queue is full it returns the one that has to
// go: the least urgent, newest one of the organisation that waits with most
// for its weight.
func (f *fair) push(it Item) (out Item, dropped bool) {
	l := f.line(it)
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

func (f *fair) line(it Item) *line {
	l, ok := f.queues[it.Organisation]
	if !ok {
		l = &line{}
		f.queues[it.Organisation] = l
	}
	if len(l.items) == 0 {
		l.start = max(l.start, f.virtual)
	}
	l.weight = float64(max(it.Weight, 1))
	return l
}

func (f *fair) longest() (name string) {
	most := -1.0
	for n, l := range f.queues {
		if load := float64(len(l.items)) / l.weight; load > most || load == most && n < name {
			most, name = load, n
		}
	}
	return name
}

func (f *fair) dropLast(name string) Item {
	l := f.queues[name]
	last := len(l.items) - 1
	it := l.items[last]
	l.items = l.items[:last]
	f.size--
	return it
}

// pop takes the next request.
func (f *fair) pop() (it Item, ok bool) {
	next := ""
	for n, l := range f.queues {
		if len(l.items) == 0 {
			if l.start <= f.virtual {
				delete(f.queues, n)
			}
			continue
		}
		if !ok || l.start < f.queues[next].start || l.start == f.queues[next].start && n < next {
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
	f.virtual = l.start
	l.start += 1 / l.weight
	return it, true
}

// remove takes a request out that no longer waits.
func (f *fair) remove(it Item) (found bool) {
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
func (f *fair) share(it Item) (share float64, ahead int) {
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
