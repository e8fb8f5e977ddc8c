package placement

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/experiment"
)

// Told is what an entry tells others of its work at one endpoint.
type Told struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint64
	// Pending is the reading work, in milliseconds, of the prompts sent there whose
	// first byte has not come, and Unanswered their number.
	Pending    float64
	Unanswered int
	// Parts are hashes of the prompt parts sent there since the last time.
	Parts []uint64
}

// peerWork is what another entry told last.
type peerWork struct {
	at   clock.Millis
	work map[uint64]Told
}

// toldFor is how long an entry's word on its work holds: the largest model reads a long
// prompt in a second, so that what waited earlier has been read.
const toldFor = 2 * clock.Second

// Tell returns this entry's work at all endpoints where it has any, and the parts
// sent since the last call. A report that is lost is made up for by the next one, but
// for its parts, whose prompts are then read once more at most.
func (b *Board) Tell() (out []Told) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.marks {
		parts := b.kept.untold[m.hash]
		if m.unanswered > 0 || len(parts) > 0 {
			out = append(out, Told{Endpoint: m.hash, Pending: m.pending, Unanswered: m.unanswered, Parts: parts})
		}
	}
	clear(b.kept.untold)
	return out
}

// Hear takes another entry's word on its work in place of its last one.
func (b *Board) Hear(entry string, told []Told, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := peerWork{at: now, work: make(map[uint64]Told, len(told))}
	for _, t := range told {
		if !b.off.Has(experiment.ToldParts) {
			b.kept.hear(t.Endpoint, t.Parts, now)
		}
		t.Parts = nil
		if !b.off.Has(experiment.ToldWork) {
			p.work[t.Endpoint] = t
		}
	}
	b.peers[entry] = p
}

// told sums what other entries have at an endpoint.
func (b *Board) told(endpoint uint64, now clock.Millis) (pending float64, unanswered int) {
	for _, p := range b.peers {
		if now-p.at > toldFor {
			continue
		}
		t := p.work[endpoint]
		pending += t.Pending
		unanswered += t.Unanswered
	}
	return pending, unanswered
}
