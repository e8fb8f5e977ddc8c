package relay

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/parsleydeal/parsleydeal/refusal"
)

// position is how far the caller has a stream. The IDs of its events are numbers that increase. An answer may go on with
// the stream only after the last event, and only if that had a number.
type position struct {
	// last is the number of the last event that had one. known is false if the caller has no event, or if the last one had no
	// number; unnumbered tells the latter.
	last       uint64
	known      bool
	unnumbered bool
	// byOne is true if the numbers have increased by one, and irregular if they have not always.
	byOne     bool
	irregular bool
	// joining is true until the first event of an answer that goes on with the stream.
	joining bool
}

// Faults of an event that does not go on with the stream.
var (
	errRepeatedEvent   = errors.New("event comes again")
	errMissingEvent    = errors.New("event is missing")
	errUnnumberedEvent = errors.New("continuation has no number")
)

// positionAfter returns the position of a caller that has the events up to the one with the given ID; empty for none.
func positionAfter(lastEventID string) (p position) {
	n, err := strconv.ParseUint(lastEventID, 10, 64)
	if err != nil {
		return p
	}
	return position{last: n, known: true}
}

// begun reports whether the caller has an event.
func (p *position) begun() bool { return p.known || p.unnumbered }

// join notes that the next event is the first one of an answer.
func (p *position) join() { p.joining = p.known }

// advance moves the position after an event of the answer, or returns why that does not go on with the stream.
func (p *position) advance(e event) (err error) {
	if !e.data && e.id == "" {
		// A comment.
		return nil
	}
	n, err := strconv.ParseUint(e.id, 10, 64)
	joining := p.joining
	switch {
	case err != nil && joining:
		return errUnnumberedEvent
	case err != nil:
		p.known, p.unnumbered = false, true
		return nil
	case (p.known || p.last > 0) && n <= p.last:
		return errRepeatedEvent
	case joining && p.byOne && n > p.last+1:
		return errMissingEvent
	}
	if p.known || n == 1 {
		p.irregular = p.irregular || n != p.last+1
		p.byOne = !p.irregular
	}
	p.last, p.known, p.unnumbered, p.joining = n, true, false, false
	return nil
}

// outOfOrder ends an attempt whose answer does not go on with the stream.
func (a *attempt) outOfOrder(fault error) (r result, err error) {
	x := a.exchange
	x.server.metrics.GetOrCreateCounter(fmt.Sprintf("parsleydeal_events_out_of_order_total{fault=%q}", fault)).Inc()
	return a.interruptedResult(), refusal.New(refusal.EngineFailed, fmt.Sprintf("stream is out of order after event %d: %v", x.position.last, fault)).WithRun(refusal.Unknown)
}
