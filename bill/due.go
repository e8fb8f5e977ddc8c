package bill

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
)

// due returns the requests whose bills need an action now, sorted so that the effects are
// deterministic.
func (l *Ledger) due(now clock.Millis) (requests []string) {
	for request, x := range l.entries {
		if l.needsAction(x, now) {
			requests = append(requests, request)
		}
	}
	slices.Sort(requests)
	return requests
}

// needsAction reports whether a bill must be appended here or copied to another process. The keeper
// takes no action while a holder is alive and appendTimeout has not passed, as every bill would
// otherwise be appended twice.
func (l *Ledger) needsAction(x *entry, now clock.Millis) bool {
	if x.pending != "" {
		return false
	}
	if l.draining && l.otherCopies(x) < 2 {
		return true
	}
	if x.queued {
		return l.otherCopies(x) == 0 && len(x.requestedFrom) < maxHoldRequests
	}
	return now-x.lastHeldAt >= appendTimeout || l.otherCopies(x) == 0
}

// Contains reports whether the ledger has a copy of a request's bill.
func (l *Ledger) Contains(request string) bool {
	_, ok := l.entries[request]
	return ok
}
