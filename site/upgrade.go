package site

import (
	"cmp"
	"maps"
	"slices"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

const (
	// verdictDelayPerRank, multiplied by an entry's rank, is how long the entry waits for the
	// delegates that precede it to write a verdict, so that usually only one entry calls the store.
	verdictDelayPerRank = 1500 * clock.Millis(1)
	// appendRetryDelay is the delay before a failed append is retried.
	appendRetryDelay = clock.Second
	// maxStoreAge is how long the calls of an entry to the store may fail before the entry no
	// longer counts as a delegate.
	maxStoreAge = clock.Second
	// peerTimeout is how long after its last report an entry is replaced as a delegate. Entries
	// report once a second. When both readers freeze, the others must notice within the 2 s in
	// which a configuration has to be in force.
	peerTimeout = 1500 * clock.Millis(1)
)

// pendingVerdict is a verdict to be written to the status stream.
type pendingVerdict struct {
	verdict Verdict
	// dueAt is when this entry may write the verdict.
	dueAt clock.Millis
}

// orderReceived starts an upgrade. An order found by the first read may be an old one whose
// verdict is already on the status stream, or one that other processes have started.
func (s *State) orderReceived(o upgrade.Order, first bool, starts map[string]OrderStart) (effects []Effect) {
	if u := s.upgrades[o.Service]; u != nil && u.Order().Number >= o.Number {
		return nil
	} else if u != nil && s.writtenAgain(u.Order(), o) {
		u.Renumber(o.Number)
		return []Effect{LogLine{Message: "Upgrade's order was written again", Fields: []any{"service", o.Service, "target", o.Target, "number", positionOf(o.Number).Offset, "era", positionOf(o.Number).Era, "phase", u.Phase()}}}
	}
	u := upgrade.New(o, s.now)
	start, resumed := starts[o.Service]
	if resumed = resumed && start.Number == o.Number; resumed {
		u = s.resume(o, start)
	}
	s.upgrades[o.Service] = u
	if v, ok := s.verdicts[o.Service]; ok && first && v.Target == o.Target {
		u.Set(v.Phase, "agreed before")
	}
	if u.Phase() == upgrade.Running {
		s.selectVersion(o.Service)
		s.scheduleVerdict(Verdict{Service: o.Service, Target: o.Target, Phase: upgrade.Running})
	}
	return []Effect{LogLine{Message: "Upgrade ordered", Fields: []any{
		"service", o.Service, "target", o.Target, "span", o.Duration, "resumed", resumed, "age", start.Age, "ends-in", u.Schedule().Span(), "number", positionOf(o.Number).Offset, "current", s.current[o.Service], "phase", u.Phase(),
	}}}
}

// reportsOrder reports whether another entry's report of an upgrade is about the given order.
func reportsOrder(r *wire.UpgradeReport, o upgrade.Order) bool {
	return sameOrderAt(Position{r.GetEra(), r.GetNumber()}, o)
}

// sameOrderAt reports whether an order has the given position. An era of 0 is unknown.
func sameOrderAt(p Position, o upgrade.Order) bool {
	at := positionOf(o.Number)
	return p.Offset == at.Offset && (p.Era == at.Era || p.Era == 0 || at.Era == 0)
}

// scheduleVerdict schedules a verdict to be written after the delay for this entry's rank.
func (s *State) scheduleVerdict(v Verdict) {
	s.pendingVerdicts[v.Service] = pendingVerdict{verdict: v, dueAt: s.now + clock.Millis(s.rank())*verdictDelayPerRank}
}

// rank returns the number of delegates before this entry. After this entry's start, registered
// entries count for a while even if no report from them has arrived: otherwise entries that start
// together would all take the first rank until they receive each other's reports.
func (s *State) rank() (rank int) {
	rank = slices.Index(s.delegates(), s.self.Name)
	if s.standby() {
		rank = max(rank, judgeCount)
	}
	if s.now-s.entriesReadAt >= peerTimeout {
		return rank
	}
	for name := range s.addresses {
		if name < s.self.Name && s.peers[name] == nil {
			rank++
		}
	}
	return rank
}

// standby reports whether this entry has just taken another one's state and leaves the tasks of
// delegates to others: the giver has its state from a reader, and reports from the entries that
// precede this one are still to come.
func (s *State) standby() bool { return s.now-s.tookStateAt < peerTimeout }

// eligible reports whether another entry can be a delegate.
func (s *State) eligible(p *peer) bool {
	return s.now-p.lastSeenAt < peerTimeout && !p.report.GetLeaving() && !p.report.GetStandby() && clock.Millis(p.report.GetStoreAgeMillis()) < maxStoreAge
}

// delegateOrder is the order of the delegates at a given time.
type delegateOrder struct {
	at    clock.Millis
	names []string
}

// delegateOrderTTL is how long the order of the delegates is cached unless a report changes it. An
// entry that stops sending reports is noticed later by up to that time.
const delegateOrderTTL = 100 * clock.Millis(1)

// delegates returns the entries that can act on behalf of all, including this one, in order of
// rank: the first of each zone by name, then the second of each zone. The loss of a whole zone
// thus takes away only one reader of the store and one judge of upgrades, and the others
// continue.
func (s *State) delegates() []string {
	if s.delegateOrder.names != nil && s.now-s.delegateOrder.at < delegateOrderTTL {
		return s.delegateOrder.names
	}
	zones, unserved := map[string][]string{s.self.Zone: {s.self.Name}}, 0
	for name, p := range s.peers {
		switch {
		case s.eligible(p):
			zone := cmp.Or(p.report.GetZone(), s.self.Zone)
			zones[zone] = append(zones[zone], name)
		case s.now-p.lastSeenAt < peerTimeout && p.report.GetStoreAgeMillis() > 0:
			unserved++
		}
	}
	if unserved > s.unserved {
		s.unservedRoseAt = s.now
	}
	s.unserved = unserved
	s.delegateOrder = delegateOrder{at: s.now, names: interleave(zones)}
	return s.delegateOrder.names
}

// interleave returns the names of all zones, taking one of each zone in turn.
func interleave(zones map[string][]string) (names []string) {
	longest := 0
	for _, members := range zones {
		slices.Sort(members)
		longest = max(longest, len(members))
	}
	byName := slices.Sorted(maps.Keys(zones))
	for i := range longest {
		for _, zone := range byName {
			if i < len(zones[zone]) {
				names = append(names, zones[zone][i])
			}
		}
	}
	return names
}

func (s *State) verdictsRead(e VerdictsRead) (effects []Effect) {
	if e.Next.Era < s.era && e.Next.Era > 0 {
		return nil // sent before the store came back
	}
	s.loaded[StatusStream] = true
	effects = s.enterEra(e.Next.Era)
	s.statusEnd = e.Next
	s.rewriteVerdicts(e)
	for _, v := range e.Verdicts {
		if e.Full && s.verdicts[v.Service] == v {
			// It was applied when it was new. An order since then may ask for the same version.
			if s.pendingVerdicts[v.Service].verdict == v {
				delete(s.pendingVerdicts, v.Service)
			}
			continue
		}
		s.verdicts[v.Service] = v
		effects = append(effects, s.applyVerdict(v, "agreed")...)
	}
	effects = append(effects, s.selectVersions()...)
	return append(effects, Publish{})
}

// applyVerdict applies a verdict that is in force for all entries.
func (s *State) applyVerdict(v Verdict, reason string) (effects []Effect) {
	if p, ok := s.pendingVerdicts[v.Service]; ok && (p.verdict == v || v.Phase != upgrade.Running && p.verdict.Target == v.Target) {
		delete(s.pendingVerdicts, v.Service)
	}
	u := s.upgrades[v.Service]
	if u == nil || u.Order().Target != v.Target || !u.Set(v.Phase, reason) {
		return nil
	}
	return s.upgradeEnded(u)
}

// upgradeEnded applies the end of an upgrade: the target of a completed one becomes current.
func (s *State) upgradeEnded(u *upgrade.Upgrade) (effects []Effect) {
	o := u.Order()
	if u.Phase() == upgrade.Completed {
		s.current[o.Service] = o.Target
	}
	delete(s.keptSessions, o.Service)
	t := u.Total()
	return []Effect{LogLine{Message: "Upgrade ended", Fields: []any{
		"service", o.Service, "target", o.Target, "phase", u.Phase(), "reason", u.Reason(), "age", u.Schedule().Age(s.now),
		"ended", t.Ended, "bad", t.Bad, "timed", t.Timed, "slow", t.Slow, "ungraded", u.Ungraded(), "reporters", u.Reporters(), "entries", s.entryCount(),
	}}, Publish{}}
}

// receiveUpgrade applies another entry's report of an upgrade: its start, its end and its counted
// outcomes.
func (s *State) receiveUpgrade(process string, r *wire.UpgradeReport) (effects []Effect) {
	u := s.upgrades[r.GetService()]
	if u == nil || !reportsOrder(r, u.Order()) {
		return nil
	}
	effects = s.receiveVerdict(u, r)
	if u.Phase() != upgrade.Running {
		return effects
	}
	u.AdjustSchedule(upgrade.NewSchedule(s.now-clock.Millis(r.GetAgeMillis()), cmp.Or(clock.Millis(r.GetSpanMillis()), u.Order().Duration)))
	counts := make(upgrade.Counts, len(r.GetCounts()))
	for _, c := range r.GetCounts() {
		count := upgrade.Count{Ended: c.GetEnded(), Bad: c.GetBad(), Timed: c.GetTimed()}
		copy(count.Slow[:], c.GetSlow())
		counts[upgrade.Key{Route: c.GetRoute(), Target: c.GetTarget(), Delay: c.GetDelay()}] = count
	}
	u.AddCounts(process, counts)
	s.addLatencies(u, process, latenciesFromWire(r.GetLatencies()))
	if p := upgrade.Phase(r.GetPhase()); u.Set(p, "heard: "+r.GetReason()) {
		s.scheduleVerdict(Verdict{Service: r.GetService(), Target: u.Order().Target, Phase: p})
		return append(effects, s.upgradeEnded(u)...)
	}
	return append(effects, s.judge(u)...)
}

// receiveVerdict applies another entry's report that a verdict is on the status stream, so that
// not every entry has to read it.
func (s *State) receiveVerdict(u *upgrade.Upgrade, r *wire.UpgradeReport) (effects []Effect) {
	v := Verdict{Service: r.GetService(), Target: u.Order().Target, Phase: upgrade.Phase(r.GetPhase())}
	if !r.GetAgreed() || s.verdicts[v.Service] == v || v.Phase == upgrade.Running && u.Phase() != upgrade.Running {
		return nil
	}
	s.verdicts[v.Service] = v
	return append(s.applyVerdict(v, "agreed, as heard"), Publish{})
}

func (s *State) trafficCounts(e TrafficCounts) (effects []Effect) {
	for service, u := range s.upgrades {
		if e.Orders[service] < u.Order().Number {
			dropTarget(e.Counts[service], e.Latencies[service])
		}
	}
	s.counts, s.latencies, s.running = e.Counts, e.Latencies, e.Running
	effects = s.noteKept(e.KeptSessions)
	for service, counts := range e.Counts {
		u := s.upgrades[service]
		if u == nil || u.Phase() != upgrade.Running {
			continue
		}
		u.AddCounts(s.self.Process, counts)
		s.addLatencies(u, s.self.Process, e.Latencies[service])
		effects = append(effects, s.judge(u)...)
	}
	return effects
}

// dropTarget removes the counts of the new version. They are those of an earlier order, from which
// the version of this one must not be judged.
func dropTarget(counts upgrade.Counts, latencies upgrade.Latencies) {
	maps.DeleteFunc(counts, func(k upgrade.Key, _ upgrade.Count) bool { return k.Target })
	maps.DeleteFunc(latencies, func(b upgrade.LatencyBucket, _ int64) bool { return b.Target })
}

func (s *State) addLatencies(u *upgrade.Upgrade, process string, samples upgrade.Latencies) {
	u.AddLatencies(process, samples, upgrade.Share(u.Schedule().ElapsedRatio(s.now), s.self.Exposure))
}

// judgeCount is the number of delegates that judge upgrades. Only they receive the traffic counts
// of the other entries; sending these counts to all entries would multiply the reports between
// zones.
const judgeCount = 3

// judge ends an upgrade if its conditions are met. It then reports the end to the peers at once and
// schedules the write of the verdict to the store. An entry that does not receive the others'
// counts of running requests must not judge: it would assume that the old version is idle.
func (s *State) judge(u *upgrade.Upgrade) (effects []Effect) {
	u.SetEntries(s.entryCount())
	if s.rank() >= judgeCount || !u.Judge(s.now, s.oldRequests(u.Order())) {
		return nil
	}
	s.scheduleVerdict(Verdict{Service: u.Order().Service, Target: u.Order().Target, Phase: u.Phase()})
	return append(s.upgradeEnded(u), s.broadcast())
}

// oldRequests returns the number of requests running on another version than the target, at this
// entry and at all peers with a recent report.
func (s *State) oldRequests(o upgrade.Order) (n int) {
	for version, running := range s.running[o.Service] {
		if version != o.Target {
			n += running
		}
	}
	for _, p := range s.peers {
		if s.now-p.lastSeenAt > peerReportTTL {
			continue
		}
		for _, u := range p.upgrades {
			if u.GetService() == o.Service && reportsOrder(u, o) {
				n += int(u.GetOld())
			}
		}
	}
	return n
}

// tick handles everything that depends on time: the end of upgrades, pending verdicts, expired
// endpoints and periodic reports.
func (s *State) tick() (effects []Effect) {
	for _, service := range slices.Sorted(maps.Keys(s.upgrades)) {
		if u := s.upgrades[service]; u.Phase() == upgrade.Running && s.started() {
			effects = append(effects, s.judge(u)...)
		}
	}
	for service, p := range s.pendingVerdicts {
		if s.now < p.dueAt || s.statusEnd.Offset < 0 || s.rank() >= judgeCount {
			continue
		}
		p.dueAt = s.now + appendRetryDelay
		s.pendingVerdicts[service] = p
		effects = append(effects, Write{Verdict: p.verdict, At: s.statusEnd, Start: s.startToWrite(p.verdict)})
	}
	effects = append(effects, s.settled()...)
	effects = append(effects, s.logHeardCount()...)
	effects = append(effects, s.dropLapsed()...)
	effects = append(effects, s.endRetained()...)
	if isJudge := s.rank() < judgeCount; isJudge != s.wasJudge {
		// The view contains whether this entry reads the status stream to write verdicts.
		s.wasJudge = isJudge
		effects = append(effects, Publish{})
	}
	if isReader := s.reader(); isReader != s.wasReader {
		// No event reports that a reader went silent. Without a new view, this entry would keep
		// waiting for its updates.
		s.wasReader = isReader
		effects = append(effects, LogLine{Message: "Reading of the store changed", Fields: []any{"reader", isReader, "rank", s.rank()}}, Publish{})
	}
	if probed := s.probedByPeers(); probed != s.wasProbedByPeers {
		s.wasProbedByPeers = probed
		effects = append(effects, LogLine{Message: "Failing store is left to other entries", Fields: []any{"left", probed, "failing", s.failing}}, Publish{})
	}
	effects = append(effects, s.sendDueReports()...)
	if s.hasActiveUpgrade() && s.now-s.lastCountsAt >= countInterval {
		s.lastCountsAt = s.now
		effects = append(effects, s.sendCounts()...)
	}
	return effects
}

// writeDone handles the end of an append. If another entry's append came first, or the response
// was lost, the outcome is found by reading the stream, which continues while a verdict is
// pending.
func (s *State) writeDone(e WriteDone) (effects []Effect) {
	if e.Err == nil && e.Era != e.At.Era {
		// The end that was expected is that of another era: the record may stand after unknown ones.
		effects = append(s.enterEra(e.Era), LogLine{Message: "Verdict was written after the store came back", Fields: []any{"service", e.Verdict.Service, "phase", e.Verdict.Phase, "era", e.Era}})
		return append(effects, Publish{})
	}
	if e.Err == nil {
		// A read may have returned this record before the answer to the append.
		s.statusEnd = later(s.statusEnd, Position{e.At.Era, e.At.Offset + 1})
		s.verdicts[e.Verdict.Service] = e.Verdict
		if s.pendingVerdicts[e.Verdict.Service].verdict == e.Verdict {
			delete(s.pendingVerdicts, e.Verdict.Service)
		}
		return []Effect{LogLine{Message: "Verdict written", Fields: []any{"service", e.Verdict.Service, "target", e.Verdict.Target, "phase", e.Verdict.Phase}}, Publish{}}
	}
	if errorx.IsOfType(e.Err, ErrMoved) {
		return []Effect{LogLine{Message: "Verdict was not written: the stream has moved", Fields: []any{"service", e.Verdict.Service, "phase", e.Verdict.Phase, "offset", e.At.Offset}}, Publish{}}
	}
	return []Effect{LogLine{Message: "Verdict could not be written", Fields: []any{"service", e.Verdict.Service, "phase", e.Verdict.Phase, "error", logbook.Text(e.Err)}, Warn: true}, Publish{}}
}

// selectVersions selects the version in use of services that have none or whose version has no
// endpoints left.
func (s *State) selectVersions() (effects []Effect) {
	if !s.started() {
		return nil
	}
	for service := range s.fleet.Snapshot().Services() {
		effects = append(effects, s.selectVersion(service)...)
	}
	return effects
}

func (s *State) selectVersion(service string) (effects []Effect) {
	u := s.upgrades[service]
	counts := s.fleet.Snapshot().Versions(service)
	if counts[s.current[service]] > 0 && s.current[service] != "" {
		return nil
	}
	best := ""
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		unproven := u != nil && u.Phase() != upgrade.Completed && version == u.Order().Target
		if !unproven && (best == "" || counts[version] > counts[best]) {
			best = version
		}
	}
	if u != nil && u.Phase() == upgrade.Completed && counts[u.Order().Target] > 0 {
		best = u.Order().Target
	}
	if best == "" || best == s.current[service] {
		return nil
	}
	before := s.current[service]
	s.current[service] = best
	return []Effect{LogLine{Message: "Version is in use", Fields: []any{"service", service, "version", best, "before", before}}}
}

// hasActiveUpgrade reports whether an upgrade is in progress or its verdict still pending.
func (s *State) hasActiveUpgrade() bool {
	for _, u := range s.upgrades {
		if u.Phase() == upgrade.Running {
			return true
		}
	}
	return len(s.pendingVerdicts) > 0
}
