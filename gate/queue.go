package gate

import "slices"

// queue holds the requests that wait for a place, in order of arrival. It is
// bounded, so that scanning it costs little.
type queue struct {
	waiting []*Ticket
}

// next returns the ticket that gets the next place: of those with the highest
// priority, the one whose organisation holds least for its weight, and among
// equals the earliest. A large organisation that fills the queue cannot starve a
// small one, because each place it gets puts it behind.
func (q *queue) next(held func(organisation string) int) (best *Ticket) {
	for _, t := range q.waiting {
		if best == nil || q.before(t, best, held) {
			best = t
		}
	}
	return best
}

func (q *queue) before(a, b *Ticket, held func(string) int) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	return share(a, held) < share(b, held)
}

// share is what an organisation would hold for its weight with one place more.
func share(t *Ticket, held func(string) int) float64 {
	return float64(held(t.request.Organisation)+1) / float64(max(t.request.Weight, 1))
}

// last returns the ticket that goes when the queue is too long: of those with
// the lowest priority, one of the organisation that asks most for its weight,
// its latest first.
func (q *queue) last(held func(organisation string) int) (worst *Ticket) {
	asked := func(organisation string) int { return held(organisation) + q.of(organisation) }
	for _, t := range q.waiting {
		if worst == nil || !q.before(t, worst, asked) {
			worst = t
		}
	}
	return worst
}

func (q *queue) of(organisation string) (n int) {
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
