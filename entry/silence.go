package entry

import (
	"context"
	"errors"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// maxSilence is how long an endpoint may send nothing. A live endpoint sends a heartbeat every second,
// so one that is silent for four is frozen or unreachable. Its connection stays open and would hold
// the request until the deadline.
const maxSilence = 4 * clock.Second

// errSilent marks a stream that was cancelled because its endpoint sent nothing.
var errSilent = errors.New("entry: endpoint fell silent")

// silenceWatchdog cancels the context of a call when its endpoint falls silent. Its timer is
// stopped while the entry processes a piece.
type silenceWatchdog struct {
	timer *time.Timer
}

// withSilenceWatchdog returns the context of one call to an endpoint.
func withSilenceWatchdog(ctx context.Context) (inner context.Context, s *silenceWatchdog, cancel func()) {
	inner, cancelCause := context.WithCancelCause(ctx)
	s = &silenceWatchdog{timer: time.AfterFunc(maxSilence.Duration(), func() { cancelCause(errSilent) })}
	return inner, s, func() {
		s.timer.Stop()
		cancelCause(nil)
	}
}

// skipHeartbeats wraps a stream's receive function and returns only pieces that are not heartbeats.
func (s *silenceWatchdog) skipHeartbeats(recv func() (*wire.Piece, error)) func() (*wire.Piece, error) {
	return func() (p *wire.Piece, err error) {
		defer s.timer.Stop()
		for {
			s.timer.Reset(maxSilence.Duration())
			p, err = recv()
			if err != nil || !p.GetAlive() {
				return p, err
			}
		}
	}
}

// endedBySilence reports whether a call's context was cancelled because its endpoint fell silent.
func endedBySilence(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errSilent) }
