package main

import (
	"container/heap"

	"github.com/parsleydeal/parsleydeal/clock"
)

// scheduler runs functions in virtual time, in the order of their due times. Functions due at the
// same time run in the order in which they were scheduled.
type scheduler struct {
	now     clock.Millis
	events  eventHeap
	lastSeq int
}

type scheduledEvent struct {
	at  clock.Millis
	seq int
	run func()
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// after schedules f to run after a delay; a negative delay counts as 0.
func (s *scheduler) after(delay clock.Millis, f func()) {
	s.lastSeq++
	heap.Push(&s.events, scheduledEvent{s.now + max(delay, 0), s.lastSeq, f})
}

// runUntil runs all functions that are due at end or earlier, and then sets the time to end.
func (s *scheduler) runUntil(end clock.Millis) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(scheduledEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}
