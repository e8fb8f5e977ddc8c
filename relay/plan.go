package relay

import (
	"github.com/parsleydeal/parsleydeal/cascade"
)

// plan is the way in which models answer a request: one, or a small one first
// whose answer is dropped when it has little confidence in it.
type plan struct {
	// models holds the models in the order in which they are asked; empty when
	// the caller named one.
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

// model is the model to ask now; empty when the caller named it.
func (p plan) model() string {
	if len(p.models) == 0 {
		return ""
	}
	return p.models[0]
}

// larger returns the model to ask when this one's answer is poor; empty when
// there is none.
func (p plan) larger() string {
	if len(p.models) < 2 {
		return ""
	}
	return p.models[1]
}

// poor reports whether an answer is to be dropped for the larger model's. That one's first
// byte is expected as for this request now, by the length of its prompt and what waits
// where it would go: by what is usual on its route a long prompt was taken for one of
// middling length, and its answer dropped for one that came too late. It is kept when no
// endpoint has room for the larger model: the caller would be left with nothing, though
// it had an answer that may do.
func (a *attempt) poor(confidence int) bool {
	if a.plan.larger() == "" {
		return false
	}
	x := a.exchange
	q := x.query(a.plan.next())
	q.Avoid = nil
	expected, room := x.server.board.Expect(x.view.Fleet(), q)
	if !room {
		return false
	}
	answer := cascade.Answer{Confidence: confidence, Remaining: x.startedAt + x.route.LatencyTarget - q.Now}
	return x.server.judge.ShouldEscalate(answer, cascade.LargerModel{FirstByte: expected.FirstByte, QueueWait: expected.Wait})
}

func (p plan) next() plan { return plan{models: p.models[1:]} }
