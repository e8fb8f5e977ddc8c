package placement

import (
	"math"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// initialMillisPerToken is the assumed prefill time of a token before any sample, in
	// milliseconds: that of common engines with their largest model. If it assumed a faster model,
	// an entry that has just started would send endpoints more than they can prefill.
	initialMillisPerToken = 0.03
	// minMillisPerToken is the prefill time of a token, in milliseconds, of a small model on fast
	// engines. For a model without enough samples, it decides whether a prompt fits into its
	// first-byte budget, so that initialMillisPerToken does not cause prompts to fast models to be
	// rejected.
	minMillisPerToken = 0.005
	// minSampleTokens is the minimum number of uncached tokens of a sample. The time of a
	// shorter prompt is mostly the network's round trip.
	minSampleTokens = 500
	// speedQuantile is the quantile of the samples that the estimate follows. It is low because
	// larger samples include the wait for other prompts.
	speedQuantile = 0.3
	// speedStep is the relative change of the estimate by one sample.
	speedStep = 0.1
	// initialStepFactor multiplies speedStep for the first sample. The factor then falls towards
	// 1: its difference from 1 halves every stepHalfLife samples.
	initialStepFactor = 5.0
	stepHalfLife      = 8.0
	// minSamples is the number of samples of a model from which its estimate may cause prompts to
	// be rejected.
	minSamples = 8
	// meanWeight is the weight of one prompt in meanMillis.
	meanWeight = 0.05
	// excessWeight is the weight of one first byte in excessMillis.
	excessWeight = 0.05
	// initialMeanMillis is the mean prefill time of a prompt before any sample, in milliseconds.
	initialMeanMillis = 40.0
)

// speedEstimates estimates the prefill speed of models from prompts sent to endpoints where no
// other prompt of this process was waiting.
type speedEstimates struct {
	// millisPerToken holds the prefill time of a token by model, in milliseconds, and samples the
	// number of prompts that this time is based on.
	millisPerToken map[string]float64
	samples        map[string]int
	// meanMillis is the smoothed mean of the estimated prefill times of the sampled prompts, in
	// milliseconds.
	meanMillis float64
	// excessMillis holds by model the mean difference, in milliseconds, between the actual time to
	// the first byte and the time that the known work before it takes. It consists of network
	// time, the steps of the engine and prompts that no entry reported.
	excessMillis map[string]float64
}

func newSpeedEstimates() speedEstimates {
	return speedEstimates{millisPerToken: make(map[string]float64), samples: make(map[string]int), meanMillis: initialMeanMillis, excessMillis: make(map[string]float64)}
}

// minMillis returns a lower bound on the prefill time of a number of tokens, in milliseconds.
func (s *speedEstimates) minMillis(model string, tokens int) float64 {
	if s.samples[model] < minSamples {
		return minMillisPerToken * float64(tokens)
	}
	return s.millis(model, tokens)
}

// firstByte returns the expected time to the first byte if the known work before it takes wait
// milliseconds.
func (s *speedEstimates) firstByte(model string, wait float64) clock.Millis {
	return clock.Millis(max(wait+s.excessMillis[model], 0))
}

// recordExcess records how many milliseconds later a first byte came than the known work before it
// would explain.
func (s *speedEstimates) recordExcess(model string, excess float64) {
	s.excessMillis[model] += excessWeight * (excess - s.excessMillis[model])
}

// millis returns the estimated prefill time of a number of tokens, in milliseconds.
func (s *speedEstimates) millis(model string, tokens int) float64 {
	perToken, ok := s.millisPerToken[model]
	if !ok {
		perToken = initialMillisPerToken
	}
	return perToken * float64(tokens)
}

// recordSample updates the estimate of a model's speed, which follows the speedQuantile of the
// samples.
func (s *speedEstimates) recordSample(model string, tokens int, tookMillis float64) {
	if tokens < minSampleTokens {
		return
	}
	s.meanMillis += meanWeight * (s.millis(model, tokens) - s.meanMillis)
	sample := tookMillis / float64(tokens)
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
