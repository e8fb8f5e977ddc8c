// Package cascade decides whether the answer of a route's smallest model is delivered, or dropped
// and escalated: answered again by the largest model. It weighs the value of a better answer
// against the largest model's price and the endpoint time that it takes from other requests. It
// does no I/O.
//
// Endpoints prefill prompts one after another, and the largest model takes several times as long
// for each. If requests are escalated as often under load as on an idle site, nearly all answers
// are late for the sake of the few that the smallest model gets wrong.
package cascade

import (
	"math"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
)

const (
	// goodAnswerValue is the value of a good answer to its caller, as a multiple of the largest
	// model's price for it. It is based on the assumption that operators configure a model only if
	// its answers are worth several times their price.
	goodAnswerValue = 4.0
	// confidenceDeviation is the standard deviation of the error in a model's confidence, in
	// points. At a confidence of 50 half of the answers are good.
	confidenceDeviation = 10.0
	// lateValueRatio is the fraction of its value that an answer retains if its first byte comes
	// after the latency target.
	lateValueRatio = 0.5
	// maxTimeCharge is the maximum charge for the largest model's time, as a fraction of a good
	// answer's value. It stands for the cost to other requests and applies if the first byte takes
	// all the remaining time. It is below 1, so that hopeless answers are still escalated.
	maxTimeCharge = 0.95
	// uncontendedRatio is the fraction of the remaining time that the largest model's first byte
	// may take without a charge for its time.
	uncontendedRatio = 0.1
	// targetWaitRatio is the target for the wait in the largest model's queue, as a fraction of
	// the remaining time. pressureGain is the change of the pressure per unit of deviation from
	// that target.
	targetWaitRatio = 0.12
	pressureGain    = 0.1
)

// Answer describes the smallest model's answer.
type Answer struct {
	// Confidence is the model's confidence in its answer, from 0 to 100; negative if it reports
	// none.
	Confidence int
	// Remaining is the time until the latency target; negative if the target has passed.
	Remaining clock.Millis
}

// LargerModel is the expected latency of the largest model.
type LargerModel struct {
	// FirstByte is the expected time to its first byte; QueueWait is the part of that time spent
	// in the queue.
	FirstByte clock.Millis
	QueueWait clock.Millis
}

// Escalator decides which answers of one entry are escalated. It tracks the load of the endpoints
// from the waits that the entry expects there. It is safe for concurrent use.
type Escalator struct {
	rule rule
	mu   sync.Mutex
	// pressure scales the charge for the largest model's time, from 0 to 1. It rises while the
	// wait for that model exceeds the target, and falls otherwise.
	pressure float64
}

// NewEscalator returns an escalator that uses the given strategies. The pressure is 1 at first,
// since after a restart of many processes all callers send at once.
func NewEscalator(strategies decision.Strategies) *Escalator {
	return &Escalator{rule: rules[strategies.For(decision.Drop)], pressure: 1}
}

// rule reports whether an answer is to be escalated to the largest model, whose first byte is
// expected after firstByte. pressure is between 0 and 1.
type rule func(a Answer, firstByte clock.Millis, pressure float64) bool

// rules holds the rule for each strategy of decision.Drop.
var rules = map[decision.Strategy]rule{
	decision.ByTime: func(a Answer, firstByte clock.Millis, _ float64) bool {
		return goodAnswerValue*(gain(a, firstByte)-maxTimeCharge*congestion(firstByte, a.Remaining)) > 1
	},
	decision.ByPressure: func(a Answer, firstByte clock.Millis, pressure float64) bool {
		return goodAnswerValue*(gain(a, firstByte)-maxTimeCharge*pressure*congestion(firstByte, a.Remaining)) > 1
	},
	decision.ByPrice:      func(a Answer, firstByte clock.Millis, _ float64) bool { return goodAnswerValue*gain(a, firstByte) > 1 },
	decision.ByConfidence: func(a Answer, _ clock.Millis, _ float64) bool { return a.Confidence < 50 },
}

// ShouldEscalate reports whether an answer is to be dropped and the request answered by the
// largest model. It is false for answers without a confidence. Every call updates the pressure.
func (e *Escalator) ShouldEscalate(a Answer, m LargerModel) bool {
	e.mu.Lock()
	e.pressure = min(max(e.pressure+pressureGain*(ratioOf(m.QueueWait, a.Remaining)-targetWaitRatio), 0), 1)
	pressure := e.pressure
	e.mu.Unlock()
	return a.Confidence >= 0 && e.rule(a, m.FirstByte, pressure)
}

// gain returns by how much the largest model's answer is worth more than the answer at hand, as a
// fraction of the value of a good answer in time.
func gain(a Answer, firstByte clock.Millis) float64 {
	return valueRatio(firstByte, a.Remaining) - probabilityGood(a.Confidence)*valueRatio(0, a.Remaining)
}

// probabilityGood returns the probability that an answer is good, given the model's confidence in
// it.
func probabilityGood(confidence int) float64 {
	return 0.5 * (1 + math.Erf(float64(confidence-50)/confidenceDeviation/math.Sqrt2))
}

// valueRatio returns the fraction of its value that an answer retains if its first byte takes the
// given time.
func valueRatio(firstByte, remaining clock.Millis) float64 {
	if firstByte > remaining {
		return lateValueRatio
	}
	return 1
}

// congestion returns how much of the remaining time the first byte takes in excess of
// uncontendedRatio, scaled to the range from 0 to 1.
func congestion(firstByte, remaining clock.Millis) float64 {
	return max((ratioOf(firstByte, remaining)-uncontendedRatio)/(1-uncontendedRatio), 0)
}

// ratioOf returns the fraction of the remaining time that a duration takes, at most 1.
func ratioOf(duration, remaining clock.Millis) float64 {
	if duration >= remaining {
		return 1
	}
	return float64(max(duration, 0)) / float64(remaining)
}
