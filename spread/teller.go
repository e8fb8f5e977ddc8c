package spread

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/evidence"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/table"
)

// maxTold bounds the keys whose telling is remembered; above it all are
// forgotten and told again.
const maxTold = 4096

// teller chooses which counts of a report are told and when.
type teller struct {
	// seed spreads the instants of many tellers.
	seed string
	// told holds what each key counted when it was last told, and in which
	// round.
	told  map[evidence.Key]toldCount
	round int
	// nextAt is the instant of the next message by model.
	nextAt map[string]clock.Millis
}

type toldCount struct {
	count *wire.Count
	round int
}

func newTeller(seed string) teller {
	return teller{seed: seed, told: make(map[evidence.Key]toldCount), nextAt: make(map[string]clock.Millis)}
}

// due lists the models whose evidence is to be told now, sorted, and sets their
// next instants. The first one is spread over the pace by hash.
func (s *teller) due(now clock.Millis, report []*wire.Count, pace func(model string) clock.Millis) (models []string) {
	if len(s.nextAt) > maxTold {
		clear(s.nextAt)
	}
	for _, c := range report {
		model := modelOf(c)
		if now < s.nextAt[model] || slices.Contains(models, model) {
			continue
		}
		every := pace(model)
		if s.nextAt[model] == 0 {
			s.nextAt[model] = now + 1 + clock.Millis(xxhash.Sum64String(s.seed+"/"+model)%uint64(every))
			continue
		}
		s.nextAt[model] = now + every
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}

func modelOf(c *wire.Count) string {
	model, _, _ := table.SplitVersion(c.GetVersion())
	return model
}

// choose takes the counts of one message, of each version those that changed
// and were told least recently. The version with the fewest of them comes first
// and leaves one place to each other: a new version has few requests, each of
// them tells much, and the version it shall replace has plenty.
func (s *teller) choose(model string, report []*wire.Count, most int) (counts []*wire.Count) {
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
	slices.SortFunc(versions, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(byVersion[a]), len(byVersion[b])), cmp.Compare(a, b))
	})
	s.round++
	for i, v := range versions {
		of := byVersion[v]
		slices.SortStableFunc(of, func(a, b *wire.Count) int {
			return cmp.Or(cmp.Compare(s.told[keyOf(a)].round, s.told[keyOf(b)].round), cmp.Compare(hashOf(a), hashOf(b)))
		})
		room := most - len(counts) - (len(versions) - i - 1)
		counts = append(counts, of[:min(len(of), max(room, 0))]...)
	}
	s.remember(counts)
	return counts
}

func (s *teller) remember(counts []*wire.Count) {
	if len(s.told) > maxTold {
		clear(s.told)
	}
	for _, c := range counts {
		s.told[keyOf(c)] = toldCount{count: c, round: s.round}
	}
}

// same reports whether a count was told as it stands within the last rounds.
// Later it is told once more, which makes a lost message good.
func (s *teller) same(c *wire.Count) bool {
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
