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
	// minReportInterval is the minimum interval between two reports of an entry to a judge, which
	// applies in a small site. The judges of a version are the processes that sum its outcome
	// counts.
	minReportInterval = clock.Second
	// judgeBytesPerSecond bounds the traffic between a judge and all entries; bytesPerMessage is
	// the size of one message with its reply.
	judgeBytesPerSecond = 12 << 10
	bytesPerMessage     = 600
	// countsPerMessage bounds the counts of one message to a judge.
	countsPerMessage = 6
	// maxReported bounds the keys stored in reported. At the bound all are dropped, so that their
	// counts are reported again.
	maxReported = 4096
)

// CountReporter plans which outcome counts this process reports to which judge, and when. Counts
// are cumulative, so a lost, repeated or late report does no harm.
type CountReporter struct {
	self string
	// reported holds, by key, the count reported last and the round of that report.
	reported map[evidence.Key]reportedCount
	round    int
	// nextAt is, by model, the time at which the counts of its versions are next sent to the
	// judges.
	nextAt map[string]clock.Millis
	// plans holds the plan for each model. It was computed from plannedMembers.
	plans          map[string]plan
	plannedMembers *membership.Members
}

type reportedCount struct {
	count *wire.Count
	round int
}

// plan holds the judges of a model and how often this process reports to them.
type plan struct {
	judges   []provider.VM
	interval clock.Millis
}

// NewCountReporter returns the state of the process on VM self before any report.
func NewCountReporter(self string) CountReporter {
	return CountReporter{self: self, reported: make(map[evidence.Key]reportedCount), nextAt: make(map[string]clock.Millis)}
}

// Reduce returns the messages due at a tick; it ignores all other events. report holds this
// process's own outcome counts.
func (s *CountReporter) Reduce(e event.Event, report []*wire.Count, m *membership.Members) (effects []event.Effect) {
	t, ok := e.(event.Tick)
	if !ok || len(report) == 0 {
		return nil
	}
	if s.plannedMembers != m {
		s.plannedMembers = m
		s.plans = make(map[string]plan)
	}
	for _, model := range s.due(t.Now, report) {
		p := s.plan(model, m)
		if first := s.nextAt[model] == 0; first {
			s.nextAt[model] = t.Now + clock.Millis(xxhash.Sum64String(s.self+"/"+model)%uint64(p.interval))
			continue
		}
		s.nextAt[model] = t.Now + p.interval
		counts := s.selectCounts(model, report)
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

// due lists, sorted, the models whose counts are to be sent now.
func (s *CountReporter) due(now clock.Millis, report []*wire.Count) (models []string) {
	for _, c := range report {
		model := modelOf(c)
		if now >= s.nextAt[model] && !slices.Contains(models, model) {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	if len(s.nextAt) > maxReported {
		clear(s.nextAt)
	}
	return models
}

func modelOf(c *wire.Count) string {
	model, _, _ := table.SplitVersion(c.GetVersion())
	return model
}

// plan returns the judges of a model and the interval of reports to them. The interval grows with
// the number of entries: if 380 entries reported every second, a judge would exceed its share of
// the network. Entries report at different times within the interval, so that a judge receives
// reports evenly.
func (s *CountReporter) plan(model string, m *membership.Members) plan {
	if p, ok := s.plans[model]; ok {
		return p
	}
	entries := clock.Millis(len(activeEntries(m)))
	p := plan{interval: max(minReportInterval, entries*bytesPerMessage*clock.Second/judgeBytesPerSecond)}
	for _, id := range evidence.Judges(m.VMs(), model+"@") {
		if v, ok := m.Find(id); ok {
			p.judges = append(p.judges, v)
		}
	}
	s.plans[model] = p
	return p
}

func activeEntries(m *membership.Members) (out []provider.VM) {
	for _, v := range m.VMs() {
		if v.Role == provider.EntryRole && !v.Leaving {
			out = append(out, v)
		}
	}
	return out
}

// selectCounts returns the counts for one message. It goes through the versions in turn and takes
// from each the changed count that was reported longest ago, so that a new version with few
// requests is not crowded out by the one it replaces.
func (s *CountReporter) selectCounts(model string, report []*wire.Count) (counts []*wire.Count) {
	byVersion := make(map[string][]*wire.Count)
	var versions []string
	for _, c := range report {
		if modelOf(c) != model || s.recentlyReported(c) {
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
			return cmp.Or(cmp.Compare(s.reported[keyOf(a)].round, s.reported[keyOf(b)].round), cmp.Compare(hashOf(a), hashOf(b)))
		})
	}
	s.round++
	for i := 0; len(counts) < countsPerMessage; i++ {
		added := false
		for _, v := range versions {
			if i < len(byVersion[v]) && len(counts) < countsPerMessage {
				counts = append(counts, byVersion[v][i])
				added = true
			}
		}
		if !added {
			break
		}
	}
	s.recordReported(counts)
	return counts
}

func (s *CountReporter) recordReported(counts []*wire.Count) {
	if len(s.reported) > maxReported {
		clear(s.reported)
	}
	for _, c := range counts {
		s.reported[keyOf(c)] = reportedCount{count: c, round: s.round}
	}
}

// recentlyReported reports whether the count has not changed since it was reported in one of the
// last rounds. It is reported again after these rounds, in case the message was lost.
func (s *CountReporter) recentlyReported(c *wire.Count) bool {
	const repeatRounds = 4
	old := s.reported[keyOf(c)]
	return old.count != nil && s.round-old.round < repeatRounds && total(old.count) == total(c)
}

// total returns a number that grows whenever any of the counts does.
func total(c *wire.Count) int64 {
	return c.GetStarted() + c.GetGood() + c.GetErrors() + c.GetRatings() + c.GetJudged()
}

func keyOf(c *wire.Count) evidence.Key {
	return evidence.Key{Route: c.GetRoute(), Version: c.GetVersion(), Organisation: c.GetOrganisation()}
}

func hashOf(c *wire.Count) uint64 {
	return xxhash.Sum64String(c.GetRoute() + "/" + c.GetOrganisation())
}
