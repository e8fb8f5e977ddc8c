package entry

import (
	"context"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// servicePrefix precedes the service's name in a bill's route.
const servicePrefix = "services/"

// runBilled reserves room for the request's bill in the ledger and then runs the request. Nothing
// is dispatched before the reservation, so a refusal because of a full ledger correctly reports
// "not run".
func (e *Entry) runBilled(ctx context.Context, req *requestState, emit func(*wire.Piece) error) (err error) {
	if err = e.node.Billing().Reserve(); err != nil {
		return err
	}
	defer e.settleBill(req)
	return e.run(ctx, req, emit)
}

// finish waits until the bill is safe, that is on the log or copied to another process, before it
// emits the last piece. Otherwise an entry that fails right after the answer would lose the only
// copy of the bill.
func (e *Entry) finish(ctx context.Context, req *requestState, p *wire.Piece, emit func(*wire.Piece) error) (err error) {
	if req.judging {
		return emit(p)
	}
	if p.GetStep() != nil {
		req.steps = append(req.steps, p.GetStep())
	}
	reserved := !req.billSubmitted
	req.billSubmitted = true
	if err = e.node.Billing().Finish(ctx, billOf(req), reserved); err != nil {
		return refusal.New(refusal.DeadlinePassed, "bill could not be made safe in time").WithRun(refusal.Ran)
	}
	return emit(p)
}

// settleBill bills the steps that ran before the request failed. If there are none, it cancels the
// reservation.
func (e *Entry) settleBill(req *requestState) {
	switch {
	case req.billSubmitted:
	case len(req.steps) > 0:
		e.node.Billing().FinishFailed(billOf(req))
	default:
		e.node.Billing().Cancel()
	}
}

func billOf(req *requestState) *wire.Bill {
	b := &wire.Bill{Request: req.id, Organisation: req.organisation, Route: req.routeName, Steps: req.steps, IdempotencyKey: req.key}
	if req.service != "" {
		b.Route = servicePrefix + req.service
	}
	return b
}
