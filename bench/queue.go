package main

import (
	"container/heap"

	"github.com/parsleydeal/parsleydeal/clock"
)

// agenda holds what is to happen, in order of time and then of entry.
type agenda struct {
	now    clock.Millis
	events eventHeap
	count  int
}

type agendaEvent struct {
	at    clock.Millis
	order int
	run   func()
}

type eventHeap []agendaEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(agendaEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// after does something a span from now.
func (a *agenda) after(span clock.Millis, f func()) {
	a.count++
	heap.Push(&a.events, agendaEvent{a.now + max(span, 0), a.count, f})
}

// run goes on until an instant.
func (a *agenda) run(until clock.Millis) {
	for len(a.events) > 0 && a.events[0].at <= until {
		e := heap.Pop(&a.events).(agendaEvent)
		a.now = e.at
		e.run()
	}
	a.now = until
}
