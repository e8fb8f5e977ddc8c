package entry

import (
	"context"
	"errors"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// maxSilence is how long an endpoint may send nothing. It sends a heartbeat each
// second while it lives, so one that is silent for four is frozen or cut off. Its
// connection stays open and would hold the request until the deadline.
const maxSilence = 4 * clock.Second

// errSilent marks a stream that was given up for its silence.
var errSilent = errors.New("entry: endpoint fell silent")

// silence ends the context of a call when its endpoint falls silent. It does not
// count while the caller takes the pieces that came.
type silence struct {
	timer *time.Timer
}

// listen returns the context of one call to an endpoint.
func listen(ctx context.Context) (inner context.Context, s *silence, cancel func()) {
	inner, give := context.WithCancelCause(ctx)
	s = &silence{timer: time.AfterFunc(maxSilence.Duration(), func() { give(errSilent) })}
	return inner, s, func() {
		s.timer.Stop()
		give(nil)
	}
}

// next wraps a stream's receiver: it waits for the next piece that is no heartbeat.
func (s *silence) next(recv func() (*wire.Piece, error)) func() (*wire.Piece, error) {
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

// silent reports whether a call's context ended for the endpoint's silence.
func silent(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errSilent) }
