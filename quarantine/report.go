package quarantine

import (
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// reportRepeats is how often news of a block is reported: reports may be lost.
	reportRepeats = 4
	// maxReported limits the blocks in one report.
	maxReported = 64
)

// Evidence is what an entry reports of a block.
type Evidence struct {
	Block   string
	Crashes []ReportedCrash
	// Cleared is true if an answer with the block got beyond its beginning, ClearedAge ago.
	Cleared    bool
	ClearedAge clock.Millis
	// SeenAge is how long ago a request with the block arrived.
	SeenAge clock.Millis
}

// ReportedCrash is a crash that named a block. Incarnation is a hash; BeganAge is how long ago the
// attempt with the block began.
type ReportedCrash struct {
	Incarnation uint64
	Age         clock.Millis
	BeganAge    clock.Millis
}

// report has the suspect reported at once and some times more.
func (g *Register) report(s *suspect) {
	s.repeats = reportRepeats
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// Urgent returns a channel that receives a value when a report should be sent at once.
func (g *Register) Urgent() <-chan struct{} { return g.urgent }

// Report returns what to report to other entries: the news, or with all set everything that is known of
// suspected blocks.
func (g *Register) Report(all bool, now clock.Millis) (out []Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(g.suspects)) {
		s := g.suspects[key]
		if len(out) == maxReported || s.repeats == 0 && !(all && len(s.crashes) > 0) {
			continue
		}
		s.repeats = max(s.repeats-1, 0)
		x := Evidence{Block: key, SeenAge: now - s.seenAt, Cleared: now-s.clearedAt < clearTTL, ClearedAge: now - s.clearedAt}
		for _, incarnation := range slices.Sorted(maps.Keys(s.crashes)) {
			c := s.crashes[incarnation]
			x.Crashes = append(x.Crashes, ReportedCrash{incarnation, now - c.at, now - c.began})
		}
		out = append(out, x)
	}
	return out
}

// Receive applies another entry's report. An answer of this entry outweighs it. With spread set, news is
// reported further. found holds the blocks that are quarantined from now on.
func (g *Register) Receive(all []Evidence, spread bool, now clock.Millis) (found []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	for _, x := range all {
		if len(x.Block) > maxKeyBytes || x.SeenAge < 0 || x.SeenAge > forgetAfter {
			continue
		}
		before := 0
		if s := g.suspects[x.Block]; s != nil {
			before = s.independent()
		}
		news := g.receive(x, now)
		changed = changed || news
		s := g.suspects[x.Block]
		if news && spread {
			g.report(s)
		}
		if s != nil && before < crashesToQuarantine && s.independent() >= crashesToQuarantine {
			found = append(found, x.Block)
		}
	}
	if changed {
		g.notify()
	}
	return found
}

// receive applies what another entry reports of a block, and reports whether it was news.
func (g *Register) receive(x Evidence, now clock.Millis) (news bool) {
	s := g.suspectOf(x.Block, now-x.SeenAge)
	s.seenAt = max(s.seenAt, now-x.SeenAge)
	if at, ok := g.cleared[x.Block]; ok && now-at < clearTTL {
		if len(x.Crashes) > 0 && s.repeats == 0 {
			s.clearedAt = at
			g.report(s)
		}
		return false
	}
	if x.Cleared && x.ClearedAge >= 0 && x.ClearedAge < clearTTL {
		news = now-s.clearedAt >= clearTTL || len(s.crashes) > 0
		s.clearedAt = max(s.clearedAt, now-x.ClearedAge)
		clear(s.crashes)
		return news
	}
	if now-s.clearedAt < clearTTL {
		if len(x.Crashes) > 0 && s.repeats == 0 {
			g.report(s)
		}
		return false
	}
	for _, c := range x.Crashes {
		if c.Age >= 0 && c.BeganAge >= c.Age && s.add(c.Incarnation, crash{now - c.Age, now - c.BeganAge}) {
			news = true
		}
	}
	return news
}
