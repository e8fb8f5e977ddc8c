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
	// maxLocalKeys bounds the keys of this process's own counts. Beyond it the key that changed
	// least recently is evicted, and its past evidence is no longer reported.
	maxLocalKeys = 2048
	// maxPeerKeys bounds the keys stored for all other processes together. Beyond it all counts
	// of the process whose last new evidence is oldest are evicted.
	maxPeerKeys = 100_000
	// maxEvicted bounds the list of evicted processes; the oldest is removed first.
	maxEvicted = 8192
)

// Contents of a report to peers.
const (
	// reportInterval is the time between two new reports.
	reportInterval = clock.Second
	// reportWindow is how long a change is repeated, so that one lost report delays nothing.
	reportWindow = 10 * clock.Second
	// maxReportChanged bounds the changed counts in one report.
	maxReportChanged = 128
	// reportUnchanged is how many further counts each report repeats in rotation, so that the
	// loss of any number of reports is recovered eventually.
	reportUnchanged = 8
)

// Delta is evidence that this process had not yet counted.
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
	// lastSequence is the sequence number of the last new evidence.
	lastSequence uint64
}

// State reduces the process's own evidence and what peers report.
type State struct {
	self source
	now  clock.Millis
	// local holds at most maxLocalKeys keys.
	local map[Key]localStats
	// peers never contains this process's own incarnation; its keys number at most maxPeerKeys
	// in total.
	peers    map[source]*sourceStats
	peerKeys int
	sequence uint64
	// evicted holds sources whose counts were evicted. Their reports are ignored, since they
	// would be counted a second time as new ones.
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

// Reduce applies an event and returns the evidence that is new. Changed reports whether Report
// returns a new report.
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

// Merge applies a count from another process. Ok is false when it adds nothing: it is a repeat, is
// outdated, is this process's own count echoed by a peer, or is invalid.
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

// refreshReport builds a new report when it is due: the counts that changed within reportWindow,
// newest first, and a few others in rotation. The selection depends on when work ended, never on
// how it ended; otherwise errors would be received before the good answers beside them.
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
