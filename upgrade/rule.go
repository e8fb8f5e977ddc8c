package upgrade

import "github.com/parsleydeal/parsleydeal/clock"

// Rule says which versions of a service may answer.
type Rule struct {
	// Current is the version in use; empty when any may answer.
	Current string
	// Target is the new version while a move runs; empty otherwise.
	Target string
	// Banned is a version that was rolled back; empty when none was.
	Banned string
	// Share is the part of the sessions that belong to the target.
	Share float64
	// Pinned is true while sessions keep the version that they had.
	Pinned bool
}

// RuleAt returns the rule of a running move at an instant.
func RuleAt(o Order, startedAt, now clock.Millis, current string, exposure float64) Rule {
	passed := float64(now-startedAt) / float64(max(o.Duration, 1))
	return Rule{Current: current, Target: o.Target, Share: Share(passed, exposure), Pinned: passed < firstPart}
}

// Version picks the version of a request. Fraction is its session's own number
// in [0, 1), and kept the version that the session ran on lately, or "".
func (r Rule) Version(fraction float64, kept string) string {
	if r.Target == "" {
		return r.Current
	}
	if kept == r.Target || r.Pinned && kept == r.Current && kept != "" {
		return kept
	}
	if fraction < r.Share {
		return r.Target
	}
	return r.Current
}

// Allows reports whether a version may answer at all.
func (r Rule) Allows(version string) bool {
	if r.Banned != "" && version == r.Banned {
		return false
	}
	return r.Current == "" || version == r.Current || r.Target != "" && version == r.Target
}
