package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
)

// maxSnapshotBlocks is how many prompt parts a snapshot has at the most: some ten kilobytes.
const maxSnapshotBlocks = 2000

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
	keys := slices.SortedFunc(maps.Keys(b.prefixes.blocks), func(x, y blockKey) int {
		return cmp.Or(cmp.Compare(b.prefixes.blocks[y], b.prefixes.blocks[x]), cmp.Compare(x.endpoint, y.endpoint), cmp.Compare(x.block, y.block))
	})
	at := make(map[uint32]int)
	for _, k := range keys[:min(len(keys), maxSnapshotBlocks)] {
		if now-b.prefixes.blocks[k] > prefixTTL/2 {
			break
		}
		i, ok := at[k.endpoint]
		if !ok {
			i = len(parts)
			at[k.endpoint] = i
			parts = append(parts, EndpointReport{Endpoint: k.endpoint})
		}
		parts[i].Blocks = append(parts[i].Blocks, k.block)
	}
	for _, model := range slices.Sorted(maps.Keys(b.speeds.millisPerToken)) {
		speeds = append(speeds, ModelSpeed{Model: model, MillisPerToken: b.speeds.millisPerToken[model], Samples: b.speeds.samples[model], ExcessMillis: b.speeds.excessMillis[model]})
	}
	return parts, speeds
}

// ApplySnapshot takes another entry's snapshot. What this one has measured itself stays.
func (b *Selector) ApplySnapshot(parts []EndpointReport, speeds []ModelSpeed, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.strategies.Disabled(decision.ReportedBlocks) {
		for _, t := range parts {
			b.prefixes.recordReported(t.Endpoint, t.Blocks, now)
		}
	}
	for _, s := range speeds {
		if b.speeds.samples[s.Model] < s.Samples {
			b.speeds.millisPerToken[s.Model], b.speeds.samples[s.Model], b.speeds.excessMillis[s.Model] = s.MillisPerToken, s.Samples, s.ExcessMillis
		}
	}
}
