package upgrade

import "github.com/parsleydeal/parsleydeal/clock"

// Rule defines which versions of a service may answer.
type Rule struct {
	// Current is the version in use; empty if any version may answer.
	Current string
	// Target is the new version while an upgrade runs; empty otherwise.
	Target string
	// Banned is a version that was rolled back; empty if there is none.
	Banned string
	// Share is the fraction of sessions that go to the target.
	Share float64
	// Pinned is true while running sessions keep their version.
	Pinned bool
}

// RuleAt returns the rule of a running upgrade to a target at the time now.
func RuleAt(target string, s Schedule, now clock.Millis, current string, exposure float64) Rule {
	elapsed := s.ElapsedRatio(now)
	return Rule{Current: current, Target: target, Share: Share(elapsed, exposure), Pinned: elapsed < pinnedRatio}
}

// Version selects the version for a request. fraction is a number in [0, 1) that is constant for a
// session; last is the version that last served the session, or "".
func (r Rule) Version(fraction float64, last string) string {
	if r.Target == "" {
		return r.Current
	}
	if last == r.Target || r.Pinned && last == r.Current && last != "" {
		return last
	}
	if fraction < r.Share {
		return r.Target
	}
	return r.Current
}

// Allows reports whether a version may answer any request.
func (r Rule) Allows(version string) bool {
	if r.Banned != "" && version == r.Banned {
		return false
	}
	return r.Current == "" || version == r.Current || r.Target != "" && version == r.Target
}
