package placement

import (
	"math"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// initialMillisPerToken is the assumed prefill time of a token before any sample, in
	// milliseconds: that of common engines with their largest model. With a faster value, an
	// entry that has just started sends the endpoints more than they can prefill.
	initialMillisPerToken = 0.03
	// minMillisPerToken is the prefill time of a token, in milliseconds, of a small model on
	// fast engines. A model without enough samples is checked against a prompt's budget with
	// this value, so that the initial one does not reject prompts to fast models.
	minMillisPerToken = 0.005
	// minSampleTokens is the minimum number of uncached tokens of a sample. The time of a
	// shorter prompt is mostly the network's round trip.
	minSampleTokens = 500
	// speedQuantile is the fraction of samples below the estimate. Samples above it had to
	// wait for other prompts.
	speedQuantile = 0.3
	// speedStep is the relative change of the estimate by one sample.
	speedStep = 0.1
	// initialStepFactor is the factor of speedStep for the first sample. Its excess over 1
	// halves every stepHalfLife samples.
	initialStepFactor = 5.0
	stepHalfLife      = 8.0
	// minSamples is the number of samples from which prompts may be rejected by an estimate.
	minSamples = 8
	// meanWeight is the weight of one prompt in the mean prefill time.
	meanWeight = 0.05
	// excessWeight is the weight of one first byte in the mean excess.
	excessWeight = 0.05
	// initialMeanMillis is the mean prefill time of a prompt before any sample, in milliseconds.
	initialMeanMillis = 40.0
)

// speedEstimates estimates the prefill speed of models from prompts sent to endpoints where no
// other prompt of this process was waiting.
type speedEstimates struct {
	// millisPerToken holds the prefill time of a token by model, in milliseconds, and samples
	// the number of prompts that it is based on.
	millisPerToken map[string]float64
	samples        map[string]int
	// meanMillis is the mean prefill time of a prompt, in milliseconds.
	meanMillis float64
	// excessMillis holds by model how much longer first bytes take on average than the known
	// work before them, in milliseconds. The excess consists of network time, the steps of
	// the engine and prompts that no entry reported.
	excessMillis map[string]float64
}

func newSpeedEstimates() speedEstimates {
	return speedEstimates{millisPerToken: make(map[string]float64), samples: make(map[string]int), meanMillis: initialMeanMillis, excessMillis: make(map[string]float64)}
}

// minMillis returns a lower bound of the prefill time of some tokens, in milliseconds.
func (s *speedEstimates) minMillis(model string, tokens int) float64 {
	if s.samples[model] < minSamples {
		return minMillisPerToken * float64(tokens)
	}
	return s.millis(model, tokens)
}

// firstByte returns the expected time to the first byte after a known wait in milliseconds.
func (s *speedEstimates) firstByte(model string, wait float64) clock.Millis {
	return clock.Millis(max(wait+s.excessMillis[model], 0))
}

// recordExcess records by how many milliseconds a first byte came after the known work before it.
func (s *speedEstimates) recordExcess(model string, excess float64) {
	s.excessMillis[model] += excessWeight * (excess - s.excessMillis[model])
}

// millis returns the estimated prefill time of some tokens, in milliseconds.
func (s *speedEstimates) millis(model string, tokens int) float64 {
	perToken, ok := s.millisPerToken[model]
	if !ok {
		perToken = initialMillisPerToken
	}
	return perToken * float64(tokens)
}

// recordSample updates the estimate, which follows a low quantile of the samples.
func (s *speedEstimates) recordSample(model string, tokens int, took clock.Millis) {
	if tokens < minSampleTokens {
		return
	}
	s.meanMillis += meanWeight * (s.millis(model, tokens) - s.meanMillis)
	sample := float64(took) / float64(tokens)
	perToken, ok := s.millisPerToken[model]
	step := s.step(model)
	switch {
	case !ok:
		perToken = min(sample, initialMillisPerToken)
	case sample < perToken:
		perToken *= 1 - step*(1-speedQuantile)
	default:
		perToken *= 1 + step*speedQuantile
	}
	s.millisPerToken[model] = perToken
	s.samples[model]++
}

// step returns the relative change of the estimate by the next sample. It is largest for the
// first samples. Otherwise a process that has just started would take tens of prompts to find
// that a model is slow, and would meanwhile send it prompts whose answers come too late.
func (s *speedEstimates) step(model string) float64 {
	return speedStep * (1 + (initialStepFactor-1)*math.Exp2(-float64(s.samples[model])/stepHalfLife))
}
