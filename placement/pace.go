package placement

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
)

// MaxPace is the largest plausible pace: work takes a hundred times as long as usual.
const MaxPace = 100.0

const (
	// usualPace is the pace of an endpoint that has reported none.
	usualPace = 1.0
	// paceTTL is how long a deviation from an endpoint's typical pace is expected to last at most.
	// An endpoint shares its VM with others, whose work changes several times a second: the
	// probability that a deviation still lasts falls linearly to 0 over this time.
	paceTTL = 600 * clock.Millis(1)
	// fasterPaceWeight and slowerPaceWeight are the weights in the typical pace of a report below
	// and above it. Deviations are mostly upwards, when others use the VM.
	fasterPaceWeight = 0.5
	slowerPaceWeight = 0.05
	// urgentPaceRatio is the change of the pace, as a ratio, that is reported to other entries at
	// once.
	urgentPaceRatio = 1.5
)

// pace is how long work takes at an endpoint, as a multiple of usual.
type pace struct {
	// reported is the last reported pace and at when it was reported; 0 before the first report.
	reported float64
	at       clock.Millis
	// typical is the pace without the deviations that others on the same VM cause.
	typical float64
	// sent is the last pace that was reported to other entries. direct is set if the endpoint
	// reported to this entry itself, and unsent if other entries do not know that report yet.
	sent   float64
	direct bool
	unsent bool
}

func (p *pace) record(reported float64, at clock.Millis) {
	weight := slowerPaceWeight
	switch {
	case p.reported == 0:
		weight = 1
	case reported < p.typical:
		weight = fasterPaceWeight
	}
	p.typical += weight * (reported - p.typical)
	if at >= p.at {
		p.reported, p.at = reported, at
	}
}

// expected returns the pace that is expected at the time now.
func (p *pace) expected(s decision.Strategy, now clock.Millis) float64 {
	switch {
	case p.reported == 0 || s == decision.Ignored:
		return usualPace
	case s == decision.Typical:
		return p.typical
	}
	weight := max(1-float64(now-p.at)/float64(paceTTL), 0)
	return p.typical + (p.reported-p.typical)*min(weight, 1)
}

// RecordPace records the pace that an endpoint itself reported. A large change is reported to other
// entries at once.
func (sel *Selector) RecordPace(id string, reported float64, now clock.Millis) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	p := &sel.stateOf(id).pace
	p.record(reported, now)
	p.direct, p.unsent = true, true
	if p.sent > 0 && !p.urgent() {
		return
	}
	sel.signalUrgent()
}

// urgent reports whether the pace has changed so much since it was reported to other entries that
// it must be reported at once.
func (p *pace) urgent() bool {
	return p.unsent && (p.reported >= p.sent*urgentPaceRatio || p.reported*urgentPaceRatio <= p.sent)
}

// report adds the endpoint's pace to a report and reports whether it did.
func (p *pace) report(r *EndpointReport, now clock.Millis, full bool) (added bool) {
	if !p.direct || !p.unsent || !full && !p.urgent() {
		return false
	}
	r.Pace, r.PaceAge = p.reported, max(now-p.at, 1)
	p.sent, p.unsent = p.reported, false
	return true
}

// receive applies the pace in another entry's report.
func (p *pace) receive(r EndpointReport, now clock.Millis) {
	if r.PaceAge <= 0 {
		return
	}
	p.record(r.Pace, now-r.PaceAge)
	p.sent = r.Pace
}

// samplePace returns the pace by which a measured prefill time is divided.
func (sel *Selector) samplePace(reported float64) float64 {
	if reported == 0 || sel.paceStrategy == decision.Ignored {
		return usualPace
	}
	return reported
}
