package control

import (
	"context"
	"slices"
	"sync/atomic"

	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/view"
)

// queueLength bounds the events that wait for the control goroutine.
const queueLength = 4096

// Loop runs the reducer on one goroutine and publishes views to traffic.
type Loop struct {
	state  *State
	events chan event.Event
	// perform carries out an effect; it must not block.
	perform func(event.Effect)
	view    atomic.Pointer[view.View]
	dropped atomic.Int64
	// steps counts the events reduced.
	steps atomic.Int64
	// changed is closed and replaced when a view is published.
	changed atomic.Pointer[chan struct{}]
}

// NewLoop makes a loop over a state. Perform is called on the control
// goroutine for every effect but Publish and must not block.
func NewLoop(state *State, perform func(event.Effect)) *Loop {
	l := &Loop{state: state, events: make(chan event.Event, queueLength), perform: perform}
	l.view.Store(state.View())
	changed := make(chan struct{})
	l.changed.Store(&changed)
	return l
}

// View returns the newest published view. It never blocks.
func (l *Loop) View() *view.View { return l.view.Load() }

// Dropped counts the events that found the queue full.
func (l *Loop) Dropped() int64 { return l.dropped.Load() }

// Post hands over an event that must not be lost, waiting for room.
func (l *Loop) Post(ctx context.Context, e event.Event) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

// Offer hands over an event that a later one makes good, such as a load
// report. A full queue drops it, so that traffic never waits for control.
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

// step publishes the view before it carries out the effects: a digest that an
// effect sends is filled in from the view, and would tell peers the old revision.
func (l *Loop) step(e event.Event) {
	defer l.steps.Add(1)
	next, effects := Reduce(l.state, e)
	l.state = next
	if slices.ContainsFunc(effects, isPublish) {
		l.view.Store(l.state.View())
		l.announce()
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

// Steps counts the events reduced whose effects have been begun.
func (l *Loop) Steps() int64 { return l.steps.Load() }
