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
	if x.req.HasAfter || len(models) == 1 {
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

// poor reports whether an answer is to be dropped for the larger model's.
func (a *attempt) poor(confidence int) bool {
	model := a.plan.larger()
	if model == "" {
		return false
	}
	x := a.exchange
	now := x.server.cfg.Clock.Now()
	answer := cascade.Answer{Confidence: confidence, Left: x.startedAt + x.route.Aim - now}
	return cascade.Drops(answer, x.server.pace.usual(x.route.Name, model), x.server.cfg.Off)
}

func (p plan) next() plan { return plan{models: p.models[1:]} }
