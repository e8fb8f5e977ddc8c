package relay

import (
	"context"
	"math"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/placement"
)

const (
	// askPause is the span between two questions of an entry that has just started, and
	// askMost their number. After all entries were stopped nobody has an answer.
	askPause = 250 * clock.Millis(1)
	askMost  = 6
	// askFor is how long an entry looks for neighbours to ask. By then it has learned
	// itself what they would tell.
	askFor = 15 * clock.Second
	// answerPause is the least span between two answers: many entries may start at once.
	answerPause = 50 * clock.Millis(1)
	// answersWaiting bounds the entries that wait for an answer.
	answersWaiting = 8
)

// RequestSnapshot asks one neighbour after another what endpoints keep and how fast models
// read, until one has answered. An entry that knows neither has prompts read again that
// its neighbours know where to send.
func (s *Server) RequestSnapshot(ctx context.Context, name, address string, send func(r *wire.EntryReport, to []string) error) {
	if s.cfg.Strategies.For(decision.Start) != decision.Snapshot {
		return
	}
	r := &wire.EntryReport{Process: name, Address: address, AskParts: true, Partial: true}
	s.wantsSnapshot.Store(true)
	defer s.wantsSnapshot.Store(false)
	until := s.cfg.Clock.Now() + askFor
	for asked := 0; asked <= askMost && s.cfg.Clock.Now() < until && s.wantsSnapshot.Load() && clock.Pause(ctx, askPause); {
		to := s.cfg.View().Neighbours()
		if len(to) == 0 {
			continue
		}
		if asked == askMost {
			return
		}
		if err := send(r, to[asked%len(to):asked%len(to)+1]); err != nil {
			s.cfg.Log.Warn("Neighbour was not asked for a snapshot", "error", logbook.Text(err))
		}
		asked++
	}
}

// ServeSnapshots answers entries that have just started, until the context ends.
func (s *Server) ServeSnapshots(ctx context.Context, name string, send func(r *wire.EntryReport, to []string) error) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.asking:
			// Whoever reaches the port could else have snapshots sent to others.
			if !slices.Contains(s.cfg.View().Neighbours(), address) {
				continue
			}
			parts, speeds := s.board.Snapshot(s.cfg.Clock.Now())
			if len(speeds) == 0 {
				continue
			}
			r := &wire.EntryReport{Process: name, Work: workOf(parts), Partial: true, Speeds: speedsOf(speeds)}
			if err := send(r, []string{address}); err != nil {
				s.cfg.Log.Warn("Snapshot was not sent", "error", logbook.Text(err))
			}
			clock.Pause(ctx, answerPause)
		}
	}
}

// hearSnapshot takes a question for a snapshot or an answer to one; not if the report is
// neither.
func (s *Server) hearSnapshot(r *wire.EntryReport) bool {
	switch {
	case r.GetAskParts():
		select {
		case s.asking <- r.GetAddress():
		default:
		}
		return true
	case len(r.GetSpeeds()) == 0:
		return false
	}
	if s.wantsSnapshot.CompareAndSwap(true, false) {
		s.board.ApplySnapshot(toldOf(r.GetWork()), measuredOf(r.GetSpeeds()), s.cfg.Clock.Now())
		s.cfg.Log.Info("Snapshot of endpoints was taken over", "from", r.GetProcess(), "endpoints", len(r.GetWork()), "models", len(r.GetSpeeds()))
	}
	return true
}

func speedsOf(speeds []placement.ModelSpeed) (out []*wire.ModelSpeed) {
	for _, s := range speeds {
		out = append(out, &wire.ModelSpeed{Model: s.Model, TokenMillis: s.MillisPerToken, Measured: int32(s.Samples), BeyondMillis: s.ExcessMillis})
	}
	return out
}

// measuredOf leaves out speeds that cannot be: they would send all prompts to one model's
// endpoints, or none.
func measuredOf(speeds []*wire.ModelSpeed) (out []placement.ModelSpeed) {
	for _, s := range speeds {
		beyond := math.Abs(s.GetBeyondMillis()) < mostBeyond
		if beyond && s.GetTokenMillis() > 0 && s.GetTokenMillis() < slowestToken && s.GetMeasured() > 0 {
			out = append(out, placement.ModelSpeed{Model: s.GetModel(), MillisPerToken: s.GetTokenMillis(), Samples: int(s.GetMeasured()), ExcessMillis: s.GetBeyondMillis()})
		}
	}
	return out
}

const (
	// slowestToken is the time in milliseconds in which any model reads a token.
	slowestToken = 10.0
	// mostBeyond is the most by which first bytes miss what is expected, in milliseconds.
	mostBeyond = 10000.0
)
