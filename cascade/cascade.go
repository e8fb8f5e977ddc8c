// Package cascade decides whether the answer of a route's smallest model is handed on,
// or dropped for the largest one's. It weighs what the caller gains by a better answer
// against the larger model's price and the endpoints' time that it takes from other
// requests.
//
// The load that it answers: endpoints read prompts one after another, and the largest
// model takes several times as long for it. Asked for as on a calm day while many
// callers come at once, it makes nearly all answers late for the sake of the few that
// the smallest one gets wrong. It does no I/O.
package cascade

import (
	"math"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
)

const (
	// worth is what a good answer is worth to its caller, as a multiple of what the
	// largest model charges for it. Operators who let a model answer at all hold its
	// answers to be worth several times its price.
	worth = 4.0
	// spread is how far a model's opinion of its answer lies from the truth, as a
	// standard deviation in points of confidence. At 50 an answer is as often good as
	// not.
	spread = 10.0
	// lateUse is what is left of an answer's use when its first byte comes after its
	// aim.
	lateUse = 0.5
	// crowding is the part of an answer's worth that the largest model's time costs
	// others when its first byte takes all the time there is. It stays below 1, so that
	// an answer which is hopeless is still asked for again.
	crowding = 0.95
	// calmPart is the part of the time left that the largest model's first byte may
	// take before its time counts as taken from others.
	calmPart = 0.1
	// aimedWait is the part of the time left that the largest model is to be waited for at
	// the most, and pressureStep how fast the charge for its time follows what exceeds it.
	aimedWait    = 0.12
	pressureStep = 0.1
)

// Answer is the smallest model's answer.
type Answer struct {
	// Confidence is the model's own opinion of it, from 0 to 100; negative when it has
	// none.
	Confidence int
	// Remaining is how much time is left for an answer to be of full use.
	Remaining clock.Millis
}

// LargerModel is what asking the largest model would take.
type LargerModel struct {
	// FirstByte is how long its first byte is expected to take, Wait the part of it in which
	// it only waits for others.
	FirstByte clock.Millis
	QueueWait clock.Millis
}

// Escalator decides on the answers of one entry and follows how crowded it finds the
// endpoints. It is safe for use by many goroutines.
type Escalator struct {
	rule rule
	mu   sync.Mutex
	// pressure is the part of its time that the largest model is charged for, from 0 to 1.
	// It rises while that model is waited for longer than aimed at, and falls else.
	pressure float64
}

// NewEscalator makes a judge that decides in the ways given. It takes endpoints for crowded at
// first: after a mass restart all callers come at once.
func NewEscalator(ways decision.Strategies) *Escalator {
	return &Escalator{rule: rules[ways.For(decision.Drop)], pressure: 1}
}

// rule decides whether an answer is to be dropped for the largest model's, whose first
// byte is expected to take a span from now. Pressure says how crowded endpoints are by
// now, from 0 to 1.
type rule func(a Answer, first clock.Millis, pressure float64) bool

// rules holds the ways of the decision.
var rules = map[decision.Strategy]rule{
	decision.ByTime: func(a Answer, first clock.Millis, _ float64) bool {
		return worth*(gain(a, first)-crowding*crowded(first, a.Remaining)) > 1
	},
	decision.ByPressure: func(a Answer, first clock.Millis, pressure float64) bool {
		return worth*(gain(a, first)-crowding*pressure*crowded(first, a.Remaining)) > 1
	},
	decision.ByPrice:  func(a Answer, first clock.Millis, _ float64) bool { return worth*gain(a, first) > 1 },
	decision.ByRating: func(a Answer, _ clock.Millis, _ float64) bool { return a.Confidence < 50 },
}

// ShouldEscalate reports whether an answer is to be dropped for the largest model's.
func (j *Escalator) ShouldEscalate(a Answer, l LargerModel) bool {
	j.mu.Lock()
	j.pressure = min(max(j.pressure+pressureStep*(partOf(l.QueueWait, a.Remaining)-aimedWait), 0), 1)
	pressure := j.pressure
	j.mu.Unlock()
	return a.Confidence >= 0 && j.rule(a, l.FirstByte, pressure)
}

// gain is how much more use the caller has of the largest model's answer, as a part of
// that of a good answer in time.
func gain(a Answer, first clock.Millis) float64 {
	return usefulness(first, a.Remaining) - chanceGood(a.Confidence)*usefulness(0, a.Remaining)
}

// chanceGood is the probability that an answer is good by its model's opinion of it.
func chanceGood(confidence int) float64 {
	return 0.5 * (1 + math.Erf(float64(confidence-50)/spread/math.Sqrt2))
}

// usefulness is what is left of an answer's use when its first byte takes some time.
func usefulness(first, left clock.Millis) float64 {
	if first > left {
		return lateUse
	}
	return 1
}

// crowded says how much of the time there is the first byte takes beyond the part that
// is usual on a calm day, from 0 to 1.
func crowded(first, left clock.Millis) float64 {
	return max((partOf(first, left)-calmPart)/(1-calmPart), 0)
}

// partOf is the part of the time left that a first byte takes, at most 1.
func partOf(first, left clock.Millis) float64 {
	if first >= left {
		return 1
	}
	return float64(max(first, 0)) / float64(left)
}
