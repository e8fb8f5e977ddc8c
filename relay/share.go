package relay

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/placement"
	"google.golang.org/protobuf/proto"
)

const (
	// reportBytesPerSecond bounds the traffic for reports of this entry's work to other entries:
	// half of what control messages may use.
	reportBytesPerSecond = 8192
	// reportBurstRatio is the fraction of reportBytesPerSecond that may be sent at once, as when
	// several long prompts arrive together.
	reportBurstRatio = 0.3
	// fullReportInterval is the time between two full reports: half of the time for which a report
	// stays valid.
	fullReportInterval = 500 * clock.Millis(1)
	// minReportInterval is the minimum time between two reports: the time in which the smallest
	// model processes a long prompt.
	minReportInterval = 30 * clock.Millis(1)
	// packetOverheadBytes is the size of a datagram without its report: the IP, UDP and link
	// headers.
	packetOverheadBytes = 46
	// percent converts a pace or a use to the unit of reports.
	percent = 100
	// maxRateUse bounds the use of quotas that is reported.
	maxRateUse = 1000
)

// byteBudget is a token bucket for the bytes of reports; available may be negative.
type byteBudget struct {
	available float64
	updatedAt clock.Millis
}

// refill adds the bytes that have become available since the last call.
func (b *byteBudget) refill(now clock.Millis) {
	b.available = min(b.available+reportBytesPerSecond*float64(now-b.updatedAt)/float64(clock.Second), reportBytesPerSecond*reportBurstRatio)
	b.updatedAt = now
}

// wait returns the time until the next report may be sent.
func (b *byteBudget) wait() clock.Millis {
	return clock.Millis(math.Ceil(max(-b.available, 0) * float64(clock.Second) / reportBytesPerSecond))
}

// SendReports reports this entry's work, its requests in progress at endpoints, to its neighbours
// until the context ends: a long prompt at once, everything else periodically. Without reports, an
// entry would send prompts to endpoints where prompts of other entries are queued, and would have
// prompt blocks processed again that another endpoint has cached. send is called with the
// addresses of the neighbours.
func (s *Server) SendReports(ctx context.Context, name string, send func(r *wire.EntryReport, to []string) error) {
	budget := byteBudget{updatedAt: s.cfg.Clock.Now()}
	lastFullAt, hadWork := budget.updatedAt, false
	var rotation placement.Rotation
	for s.awaitReport(ctx, &budget, lastFullAt+fullReportInterval) {
		full := budget.updatedAt >= lastFullAt+fullReportInterval
		if full {
			lastFullAt = budget.updatedAt
		}
		to := s.cfg.View().Neighbours()
		r := &wire.EntryReport{Process: name, Work: workToWire(s.selector.Report(budget.updatedAt, full)), Partial: !full}
		var distant []distantReport
		if full {
			distant = s.addLoans(r, &rotation, budget.updatedAt)
		}
		for _, d := range distant {
			budget.available -= float64((packetOverheadBytes + proto.Size(d.report)) * len(d.to))
			if err := send(d.report, d.to); err != nil {
				s.cfg.Log.Warn("Cannot ask for loans or lend", "error", logbook.Text(err))
			}
		}
		// After the last report with work, one empty report is sent. Without it the receivers
		// would assume that the work continues.
		if len(to) == 0 || len(r.GetWork())+len(r.GetLoans()) == 0 && (!full || !hadWork) {
			continue
		}
		hadWork = len(r.GetWork()) > 0
		budget.available -= float64((packetOverheadBytes + proto.Size(r)) * len(to))
		if err := send(r, to); err != nil {
			s.cfg.Log.Warn("Cannot report work at endpoints", "error", logbook.Text(err))
		}
	}
}

// awaitReport waits until there is an urgent change or a full report is due, and the byte budget
// allows a report. It returns false if the context ends first.
func (s *Server) awaitReport(ctx context.Context, budget *byteBudget, nextFullAt clock.Millis) bool {
	budget.refill(s.cfg.Clock.Now())
	if !clock.Pause(ctx, max(budget.wait(), minReportInterval)) {
		return false
	}
	budget.refill(s.cfg.Clock.Now())
	timer := time.NewTimer(max(nextFullAt-budget.updatedAt, 0).Duration())
	defer timer.Stop()
	select {
	case <-s.selector.Urgent():
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	budget.refill(s.cfg.Clock.Now())
	return true
}

// ReceiveReport records another entry's report of its work, or handles a request for a snapshot or
// the snapshot that this entry requested.
func (s *Server) ReceiveReport(r *wire.EntryReport) {
	if r.GetEvidence() != nil {
		s.receiveEvidence(r)
	}
	if s.receiveSnapshot(r) || r.GetEvidence() != nil {
		return
	}
	now := s.cfg.Clock.Now()
	s.selector.Receive(r.GetProcess(), workFromWire(r.GetWork()), !r.GetPartial(), now)
	if !r.GetPartial() {
		s.selector.ReceiveNeed(r.GetProcess(), float64(r.GetRateUsePercent())/percent, clock.Millis(r.GetAskedMillis()), now)
		s.selector.Borrow(r.GetProcess(), s.loansFromWire(r), now)
	}
}

// distantReport is a report to entries that get no reports of work.
type distantReport struct {
	report *wire.EntryReport
	to     []string
}

// addLoans adds the use of this entry's quotas of advertised rates to a full report, and its loans. It returns the reports to
// entries of other zones on a large site: loans, and the use if this entry needs loans itself.
func (s *Server) addLoans(r *wire.EntryReport, rotation *placement.Rotation, now clock.Millis) (distant []distantReport) {
	v := s.cfg.View()
	zones := make(map[string]string)
	for id, e := range v.Fleet().All() {
		zones[id] = e.Zone
	}
	bounds := placement.Bounds{Shares: v.Shares()}
	use := s.selector.RateUse(bounds, zones, now)
	r.RateUsePercent, r.AskedMillis = int32(math.Ceil(min(use, maxRateUse)*percent)), int64(now)
	to := make(map[string]*wire.EntryReport)
	newReport := func() *wire.EntryReport {
		return &wire.EntryReport{Process: r.GetProcess(), RateUsePercent: r.GetRateUsePercent(), AskedMillis: r.GetAskedMillis()}
	}
	for _, l := range s.selector.Lend(use, bounds, zones, now) {
		report, address := r, v.Addresses()[l.To]
		if !slices.Contains(v.Neighbours(), address) {
			if report = to[address]; report == nil {
				report = newReport()
				to[address] = report
			}
		}
		report.Loans = append(report.Loans, &wire.QuotaLoan{To: l.To, Endpoint: l.Endpoint, Born: l.Incarnation, Requests: int32(l.Requests), AskedMillis: int64(l.AskedAt)})
	}
	for address, report := range to {
		if address != "" {
			distant = append(distant, distantReport{report, []string{address}})
		}
	}
	if placement.NeedsLoans(use) {
		if asked := rotation.Next(v.DistantEntries()); len(asked) > 0 {
			distant = append(distant, distantReport{newReport(), asked})
		}
	}
	return distant
}

// loansFromWire returns the loans to this process. What an earlier one on the VM borrowed it may have
// used.
func (s *Server) loansFromWire(r *wire.EntryReport) (loans []placement.Loan) {
	for _, l := range r.GetLoans() {
		if at := clock.Millis(l.GetAskedMillis()); l.GetTo() == s.cfg.Name && at >= s.startedAt {
			loans = append(loans, placement.Loan{To: l.GetTo(), AskedAt: at, Endpoint: l.GetEndpoint(), Incarnation: l.GetBorn(), Requests: int(l.GetRequests())})
		}
	}
	return loans
}

func workFromWire(work []*wire.EndpointWork) (reports []placement.EndpointReport) {
	for _, w := range work {
		e := placement.EndpointReport{Endpoint: w.GetEndpoint(), PendingMillis: float64(w.GetReadingMillis()), Unanswered: int(w.GetUnanswered()), Blocks: w.GetParts(), QueueLength: int(w.GetWaiting()), QueueLengthAge: clock.Millis(w.GetWordAgeMillis())}
		if pace := float64(w.GetPacePercent()) / percent; pace > 0 && pace <= placement.MaxPace {
			e.Pace, e.PaceAge = pace, clock.Millis(w.GetPaceAgeMillis())
		}
		if ad := w.GetStatement(); validAdvertisement(ad) {
			e.Advertisement = placement.Advertisement{Rate: ad.GetRate(), HasRate: ad.Rate != nil, Leaving: ad.GetLeaving()}
			e.AdvertisementAge, e.Incarnation = clock.Millis(ad.GetAgeMillis()), ad.GetBorn()
		}
		reports = append(reports, e)
	}
	return reports
}

// validAdvertisement reports whether an endpoint can have sent the advertisement. An infinite or
// invalid rate would keep all requests from the endpoint permanently.
func validAdvertisement(ad *wire.EndpointStatement) bool {
	return ad.GetAgeMillis() > 0 && ad.GetRate() >= 0 && !math.IsInf(ad.GetRate(), 0)
}

func workToWire(reports []placement.EndpointReport) (out []*wire.EndpointWork) {
	for _, e := range reports {
		w := &wire.EndpointWork{Endpoint: e.Endpoint, ReadingMillis: int32(e.PendingMillis), Unanswered: int32(e.Unanswered), Parts: e.Blocks, Waiting: int32(e.QueueLength), WordAgeMillis: int32(e.QueueLengthAge), PacePercent: int32(math.Round(e.Pace * percent)), PaceAgeMillis: int32(e.PaceAge)}
		if e.AdvertisementAge > 0 {
			w.Statement = &wire.EndpointStatement{Born: e.Incarnation, AgeMillis: int32(e.AdvertisementAge), Leaving: e.Advertisement.Leaving}
			if e.Advertisement.HasRate {
				w.Statement.Rate = &e.Advertisement.Rate
			}
		}
		out = append(out, w)
	}
	return out
}
