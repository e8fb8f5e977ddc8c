package placement

import (
	"math"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// firstSpeed is how long a token takes to read before anything was measured,
	// in milliseconds: that of the usual engines with their largest model. Too fast, an
	// entry that has just started asks it for more than endpoints can read.
	firstSpeed = 0.03
	// leastSpeed is that of a small model at fast engines: a model that was not measured
	// yet is not held to be too slow for a prompt by its usual speed.
	leastSpeed = 0.005
	// leastTokens is the least that a prompt has for its time to say something of
	// the reading; a shorter one shows the way there and back.
	leastTokens = 500
	// speedRank is the part of the measured times that lie below the estimate.
	// What lies above it had to wait for others.
	speedRank = 0.3
	// speedStep is how far one measurement moves the estimate.
	speedStep = 0.1
	// firstSteps is how many times as far the first measurement moves the estimate, and
	// stepHalf the number of measurements after which half of that is left.
	firstSteps = 5.0
	stepHalf   = 8.0
	// surelyKnown is how many measurements a speed must rest on for prompts to be turned
	// away by it.
	surelyKnown = 8
	// meanWeight is the weight of one prompt in the mean work.
	meanWeight = 0.05
	// beyondWeight is the weight of one first byte in how far they are missed.
	beyondWeight = 0.05
	// firstMean is the mean work of a prompt before any was measured.
	firstMean = 40.0
)

// speeds knows how long the models take to read a token, from the times of
// prompts that found no other of this process at their endpoint.
type speeds struct {
	// tokens holds the milliseconds a token by model, and measured how many prompts
	// that rests on.
	tokens   map[string]float64
	measured map[string]int
	// mean is the mean work of a prompt, in milliseconds.
	mean float64
	// beyond holds by model how much longer first bytes take on average than what
	// was known to stand before them: the way, the engine's steps, and prompts that
	// nobody told of.
	beyond map[string]float64
}

func newSpeeds() speeds {
	return speeds{tokens: make(map[string]float64), measured: make(map[string]int), mean: firstMean, beyond: make(map[string]float64)}
}

// least is how long a model takes at the least to read some tokens.
func (s *speeds) least(model string, tokens int) float64 {
	if s.measured[model] < surelyKnown {
		return leastSpeed * float64(tokens)
	}
	return s.millis(model, tokens)
}

// first is how long a first byte is expected to take behind some known wait.
func (s *speeds) first(model string, wait float64) clock.Millis {
	return clock.Millis(max(wait+s.beyond[model], 0))
}

// miss takes by how much a first byte missed what was known to stand before it.
func (s *speeds) miss(model string, by float64) {
	s.beyond[model] += beyondWeight * (by - s.beyond[model])
}

// millis is how long a model takes to read some tokens.
func (s *speeds) millis(model string, tokens int) float64 {
	speed, ok := s.tokens[model]
	if !ok {
		speed = firstSpeed
	}
	return speed * float64(tokens)
}

// add takes the time of one prompt into the estimate, which follows a low
// quantile of the times.
func (s *speeds) add(model string, tokens int, took clock.Millis) {
	if tokens < leastTokens {
		return
	}
	s.mean += meanWeight * (s.millis(model, tokens) - s.mean)
	measured := float64(took) / float64(tokens)
	speed, ok := s.tokens[model]
	step := s.step(model)
	switch {
	case !ok:
		speed = min(measured, firstSpeed)
	case measured < speed:
		speed *= 1 - step*(1-speedRank)
	default:
		speed *= 1 + step*speedRank
	}
	s.tokens[model] = speed
	s.measured[model]++
}

// step is how far the next measurement moves the estimate: the first ones move it
// furthest. A process that has just started would else take a model that reads slowly for
// a usual one for tens of prompts, and ask it for answers that come too late.
func (s *speeds) step(model string) float64 {
	return speedStep * (1 + (firstSteps-1)*math.Exp2(-float64(s.measured[model])/stepHalf))
}
