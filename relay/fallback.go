package relay

import (
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// maxFallbackHold is how long an answer of low confidence is kept while a larger model is asked. An
// endpoint that refuses does so at once; the endpoint of the kept answer works on it meanwhile.
const maxFallbackHold = 200 * clock.Millis(1)

// fallback is an answer of low confidence of which the caller has received nothing. It is kept until an
// endpoint of the larger model has had time to refuse the request.
type fallback struct {
	attempt *attempt
	head    Head
	answer  *upstream.Answer
	mu      sync.Mutex
	// gone is true once the answer was taken or dropped.
	gone  bool
	timer *time.Timer
}

// keep keeps an answer for maxFallbackHold.
func (x *exchange) keep(f *fallback) {
	x.fallback = f
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = time.AfterFunc(maxFallbackHold.Duration(), f.drop)
}

// take reports whether the answer is still there, and reserves it for the caller of take.
func (f *fallback) take() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := !f.gone
	f.gone = true
	f.timer.Stop()
	return taken
}

// drop ends the attempt of the answer, unless the answer was taken.
func (f *fallback) drop() {
	if f.take() {
		f.attempt.end()
	}
}

// dropFallback drops the answer that is kept, if any.
func (x *exchange) dropFallback() {
	if x.fallback != nil {
		x.fallback.drop()
	}
}

// takeFallback returns the answer that is kept; nil if there is none or the caller can no longer get it.
func (x *exchange) takeFallback() *fallback {
	if x.fallback == nil || x.written || x.r.Context().Err() != nil || !x.fallback.take() {
		return nil
	}
	return x.fallback
}

// deliver sends the answer to the caller and ends its attempt.
func (f *fallback) deliver() (err error) {
	a := f.attempt
	x := a.exchange
	defer a.end()
	x.endpoint, x.version, x.model = a.endpoint.ID, a.endpoint.Version, a.plan.model()
	x.server.metrics.GetOrCreateCounter("parsleydeal_fallback_answers_total").Inc()
	x.server.cfg.Log.Info("Answer of low confidence is delivered", "request", x.req.ID, "endpoint", x.endpoint, "model", x.model,
		"confidence", f.head.Confidence, "after", x.server.cfg.Clock.Since(a.startedAt))
	if x.route.Kind == catalog.Streaming {
		_, err = a.streamAnswer(f.head, f.answer)
	} else {
		_, err = a.readAnswer(f.head, f.answer)
	}
	return err
}
