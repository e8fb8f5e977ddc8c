package evidence

import (
	"cmp"
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Bounds of what is kept.
const (
	// maxOwn bounds the keys this process counts itself; the key that changed
	// least recently falls out, and its evidence of the past is no longer told.
	maxOwn = 2048
	// maxCounts bounds the counts kept of all other processes together; the
	// process that was heard least recently falls out whole.
	maxCounts = 100_000
	// maxDropped bounds the remembered processes that fell out; the oldest is
	// forgotten first.
	maxDropped = 8192
)

// What a report to others holds.
const (
	// reportEvery is the span between two new reports.
	reportEvery = clock.Second
	// reportSpan is how long a change is told again, so that one lost report
	// delays nothing.
	reportSpan = 10 * clock.Second
	// reportMost bounds the counts of one report.
	reportMost = 128
	// reportOld is how many unchanged counts a report repeats in turn, so that
	// any loss is made good in the end.
	reportOld = 8
)

// Delta is evidence that this process had not yet taken in.
type Delta struct {
	Key   Key
	Stats Stats
}

// source is one life of one process.
type source struct {
	vm    string
	epoch uint64
}

type ownCount struct {
	tally     Stats
	changedAt clock.Millis
}

type sourceCounts struct {
	tallies map[Key]Stats
	// heard orders sources by their last new evidence.
	heard uint64
}

// State reduces what this process sees and what others report.
type State struct {
	self source
	now  clock.Millis
	// own holds at most maxOwn keys.
	own map[Key]ownCount
	// others never holds this process's own source; its tallies number at most
	// maxCounts in all.
	others map[source]*sourceCounts
	counts int
	clock  uint64
	// dropped holds sources that fell out. Their reports are ignored: taken in
	// as new they would count a second time.
	dropped     map[source]bool
	dropOrder   []source
	report      []*wire.Count
	reportedAt  clock.Millis
	reportStart int
}

// NewState returns the empty state of one life of a process.
func NewState(vm string, epoch uint64) State {
	return State{
		self:    source{vm: vm, epoch: epoch},
		own:     make(map[Key]ownCount),
		others:  make(map[source]*sourceCounts),
		dropped: make(map[source]bool),
	}
}

// Reduce takes one event in and returns the evidence that is new. Changed tells
// that the report to others is a new one.
func (s *State) Reduce(e event.Event) (deltas []Delta, changed bool) {
	switch e := e.(type) {
	case event.Tick:
		s.now = e.Now
		return nil, s.renew()
	case event.Begun:
		return s.see(Key{e.Route, e.Version, e.Organisation}, Stats{Started: 1}), false
	case event.Observed:
		return s.see(Key{e.Route, e.Version, e.Organisation}, observed(e)), false
	case event.Rated:
		return s.see(Key{e.Route, e.Version, e.Organisation}, Stats{Ratings: 1, RatingSum: e.Score}), false
	case event.Judged:
		return s.see(Key{e.Route, e.Version, e.Organisation}, judged(e)), false
	case event.DigestReceived:
		for _, c := range e.Digest.GetCounts() {
			if d, ok := s.Merge(c); ok {
				deltas = append(deltas, d)
			}
		}
	}
	return deltas, false
}

func observed(e event.Observed) Stats {
	if e.Failed {
		return Stats{Errors: 1}
	}
	t := Stats{Good: 1}
	if e.Slow {
		t.Slow = 1
	}
	return t
}

func judged(e event.Judged) Stats {
	t := Stats{Judged: 1, Ratings: 1, RatingSum: e.Score}
	if e.Passed {
		t.Passed = 1
		t.PassedSum = e.Score
	}
	return t
}

func (s *State) see(k Key, t Stats) []Delta {
	if !t.sane() || k.Version == "" {
		return nil
	}
	if _, known := s.own[k]; !known && len(s.own) >= maxOwn {
		s.forgetOwn()
	}
	s.own[k] = ownCount{tally: s.own[k].tally.Plus(t), changedAt: s.now}
	return []Delta{{Key: k, Stats: t}}
}

func (s *State) forgetOwn() {
	oldest := s.sorted()[0]
	delete(s.own, oldest)
}

// Merge takes a count of another process in. Ok is false when it tells nothing
// new: it was repeated, came late, is this process's own come back, or is no
// possible count.
func (s *State) Merge(c *wire.Count) (d Delta, ok bool) {
	k, t := fromWire(c)
	src := source{vm: c.GetVm(), epoch: c.GetEpoch()}
	if src == s.self || s.dropped[src] || !t.sane() || k.Version == "" {
		return d, false
	}
	from := s.others[src]
	if from == nil {
		from = &sourceCounts{tallies: make(map[Key]Stats)}
		s.others[src] = from
	}
	old, known := from.tallies[k]
	d = Delta{Key: k, Stats: t.since(old)}
	if d.Stats == (Stats{}) {
		return d, false
	}
	from.tallies[k] = old.Plus(d.Stats)
	s.clock++
	from.heard = s.clock
	if !known {
		s.counts++
		s.bound()
	}
	return d, true
}

func (s *State) bound() {
	for s.counts > maxCounts && len(s.others) > 1 {
		s.drop(s.quietest())
	}
}

func (s *State) quietest() (out source) {
	least := ^uint64(0)
	for src, c := range s.others {
		if c.heard < least {
			least = c.heard
			out = src
		}
	}
	return out
}

func (s *State) drop(src source) {
	s.counts -= len(s.others[src].tallies)
	delete(s.others, src)
	s.dropped[src] = true
	s.dropOrder = append(s.dropOrder, src)
	if len(s.dropOrder) > maxDropped {
		delete(s.dropped, s.dropOrder[0])
		s.dropOrder = s.dropOrder[1:]
	}
}

// Report returns what this process tells others. It is replaced, never changed.
func (s *State) Report() []*wire.Count { return s.report }

// renew makes a new report when it is time: the counts that changed within
// reportSpan, newest first, and a few others in turn. Which counts are told
// depends on when work ended, never on how it ended, or errors would be heard
// before the good answers beside them.
func (s *State) renew() (changed bool) {
	if s.now-s.reportedAt < reportEvery || len(s.own) == 0 {
		return false
	}
	s.reportedAt = s.now
	keys := s.sorted()
	var report []*wire.Count
	for _, k := range slices.Backward(keys) {
		c := s.own[k]
		if s.now-c.changedAt > reportSpan || len(report) == reportMost {
			break
		}
		report = append(report, toWire(s.self.vm, s.self.epoch, k, c.tally))
	}
	for range min(reportOld, len(keys)) {
		s.reportStart = (s.reportStart + 1) % len(keys)
		k := keys[s.reportStart]
		report = append(report, toWire(s.self.vm, s.self.epoch, k, s.own[k].tally))
	}
	s.report = report
	return true
}

// sorted returns the own keys, the least recently changed first.
func (s *State) sorted() (keys []Key) {
	for k := range s.own {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(
			cmp.Compare(s.own[a].changedAt, s.own[b].changedAt),
			strings.Compare(a.Version, b.Version),
			strings.Compare(a.Route, b.Route),
			strings.Compare(a.Organisation, b.Organisation),
		)
	})
	return keys
}

// Totals sums, by key, what this process saw and what others told it.
func (s *State) Totals() map[Key]Stats {
	sums := make(map[Key]Stats)
	for k, c := range s.own {
		sums[k] = sums[k].Plus(c.tally)
	}
	for _, o := range s.others {
		for k, t := range o.tallies {
			sums[k] = sums[k].Plus(t)
		}
	}
	return sums
}
