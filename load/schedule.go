package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

// request is one request of the schedule: a chat request if route is set, otherwise a service call.
type request struct {
	number int
	// at is the due time, relative to the start of the run.
	at           time.Duration
	organisation *Organisation
	route        *Route
	service      *Service
	// session is the number of the session that the request belongs to, or -1 if it belongs to
	// none.
	session int
	words   int
	// key is the idempotency key; it may be empty.
	key string
	// doubled requests are sent twice at the same time.
	doubled bool
	// entry is the index of the entry for the first try.
	entry int
	// nonce is a word unique to the request. Stand-ins echo it, so that an answer can be matched to
	// its request.
	nonce string
}

// schedule returns all requests of a plan. The result depends on the plan alone.
func schedule(p *Plan) (out []request) {
	r := rand.New(rand.NewPCG(p.Seed, 0x9e3779b97f4a7c15))
	end := p.Duration.Duration()
	for at := time.Duration(0); ; {
		at += nextInterval(p, r, len(out))
		if at >= end {
			return out
		}
		q := p.newRequest(r, len(out), at)
		p.crowd(&q)
		out = append(out, q)
	}
}

// nextInterval returns the time from the previous due time to that of the request with this number.
func nextInterval(p *Plan, r *rand.Rand, number int) time.Duration {
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

// newRequest draws a random request from the plan.
func (p *Plan) newRequest(r *rand.Rand, number int, at time.Duration) (q request) {
	q = request{number: number, at: at, session: -1, entry: r.IntN(len(p.Entries)), nonce: fmt.Sprintf("n%d-%d", p.Seed, number)}
	q.organisation = selectWeighted(r, p.Organisations, func(o Organisation) float64 { return o.Weight })
	q.words = max(int(p.Words*math.Exp(r.NormFloat64()*p.Spread)), 1)
	routes := sumWeights(p.Routes, func(x Route) float64 { return x.Weight })
	keyed := r.Float64() < p.Keyed
	if r.Float64()*p.totalWeight() < routes {
		q.route = selectWeighted(r, p.Routes, func(x Route) float64 { return x.Weight })
		if p.Sessions > 0 && r.Float64() < p.InSession {
			q.session = r.IntN(p.Sessions)
		}
	} else {
		q.service = selectWeighted(r, p.Services, func(x Service) float64 { return x.Weight })
		q.doubled = keyed && r.Float64() < p.Doubled
	}
	if keyed {
		q.key = fmt.Sprintf("load-%d-%s-%d", p.Seed, clock.Millis(at.Milliseconds()), number)
	}
	return q
}

// crowd moves a request to one of the entries that most requests go to at the time, if there are such. It draws from the
// request's number, so that the other requests of a plan are the same with and without crowds.
func (p *Plan) crowd(q *request) {
	for _, c := range p.Crowds {
		r := rand.New(rand.NewPCG(p.Seed, uint64(q.number)))
		if q.at >= c.From.Duration() && q.at < c.Until.Duration() && r.Float64() < c.Fraction {
			q.entry = c.Entry + r.IntN(max(c.Entries, 1))
			return
		}
	}
}

// selectWeighted selects a random element with a probability proportional to its weight.
func selectWeighted[T any](r *rand.Rand, list []T, weight func(T) float64) *T {
	point := r.Float64() * sumWeights(list, weight)
	for i := range list {
		point -= max(weight(list[i]), 0)
		if point < 0 {
			return &list[i]
		}
	}
	return &list[len(list)-1]
}
