package emulator

import "github.com/parsleydeal/parsleydeal/clock"

// event is something that happens at a moment. Of two at the same moment the one that
// was planned first goes first, so that a play repeats.
type event struct {
	at     clock.Millis
	number int
	do     func(now clock.Millis)
}

// queue holds events, the next one first.
type queue []event

// Len, Less, Swap, Push and Pop make the queue a heap.
func (q queue) Len() int { return len(q) }

// Less orders events by time.
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}

// Swap exchanges two events.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
