package placement

import (
	"maps"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
)

// EndpointReport is what an entry reports to other entries about one endpoint: its own work
// there and what the endpoint advertised.
type EndpointReport struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint32
	// PendingMillis is the prefill work, in milliseconds, of the prompts that the entry sent
	// there and that have not had their first byte; Unanswered is their number.
	PendingMillis float64
	Unanswered    int
	// Blocks are the hashes of the shared blocks sent there since the last full report.
	Blocks []uint32
	// QueueLength is the number of waiting prompts that the endpoint reported, and
	// QueueLengthAge how old it is; 0 if the endpoint reported none since the last full report.
	QueueLength    int
	QueueLengthAge clock.Millis
	// Pace is the pace that the endpoint reported, and PaceAge how old it is; 0 if there is nothing
	// to report.
	Pace    float64
	PaceAge clock.Millis
	// Advertisement is what the endpoint advertised, AdvertisementAge how long ago (0 if there is
	// nothing to report), and Incarnation the endpoint's incarnation that advertised it.
	Advertisement    Advertisement
	AdvertisementAge clock.Millis
	Incarnation      int64
}

// peerReports holds the last reports of another entry by endpoint.
type peerReports map[uint32]receivedReport

// receivedReport is a report with its time of arrival.
type receivedReport struct {
	EndpointReport
	receivedAt clock.Millis
}

// reportTTL is how long a report of pending work is taken into account. Its weight falls linearly
// to 0 over this time, because the endpoint prefills the pending prompts meanwhile: even the
// largest model prefills a long prompt in about a second.
const reportTTL = clock.Second

// urgentMinMillis is the minimum prefill work, in milliseconds, of a prompt that is reported at
// once instead of with the next regular report. A wait of that length behind such a prompt is
// noticeable.
const urgentMinMillis = 40.0

// Urgent returns a channel that receives a value when a report should be sent at once.
func (sel *Selector) Urgent() <-chan struct{} { return sel.urgent }

func (sel *Selector) signalUrgent() {
	select {
	case sel.urgent <- struct{}{}:
	default:
	}
}

// Report returns what to report to other entries. A full report covers all endpoints where this
// entry has work, with the shared blocks sent and the advertisements received since the last full
// report. Any other report covers only endpoints whose work or advertisement has changed. If a
// report is lost, the next full one repeats all of it but the blocks, which costs at most one more
// prefill of each prompt that has them.
func (sel *Selector) Report(now clock.Millis, full bool) (reports []EndpointReport) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	for _, st := range sel.states {
		r := EndpointReport{Endpoint: st.hash, PendingMillis: st.pendingMillis, Unanswered: st.unanswered}
		include := st.changed
		if full {
			r.Blocks = sel.prefixes.unreported[st.hash]
			if st.queueLengthUnreported {
				r.QueueLength, r.QueueLengthAge = st.queueLength, max(now-st.queueLengthAt, 1)
			}
			st.queueLengthUnreported = false
			include = r.Unanswered > 0 || len(r.Blocks) > 0 || r.QueueLengthAge > 0
		}
		st.changed = false
		hasPace := st.pace.report(&r, now, full)
		if st.reportAdvertisement(&r, now, full) || hasPace || include {
			reports = append(reports, r)
		}
	}
	if full {
		clear(sel.prefixes.unreported)
	}
	return reports
}

// Receive applies the reports of another entry. A full report replaces all earlier ones of that
// entry.
func (sel *Selector) Receive(entry string, reports []EndpointReport, full bool, now clock.Millis) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	p := sel.peers[entry]
	if full || p == nil {
		p = make(peerReports, len(reports))
		sel.peers[entry] = p
	}
	for _, r := range reports {
		sel.receive(p, r, now)
	}
}

func (sel *Selector) receive(p peerReports, r EndpointReport, now clock.Millis) {
	if !sel.strategies.Disabled(decision.ReportedBlocks) {
		sel.prefixes.recordReported(r.Endpoint, r.Blocks, now)
	}
	st := sel.byHash[r.Endpoint]
	if st != nil {
		st.receiveAdvertisement(r, now)
		st.pace.receive(r, now)
	}
	if sel.strategies.Disabled(decision.ReportedWork) {
		return
	}
	r.Blocks = nil
	p[r.Endpoint] = receivedReport{r, now}
	if st != nil && r.QueueLengthAge > 0 && now-r.QueueLengthAge > st.queueLengthAt {
		sel.setQueueLength(st, r.QueueLength, now-r.QueueLengthAge, now)
	}
}

// reportedWork sums the work that other entries reported at an endpoint, weighted by the age of
// their reports: the pending prefill work in milliseconds and the number of prompts without a
// first byte.
func (sel *Selector) reportedWork(endpoint uint32, now clock.Millis) (pending, unanswered float64) {
	for _, p := range sel.peers {
		r, ok := p[endpoint]
		weight := 1 - float64(now-r.receivedAt)/float64(reportTTL)
		if !ok || weight <= 0 {
			continue
		}
		pending += r.PendingMillis * weight
		unanswered += float64(r.Unanswered) * weight
	}
	return pending, unanswered
}

// dropStaleReports drops the reports of other entries that are older than reportTTL.
func (sel *Selector) dropStaleReports(now clock.Millis) {
	for entry, p := range sel.peers {
		maps.DeleteFunc(p, func(_ uint32, r receivedReport) bool { return now-r.receivedAt > reportTTL })
		if len(p) == 0 {
			delete(sel.peers, entry)
		}
	}
}
