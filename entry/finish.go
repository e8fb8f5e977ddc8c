package entry

import (
	"context"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// servicePrefix begins the route in a bill of a plain service's call.
const servicePrefix = "services/"

// billed runs a request that has a place for its bill. The place is taken
// before anything is dispatched, so that a refusal for full books is true when
// it says that nothing ran.
func (e *Entry) billed(ctx context.Context, req *work, emit func(*wire.Piece) error) (err error) {
	if err = e.node.Billing().Reserve(); err != nil {
		return err
	}
	defer e.settle(req)
	return e.run(ctx, req, emit)
}

// finish makes the bill safe before the last piece is released. Without it an
// entry lost right after the answer would take the only bill along.
func (e *Entry) finish(ctx context.Context, req *work, p *wire.Piece, emit func(*wire.Piece) error) (err error) {
	if req.judging {
		return emit(p)
	}
	if p.GetStep() != nil {
		req.steps = append(req.steps, p.GetStep())
	}
	reserved := !req.placed
	req.placed = true
	if err = e.node.Billing().Finish(ctx, billOf(req), reserved); err != nil {
		return refusal.New(refusal.DeadlinePassed, "bill could not be made safe in time").WithRun(refusal.Ran)
	}
	return emit(p)
}

// settle bills the steps of a request that failed after they ran, or gives its
// place back.
func (e *Entry) settle(req *work) {
	switch {
	case req.placed:
	case len(req.steps) > 0:
		e.node.Billing().Settle(billOf(req))
	default:
		e.node.Billing().Cancel()
	}
}

func billOf(req *work) *wire.Bill {
	b := &wire.Bill{Request: req.id, Organisation: req.organisation, Route: req.routeName, Steps: req.steps, IdempotencyKey: req.key}
	if req.service != "" {
		b.Route = servicePrefix + req.service
	}
	return b
}
