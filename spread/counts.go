package spread

import (
	"slices"
	"strconv"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/platform"
	"github.com/parsleydeal/parsleydeal/table"
)

const (
	// tellEvery is the quickest pace at which an entry tells its evidence.
	tellEvery = clock.Second
	// judgeBytes bounds the bytes a second that a judge gets of all entries for
	// one model when they tell it themselves, relayBytes those that a relay gets
	// of its zone, foldedBytes those that a judge gets of the relays.
	judgeBytes  = 5 << 10
	relayBytes  = 3 << 10
	foldedBytes = 3 << 10
	// countsPerMessage bounds the counts of an entry's message, about
	// messageBytes long with its answer; foldedPerMessage and foldedMessage are
	// the same for a relay's.
	countsPerMessage = 6
	messageBytes     = 620
	foldedPerMessage = 24
	foldedMessage    = 1570
	// relayFrom is the number of entries from which on zones have relays.
	relayFrom = 64
	// relaySuffix tells a relay's folded counts from its own as an entry.
	relaySuffix = "/relay"
)

// Counts plans which evidence goes where and when. Counts are cumulative, so one
// that is lost, repeated or late does no harm.
//
// On a large site an entry tells the relay of its zone, one of the entries, which
// folds what it is told into sums of its own and tells the judges those.
type Counts struct {
	self  string
	epoch uint64
	own   teller
	// channels holds one channel a model, at most maxTold.
	channels map[string]*evidence.Channel
	// relay folds what other entries of the zone tell this one.
	relay  evidence.State
	folded teller
	// plans holds where each model's evidence goes among the members planned.
	plans   map[string]plan
	planned *membership.Members
	// relays holds the relay of the zone by model of the tables planned.
	relays        map[string]platform.VM
	plannedTables *table.Tables
}

// plan says where a model's evidence goes and how often.
type plan struct {
	judges []platform.VM
	// relay is empty when this process tells the judges itself.
	relay       platform.VM
	every       clock.Millis
	foldedEvery clock.Millis
}

// NewCounts returns the state of a process that has told nothing.
func NewCounts(self string, epoch uint64) Counts {
	return Counts{
		self: self, epoch: epoch, own: newTeller(self), channels: make(map[string]*evidence.Channel),
		relay: evidence.NewState(self+relaySuffix, epoch), folded: newTeller(self + relaySuffix),
	}
}

// Reduce plans messages at a tick. Report is this process's own evidence; local
// is evidence that this process as a relay has for itself as a judge.
func (s *Counts) Reduce(e event.Event, report []*wire.Count, m *membership.Members, t *table.Tables) (effects []event.Effect, local []*wire.Count) {
	switch e := e.(type) {
	case event.DigestReceived:
		s.fold(e.Digest)
	case event.Tick:
		if s.planned != m || s.plannedTables != t {
			s.planned, s.plannedTables = m, t
			s.plans = make(map[string]plan)
			s.relays = s.assign(m, t)
		}
		s.relay.Reduce(e)
		effects = s.tell(e.Now, report, m)
		more, local := s.pass(e.Now, m)
		return append(effects, more...), local
	}
	return nil, nil
}

// fold takes what entries of the zone tell this one as their relay. Counts meant
// for an earlier process on this VM are refused: its sums are with the judges
// already, and folded again here they would count twice.
func (s *Counts) fold(d *wire.Digest) {
	if d.GetRelayEpoch() != s.epoch {
		return
	}
	for _, c := range d.GetRelayed() {
		s.relay.Fold(c)
	}
}

// tell tells this process's own evidence to the relay or the judges.
func (s *Counts) tell(now clock.Millis, report []*wire.Count, m *membership.Members) (effects []event.Effect) {
	for _, model := range s.own.due(now, report, func(model string) clock.Millis { return s.plan(model, m).every }) {
		p := s.plan(model, m)
		epoch := m.Epoch(p.relay.ID)
		switch {
		case p.relay.ID == "":
			for _, v := range s.others(p.judges) {
				effects = append(effects, event.Exchange{VM: v.ID, Address: v.Address, Digest: &wire.Digest{Counts: s.parts(model, "", report)}})
			}
		case p.relay.ID == s.self:
			for _, c := range s.parts(model, s.self, report) {
				s.relay.Fold(c)
			}
		case epoch == 0:
			effects = append(effects, event.Exchange{VM: p.relay.ID, Address: p.relay.Address})
		default:
			parts := s.parts(model, p.relay.ID+"/"+strconv.FormatUint(epoch, 16), report)
			effects = append(effects, event.Exchange{VM: p.relay.ID, Address: p.relay.Address, Digest: &wire.Digest{Relayed: parts, RelayEpoch: epoch}})
		}
	}
	return effects
}

// parts chooses the counts of one message to a destination.
func (s *Counts) parts(model, to string, report []*wire.Count) (parts []*wire.Count) {
	ch := s.channels[model]
	if ch == nil {
		if len(s.channels) >= maxTold {
			return nil
		}
		ch = evidence.NewChannel()
		s.channels[model] = ch
	}
	ch.Switch(to)
	for _, c := range s.own.choose(model, report, countsPerMessage) {
		if part, ok := ch.Part(c); ok {
			parts = append(parts, part)
		}
	}
	return parts
}

func (s *Counts) others(vms []platform.VM) []platform.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(v platform.VM) bool { return v.ID == s.self })
}

// pass tells the judges what this process has folded as a relay.
func (s *Counts) pass(now clock.Millis, m *membership.Members) (effects []event.Effect, local []*wire.Count) {
	report := s.relay.Report()
	for _, model := range s.folded.due(now, report, func(model string) clock.Millis { return s.plan(model, m).foldedEvery }) {
		counts := s.folded.choose(model, report, foldedPerMessage)
		if len(counts) == 0 {
			continue
		}
		for _, v := range s.plan(model, m).judges {
			if v.ID == s.self {
				local = append(local, counts...)
				continue
			}
			effects = append(effects, event.Exchange{VM: v.ID, Address: v.Address, Digest: &wire.Digest{Counts: counts}})
		}
	}
	return effects, local
}

// plan finds the judges and the relay of a model and the paces. All entries
// telling the judges each second would take a judge at 380 entries over its share
// of the network, so the pace slows with the number that tell one process. Their
// instants are spread over it: it hears some at any time.
func (s *Counts) plan(model string, m *membership.Members) plan {
	if p, ok := s.plans[model]; ok {
		return p
	}
	entries, zones, near := s.entriesOf(m)
	relay, relayed := s.relays[model]
	p := plan{every: pace(len(entries), messageBytes, judgeBytes), foldedEvery: pace(zones, foldedMessage, foldedBytes)}
	for _, id := range evidence.Judges(m.VMs(), model+"@") {
		if v, ok := m.Find(id); ok {
			p.judges = append(p.judges, v)
		}
	}
	// A judge's own evidence counts with it already and must not come back folded.
	judge := slices.ContainsFunc(p.judges, func(v platform.VM) bool { return v.ID == s.self })
	if relayed {
		p.every = pace(len(near), messageBytes, relayBytes)
		if !judge {
			p.relay = relay
		}
	}
	s.plans[model] = p
	return p
}

// assign gives each model of the tables a relay of this process's zone: one
// model each where the zone has entries enough, and none to judges, since two
// duties together would take a VM over its share of the network.
func (s *Counts) assign(m *membership.Members, t *table.Tables) map[string]platform.VM {
	entries, _, near := s.entriesOf(m)
	if t == nil || len(entries) < relayFrom {
		return nil
	}
	models := t.Models()
	var judges []string
	for _, model := range models {
		judges = append(judges, evidence.Judges(m.VMs(), model+"@")...)
	}
	able := fit(m, near)
	free := slices.DeleteFunc(slices.Clone(able), func(v platform.VM) bool { return slices.Contains(judges, v.ID) })
	if len(free) == 0 {
		free = able
	}
	relays := make(map[string]platform.VM, len(models))
	ranked := First("relay", len(models), free)
	for i, model := range models {
		if len(ranked) > 0 {
			relays[model] = ranked[i%len(ranked)]
		}
	}
	return relays
}

// pace is the span at which each of so many may send a message.
func pace(senders, bytes, perSecond int) clock.Millis {
	return max(tellEvery, clock.Millis(senders*bytes)*clock.Second/clock.Millis(perSecond))
}

// entriesOf lists the entries, counts their zones, and lists those of this
// process's own.
func (s *Counts) entriesOf(m *membership.Members) (all []platform.VM, zones int, near []platform.VM) {
	self, _ := m.Find(s.self)
	seen := make(map[string]bool)
	for _, v := range m.VMs() {
		if v.Role != platform.EntryRole || v.Leaving {
			continue
		}
		all = append(all, v)
		seen[v.Zone] = true
		if v.Zone == self.Zone {
			near = append(near, v)
		}
	}
	return all, len(seen), near
}
