package site

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

const (
	// tellPace is the span between two reports to the entries that act for all,
	// countPace that between two reports to the judges of an upgrade of what was
	// counted.
	tellPace  = clock.Second
	countPace = 300 * clock.Millis(1)
	// allPace is the span between two reports to all, for each entry there is, and
	// allMost its bound, a third of the span after which an entry that is not heard
	// counts as gone. Told each second, the reports of some hundred entries are most of
	// what an entry sends.
	allPace = 100 * clock.Millis(1)
	allMost = 10 * clock.Second
	// startReports is how many reports in a row an entry that starts sends to all, once it
	// has read their addresses: one may be lost. Where many entries start at once, more of
	// them would be most of what goes between zones.
	startReports = 2
)

// tell makes the report to the other entries.
func (s *State) tell() Effect {
	s.lastTold, s.lastToldAll = s.now, s.now
	if s.known[EntryStream] {
		s.startReportsSent++
	}
	return SendReport{Report: s.asking()}
}

// asking is a report that asks readers how fresh their knowledge is.
func (s *State) asking() *wire.EntryReport {
	r := s.report()
	if !s.reader() {
		r.AskMillis = int64(s.now)
	}
	r.Upgrades = s.tellUpgrades(false)
	return r
}

// tellDue tells the others when it is time: all of them, or those that act for all.
func (s *State) tellDue() (effects []Effect) {
	switch {
	case s.now-s.lastTold < tellPace:
		return nil
	case s.tellsAll():
		return []Effect{s.tell()}
	}
	s.lastTold = s.now
	return s.tellFirst(s.asking())
}

// tellsAll reports whether a report goes to all: those of entries that act for all,
// that start or leave, and of any while an upgrade moves, in which all must know which
// sessions stay where; of the others now and then, so that they are known to live.
func (s *State) tellsAll() bool {
	if s.rank() < judges || s.leaving || s.moving() || s.startReportsSent < startReports {
		return true
	}
	pace := min(clock.Millis(len(s.addresses))*allPace, allMost)
	return s.now-s.lastToldAll >= pace
}

// answerStart reports to an entry of the own zone that is heard for the first time. It may have
// started after this one's last report to all, and both tell each other of their work.
func (s *State) answerStart(r *wire.EntryReport) []Effect {
	if r.GetZone() == "" || r.GetZone() != s.self.Zone || r.GetAddress() == "" {
		return nil
	}
	return []Effect{SendReport{Report: s.asking(), To: r.GetAddress()}}
}

// tellFirst sends a report to the entries that act for all.
func (s *State) tellFirst(r *wire.EntryReport) (effects []Effect) {
	for i, name := range s.acting() {
		if i >= judges {
			break
		}
		if name != s.self.Name {
			effects = append(effects, SendReport{Report: r, To: s.addresses[name]})
		}
	}
	return effects
}

// tellJudges reports what was counted to the entries that judge.
func (s *State) tellJudges() []Effect {
	r := s.report()
	r.Upgrades = s.tellUpgrades(true)
	return s.tellFirst(r)
}

func (s *State) tellUpgrades(counts bool) (out []*wire.UpgradeReport) {
	for service, u := range s.upgrades {
		if u.Age(s.now) <= u.Order().Duration+upgradeTold {
			out = append(out, s.tellUpgrade(service, u, counts))
		}
	}
	return out
}

// upgradeTold is how long after its span an upgrade's end is told to others.
const upgradeTold = 10 * clock.Second

func (s *State) tellUpgrade(service string, u *upgrade.Upgrade, counts bool) *wire.UpgradeReport {
	o := u.Order()
	r := &wire.UpgradeReport{
		Service: service, Target: o.Target, Number: o.Number, AgeMillis: int64(u.Age(s.now)), Phase: int32(u.Phase()), Reason: u.Reason(), Kept: s.kept[service],
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
	return r
}
