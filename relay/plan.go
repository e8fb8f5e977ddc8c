package relay

import (
	"github.com/parsleydeal/parsleydeal/cascade"
)

// plan lists the models that may answer a request: one model, or a small one and a larger one. The
// larger one is tried if the answer of the small one has low confidence.
type plan struct {
	// models holds the models in the order in which they are tried; empty when the caller named
	// the model.
	models []string
}

func (x *exchange) plan() plan {
	if !x.req.AnyModel || len(x.route.Models) == 0 {
		return plan{}
	}
	models := x.route.Models
	if x.req.Resumes || len(models) == 1 {
		return plan{models: models[len(models)-1:]}
	}
	return plan{models: []string{models[0], models[len(models)-1]}}
}

// model returns the model of the next attempt; empty when the caller named it.
func (p plan) model() string {
	if len(p.models) == 0 {
		return ""
	}
	return p.models[0]
}

// nextModel returns the model to use when the answer of the current one is poor; empty when there
// is none.
func (p plan) nextModel() string {
	if len(p.models) < 2 {
		return ""
	}
	return p.models[1]
}

// isPoor reports whether to drop an answer and try the larger model instead. The time to the
// larger model's first byte is predicted from this request's prompt length and the queue at the
// endpoint that would get it. The route's mean would be too short for a long prompt, and the
// answer would be dropped although the larger model's answer arrives too late. The answer is also
// kept if no endpoint has room for the larger model: otherwise the caller would get no answer at
// all.
func (a *attempt) isPoor(confidence int) bool {
	if a.plan.nextModel() == "" {
		return false
	}
	x := a.exchange
	q := x.query(a.plan.escalate())
	q.Avoid = nil
	expected, room := x.server.selector.Expect(x.view.Fleet(), q)
	if !room {
		return false
	}
	answer := cascade.Answer{Confidence: confidence, Remaining: x.arrivedAt() + x.route.LatencyTarget - q.Now}
	return x.server.escalator.ShouldEscalate(answer, cascade.LargerModel{FirstByte: expected.FirstByte, QueueWait: expected.Wait})
}

func (p plan) escalate() plan { return plan{models: p.models[1:]} }
