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
	"github.com/parsleydeal/parsleydeal/quarantine"
)

const (
	// snapshotRequestInterval is the time between two requests of an entry that has just started,
	// and maxSnapshotRequests their maximum number: if all entries were stopped, no neighbour has a
	// snapshot.
	snapshotRequestInterval = 250 * clock.Millis(1)
	maxSnapshotRequests     = 6
	// snapshotRequestTimeout is how long a started entry looks for neighbours. After that time it
	// has collected by itself what a snapshot would contain.
	snapshotRequestTimeout = 15 * clock.Second
	// snapshotSendInterval is the minimum time between sending two snapshots: many entries may
	// start at once and request one.
	snapshotSendInterval = 50 * clock.Millis(1)
	// maxSnapshotQueue bounds the entries that wait for a snapshot.
	maxSnapshotQueue = 8
)

// RequestSnapshot requests a snapshot of the cached blocks of endpoints and the speeds of models
// from one neighbour after another, until one has replied. Without a snapshot, this entry would
// send prompts to endpoints that do not have their blocks cached, although the neighbours know
// endpoints that do. address is where this entry receives reports.
func (s *Server) RequestSnapshot(ctx context.Context, name, address string, send func(r *wire.EntryReport, to []string) error) {
	if s.cfg.Strategies.For(decision.Start) != decision.Snapshot {
		return
	}
	r := &wire.EntryReport{Process: name, Address: address, AskParts: true, Partial: true}
	s.awaitingSnapshot.Store(true)
	defer s.awaitingSnapshot.Store(false)
	deadline := s.cfg.Clock.Now() + snapshotRequestTimeout
	for requests := 0; requests <= maxSnapshotRequests && s.cfg.Clock.Now() < deadline && s.awaitingSnapshot.Load() && clock.Pause(ctx, snapshotRequestInterval); {
		to := s.cfg.View().Neighbours()
		if len(to) == 0 {
			continue
		}
		if requests == maxSnapshotRequests {
			return
		}
		if err := send(r, to[requests%len(to):requests%len(to)+1]); err != nil {
			s.cfg.Log.Warn("Cannot request a snapshot from a neighbour", "error", logbook.Text(err))
		}
		requests++
	}
}

// ServeSnapshots sends snapshots to entries that have just started, until the context ends.
func (s *Server) ServeSnapshots(ctx context.Context, name string, send func(r *wire.EntryReport, to []string) error) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-s.snapshotRequests:
			// Without this check anyone who can reach the port could have snapshots sent to third
			// parties.
			if !slices.Contains(s.cfg.View().Neighbours(), address) {
				continue
			}
			work, speeds := s.selector.Snapshot(s.cfg.Clock.Now())
			evidence := s.quarantine.Report(quarantine.Scope{Verdicts: true}, s.cfg.Clock.Now())
			if len(speeds) == 0 && evidence.Empty() {
				continue
			}
			r := &wire.EntryReport{Process: name, Work: workToWire(work), Partial: true, Speeds: speedsToWire(speeds), Evidence: evidenceToWire(evidence)}
			if err := send(r, []string{address}); err != nil {
				s.cfg.Log.Warn("Cannot send a snapshot", "error", logbook.Text(err))
			}
			clock.Pause(ctx, snapshotSendInterval)
		}
	}
}

// receiveSnapshot handles a snapshot or a request for one; it returns false for any other report.
func (s *Server) receiveSnapshot(r *wire.EntryReport) bool {
	switch {
	case r.GetAskParts():
		select {
		case s.snapshotRequests <- r.GetAddress():
		default:
		}
		return true
	case len(r.GetSpeeds()) == 0:
		return false
	}
	if s.awaitingSnapshot.CompareAndSwap(true, false) {
		s.selector.ApplySnapshot(workFromWire(r.GetWork()), speedsFromWire(r.GetSpeeds()), s.cfg.Clock.Now())
		s.cfg.Log.Info("Snapshot of endpoints was taken over", "from", r.GetProcess(), "endpoints", len(r.GetWork()), "models", len(r.GetSpeeds()))
	}
	return true
}

func speedsToWire(speeds []placement.ModelSpeed) (out []*wire.ModelSpeed) {
	for _, s := range speeds {
		out = append(out, &wire.ModelSpeed{Model: s.Model, TokenMillis: s.MillisPerToken, Measured: int32(s.Samples), BeyondMillis: s.ExcessMillis})
	}
	return out
}

// speedsFromWire drops impossible speeds: with them, all prompts would go to the endpoints of one
// model, or none would.
func speedsFromWire(speeds []*wire.ModelSpeed) (out []placement.ModelSpeed) {
	for _, s := range speeds {
		plausible := math.Abs(s.GetBeyondMillis()) < maxExcessMillis
		if plausible && s.GetTokenMillis() > 0 && s.GetTokenMillis() < maxTokenMillis && s.GetMeasured() > 0 {
			out = append(out, placement.ModelSpeed{Model: s.GetModel(), MillisPerToken: s.GetTokenMillis(), Samples: int(s.GetMeasured()), ExcessMillis: s.GetBeyondMillis()})
		}
	}
	return out
}

const (
	// maxTokenMillis is the largest plausible time to process one prompt token, in milliseconds.
	maxTokenMillis = 10.0
	// maxExcessMillis is the largest plausible prediction error of the time to the first byte, in
	// milliseconds.
	maxExcessMillis = 10000.0
)
