package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
)

// maxSnapshotBlocks is the maximum number of prompt blocks in a snapshot, about ten kilobytes.
const maxSnapshotBlocks = 2000

// ModelSpeed is an entry's estimate of a model's prefill speed.
type ModelSpeed struct {
	Model string
	// MillisPerToken is the prefill time of a token in milliseconds, and Samples the number
	// of prompts that it is based on.
	MillisPerToken float64
	Samples        int
	// ExcessMillis is the mean difference, in milliseconds, between the actual time to the first
	// byte and the time that the known work before it takes.
	ExcessMillis float64
}

// Snapshot returns state for an entry that has just started: the blocks recently sent to
// endpoints, at most the newest maxSnapshotBlocks, and the speeds of models.
func (sel *Selector) Snapshot(now clock.Millis) (reports []EndpointReport, speeds []ModelSpeed) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(sel.prefixes.blocks), func(x, y blockKey) int {
		return cmp.Or(cmp.Compare(sel.prefixes.blocks[y], sel.prefixes.blocks[x]), cmp.Compare(x.endpoint, y.endpoint), cmp.Compare(x.block, y.block))
	})
	index := make(map[uint32]int)
	for _, key := range keys[:min(len(keys), maxSnapshotBlocks)] {
		if now-sel.prefixes.blocks[key] > prefixTTL/2 {
			break
		}
		i, ok := index[key.endpoint]
		if !ok {
			i = len(reports)
			index[key.endpoint] = i
			reports = append(reports, EndpointReport{Endpoint: key.endpoint})
		}
		reports[i].Blocks = append(reports[i].Blocks, key.block)
	}
	for _, model := range slices.Sorted(maps.Keys(sel.estimates.millisPerToken)) {
		speeds = append(speeds, ModelSpeed{Model: model, MillisPerToken: sel.estimates.millisPerToken[model], Samples: sel.estimates.samples[model], ExcessMillis: sel.estimates.excessMillis[model]})
	}
	return reports, speeds
}

// ApplySnapshot merges another entry's snapshot into the state. A model's speed is adopted only if
// it is based on more samples than this entry has.
func (sel *Selector) ApplySnapshot(reports []EndpointReport, speeds []ModelSpeed, now clock.Millis) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if !sel.strategies.Disabled(decision.ReportedBlocks) {
		for _, r := range reports {
			sel.prefixes.recordReported(r.Endpoint, r.Blocks, now)
		}
	}
	for _, s := range speeds {
		if sel.estimates.samples[s.Model] < s.Samples {
			sel.estimates.millisPerToken[s.Model], sel.estimates.samples[s.Model], sel.estimates.excessMillis[s.Model] = s.MillisPerToken, s.Samples, s.ExcessMillis
		}
	}
}
