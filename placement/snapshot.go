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
	// Token is how long a token takes in milliseconds, Measured how many prompts that
	// rests on.
	Token    float64
	Measured int
	// Beyond is how much longer first bytes take than what is known to stand before
	// them, in milliseconds.
	Beyond float64
}

// Snapshot returns what an entry that has just started lacks: the prompt parts that
// endpoints were sent lately, the newest first where there are too many, and the speeds
// of models.
func (b *Board) Snapshot(now clock.Millis) (parts []Told, speeds []ModelSpeed) {
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
			parts = append(parts, Told{Endpoint: k.endpoint})
		}
		parts[i].Parts = append(parts[i].Parts, k.part)
	}
	for _, model := range slices.Sorted(maps.Keys(b.speed.tokens)) {
		speeds = append(speeds, ModelSpeed{Model: model, Token: b.speed.tokens[model], Measured: b.speed.measured[model], Beyond: b.speed.beyond[model]})
	}
	return parts, speeds
}

// Adopt takes another entry's snapshot. What this one has measured itself stays.
func (b *Board) Adopt(parts []Told, speeds []ModelSpeed, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ways.Off(decision.ToldParts) {
		for _, t := range parts {
			b.kept.hear(t.Endpoint, t.Parts, now)
		}
	}
	for _, s := range speeds {
		if b.speed.measured[s.Model] < s.Measured {
			b.speed.tokens[s.Model], b.speed.measured[s.Model], b.speed.beyond[s.Model] = s.Token, s.Measured, s.Beyond
		}
	}
}
