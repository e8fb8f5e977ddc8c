package bill

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
)

// due lists, in a fixed order, the requests whose bills need something now.
func (l *Ledger) due(now clock.Millis) (requests []string) {
	for request, x := range l.entries {
		if l.needs(x, now) {
			requests = append(requests, request)
		}
	}
	slices.Sort(requests)
	return requests
}

// needs reports whether a bill must be taken over or handed on. While its
// holder lives and is in time the keeper stays quiet, or every bill would be
// appended twice.
func (l *Ledger) needs(x *entry, now clock.Millis) bool {
	if x.pending != "" {
		return false
	}
	if l.draining && l.others(x) < 2 {
		return true
	}
	if x.queued {
		return l.others(x) == 0 && len(x.asked) < maxAsked
	}
	return now-x.since >= lateAfter || l.others(x) == 0
}

// Contains reports whether a request's bill is kept here.
func (l *Ledger) Contains(request string) bool {
	_, ok := l.entries[request]
	return ok
}
