package emulator

import "github.com/parsleydeal/parsleydeal/clock"

// event is an action scheduled for a point in virtual time. Events at the same time run in the
// order in which they were scheduled, so that a simulation is deterministic.
type event struct {
	at       clock.Millis
	sequence int
	do       func(now clock.Millis)
}

// queue is a heap of events with the earliest one first.
type queue []event

// Len implements heap.Interface, as do the methods below.
func (q queue) Len() int { return len(q) }

// Less orders events by time, and those of the same time by sequence number.
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap exchanges two events.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes and returns the last event.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
