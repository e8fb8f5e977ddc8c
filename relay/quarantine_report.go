package relay

import (
	"context"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/quarantine"
	"google.golang.org/protobuf/proto"
)

const (
	// evidenceInterval is the time between two reports of news about blocks.
	evidenceInterval = clock.Second
	// repeatInterval is the same while news has to be repeated.
	repeatInterval = 200 * clock.Millis(1)
	// minEvidenceInterval is the minimum time between two reports about blocks.
	minEvidenceInterval = 1 * clock.Millis(1)
	// evidenceRefreshPerEntry is multiplied by the number of recipients to get the interval at which
	// everything known of suspected blocks is reported again, for entries that missed it.
	evidenceRefreshPerEntry = 20 * clock.Millis(1)
	// spreaderRefresh is the same interval for reports to the entries that pass them on.
	spreaderRefresh = 5 * clock.Second
	// maxEvidenceDebt limits, in bytes, what is held against the next report, to half a second: evidence
	// is rare, and all entries must have it within three. maxNewsDebt is the same for reports of nothing but
	// news: a caller may send a request on which an endpoint has crashed to another entry at once.
	maxEvidenceDebt = reportBytesPerSecond / 2
	maxNewsDebt     = 2 * reportBytesPerSecond
	// maxFullRecipients is the number of recipients up to which blocks are reported that only one crash
	// names.
	maxFullRecipients = 8
)

// evidenceReporter reports to other entries what endpoints may have crashed on: to a few, which pass it on to
// all. It is safe for concurrent use.
type evidenceReporter struct {
	server *Server
	name   string
	send   func(r *wire.EntryReport, to []string) error
	mu     sync.Mutex
	// refreshedAt is when everything known was last reported.
	refreshedAt clock.Millis
	budget      byteBudget
}

// SendEvidence reports to other entries what is known of requests and blocks on which endpoints may have
// crashed, and logs verdicts, until the context ends.
func (s *Server) SendEvidence(ctx context.Context, name string, send func(r *wire.EntryReport, to []string) error) {
	now := s.cfg.Clock.Now()
	reporter := &evidenceReporter{server: s, name: name, send: send, refreshedAt: now, budget: byteBudget{updatedAt: now}}
	s.evidence.Store(reporter)
	for clock.Pause(ctx, minEvidenceInterval) && s.awaitEvidence(ctx) {
		s.logFound()
		reporter.report()
	}
}

// reportNow reports a crash before its request is answered: its caller may send it to another entry at once. On a
// large site that is left to SendEvidence, since there it would hold up the answer.
func (s *Server) reportNow() {
	if reporter := s.evidence.Load(); reporter != nil && len(s.cfg.View().Audience()) <= maxFullRecipients {
		reporter.report()
	}
}

// report sends what is due.
func (p *evidenceReporter) report() {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server
	now, v := s.cfg.Clock.Now(), s.cfg.View()
	to := v.Audience()
	p.budget.refill(now)
	onlyNews := p.budget.wait() > 0
	if len(to) == 0 || p.budget.available < -maxNewsDebt {
		return
	}
	all := !onlyNews && now-p.refreshedAt >= refreshInterval(v.Spreads(), len(to))
	if all {
		p.refreshedAt = now
	}
	evidence := s.quarantine.Report(quarantine.Scope{Verdicts: all, Repeated: len(to) > maxFullRecipients, News: onlyNews}, now)
	if evidence.Empty() {
		return
	}
	r := &wire.EntryReport{Process: p.name, Evidence: evidenceToWire(evidence)}
	debt := -float64(maxEvidenceDebt)
	if onlyNews {
		debt = -maxNewsDebt
	}
	p.budget.available = max(p.budget.available-float64((packetOverheadBytes+proto.Size(r))*len(to)), debt)
	if err := p.send(r, to); err != nil {
		s.cfg.Log.Warn("Cannot report crashes of endpoints", "error", logbook.Text(err))
	}
}

func refreshInterval(spreads bool, recipients int) clock.Millis {
	if !spreads {
		return spreaderRefresh
	}
	return max(clock.Millis(recipients)*evidenceRefreshPerEntry, evidenceInterval)
}

// awaitEvidence waits until there is something urgent to report or the next report is due. It returns
// false if the context ends first.
func (s *Server) awaitEvidence(ctx context.Context) bool {
	wait := evidenceInterval
	if s.quarantine.Repeats() {
		wait = repeatInterval
	}
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-s.quarantine.Urgent():
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// receiveEvidence applies what another entry reports of blocks.
func (s *Server) receiveEvidence(r *wire.EntryReport) {
	v := s.cfg.View()
	acquitted := s.quarantine.Receive(evidenceFromWire(r.GetEvidence()), v.Spreads(), s.cfg.Clock.Now())
	s.logAcquitted(acquitted, r.GetProcess())
}

func evidenceToWire(e quarantine.Evidence) *wire.CrashEvidence {
	if e.Empty() {
		return nil
	}
	out := &wire.CrashEvidence{}
	for _, c := range e.Crashes {
		w := &wire.EndpointCrash{Incarnation: c.Incarnation, AgeMillis: int32(c.Age)}
		for _, n := range c.Names {
			w.Names = append(w.Names, &wire.NamedBlock{Block: n.Block, BeganAgeMillis: int32(n.BeganAge)})
		}
		out.Crashes = append(out.Crashes, w)
	}
	for _, x := range e.Blocks {
		w := &wire.BlockState{Block: x.Block, SeenAgeMillis: int32(x.SeenAge)}
		if x.Cleared {
			w.ClearedAgeMillis = int32(max(x.ClearedAge, 1))
		}
		out.Blocks = append(out.Blocks, w)
	}
	return out
}

func evidenceFromWire(w *wire.CrashEvidence) (e quarantine.Evidence) {
	for _, c := range w.GetCrashes() {
		x := quarantine.ReportedCrash{Incarnation: c.GetIncarnation(), Age: clock.Millis(c.GetAgeMillis())}
		for _, n := range c.GetNames() {
			x.Names = append(x.Names, quarantine.ReportedName{Block: n.GetBlock(), BeganAge: clock.Millis(n.GetBeganAgeMillis())})
		}
		e.Crashes = append(e.Crashes, x)
	}
	for _, b := range w.GetBlocks() {
		e.Blocks = append(e.Blocks, quarantine.ReportedBlock{Block: b.GetBlock(), SeenAge: clock.Millis(b.GetSeenAgeMillis()), Cleared: b.GetClearedAgeMillis() > 0, ClearedAge: clock.Millis(b.GetClearedAgeMillis())})
	}
	return e
}
