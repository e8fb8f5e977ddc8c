package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
)

// maxSnapshot is how many prompt parts a snapshot has at the most: some ten kilobytes.
const maxSnapshot = 2000

// ModelSpeed is how fast a model reads, as far as an entry has measured it.
type ModelSpeed struct {
	Model string
	// MillisPerToken is how long a token takes in milliseconds, Measured how many prompts that
	// rests on.
	MillisPerToken float64
	Samples        int
	// ExcessMillis is how much longer first bytes take than what is known to stand before
	// them, in milliseconds.
	ExcessMillis float64
}

// Snapshot returns what an entry that has just started lacks: the prompt parts that
// endpoints were sent lately, the newest first where there are too many, and the speeds
// of models.
func (b *Selector) Snapshot(now clock.Millis) (parts []EndpointReport, speeds []ModelSpeed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(b.kept.parts), func(x, y partKey) int {
		return cmp.Or(cmp.Compare(b.kept.parts[y], b.kept.parts[x]), cmp.Compare(x.endpoint, y.endpoint), cmp.Compare(x.part, y.part))
	})
	at := make(map[uint32]int)
	for _, k := range keys[:min(len(keys), maxSnapshot)] {
		if now-b.kept.parts[k] > keptFor/2 {
			break
		}
		i, ok := at[k.endpoint]
		if !ok {
			i = len(parts)
			at[k.endpoint] = i
			parts = append(parts, EndpointReport{Endpoint: k.endpoint})
		}
		parts[i].Blocks = append(parts[i].Blocks, k.part)
	}
	for _, model := range slices.Sorted(maps.Keys(b.speed.tokens)) {
		speeds = append(speeds, ModelSpeed{Model: model, MillisPerToken: b.speed.tokens[model], Samples: b.speed.measured[model], ExcessMillis: b.speed.beyond[model]})
	}
	return parts, speeds
}

// ApplySnapshot takes another entry's snapshot. What this one has measured itself stays.
func (b *Selector) ApplySnapshot(parts []EndpointReport, speeds []ModelSpeed, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ways.Disabled(decision.ReportedBlocks) {
		for _, t := range parts {
			b.kept.hear(t.Endpoint, t.Blocks, now)
		}
	}
	for _, s := range speeds {
		if b.speed.measured[s.Model] < s.Samples {
			b.speed.tokens[s.Model], b.speed.measured[s.Model], b.speed.beyond[s.Model] = s.MillisPerToken, s.Samples, s.ExcessMillis
		}
	}
}
