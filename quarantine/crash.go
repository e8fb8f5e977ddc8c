package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/clock"
)

// crash is the crash of an endpoint.
type crash struct {
	at clock.Millis
	// named holds the blocks that may be the cause, with the time at which the last request with the
	// block was sent there.
	named map[string]clock.Millis
	// report is the report of the crash to other entries, and fresh holds what it names since the last one.
	report news
	fresh  map[string]bool
}

// accuse records that a crash names a block, and reports whether that is news.
func (g *Register) accuse(key string, incarnation uint64, at, sent, now clock.Millis) (news bool) {
	c := g.crashes[incarnation]
	g.noteEnd(incarnation, at)
	if c == nil && (g.crowded(at) || !g.makeRoom(at)) {
		return false
	}
	if c == nil {
		c = &crash{at: at, named: make(map[string]clock.Millis), fresh: make(map[string]bool)}
		g.crashes[incarnation] = c
	}
	if at < c.at {
		// Another entry noticed it first. A later attempt elsewhere must not seem to have begun before it.
		c.at, g.ends[incarnation], g.stale = at, at, true
	}
	if known, ok := c.named[key]; ok || len(c.named) >= maxNamed {
		if ok && sent < known {
			// All keys of a request keep the time of the same attempt, whoever reports them first.
			c.named[key], g.stale = sent, true
		}
		return false
	}
	s := g.suspectOf(key, now)
	c.named[key], c.fresh[key] = sent, true
	s.named++
	if s.named == 2 {
		g.repeatCrashesOf(key)
	}
	s.lastCrashAt = max(s.lastCrashAt, c.at)
	return true
}

// noteCrowd counts the requests that a crash names.
func (g *Register) noteCrowd(incarnation uint64) {
	c := g.crashes[incarnation]
	if c == nil {
		return
	}
	crowd := 0
	for key := range c.named {
		if isRequest(key) {
			crowd++
		}
	}
	for key := range c.named {
		g.suspects[key].crowd = crowd
	}
}

// repeatCrashesOf has the crashes that name a block reported again: it may have been left out so far.
func (g *Register) repeatCrashesOf(key string) {
	for _, c := range g.crashes {
		if _, ok := c.named[key]; ok {
			c.fresh[key] = true
			g.repeatCrash(c)
		}
	}
}

// crowded reports whether so many crashes are known around a time that further ones show nothing more:
// they have a common cause.
func (g *Register) crowded(at clock.Millis) bool {
	n := 0
	for _, c := range g.crashes {
		if max(c.at-at, at-c.at) < momentTime {
			n++
		}
	}
	return n >= maxMomentCrashes
}

// makeRoom drops the oldest crash if there are too many, and reports whether there is room for one at the
// given time. A crash is dropped for all blocks at once, so that it cannot go on naming a block when
// what explains it is forgotten.
func (g *Register) makeRoom(at clock.Millis) bool {
	if len(g.crashes) < maxCrashes {
		return true
	}
	oldest, found := uint64(0), false
	for incarnation, c := range g.crashes {
		if !found || c.at < g.crashes[oldest].at {
			oldest, found = incarnation, true
		}
	}
	if g.crashes[oldest].at > at {
		return false
	}
	for key := range g.crashes[oldest].named {
		g.suspects[key].named--
	}
	delete(g.crashes, oldest)
	return true
}

// verdict is what follows for a guilty block.
type verdict struct {
	// crashes is the number of crashes that name the block.
	crashes int
	// with holds the other blocks that all of these crashes name. Only requests that have them too are
	// refused: otherwise a sound block that always came with the one at fault would be kept out as
	// well.
	with []string
}

// noteEnd counts a crash, whether it names a block or not.
func (g *Register) noteEnd(incarnation uint64, at clock.Millis) {
	if _, known := g.ends[incarnation]; known {
		return
	}
	g.ends[incarnation] = at
	if len(g.ends) > maxEnds {
		delete(g.ends, oldestOf(g.ends))
	}
}

// oldestOf returns the incarnation that crashed first.
func oldestOf(ends map[uint64]clock.Millis) (oldest uint64) {
	first := clock.Millis(math.MaxInt64)
	for incarnation, at := range ends {
		if at < first {
			oldest, first = incarnation, at
		}
	}
	return oldest
}

// judge finds the guilty blocks, if anything has changed: as long as there is a block that enough
// independent crashes name, the one that the most crashes name is guilty, and these crashes are
// explained.
func (g *Register) judge(now clock.Millis) {
	if !g.stale || now-g.judgedAt < judgeInterval {
		return
	}
	before := g.guilty
	g.guilty, g.judgedAt, g.stale = make(map[string]verdict), now, false
	naming := make(map[string]map[uint64]moment)
	for incarnation, c := range g.crashes {
		for key, sent := range c.named {
			if naming[key] == nil {
				naming[key] = make(map[uint64]moment)
			}
			naming[key][incarnation] = moment{c.at, sent}
		}
	}
	explained := make(map[uint64]bool)
	for {
		maps.DeleteFunc(naming, func(key string, by map[uint64]moment) bool { return !g.enough(key, by, explained) })
		if len(naming) == 0 {
			return
		}
		key := mostNamed(naming)
		keys, undecided := []string{key}, []string(nil)
		if isRequest(key) {
			// Each may be the cause. It costs less to refuse a few than to lose another endpoint.
			keys, undecided = requestsNamed(len(naming[key]), naming)
		}
		for _, key := range keys {
			v := verdict{crashes: len(naming[key])}
			if !isRequest(key) {
				v.with = g.companions(key)
			}
			g.guilty[key] = v
			if old, known := before[key]; !known || !slices.Equal(old.with, v.with) {
				g.found = append(g.found, v.name(key))
			}
			for incarnation := range naming[key] {
				explained[incarnation] = true
			}
		}
		for _, key := range slices.Concat(keys, undecided) {
			delete(naming, key)
		}
		for _, by := range naming {
			maps.DeleteFunc(by, func(incarnation uint64, _ moment) bool { return explained[incarnation] })
		}
	}
}

// requestsNamed returns the requests that n crashes name, in order. Those that too many others are like, and those that are
// less likely than another one, are undecided.
func requestsNamed(n int, naming map[string]map[uint64]moment) (keys, undecided []string) {
	for _, key := range slices.Sorted(maps.Keys(naming)) {
		if !isRequest(key) || len(naming[key]) != n {
			continue
		}
		if alike := requestsLike(key, naming); len(alike) <= maxAlike && slices.Contains(alike, key) {
			keys = append(keys, key)
		} else {
			undecided = append(undecided, key)
		}
	}
	return keys, undecided
}

// requestsLike returns the requests that all crashes name that name the given one. An endpoint crashes at the same point of
// a request each time: of requests that only requestCrashes name, these are those under which the crashes came alike soon,
// if there are such.
func requestsLike(key string, naming map[string]map[uint64]moment) (alike []string) {
	var likelier []string
	for other, by := range naming {
		if !isRequest(other) || !namesAll(by, naming[key]) {
			continue
		}
		alike = append(alike, other)
		if cameAlikeSoon(by) {
			likelier = append(likelier, other)
		}
	}
	if len(naming[key]) == requestCrashes && len(likelier) > 0 {
		return likelier
	}
	return alike
}

// namesAll reports whether a key is named by all the given crashes.
func namesAll(by, crashes map[uint64]moment) bool {
	for incarnation := range crashes {
		if _, ok := by[incarnation]; !ok {
			return false
		}
	}
	return true
}

// cameAlikeSoon reports whether endpoints crashed about as soon after each attempt of a request.
func cameAlikeSoon(by map[uint64]moment) bool {
	shortest, longest := clock.Millis(math.MaxInt64), clock.Millis(0)
	for _, m := range by {
		shortest, longest = min(shortest, m.at-m.sent), max(longest, m.at-m.sent)
	}
	return longest <= alikeFactor*shortest+alikeSlack
}

// enough reports whether crashes that name a key are independent and enough of all that are not
// explained.
func (g *Register) enough(key string, by map[uint64]moment, explained map[uint64]bool) bool {
	first, last := clock.Millis(math.MaxInt64), never
	for _, m := range by {
		first, last = min(first, m.at), max(last, m.at)
	}
	// Copies of a request that are under way at once crash endpoints that do not have a common cause.
	copies := isRequest(key) && len(by) >= crashesToQuarantine && last-first >= momentTime/2
	if independent(by) < crashesFor(key) && !copies {
		return false
	}
	if isRequest(key) {
		first -= requestShareTime
	}
	others := 0
	for incarnation, at := range g.ends {
		if _, names := by[incarnation]; !names && !explained[incarnation] && at >= first && at <= last {
			others++
		}
	}
	return float64(len(by)) >= minShare*float64(len(by)+others)
}

// name returns the blocks that a request must have to be refused, for logs.
func (v verdict) name(key string) string {
	return strings.Join(append([]string{key}, v.with...), "+")
}

// companions returns the other blocks that all crashes name that name a block, in order.
func (g *Register) companions(key string) []string {
	var common map[string]clock.Millis
	for _, c := range g.crashes {
		if _, ok := c.named[key]; !ok {
			continue
		}
		if common == nil {
			common = maps.Clone(c.named)
			continue
		}
		maps.DeleteFunc(common, func(other string, _ clock.Millis) bool { _, ok := c.named[other]; return !ok })
	}
	delete(common, key)
	// Otherwise a block would be found only for the requests that were seen with it.
	maps.DeleteFunc(common, func(other string, _ clock.Millis) bool { return isRequest(other) })
	return slices.Sorted(maps.Keys(common))
}

// mostNamed returns the key that the most crashes name. Of several it returns a block that several requests brought
// rather than a request, a request rather than a block that only it brought, and then the first in order.
func mostNamed(naming map[string]map[uint64]moment) (most string) {
	n := 0
	var tied []string
	for key, by := range naming {
		if len(by) > n {
			n, tied = len(by), nil
		}
		if len(by) == n {
			tied = append(tied, key)
		}
	}
	order := func(key string) int {
		broughtBy := func(request string) bool { return isRequest(request) && maps.Equal(naming[request], naming[key]) }
		switch {
		case isRequest(key):
			return 1
		case slices.ContainsFunc(tied, broughtBy):
			return 2
		}
		return 0
	}
	return slices.MinFunc(tied, func(a, b string) int { return cmp.Or(cmp.Compare(order(a), order(b)), cmp.Compare(a, b)) })
}

// moment is when an endpoint crashed, and when a request was sent there.
type moment struct {
	at, sent clock.Millis
}

// independent counts crashes in the order of their times without those whose request was sent before the
// last one counted: a lost rack or zone takes many endpoints at once, whatever their requests.
func independent(by map[uint64]moment) (n int) {
	if len(by) < requestCrashes {
		return len(by)
	}
	last := never
	for _, m := range slices.SortedFunc(maps.Values(by), func(a, b moment) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sent, b.sent)) }) {
		if m.sent >= last {
			last = m.at
			n++
		}
	}
	return n
}

// refuses reports whether a request with the given blocks is refused because of one of them.
func (g *Register) refuses(key string, blocks []string) bool {
	v, ok := g.guilty[key]
	return ok && !slices.ContainsFunc(v.with, func(other string) bool { return !slices.Contains(blocks, other) })
}
