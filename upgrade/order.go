// Package upgrade moves a service's traffic from one version to another. It decides the
// new version's share over time, when a bad version is rolled back, and when the old
// version is idle and the upgrade is complete.
package upgrade

import "github.com/parsleydeal/parsleydeal/clock"

// Order requests an upgrade.
type Order struct {
	Service string
	// Target is the new version.
	Target string
	// Duration is the time that the upgrade may take.
	Duration clock.Millis
	// Number identifies the order among those for the same service; later orders have higher
	// numbers.
	Number int64
}

// Phase is the state of an upgrade.
type Phase int

// The phases.
const (
	Running Phase = iota
	Completed
	RolledBack
)

// String returns the phase's name for logs.
func (p Phase) String() string {
	return [...]string{"running", "completed", "rolled-back"}[p]
}

const (
	// pinnedRatio is the fraction of an order's duration during which running sessions keep their
	// version, so that only new sessions go to the new version.
	pinnedRatio = 0.5
	// fullTrafficRatio is the fraction of an order's duration after which the new version gets all
	// traffic. The remaining time lets the old version's streams end.
	fullTrafficRatio = 0.72
	// firstExposureRatio is the fraction of the exposure allowed by operators that is used while
	// sessions are pinned. The rest is left for the later steps, which reveal a version that is
	// bad only under load.
	firstExposureRatio = 0.55
)

// stepShares lists the new version's shares between pinnedRatio and fullTrafficRatio, in steps of
// equal length. In a 24 s upgrade a step lasts 1.76 s, long enough to collect evidence for 1.5 s.
var stepShares = [...]float64{0.2, 0.4, 0.7}

// Share returns the fraction of a service's sessions that go to the new version. elapsed is the
// elapsed fraction of the order's duration; exposure is the fraction of sessions that operators
// allow on the new version at first.
func Share(elapsed, exposure float64) float64 {
	first := exposure * firstExposureRatio
	switch {
	case elapsed < pinnedRatio:
		return first
	case elapsed >= fullTrafficRatio:
		return 1
	}
	step := int((elapsed - pinnedRatio) / (fullTrafficRatio - pinnedRatio) * float64(len(stepShares)))
	return max(first, stepShares[min(step, len(stepShares)-1)])
}
