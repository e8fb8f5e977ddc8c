package relay

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// plannedStop is the planned stop of a server.
type plannedStop struct {
	// at is when all requests must have been answered, in ms on the server's clock; neverStops before a stop was planned.
	at atomic.Int64
	// lateAt is from when on only requests are taken whose own deadline is before at.
	lateAt atomic.Int64
	// ended is cancelled at the time at.
	ended context.Context
	end   context.CancelFunc
}

// neverStops is the end of a server that does not stop.
const neverStops = math.MaxInt64

func newPlannedStop() *plannedStop {
	s := &plannedStop{}
	s.at.Store(neverStops)
	s.ended, s.end = context.WithCancel(context.Background())
	return s
}

// endsAt returns when all requests must have been answered.
func (s *plannedStop) endsAt() clock.Millis { return clock.Millis(s.at.Load()) }

const (
	// answerMargin is the time that is reserved at the end of a planned stop for the answers to requests that still run.
	answerMargin = 100 * clock.Millis(1)
	// leavingRetryAfter is the retry delay of a request that a stopping entry does not take. Other entries can serve it.
	leavingRetryAfter = 50 * clock.Millis(1)
)

// Leave makes every response from now on close its connection, so that callers move to other entries. Requests that
// usually take longer than what is left of the given time are refused, and those that still run at its end are answered
// as unknown, unless a part of the answer was sent. Load balancers send nothing new after noticedAfter; what comes then is
// taken only if its deadline is before the end. Leave must be called once.
func (s *Server) Leave(noticedAfter, left clock.Millis) {
	left = max(left-answerMargin, 0)
	now := s.cfg.Clock.Now()
	s.stop.lateAt.Store(int64(now + noticedAfter))
	s.stop.at.Store(int64(now + left))
	time.AfterFunc(left.Duration(), s.stop.end)
	s.leaving.Store(true)
}

// countStopped counts a request that was not answered because of a planned stop.
func (s *Server) countStopped(outcome string) {
	s.metrics.GetOrCreateCounter(`parsleydeal_stop_unanswered_total{outcome="` + outcome + `"}`).Inc()
}

// checkTime refuses a request that may take longer than this process still runs.
func (x *exchange) checkTime() error {
	s := x.server
	if !s.leaving.Load() {
		return nil
	}
	now := s.cfg.Clock.Now()
	needed := max(s.durations.usual(x.route.Name), minRemaining)
	if now >= clock.Millis(s.stop.lateAt.Load()) {
		needed = x.untilDeadline()
	}
	if s.stop.endsAt()-now >= needed {
		return nil
	}
	s.countStopped("refused")
	return refusal.New(refusal.Leaving, "entry stops, and such requests take up to "+needed.String()).WithRetryAfter(leavingRetryAfter)
}

// endWithServer cancels a request when the server ends, unless a part of its answer was sent by then. The function stop
// must be called when the request has ended.
func (x *exchange) endWithServer(cancel context.CancelFunc) (stop func() bool) {
	return context.AfterFunc(x.server.stop.ended, func() {
		if !x.begun.Load() {
			cancel()
		}
	})
}

// endsWithServer reports whether the request ends because the server does.
func (x *exchange) endsWithServer() bool {
	s := x.server
	return !x.begun.Load() && s.stop.endsAt()-s.cfg.Clock.Now() < minRemaining
}
