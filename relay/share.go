package relay

import (
	"context"
	"math"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/placement"
	"google.golang.org/protobuf/proto"
)

const (
	// shareBytes bounds what an entry sends in a second to tell others of its work at
	// endpoints: half of what control may use.
	shareBytes = 8192
	// shareBurst is the part of a second's bytes that may go out at once, when several
	// long prompts come together.
	shareBurst = 0.3
	// sharePause is the span between two whole reports: half of that for which an
	// entry's word holds.
	sharePause = 500 * clock.Millis(1)
	// shareLeast is the least span between two reports: the smallest model reads a long
	// prompt in it.
	shareLeast = 30 * clock.Millis(1)
	// headBytes is what a datagram takes beside its report: the headers of IP, UDP and
	// the link.
	headBytes = 46
)

// allowance bounds the bytes that reports take over time.
type allowance struct {
	left float64
	at   clock.Millis
}

// pass lets time go by.
func (a *allowance) pass(now clock.Millis) {
	a.left = min(a.left+shareBytes*float64(now-a.at)/float64(clock.Second), shareBytes*shareBurst)
	a.at = now
}

// wait is how long it takes until another report may go out.
func (a *allowance) wait() clock.Millis {
	return clock.Millis(math.Ceil(max(-a.left, 0) * float64(clock.Second) / shareBytes))
}

// SendReports tells the entries near by of this one's work at endpoints until the context
// ends: a long prompt at once, all else now and then. Entries that know only their own
// work send a prompt where those of others wait, and have its parts read again where
// another endpoint holds them.
func (s *Server) SendReports(ctx context.Context, name string, send func(r *wire.EntryReport, to []string) error) {
	spent := allowance{at: s.cfg.Clock.Now()}
	wholeAt, busy := spent.at, false
	for s.shareDue(ctx, &spent, wholeAt+sharePause) {
		whole := spent.at >= wholeAt+sharePause
		if whole {
			wholeAt = spent.at
		}
		to := s.cfg.View().Neighbours()
		r := &wire.EntryReport{Process: name, Work: workOf(s.board.Report(spent.at, whole)), Partial: !whole}
		// An empty report follows the last one that had work: others would else take it
		// for work that goes on.
		if len(to) == 0 || len(r.GetWork()) == 0 && (!whole || !busy) {
			continue
		}
		busy = len(r.GetWork()) > 0
		spent.left -= float64((headBytes + proto.Size(r)) * len(to))
		if err := send(r, to); err != nil {
			s.cfg.Log.Warn("Work at endpoints was not told", "error", logbook.Text(err))
		}
	}
}

// shareDue waits until there are news to tell or a whole report is due, and there are
// bytes left for it; not if the context ends before.
func (s *Server) shareDue(ctx context.Context, spent *allowance, whole clock.Millis) bool {
	spent.pass(s.cfg.Clock.Now())
	if !clock.Pause(ctx, max(spent.wait(), shareLeast)) {
		return false
	}
	spent.pass(s.cfg.Clock.Now())
	rest := time.NewTimer(max(whole-spent.at, 0).Duration())
	defer rest.Stop()
	select {
	case <-s.board.Urgent():
	case <-rest.C:
	case <-ctx.Done():
		return false
	}
	spent.pass(s.cfg.Clock.Now())
	return true
}

// ReceiveReport takes another entry's word on its work.
func (s *Server) ReceiveReport(r *wire.EntryReport) {
	if s.hearSnapshot(r) {
		return
	}
	s.board.Receive(r.GetProcess(), toldOf(r.GetWork()), !r.GetPartial(), s.cfg.Clock.Now())
}

func toldOf(work []*wire.EndpointWork) (told []placement.EndpointReport) {
	for _, w := range work {
		t := placement.EndpointReport{Endpoint: w.GetEndpoint(), PendingMillis: float64(w.GetReadingMillis()), Unanswered: int(w.GetUnanswered()), Blocks: w.GetParts(), QueueLength: int(w.GetWaiting()), QueueLengthAge: clock.Millis(w.GetWordAgeMillis())}
		if s := w.GetStatement(); possible(s) {
			t.Advertisement = placement.Advertisement{Rate: s.GetRate(), HasRate: s.Rate != nil, Leaving: s.GetLeaving()}
			t.AdvertisementAge, t.Incarnation = clock.Millis(s.GetAgeMillis()), s.GetBorn()
		}
		told = append(told, t)
	}
	return told
}

// possible reports whether an endpoint can have made a statement: a rate that is no number
// would keep everything from it for good.
func possible(s *wire.EndpointStatement) bool {
	return s.GetAgeMillis() > 0 && s.GetRate() >= 0 && !math.IsInf(s.GetRate(), 0)
}

func workOf(told []placement.EndpointReport) (out []*wire.EndpointWork) {
	for _, t := range told {
		w := &wire.EndpointWork{Endpoint: t.Endpoint, ReadingMillis: int32(t.PendingMillis), Unanswered: int32(t.Unanswered), Parts: t.Blocks, Waiting: int32(t.QueueLength), WordAgeMillis: int32(t.QueueLengthAge)}
		if t.AdvertisementAge > 0 {
			w.Statement = &wire.EndpointStatement{Born: t.Incarnation, AgeMillis: int32(t.AdvertisementAge), Leaving: t.Advertisement.Leaving}
			if t.Advertisement.HasRate {
				w.Statement.Rate = &t.Advertisement.Rate
			}
		}
		out = append(out, w)
	}
	return out
}
