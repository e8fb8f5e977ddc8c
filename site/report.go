package site

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

const (
	// reportInterval is the interval of reports to the first delegates, countInterval that of
	// traffic counts sent to the judges of an upgrade.
	reportInterval = clock.Second
	countInterval  = 300 * clock.Millis(1)
	// broadcastIntervalPerEntry is multiplied by the number of entries to get the interval of
	// broadcasts. maxBroadcastInterval limits it to a third of the time after which a silent entry
	// counts as gone. With a broadcast every second on a site of a hundred entries, reports were
	// most of the traffic that an entry sent.
	broadcastIntervalPerEntry = 100 * clock.Millis(1)
	maxBroadcastInterval      = 10 * clock.Second
	// startupBroadcasts is the number of consecutive broadcasts of an entry that has started and
	// read the addresses of the others: one may be lost. More of them would dominate the traffic
	// between zones when many entries start at once.
	startupBroadcasts = 2
)

// broadcast sends a report to all other entries.
func (s *State) broadcast() Effect {
	s.lastReportAt, s.lastBroadcastAt = s.now, s.now
	if s.loaded[EntryStream] {
		s.startupBroadcastsSent++
	}
	return SendReport{Report: s.newQuery()}
}

// newQuery returns a report that queries the readers for the age of their state, unless this entry reads the store
// itself and is answered.
func (s *State) newQuery() *wire.EntryReport {
	r := s.newReport()
	if !s.reader() || s.failing || s.overdueSince != never {
		r.AskMillis = int64(s.now)
	}
	r.Upgrades = s.upgradeReports(false)
	return r
}

// sendDueReports sends the periodic report, to all other entries or to the first delegates.
func (s *State) sendDueReports() (effects []Effect) {
	switch {
	case s.now-s.lastReportAt < reportInterval:
		return nil
	case s.broadcastDue():
		return []Effect{s.broadcast()}
	}
	s.lastReportAt = s.now
	return s.sendToJudges(s.newQuery())
}

// broadcastDue reports whether the next report goes to all entries. Judges and entries that are
// starting or leaving always broadcast, and so do all entries during an upgrade, when each of them
// needs to know which sessions the others keep on the old version. Otherwise an entry broadcasts
// at a longer interval to show that it is alive.
func (s *State) broadcastDue() bool {
	if s.rank() < judgeCount || s.leaving || s.hasActiveUpgrade() || s.startupBroadcastsSent < startupBroadcasts {
		return true
	}
	interval := min(clock.Millis(len(s.addresses))*broadcastIntervalPerEntry, maxBroadcastInterval)
	return s.now-s.lastBroadcastAt >= interval
}

// replyToNewEntry sends a report to another entry of the same zone when its first report has
// arrived. That entry may have started after this one's last broadcast, and it needs this entry's
// address: entries of a zone report their work to each other.
func (s *State) replyToNewEntry(r *wire.EntryReport) []Effect {
	if r.GetZone() == "" || r.GetZone() != s.self.Zone || r.GetAddress() == "" {
		return nil
	}
	return []Effect{SendReport{Report: s.newQuery(), To: r.GetAddress()}}
}

// sendToJudges sends a report to the first delegates, which include the readers.
func (s *State) sendToJudges(r *wire.EntryReport) (effects []Effect) {
	for i, name := range s.delegates() {
		if i >= judgeCount {
			break
		}
		if name != s.self.Name {
			effects = append(effects, SendReport{Report: r, To: s.addresses[name]})
		}
	}
	return effects
}

// delegateAddresses returns the addresses of the first delegates but this entry.
func (s *State) delegateAddresses() (out []EntryAddress) {
	for _, name := range s.delegates()[:min(judgeCount, len(s.delegates()))] {
		if p := s.peers[name]; p != nil {
			out = append(out, EntryAddress{Name: name, Address: s.addresses[name], Zone: p.report.GetZone()})
		}
	}
	return out
}

// ahead returns running entries whose last report names operators' records that this one misses.
func (s *State) ahead() (out []EntryAddress) {
	if !s.peerOperator.After(s.operator) && s.heardVersion <= s.configVersion() {
		return nil
	}
	for name, p := range s.peers {
		if s.now-p.lastSeenAt < peerTimeout && (operatorPosition(p.report).After(s.operator) || p.report.GetVersion() > s.configVersion()) {
			out = append(out, EntryAddress{Name: name, Address: s.addresses[name], Zone: p.report.GetZone()})
		}
	}
	return out
}

// sendCounts sends the traffic counts to the judges.
func (s *State) sendCounts() []Effect {
	r := s.newReport()
	s.latencyReports.begin(s.delegates()[:min(judgeCount, len(s.delegates()))], s.now)
	r.Upgrades = s.upgradeReports(true)
	return s.sendToJudges(r)
}

func (s *State) upgradeReports(counts bool) (out []*wire.UpgradeReport) {
	for service, u := range s.upgrades {
		if u.Schedule().Age(s.now) <= u.Order().Duration+upgradeReportTTL {
			out = append(out, s.newUpgradeReport(service, u, counts))
		}
	}
	return out
}

// upgradeReportTTL is how long an upgrade is still reported to other entries after its ordered
// duration has passed.
const upgradeReportTTL = 10 * clock.Second

func (s *State) newUpgradeReport(service string, u *upgrade.Upgrade, counts bool) *wire.UpgradeReport {
	o := u.Order()
	r := &wire.UpgradeReport{
		Service: service, Target: o.Target, Number: positionOf(o.Number).Offset, Era: positionOf(o.Number).Era, AgeMillis: int64(u.Schedule().Age(s.now)), SpanMillis: int64(u.Schedule().Span()), Phase: int32(u.Phase()), Reason: u.Reason(), Kept: s.keptSessions[service],
		Agreed: s.verdicts[service] == Verdict{Service: service, Target: o.Target, Phase: u.Phase()},
	}
	for version, n := range s.running[service] {
		if version != o.Target {
			r.Old += int32(n)
		}
	}
	if u.Phase() != upgrade.Running || !counts {
		return r
	}
	for k, c := range s.counts[service] {
		r.Counts = append(r.Counts, &wire.UpgradeCount{Route: k.Route, Target: k.Target, Delay: k.Delay, Ended: c.Ended, Bad: c.Bad, Timed: c.Timed, Slow: c.Slow[:]})
	}
	r.Latencies = latenciesToWire(s.latencyReports.changed(service, s.latencies[service]))
	return r
}
