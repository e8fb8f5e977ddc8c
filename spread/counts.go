package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/membership"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

const (
	// tellEvery is the pace at which an entry of a small site tells a judge.
	tellEvery = clock.Second
	// judgeBytes bounds the bytes a second that a judge gets of all entries,
	// taking messageBytes for one message and its answer.
	judgeBytes   = 12 << 10
	messageBytes = 600
	// countsPerMessage bounds the counts of one message to a judge.
	countsPerMessage = 6
	// maxTold bounds the keys whose telling is remembered; above it all are
	// forgotten and told again.
	maxTold = 4096
)

// CountReporter plans which evidence goes to which judge and when. Counts are
// cumulative, so one that is lost, repeated or late does no harm.
type CountReporter struct {
	self string
	// told holds what each key counted when it was last told, and in which
	// round.
	told  map[evidence.Key]toldCount
	round int
	// nextAt is the instant of the next message by model.
	nextAt map[string]clock.Millis
	// plans holds the judges and the pace by model among the members planned.
	plans   map[string]plan
	planned *membership.Members
}

type toldCount struct {
	count *wire.Count
	round int
}

// plan is who judges a model and how often this process tells them.
type plan struct {
	judges []provider.VM
	every  clock.Millis
}

// NewCountReporter returns the state of a process that has told nothing.
func NewCountReporter(self string) CountReporter {
	return CountReporter{self: self, told: make(map[evidence.Key]toldCount), nextAt: make(map[string]clock.Millis)}
}

// Reduce plans messages at a tick. Report is this process's own evidence.
func (s *CountReporter) Reduce(e event.Event, report []*wire.Count, m *membership.Members) (effects []event.Effect) {
	t, ok := e.(event.Tick)
	if !ok || len(report) == 0 {
		return nil
	}
	if s.planned != m {
		s.planned = m
		s.plans = make(map[string]plan)
	}
	for _, model := range s.due(t.Now, report) {
		p := s.plan(model, m)
		if first := s.nextAt[model] == 0; first {
			s.nextAt[model] = t.Now + clock.Millis(xxhash.Sum64String(s.self+"/"+model)%uint64(p.every))
			continue
		}
		s.nextAt[model] = t.Now + p.every
		counts := s.choose(model, report)
		if len(counts) == 0 {
			continue
		}
		for _, v := range p.judges {
			if v.ID != s.self {
				effects = append(effects, event.Exchange{VM: v.ID, Address: v.Address, Digest: &wire.Digest{Counts: counts}})
			}
		}
	}
	return effects
}

// due lists the models whose evidence is to be told now, sorted.
func (s *CountReporter) due(now clock.Millis, report []*wire.Count) (models []string) {
	for _, c := range report {
		model := modelOf(c)
		if now >= s.nextAt[model] && !slices.Contains(models, model) {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	if len(s.nextAt) > maxTold {
		clear(s.nextAt)
	}
	return models
}

func modelOf(c *wire.Count) string {
	model, _, _ := table.SplitVersion(c.GetVersion())
	return model
}

// plan finds the judges of a model and this process's pace. All entries telling
// each second would take a judge at 380 entries over its share of the network,
// so the pace slows with their number. Their instants are spread over it: a
// judge hears some at any time.
func (s *CountReporter) plan(model string, m *membership.Members) plan {
	if p, ok := s.plans[model]; ok {
		return p
	}
	entries := clock.Millis(len(entriesOf(m)))
	p := plan{every: max(tellEvery, entries*messageBytes*clock.Second/judgeBytes)}
	for _, id := range evidence.Judges(m.VMs(), model+"@") {
		if v, ok := m.Find(id); ok {
			p.judges = append(p.judges, v)
		}
	}
	s.plans[model] = p
	return p
}

func entriesOf(m *membership.Members) (out []provider.VM) {
	for _, v := range m.VMs() {
		if v.Role == provider.EntryRole && !v.Leaving {
			out = append(out, v)
		}
	}
	return out
}

// choose takes the counts of one message: of each version in turn those that
// changed and were told least recently. A new version with few requests is so
// never crowded out by the one it shall replace.
func (s *CountReporter) choose(model string, report []*wire.Count) (counts []*wire.Count) {
	byVersion := make(map[string][]*wire.Count)
	var versions []string
	for _, c := range report {
		if modelOf(c) != model || s.same(c) {
			continue
		}
		if byVersion[c.GetVersion()] == nil {
			versions = append(versions, c.GetVersion())
		}
		byVersion[c.GetVersion()] = append(byVersion[c.GetVersion()], c)
	}
	slices.Sort(versions)
	for _, v := range versions {
		slices.SortStableFunc(byVersion[v], func(a, b *wire.Count) int {
			return cmp.Or(cmp.Compare(s.told[keyOf(a)].round, s.told[keyOf(b)].round), cmp.Compare(hashOf(a), hashOf(b)))
		})
	}
	s.round++
	for i := 0; len(counts) < countsPerMessage; i++ {
		more := false
		for _, v := range versions {
			if i < len(byVersion[v]) && len(counts) < countsPerMessage {
				counts = append(counts, byVersion[v][i])
				more = true
			}
		}
		if !more {
			break
		}
	}
	s.remember(counts)
	return counts
}

func (s *CountReporter) remember(counts []*wire.Count) {
	if len(s.told) > maxTold {
		clear(s.told)
	}
	for _, c := range counts {
		s.told[keyOf(c)] = toldCount{count: c, round: s.round}
	}
}

// same reports whether a count was told as it stands within the last rounds.
// Later it is told once more, which makes a lost message good.
func (s *CountReporter) same(c *wire.Count) bool {
	const again = 4
	old := s.told[keyOf(c)]
	return old.count != nil && s.round-old.round < again && total(old.count) == total(c)
}

// total grows with any evidence.
func total(c *wire.Count) int64 {
	return c.GetStarted() + c.GetGood() + c.GetErrors() + c.GetRatings() + c.GetJudged()
}

func keyOf(c *wire.Count) evidence.Key {
	return evidence.Key{Route: c.GetRoute(), Version: c.GetVersion(), Organisation: c.GetOrganisation()}
}

func hashOf(c *wire.Count) uint64 {
	return xxhash.Sum64String(c.GetRoute() + "/" + c.GetOrganisation())
}
