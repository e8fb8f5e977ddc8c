package gate

import "slices"

// queue holds the requests that wait for a slot, in order of arrival. It is bounded, so
// scanning it is cheap.
type queue struct {
	waiting []*Ticket
}

// next returns the ticket that gets the next slot: of those with the highest priority, the one
// whose organisation uses the fewest slots relative to its weight, and among equals the earliest. A
// large organisation that fills the queue cannot starve a small one, because each slot it gets
// lowers its rank.
func (q *queue) next(held func(organisation string) int) (best *Ticket) {
	for _, t := range q.waiting {
		if best == nil || q.precedes(t, best, held) {
			best = t
		}
	}
	return best
}

func (q *queue) precedes(a, b *Ticket, held func(string) int) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	return weightedUse(a, held) < weightedUse(b, held)
}

// weightedUse returns the number of slots that an organisation would use with one more,
// divided by its weight.
func weightedUse(t *Ticket, held func(string) int) float64 {
	return float64(held(t.request.Organisation)+1) / float64(max(t.request.Weight, 1))
}

// evictionCandidate returns the ticket to refuse when the queue is too long: of those with the
// lowest priority, the latest of the organisation with the most slots and waiting requests relative
// to its weight.
func (q *queue) evictionCandidate(held func(organisation string) int) (candidate *Ticket) {
	requested := func(organisation string) int { return held(organisation) + q.countOf(organisation) }
	for _, t := range q.waiting {
		if candidate == nil || !q.precedes(t, candidate, requested) {
			candidate = t
		}
	}
	return candidate
}

func (q *queue) countOf(organisation string) (n int) {
	for _, t := range q.waiting {
		if t.request.Organisation == organisation {
			n++
		}
	}
	return n
}

func (q *queue) add(t *Ticket) { q.waiting = append(q.waiting, t) }

func (q *queue) remove(t *Ticket) {
	if i := slices.Index(q.waiting, t); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}
