package relay

import (
	"github.com/parsleydeal/parsleydeal/cascade"
)

// plan lists the models that answer a request: one model, or a small one and a larger one that is
// used if the small one's answer has low confidence.
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

// model returns the model to use now; empty when the caller named it.
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

// isPoor reports whether to drop an answer for that of the larger model. The first byte of the
// larger model is predicted for this request, from its prompt length and the queue at the endpoint
// that would get it. By the route's mean a long prompt would count as an average one, and its
// answer would be dropped for one that arrives too late. The answer is kept if no endpoint has room
// for the larger model: the caller would get nothing, although there is an answer that may do.
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
	answer := cascade.Answer{Confidence: confidence, Remaining: x.startedAt + x.route.LatencyTarget - q.Now}
	return x.server.escalator.ShouldEscalate(answer, cascade.LargerModel{FirstByte: expected.FirstByte, QueueWait: expected.Wait})
}

func (p plan) escalate() plan { return plan{models: p.models[1:]} }
