package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

// request is one request of the schedule. Route is nil for a service's call.
type request struct {
	number int
	// at is when it is due, from the start of the run.
	at           time.Duration
	organisation *Organisation
	route        *Route
	service      *Service
	// session is -1 outside sessions.
	session int
	words   int
	// key is empty for an unkeyed request.
	key     string
	doubled bool
	entry   int
	// nonce is what the stand-ins echo, so that an answer is known to be the
	// request's own.
	nonce string
}

// schedule makes all requests of a plan. It is a function of the plan alone.
func schedule(p *Plan) (out []request) {
	r := rand.New(rand.NewPCG(p.Seed, 0x9e3779b97f4a7c15))
	end := p.Duration.Duration()
	for at := time.Duration(0); ; {
		at += gap(p, r, len(out))
		if at >= end {
			return out
		}
		out = append(out, p.draw(r, len(out), at))
	}
}

// gap is the span to the next arrival.
func gap(p *Plan, r *rand.Rand, number int) time.Duration {
	mean := float64(time.Second) / p.Rate
	switch p.Arrival {
	case Even:
		return time.Duration(mean)
	case Bursts:
		if number%p.Burst != 0 {
			return 0
		}
		return time.Duration(r.ExpFloat64() * mean * float64(p.Burst))
	}
	return time.Duration(r.ExpFloat64() * mean)
}

func (p *Plan) draw(r *rand.Rand, number int, at time.Duration) (q request) {
	q = request{number: number, at: at, session: -1, entry: r.IntN(len(p.Entries)), nonce: fmt.Sprintf("n%d-%d", p.Seed, number)}
	q.organisation = pick(r, p.Organisations, func(o Organisation) float64 { return o.Weight })
	q.words = max(int(p.Words*math.Exp(r.NormFloat64()*p.Spread)), 1)
	routes := weightOf(p.Routes, func(x Route) float64 { return x.Weight })
	keyed := r.Float64() < p.Keyed
	if r.Float64()*p.work() < routes {
		q.route = pick(r, p.Routes, func(x Route) float64 { return x.Weight })
		if p.Sessions > 0 && r.Float64() < p.InSession {
			q.session = r.IntN(p.Sessions)
		}
	} else {
		q.service = pick(r, p.Services, func(x Service) float64 { return x.Weight })
		q.doubled = keyed && r.Float64() < p.Doubled
	}
	if keyed {
		q.key = fmt.Sprintf("load-%d-%s-%d", p.Seed, clock.Millis(at.Milliseconds()), number)
	}
	return q
}

// pick draws an element by weight.
func pick[T any](r *rand.Rand, list []T, weight func(T) float64) *T {
	point := r.Float64() * weightOf(list, weight)
	for i := range list {
		point -= max(weight(list[i]), 0)
		if point < 0 {
			return &list[i]
		}
	}
	return &list[len(list)-1]
}
