package quarantine

import (
	"cmp"
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// reportRepeats is how often news is reported: reports may be lost. repeatInterval is the time between two
	// reports of it.
	reportRepeats  = 4
	repeatInterval = 200 * clock.Millis(1)
	// maxReportedCrashes and maxReportedBlocks limit a report, maxReportedNames the blocks that a crash in
	// it names.
	maxReportedCrashes = 32
	maxReportedBlocks  = 64
	maxReportedNames   = 16
	// maxSupporting is the number of crashes that support a verdict in the report of everything known.
	maxSupporting = crashesToQuarantine + 1
)

// Evidence is what an entry reports.
type Evidence struct {
	Crashes []ReportedCrash
	Blocks  []ReportedBlock
}

// ReportedCrash is a crash and the blocks that it names. Incarnation is a hash.
type ReportedCrash struct {
	Incarnation uint64
	Age         clock.Millis
	Names       []ReportedName
}

// ReportedName is a block that a crash names; a request with it was sent there BeganAge ago.
type ReportedName struct {
	Block    string
	BeganAge clock.Millis
}

// ReportedBlock is what is known of a block.
type ReportedBlock struct {
	Block string
	// Cleared is true if an answer with the block got beyond its beginning, ClearedAge ago.
	Cleared    bool
	ClearedAge clock.Millis
	// SeenAge is how long ago a request with the block arrived.
	SeenAge clock.Millis
}

// Empty reports whether there is nothing to report.
func (e Evidence) Empty() bool { return len(e.Crashes)+len(e.Blocks) == 0 }

// news is how often something must still be reported to other entries, and when it was last reported.
type news struct {
	left int
	at   clock.Millis
}

// isDue reports whether the news is to be reported now, in a report of the given scope.
func (n news) isDue(scope Scope, now clock.Millis) bool {
	return n.left == reportRepeats || n.left > 0 && !scope.News && now-n.at >= repeatInterval
}

// reported records that the news was reported.
func (n *news) reported(now clock.Millis) { n.left, n.at = max(n.left-1, 0), now }

// repeatCrash has a crash reported at once and some times more, repeatClearing that a block was
// cleared.
func (g *Register) repeatCrash(c *crash) {
	c.report.left = reportRepeats
	g.signal()
}

func (g *Register) repeatClearing(s *suspect) {
	s.clearing.left = reportRepeats
	g.signal()
}

// Repeats reports whether news has to be reported again.
func (g *Register) Repeats() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.crashes {
		if c.report.left > 0 {
			return true
		}
	}
	for _, s := range g.suspects {
		if s.clearing.left > 0 {
			return true
		}
	}
	return false
}

func (g *Register) signal() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// Urgent returns a channel that receives a value when a report should be sent at once.
func (g *Register) Urgent() <-chan struct{} { return g.urgent }

// Scope says which part of the evidence is reported.
type Scope struct {
	// Verdicts adds the crashes that support verdicts to what is news.
	Verdicts bool
	// Repeated leaves out blocks that only one crash names, which are most after an unrelated crash.
	Repeated bool
	// News leaves out what has been reported before.
	News bool
}

// Report returns what to report to other entries.
func (g *Register) Report(scope Scope, now clock.Millis) (e Evidence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.judge(now)
	var supporting map[uint64]bool
	if scope.Verdicts {
		supporting = g.supporting()
	}
	for _, incarnation := range slices.Backward(g.inOrder()) {
		c := g.crashes[incarnation]
		if len(e.Crashes) == maxReportedCrashes || !c.report.isDue(scope, now) && !supporting[incarnation] {
			continue
		}
		isNews := c.report.left == reportRepeats
		c.report.reported(now)
		names := g.reportedNames(c, scope, isNews && !supporting[incarnation], now)
		clear(c.fresh)
		if len(names) > 0 {
			e.Crashes = append(e.Crashes, ReportedCrash{incarnation, now - c.at, names})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(g.suspects)) {
		s := g.suspects[key]
		if len(e.Blocks) == maxReportedBlocks || !s.clearing.isDue(scope, now) && !(scope.Verdicts && g.isGuilty(key)) {
			continue
		}
		s.clearing.reported(now)
		e.Blocks = append(e.Blocks, ReportedBlock{Block: key, Cleared: now-s.clearedAt < clearTTL, ClearedAge: now - s.clearedAt, SeenAge: now - s.seenAt})
	}
	return e
}

func (g *Register) isGuilty(key string) bool {
	_, ok := g.guilty[key]
	return ok
}

// supporting returns the last independent crashes that name each guilty block. An entry that knows
// them finds the block guilty as well.
func (g *Register) supporting() map[uint64]bool {
	out := make(map[uint64]bool)
	for key := range g.guilty {
		var counted []uint64
		last := never
		for _, incarnation := range g.inOrder() {
			c := g.crashes[incarnation]
			if sent, ok := c.named[key]; ok && sent >= last {
				last = c.at
				counted = append(counted, incarnation)
			}
		}
		for _, incarnation := range counted[max(len(counted)-maxSupporting, 0):] {
			out[incarnation] = true
		}
	}
	return out
}

// inOrder returns the crashes in the order of their times.
func (g *Register) inOrder() []uint64 {
	return slices.SortedFunc(maps.Keys(g.crashes), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(g.crashes[a].at, g.crashes[b].at), cmp.Compare(a, b))
	})
}

// reportedNames returns the keys that a crash names, or those that it names since the last report, those first
// that the most crashes name.
func (g *Register) reportedNames(c *crash, scope Scope, onlyFresh bool, now clock.Millis) (names []ReportedName) {
	for _, key := range slices.SortedFunc(maps.Keys(c.named), func(a, b string) int {
		return cmp.Or(cmp.Compare(g.suspects[b].named, g.suspects[a].named), cmp.Compare(a, b))
	}) {
		if len(names) == maxReportedNames || scope.Repeated && g.suspects[key].named < 2 {
			break
		}
		if !onlyFresh || c.fresh[key] {
			names = append(names, ReportedName{key, now - c.named[key]})
		}
	}
	return names
}

// Receive applies another entry's report. An answer of this entry outweighs it. With spread set, news is
// reported further. acquitted holds the blocks that are no longer suspected, of those that several crashes
// named.
func (g *Register) Receive(e Evidence, spread bool, now clock.Millis) (acquitted []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	for _, x := range e.Blocks {
		told := g.suspects[x.Block] != nil && g.suspects[x.Block].named > 1
		if validBlock(x.Block) && x.SeenAge >= 0 && x.SeenAge < forgetAfter && g.receiveBlock(x, now) {
			changed = true
			if told {
				acquitted = append(acquitted, x.Block)
			}
			if spread {
				g.repeatClearing(g.suspects[x.Block])
			} else {
				// All others have heard it as well.
				g.suspects[x.Block].clearing.left = 0
			}
		}
	}
	for _, x := range e.Crashes {
		if x.Age >= 0 && x.Age < forgetAfter && g.receiveCrash(x, now) {
			changed = true
			if c := g.crashes[x.Incarnation]; spread && c != nil {
				g.repeatCrash(c)
			}
		}
	}
	if changed {
		g.stale = true
		g.notify()
	}
	return acquitted
}

func validBlock(key string) bool { return key != "" && len(key) <= maxKeyBytes }

// receiveBlock applies what another entry reports of a block, and reports whether that cleared it.
func (g *Register) receiveBlock(x ReportedBlock, now clock.Millis) (news bool) {
	clears := x.Cleared && x.ClearedAge >= 0 && x.ClearedAge < clearTTL
	s := g.suspects[x.Block]
	if s == nil && !clears {
		return false
	}
	s = g.suspectOf(x.Block, now-x.SeenAge)
	s.seenAt = max(s.seenAt, now-x.SeenAge)
	if !clears {
		return false
	}
	news = s.named > 0 || now-s.clearedAt >= clearTTL
	g.acquit(x.Block, now-x.ClearedAge)
	return news
}

// receiveCrash applies a reported crash, and reports whether it names other blocks than were known. The
// sender is told of blocks that are cleared.
func (g *Register) receiveCrash(x ReportedCrash, now clock.Millis) (news bool) {
	for _, name := range x.Names {
		if !validBlock(name.Block) || name.BeganAge < x.Age {
			continue
		}
		if !g.isCleared(name.Block, now) {
			news = g.accuse(name.Block, x.Incarnation, now-x.Age, now-name.BeganAge, now) || news
			continue
		}
		s := g.suspectOf(name.Block, now)
		if at, ok := g.cleared[name.Block]; ok {
			s.clearedAt = max(s.clearedAt, at)
		}
		if s.clearing.left == 0 {
			g.repeatClearing(s)
		}
	}
	g.noteCrowd(x.Incarnation)
	return news
}
