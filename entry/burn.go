package entry

import (
	"context"

	"github.com/parsleydeal/parsleydeal/burn"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// BurnReport returns what this process has counted against the service-level objectives.
func (e *Entry) BurnReport(context.Context) (report any, err error) {
	v := e.node.View()
	return e.burn.Report(e.node.Settings().VM, e.node.Epoch(), v.Tables(), v.Revision())
}

// inheritBurnCounts takes over the counts of an entry that is stopping.
func (e *Entry) inheritBurnCounts(data []byte) (err error) {
	l, err := burn.DecodeHandover(data)
	if err == nil {
		e.burn.Inherit(l)
	}
	return err
}

// HandOverBurnCounts sends the counts of this process, and those it has inherited, to other entries.
// It is called at a planned stop.
func (e *Entry) HandOverBurnCounts(ctx context.Context) (err error) {
	var packed [][]byte
	for _, l := range e.burn.Handovers(e.node.Settings().VM, e.node.Epoch()) {
		data, err := l.Encode()
		if err != nil {
			return err
		}
		packed = append(packed, data)
	}
	return e.node.HandOver(ctx, packed)
}

// countRequest counts the end of an admitted request. Caller errors and cancellations are left out,
// as they do not reflect on the service.
func (e *Entry) countRequest(req *requestState, route string, err error) {
	if route == "" || err != nil && isCallerError(err) {
		return
	}
	t := burn.Counts{Requests: 1}
	if err != nil {
		t.Unanswered = 1
	} else if req.version != "" && e.exposed(req) {
		t.Exposed = 1
	}
	k := burn.Key{Route: route, Version: req.version, Organisation: req.organisation}
	if n := len(req.steps); n > 0 {
		k.Zone = e.zoneOf(req.steps[n-1].GetVm())
	}
	e.burn.Add(k, t)
}

// exposed reports whether the version that answered has been withdrawn or held in the meantime.
func (e *Entry) exposed(req *requestState) bool {
	v := e.node.View()
	return v.Tables().Versions[req.version].Withdrawn || v.Holds() != nil && v.Holds().Held(req.version, req.organisation)
}

func isCallerError(err error) bool {
	switch refusal.Of(err).Code() {
	case refusal.Unauthorised, refusal.NoRoute, refusal.NotAllowed, refusal.Malformed, refusal.TooLarge, refusal.SessionRejected,
		refusal.KeyReused, refusal.AlreadyRunning, refusal.AlreadyRan, refusal.Cancelled:
		return true
	}
	return false
}

// countAttempt counts an attempt's latencies against its route's objective.
func (e *Entry) countAttempt(req *requestState, vm string, first, gap clock.Millis) {
	e.burn.RecordLatency(req.routeName, first, gap)
	o := req.route.Objective
	var t burn.Counts
	if first > 0 {
		t.FirstTokens = 1
		t.LateFirstTokens = countIf(o.FirstToken > 0 && first > o.FirstToken)
	}
	if gap > 0 {
		t.TokenGaps = 1
		t.SlowGaps = countIf(o.TokenGap > 0 && gap > o.TokenGap)
	}
	e.burn.Add(burn.Key{Route: req.routeName, Version: req.version, Zone: e.zoneOf(vm), Organisation: req.organisation}, t)
}

func (e *Entry) zoneOf(vm string) string {
	v, _ := e.node.View().Members().Find(vm)
	return v.Zone
}

func countIf(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}
