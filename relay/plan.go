package relay

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/placement"
)

// confident is the confidence from which an answer of a model that is not the
// largest is handed on. On calm days of both users' sites 40, 45, 50, 55, 60, 70,
// 80 and 90 gave a mean worth of 0.799, 0.823, 0.825, 0.817, 0.814, 0.777, 0.721
// and 0.677, without processor time: below 50 answers too poor for their requests
// cost most, above it the larger model's price and the wait for it.
const confident = 50

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

const (
	// rushed is the confidence from which an answer is handed on when the larger
	// model's would come too late. Reading a prompt takes the larger models most of
	// the endpoints' time: asking for them as usual under overload makes nearly all
	// answers late, for the sake of the few that a small model gets wrong.
	rushed = 15
	// easyPart is the part of the time left to be of full use that the larger model
	// may take before the confidence asked for falls.
	easyPart = 0.25
)

// enough is the confidence from which an answer is handed on when the larger
// model's would take a span and some time is left to be of full use.
func enough(takes, left clock.Millis) float64 {
	if left <= 0 {
		return rushed
	}
	part := (float64(takes)/float64(left) - easyPart) / (1 - easyPart)
	return confident - (confident-rushed)*min(max(part, 0), 1)
}

// poor reports whether an answer is to be dropped for the larger model's.
func (a *attempt) poor(confidence int) bool {
	model := a.plan.larger()
	if model == "" || confidence < 0 {
		return false
	}
	x := a.exchange
	now := x.server.cfg.Clock.Now()
	takes := x.server.pace.usual(x.route.Name, model)
	return float64(confidence) < enough(takes, x.startedAt+x.route.Aim-now)
}

func (p plan) next() plan { return plan{models: p.models[1:]} }

func queryOf(x *exchange, p plan, now clock.Millis) placement.Query {
	return placement.Query{Model: p.model(), Parts: x.req.Parts, Now: now}
}
