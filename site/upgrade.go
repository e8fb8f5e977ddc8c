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
	// turn is how long each entry waits for those before it to write a verdict,
	// so that as a rule one entry makes the call.
	turn = 1500 * clock.Millis(1)
	// again is the pause before an append that failed is tried once more.
	again = clock.Second
	// reachable is for how long the store may fail an entry that is still expected
	// to call it.
	reachable = clock.Second
	// peerLive is how long an entry is not heard before others do its part. Each
	// tells once a second. When both readers freeze, the others must know within
	// the 2 s in which a configuration is to be in force.
	peerLive = 1500 * clock.Millis(1)
)

// duty is a verdict that is due on the status stream.
type duty struct {
	verdict Verdict
	// dueAt is when this entry may write it.
	dueAt clock.Millis
}

// ordered begins an upgrade. An order found on the first read may be an old one
// whose verdict stands on the status stream already.
func (s *State) ordered(o upgrade.Order, first bool) (effects []Effect) {
	if u := s.upgrades[o.Service]; u != nil && u.Order().Number >= o.Number {
		return nil
	}
	u := upgrade.New(o, s.now)
	s.upgrades[o.Service] = u
	if v, ok := s.verdicts[o.Service]; ok && first && v.Target == o.Target {
		u.Set(v.Phase, "agreed before")
	}
	if u.Phase() == upgrade.Running {
		s.settleVersion(o.Service)
		s.due(Verdict{Service: o.Service, Target: o.Target, Phase: upgrade.Running})
	}
	return []Effect{LogLine{Message: "Upgrade ordered", Fields: []any{
		"service", o.Service, "target", o.Target, "span", o.Duration, "number", o.Number, "current", s.current[o.Service], "phase", u.Phase(),
	}}}
}

// due puts a verdict on the list of duties, at this entry's turn.
func (s *State) due(v Verdict) {
	s.duties[v.Service] = duty{verdict: v, dueAt: s.now + clock.Millis(s.rank())*turn}
}

// rank is the number of entries that come before this one in what one entry does
// for all. Those registered count for a while before they are heard: of entries that
// start together each would else do for all what one is to do, until it has heard the
// others.
func (s *State) rank() (rank int) {
	rank = slices.Index(s.acting(), s.self.Name)
	if s.now-s.entriesAt >= peerLive {
		return rank
	}
	for name := range s.addresses {
		if name < s.self.Name && s.peers[name] == nil {
			rank++
		}
	}
	return rank
}

// able reports whether another entry can do for all what one entry does.
func (s *State) able(p *peer) bool {
	return s.now-p.heardAt < peerLive && !p.report.GetLeaving() && clock.Millis(p.report.GetStoreAgeMillis()) < reachable
}

// order is the order of the entries that can act for all, as of an instant.
type order struct {
	at    clock.Millis
	names []string
}

// orderFor is how long an order holds unless an entry is heard to have changed: entries
// that fall silent are noticed that much later.
const orderFor = 100 * clock.Millis(1)

// acting returns the entries that can act for all, this one among them, in the order in
// which they do: the first of each zone by name, then the second of each. A zone that is
// lost with all its entries takes one reader of the store and one judge of upgrades with
// it, and the others go on.
func (s *State) acting() []string {
	if s.order.names != nil && s.now-s.order.at < orderFor {
		return s.order.names
	}
	zones := map[string][]string{s.self.Zone: {s.self.Name}}
	for name, p := range s.peers {
		if s.able(p) {
			zone := cmp.Or(p.report.GetZone(), s.self.Zone)
			zones[zone] = append(zones[zone], name)
		}
	}
	s.order = order{at: s.now, names: inTurn(zones)}
	return s.order.names
}

// inTurn lists the names of all zones, one of each zone in turn.
func inTurn(zones map[string][]string) (names []string) {
	most := 0
	for _, all := range zones {
		slices.Sort(all)
		most = max(most, len(all))
	}
	byName := slices.Sorted(maps.Keys(zones))
	for i := range most {
		for _, zone := range byName {
			if i < len(zones[zone]) {
				names = append(names, zones[zone][i])
			}
		}
	}
	return names
}

func (s *State) verdictsRead(e VerdictsRead) (effects []Effect) {
	s.known[StatusStream] = true
	s.statusEnd = e.Next
	for _, v := range e.Verdicts {
		s.verdicts[v.Service] = v
		effects = append(effects, s.agreed(v, "agreed")...)
	}
	effects = append(effects, s.settleVersions()...)
	return append(effects, Publish{})
}

// agreed takes a verdict that stands for all entries.
func (s *State) agreed(v Verdict, reason string) (effects []Effect) {
	if d, ok := s.duties[v.Service]; ok && (d.verdict == v || v.Phase != upgrade.Running && d.verdict.Target == v.Target) {
		delete(s.duties, v.Service)
	}
	u := s.upgrades[v.Service]
	if u == nil || u.Order().Target != v.Target || !u.Set(v.Phase, reason) {
		return nil
	}
	return s.ended(u)
}

// ended carries out the end of an upgrade.
func (s *State) ended(u *upgrade.Upgrade) (effects []Effect) {
	o := u.Order()
	if u.Phase() == upgrade.Completed {
		s.current[o.Service] = o.Target
	}
	delete(s.kept, o.Service)
	t := u.Total()
	return []Effect{LogLine{Message: "Upgrade ended", Fields: []any{
		"service", o.Service, "target", o.Target, "phase", u.Phase(), "reason", u.Reason(), "age", u.Age(s.now),
		"ended", t.Ended, "bad", t.Bad, "timed", t.Timed, "slow", t.Slow,
	}}, Publish{}}
}

// heardUpgrade takes what another entry knows of an upgrade: its beginning, its
// end and the outcomes that it counted.
func (s *State) heardUpgrade(process string, r *wire.UpgradeReport) (effects []Effect) {
	u := s.upgrades[r.GetService()]
	if u == nil || u.Order().Number != r.GetNumber() {
		return nil
	}
	effects = s.heardAgreed(u, r)
	if u.Phase() != upgrade.Running {
		return effects
	}
	u.AdjustStart(s.now - clock.Millis(r.GetAgeMillis()))
	counts := make(upgrade.Counts, len(r.GetCounts()))
	for _, c := range r.GetCounts() {
		count := upgrade.Count{Ended: c.GetEnded(), Bad: c.GetBad(), Timed: c.GetTimed()}
		copy(count.Slow[:], c.GetSlow())
		counts[upgrade.Key{Route: c.GetRoute(), Target: c.GetTarget(), Delay: c.GetDelay()}] = count
	}
	u.AddCounts(process, counts)
	if p := upgrade.Phase(r.GetPhase()); u.Set(p, "heard: "+r.GetReason()) {
		s.due(Verdict{Service: r.GetService(), Target: u.Order().Target, Phase: p})
		return append(effects, s.ended(u)...)
	}
	return append(effects, s.judge(u)...)
}

// heardAgreed takes another entry's word that a verdict stands on the status stream, so
// that not every entry reads that for itself.
func (s *State) heardAgreed(u *upgrade.Upgrade, r *wire.UpgradeReport) (effects []Effect) {
	v := Verdict{Service: r.GetService(), Target: u.Order().Target, Phase: upgrade.Phase(r.GetPhase())}
	if !r.GetAgreed() || s.verdicts[v.Service] == v || v.Phase == upgrade.Running && u.Phase() != upgrade.Running {
		return nil
	}
	s.verdicts[v.Service] = v
	return append(s.agreed(v, "agreed, as heard"), Publish{})
}

func (s *State) counted(e TrafficCounts) (effects []Effect) {
	s.counts, s.running, s.kept = e.Counts, e.Running, e.KeptSessions
	for service, counts := range e.Counts {
		u := s.upgrades[service]
		if u == nil || u.Phase() != upgrade.Running {
			continue
		}
		u.AddCounts(s.self.Process, counts)
		effects = append(effects, s.judge(u)...)
	}
	return effects
}

// judges is how many entries judge upgrades. Only these hear what the others counted,
// which spares most of the reports between zones.
const judges = 3

// judge ends an upgrade when it is time, tells all others at once and makes the
// verdict due. An entry that does not hear what others run must not take the old
// version for idle.
func (s *State) judge(u *upgrade.Upgrade) (effects []Effect) {
	if s.rank() >= judges || !u.Judge(s.now, s.old(u.Order())) {
		return nil
	}
	s.due(Verdict{Service: u.Order().Service, Target: u.Order().Target, Phase: u.Phase()})
	return append(s.ended(u), s.tell())
}

// old counts the requests that run on another version than the target, at all
// entries heard lately.
func (s *State) old(o upgrade.Order) (n int) {
	for version, running := range s.running[o.Service] {
		if version != o.Target {
			n += running
		}
	}
	for _, p := range s.peers {
		if s.now-p.heardAt > peerFresh {
			continue
		}
		for _, u := range p.upgrades {
			if u.GetService() == o.Service && u.GetNumber() == o.Number {
				n += int(u.GetOld())
			}
		}
	}
	return n
}

// tick lets time pass: upgrades end, duties fall due, the others are told.
func (s *State) tick() (effects []Effect) {
	for _, service := range slices.Sorted(maps.Keys(s.upgrades)) {
		if u := s.upgrades[service]; u.Phase() == upgrade.Running && s.started() {
			effects = append(effects, s.judge(u)...)
		}
	}
	for service, d := range s.duties {
		if s.now < d.dueAt || s.statusEnd < 0 || s.rank() >= judges {
			continue
		}
		d.dueAt = s.now + again
		s.duties[service] = d
		effects = append(effects, Write{Verdict: d.verdict, At: s.statusEnd})
	}
	effects = append(effects, s.dropLapsed()...)
	if acts := s.rank() < judges; acts != s.acts {
		// The view says whether this entry reads the status stream for its duties.
		s.acts = acts
		effects = append(effects, Publish{})
	}
	if reads := s.reader(); reads != s.reads {
		// No event tells that a reader has fallen silent. Unless the view is made
		// anew, this entry goes on waiting to hear from it.
		s.reads = reads
		effects = append(effects, LogLine{Message: "Reading of the store changed", Fields: []any{"reader", reads, "rank", s.rank()}}, Publish{})
	}
	if waits := s.leftToOthers(); waits != s.waits {
		s.waits = waits
		effects = append(effects, LogLine{Message: "Failing store is left to other entries", Fields: []any{"left", waits, "failing", s.failing}}, Publish{})
	}
	effects = append(effects, s.tellDue()...)
	if s.moving() && s.now-s.lastCounted >= countPace {
		s.lastCounted = s.now
		effects = append(effects, s.tellJudges()...)
	}
	return effects
}

// written takes the end of an append. One that lost to another entry's, or whose
// answer was lost, is judged by reading the stream, which goes on while a duty is
// left.
func (s *State) written(e WriteDone) (effects []Effect) {
	if e.Err == nil {
		s.statusEnd++
		s.verdicts[e.Verdict.Service] = e.Verdict
		if s.duties[e.Verdict.Service].verdict == e.Verdict {
			delete(s.duties, e.Verdict.Service)
		}
		return []Effect{LogLine{Message: "Verdict written", Fields: []any{"service", e.Verdict.Service, "target", e.Verdict.Target, "phase", e.Verdict.Phase}}, Publish{}}
	}
	if errorx.IsOfType(e.Err, ErrMoved) {
		return []Effect{Publish{}}
	}
	return []Effect{LogLine{Message: "Verdict could not be written", Fields: []any{"service", e.Verdict.Service, "phase", e.Verdict.Phase, "error", logbook.Text(e.Err)}, Warn: true}, Publish{}}
}

// settleVersions picks the version in use of services that have none, and of
// those whose version is gone.
func (s *State) settleVersions() (effects []Effect) {
	if !s.started() {
		return nil
	}
	for service := range s.fleet.Snapshot().Services() {
		effects = append(effects, s.settleVersion(service)...)
	}
	return effects
}

func (s *State) settleVersion(service string) (effects []Effect) {
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

// moving reports whether an upgrade is under way or its verdict still due.
func (s *State) moving() bool {
	for _, u := range s.upgrades {
		if u.Phase() == upgrade.Running {
			return true
		}
	}
	return len(s.duties) > 0
}
