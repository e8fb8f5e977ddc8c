package control

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/view"
)

// maxQueuedEvents is the maximum number of events that wait for the control goroutine.
const maxQueuedEvents = 4096

// Loop runs the reducer on one goroutine and publishes views for the goroutines that serve
// requests.
type Loop struct {
	state  *State
	events chan event.Event
	// perform executes an effect; it must not block.
	perform func(event.Effect)
	view    atomic.Pointer[view.View]
	dropped atomic.Int64
	// steps counts the events that were reduced and whose effects were started.
	steps atomic.Int64
	// changed is closed and replaced when a view is published.
	changed atomic.Pointer[chan struct{}]
}

// NewLoop returns a loop that owns the state. Perform is called on the control goroutine for
// every effect except Publish; it must not block.
func NewLoop(state *State, perform func(event.Effect)) *Loop {
	l := &Loop{state: state, events: make(chan event.Event, maxQueuedEvents), perform: perform}
	l.view.Store(state.View())
	changed := make(chan struct{})
	l.changed.Store(&changed)
	return l
}

// View returns the latest published view. It never blocks.
func (l *Loop) View() *view.View { return l.view.Load() }

// Dropped returns the number of events dropped by Offer because the queue was full.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

// Post queues an event that must not be lost. It blocks while the queue is full and drops
// the event only if the context ends.
func (l *Loop) Post(ctx context.Context, e event.Event) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

// Offer queues an event that may be lost because a later one replaces it, such as a load report. It
// drops the event if the queue is full, so that requests never wait for control.
func (l *Loop) Offer(e event.Event) {
	select {
	case l.events <- e:
	default:
		l.dropped.Add(1)
	}
}

// Run reduces events until the context ends.
func (l *Loop) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			l.step(e)
		}
	}
}

// step publishes the view before it executes the effects: an effect that sends a digest
// fills it from the view, and would report the old revision to peers.
func (l *Loop) step(e event.Event) {
	defer l.steps.Add(1)
	next, effects := Reduce(l.state, e)
	l.state = next
	if slices.ContainsFunc(effects, isPublish) {
		l.view.Store(l.state.View())
		l.notifyViewChanged()
	}
	for _, f := range effects {
		if !isPublish(f) {
			l.perform(f)
		}
	}
}

func isPublish(f event.Effect) bool {
	_, ok := f.(event.Publish)
	return ok
}

// Steps returns the number of events that were reduced and whose effects were started.
func (l *Loop) Steps() int64 { return l.steps.Load() }
