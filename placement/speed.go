package placement

import (
	"math"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// initialMillisPerToken is how long a token takes to read before anything was measured,
	// in milliseconds: that of the usual engines with their largest model. Too fast, an
	// entry that has just started asks it for more than endpoints can read.
	initialMillisPerToken = 0.03
	// minMillisPerToken is that of a small model at fast engines: a model that was not measured
	// yet is not held to be too slow for a prompt by its usual speed.
	minMillisPerToken = 0.005
	// minSampleTokens is the least that a prompt has for its time to say something of
	// the reading; a shorter one shows the way there and back.
	minSampleTokens = 500
	// speedQuantile is the part of the measured times that lie below the estimate.
	// What lies above it had to wait for others.
	speedQuantile = 0.3
	// speedStep is how far one measurement moves the estimate.
	speedStep = 0.1
	// initialStepFactor is how many times as far the first measurement moves the estimate, and
	// stepHalf the number of measurements after which half of that is left.
	initialStepFactor = 5.0
	stepHalfLife      = 8.0
	// minSamples is how many measurements a speed must rest on for prompts to be turned
	// away by it.
	minSamples = 8
	// meanWeight is the weight of one prompt in the mean work.
	meanWeight = 0.05
	// excessWeight is the weight of one first byte in how far they are missed.
	excessWeight = 0.05
	// initialMeanMillis is the mean work of a prompt before any was measured.
	initialMeanMillis = 40.0
)

// speedEstimates knows how long the models take to read a token, from the times of
// prompts that found no other of this process at their endpoint.
type speedEstimates struct {
	// millisPerToken holds the milliseconds a token by model, and measured how many prompts
	// that rests on.
	millisPerToken map[string]float64
	samples        map[string]int
	// meanMillis is the mean work of a prompt, in milliseconds.
	meanMillis float64
	// excessMillis holds by model how much longer first bytes take on average than what
	// was known to stand before them: the way, the engine's steps, and prompts that
	// nobody told of.
	excessMillis map[string]float64
}

func newSpeedEstimates() speedEstimates {
	return speedEstimates{millisPerToken: make(map[string]float64), samples: make(map[string]int), meanMillis: initialMeanMillis, excessMillis: make(map[string]float64)}
}

// minMillis is how long a model takes at the least to read some tokens.
func (s *speedEstimates) minMillis(model string, tokens int) float64 {
	if s.samples[model] < minSamples {
		return minMillisPerToken * float64(tokens)
	}
	return s.millis(model, tokens)
}

// firstByte is how long a first byte is expected to take behind some known wait.
func (s *speedEstimates) firstByte(model string, wait float64) clock.Millis {
	return clock.Millis(max(wait+s.excessMillis[model], 0))
}

// recordExcess takes by how much a first byte missed what was known to stand before it.
func (s *speedEstimates) recordExcess(model string, by float64) {
	s.excessMillis[model] += excessWeight * (by - s.excessMillis[model])
}

// millis is how long a model takes to read some tokens.
func (s *speedEstimates) millis(model string, tokens int) float64 {
	speed, ok := s.millisPerToken[model]
	if !ok {
		speed = initialMillisPerToken
	}
	return speed * float64(tokens)
}

// recordSample takes the time of one prompt into the estimate, which follows a low
// quantile of the times.
func (s *speedEstimates) recordSample(model string, tokens int, took clock.Millis) {
	if tokens < minSampleTokens {
		return
	}
	s.meanMillis += meanWeight * (s.millis(model, tokens) - s.meanMillis)
	measured := float64(took) / float64(tokens)
	speed, ok := s.millisPerToken[model]
	step := s.step(model)
	switch {
	case !ok:
		speed = min(measured, initialMillisPerToken)
	case measured < speed:
		speed *= 1 - step*(1-speedQuantile)
	default:
		speed *= 1 + step*speedQuantile
	}
	s.millisPerToken[model] = speed
	s.samples[model]++
}

// step is how far the next measurement moves the estimate: the first ones move it
// furthest. A process that has just started would else take a model that reads slowly for
// a usual one for tens of prompts, and ask it for answers that come too late.
func (s *speedEstimates) step(model string) float64 {
	return speedStep * (1 + (initialStepFactor-1)*math.Exp2(-float64(s.samples[model])/stepHalfLife))
}
