// Package upgrade moves a service's traffic from one version to another: how
// much of it goes to the new version at which moment, when the new version is
// found bad, and when the old one is idle and the move is done.
package upgrade

import "github.com/parsleydeal/parsleydeal/clock"

// Order asks for a move.
type Order struct {
	Service string
	// Target is the new version.
	Target string
	// Duration is the time that the move may take.
	Duration clock.Millis
	// Number tells one order for a service from the next; it grows.
	Number int64
}

// Phase is the state of a move.
type Phase int

// The phases.
const (
	Running Phase = iota
	Completed
	RolledBack
)

// String names the phase for logs.
func (p Phase) String() string {
	return [...]string{"running", "completed", "rolled-back"}[p]
}

// Fractions of an order's span.
const (
	// firstPart is the part in which sessions keep the version they had, so that
	// the new version's share stays at that of new sessions.
	firstPart = 0.5
	// fullFrom is when the new version gets all traffic; what is left of the span
	// is for the old version's streams to end.
	fullFrom = 0.72
	// exposurePart is how much of the exposure that operators allow the first
	// part uses. The rest is for the steps after it, in which a version that is
	// bad only under load shows.
	exposurePart = 0.55
)

// rise lists the new version's shares between firstPart and fullFrom. Each step
// lasts long enough, at an eleventh of a 24 s move, for 1.5 s of evidence.
var rise = [...]float64{0.2, 0.4, 0.7}

// Share is the part of a service's sessions that belong to the new version when
// a part of the order's span has passed.
func Share(passed, exposure float64) float64 {
	first := exposure * exposurePart
	switch {
	case passed < firstPart:
		return first
	case passed >= fullFrom:
		return 1
	}
	step := int((passed - firstPart) / (fullFrom - firstPart) * float64(len(rise)))
	return max(first, rise[min(step, len(rise)-1)])
}
