package evidence

import (
	"cmp"
	"slices"
	"strings"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Bounds on memory.
const (
	// maxLocalKeys bounds the keys of this process's own counts. At the bound, the key that
	// changed least recently is evicted, and its counts are no longer reported.
	maxLocalKeys = 2048
	// maxPeerKeys bounds the keys stored for all other processes together. At the bound, all
	// counts of the process that has sent no new evidence for longest are evicted.
	maxPeerKeys = 100_000
	// maxEvicted bounds the list of evicted processes; at the bound, the oldest one is removed.
	maxEvicted = 8192
)

// Contents of a report to peers.
const (
	// reportInterval is the time between two new reports.
	reportInterval = clock.Second
	// reportWindow is how long after a change the reports include it, so that the loss of one
	// report delays nothing.
	reportWindow = 10 * clock.Second
	// maxReportChanged bounds the changed counts in one report.
	maxReportChanged = 128
	// reportUnchanged is the number of unchanged counts that each report includes in rotation, so
	// that every count arrives eventually even if many reports are lost.
	reportUnchanged = 8
)

// Delta is the part of one key's counts that is new to this process and was not yet in its sums.
type Delta struct {
	Key   Key
	Stats Stats
}

// source is one incarnation of a process.
type source struct {
	vm    string
	epoch uint64
}

type localStats struct {
	stats     Stats
	changedAt clock.Millis
}

type sourceStats struct {
	stats map[Key]Stats
	// lastSequence is the sequence number at which the source last sent new evidence. The source
	// with the lowest one is evicted first.
	lastSequence uint64
}

// State is the reducer of this process's own counts and of those that peers report.
type State struct {
	self source
	now  clock.Millis
	// local holds this process's own counts, with at most maxLocalKeys keys.
	local map[Key]localStats
	// peers holds the counts of all other sources, with at most maxPeerKeys keys in total. It
	// never contains this process's current incarnation.
	peers    map[source]*sourceStats
	peerKeys int
	sequence uint64
	// evicted holds the sources whose counts were evicted. Their reports are ignored, since counts
	// that were already added to the sums would be added again.
	evicted       map[source]bool
	evictionOrder []source
	report        []*wire.Count
	reportedAt    clock.Millis
	repeatIndex   int
}

// NewState returns an empty state for one incarnation of a process.
func NewState(vm string, epoch uint64) State {
	return State{
		self:    source{vm: vm, epoch: epoch},
		local:   make(map[Key]localStats),
		peers:   make(map[source]*sourceStats),
		evicted: make(map[source]bool),
	}
}

// Reduce applies an event and returns the increases of counts that it brought. changed is true if
// Report returns a new report.
func (s *State) Reduce(e event.Event) (deltas []Delta, changed bool) {
	switch e := e.(type) {
	case event.Tick:
		s.now = e.Now
		return nil, s.refreshReport()
	case event.AnswerStarted:
		return s.record(Key{e.Route, e.Version, e.Organisation}, Stats{Started: 1}), false
	case event.AttemptEnded:
		return s.record(Key{e.Route, e.Version, e.Organisation}, attemptStats(e)), false
	case event.Rated:
		return s.record(Key{e.Route, e.Version, e.Organisation}, Stats{Ratings: 1, RatingSum: e.Score}), false
	case event.CascadeRated:
		return s.record(Key{e.Route, e.Version, e.Organisation}, cascadeStats(e)), false
	case event.DigestReceived:
		for _, c := range e.Digest.GetCounts() {
			if d, ok := s.Merge(c); ok {
				deltas = append(deltas, d)
			}
		}
	}
	return deltas, false
}

func attemptStats(e event.AttemptEnded) Stats {
	if e.Failed {
		return Stats{Errors: 1}
	}
	stats := Stats{Good: 1}
	if e.Slow {
		stats.Slow = 1
	}
	return stats
}

func cascadeStats(e event.CascadeRated) Stats {
	stats := Stats{Judged: 1, Ratings: 1, RatingSum: e.Score}
	if e.Passed {
		stats.Passed = 1
		stats.PassedSum = e.Score
	}
	return stats
}

func (s *State) record(k Key, stats Stats) []Delta {
	if !stats.valid() || k.Version == "" {
		return nil
	}
	if _, known := s.local[k]; !known && len(s.local) >= maxLocalKeys {
		s.evictLocal()
	}
	s.local[k] = localStats{stats: s.local[k].stats.Plus(stats), changedAt: s.now}
	return []Delta{{Key: k, Stats: stats}}
}

func (s *State) evictLocal() {
	oldest := s.localKeys()[0]
	delete(s.local, oldest)
}

// Merge applies a count from another process. ok is false if the count adds nothing because it is
// a repeat, outdated, invalid, or this process's own count sent back by a peer.
func (s *State) Merge(c *wire.Count) (d Delta, ok bool) {
	k, stats := fromWire(c)
	src := source{vm: c.GetVm(), epoch: c.GetEpoch()}
	if src == s.self || s.evicted[src] || !stats.valid() || k.Version == "" {
		return d, false
	}
	peer := s.peers[src]
	if peer == nil {
		peer = &sourceStats{stats: make(map[Key]Stats)}
		s.peers[src] = peer
	}
	old, known := peer.stats[k]
	d = Delta{Key: k, Stats: stats.since(old)}
	if d.Stats == (Stats{}) {
		return d, false
	}
	peer.stats[k] = old.Plus(d.Stats)
	s.sequence++
	peer.lastSequence = s.sequence
	if !known {
		s.peerKeys++
		s.enforceBound()
	}
	return d, true
}

func (s *State) enforceBound() {
	for s.peerKeys > maxPeerKeys && len(s.peers) > 1 {
		s.evict(s.leastRecent())
	}
}

func (s *State) leastRecent() (out source) {
	oldest := ^uint64(0)
	for src, p := range s.peers {
		if p.lastSequence < oldest {
			oldest = p.lastSequence
			out = src
		}
	}
	return out
}

func (s *State) evict(src source) {
	s.peerKeys -= len(s.peers[src].stats)
	delete(s.peers, src)
	s.evicted[src] = true
	s.evictionOrder = append(s.evictionOrder, src)
	if len(s.evictionOrder) > maxEvicted {
		delete(s.evicted, s.evictionOrder[0])
		s.evictionOrder = s.evictionOrder[1:]
	}
}

// Report returns the counts for peers. The slice and its elements are never modified; a new report
// replaces them.
func (s *State) Report() []*wire.Count { return s.report }

// refreshReport builds a new report if one is due. It contains the counts that changed within
// reportWindow, newest first, and a few others in rotation. The selection must not depend on
// whether requests failed: otherwise errors would arrive before the good answers of the same time.
func (s *State) refreshReport() (changed bool) {
	if s.now-s.reportedAt < reportInterval || len(s.local) == 0 {
		return false
	}
	s.reportedAt = s.now
	keys := s.localKeys()
	var report []*wire.Count
	for _, k := range slices.Backward(keys) {
		c := s.local[k]
		if s.now-c.changedAt > reportWindow || len(report) == maxReportChanged {
			break
		}
		report = append(report, toWire(s.self.vm, s.self.epoch, k, c.stats))
	}
	for range min(reportUnchanged, len(keys)) {
		s.repeatIndex = (s.repeatIndex + 1) % len(keys)
		k := keys[s.repeatIndex]
		report = append(report, toWire(s.self.vm, s.self.epoch, k, s.local[k].stats))
	}
	s.report = report
	return true
}

// localKeys returns the keys of the process's own counts, the least recently changed first.
func (s *State) localKeys() (keys []Key) {
	for k := range s.local {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(
			cmp.Compare(s.local[a].changedAt, s.local[b].changedAt),
			strings.Compare(a.Version, b.Version),
			strings.Compare(a.Route, b.Route),
			strings.Compare(a.Organisation, b.Organisation),
		)
	})
	return keys
}

// Totals sums, by key, the process's own counts and those reported by peers.
func (s *State) Totals() map[Key]Stats {
	sums := make(map[Key]Stats)
	for k, c := range s.local {
		sums[k] = sums[k].Plus(c.stats)
	}
	for _, p := range s.peers {
		for k, stats := range p.stats {
			sums[k] = sums[k].Plus(stats)
		}
	}
	return sums
}
