package placement

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/experiment"
)

// Told is what an entry tells others of one endpoint: its work there, and what the
// endpoint said of itself.
type Told struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint32
	// Pending is the reading work, in milliseconds, of the prompts sent there whose
	// first byte has not come, and Unanswered their number.
	Pending    float64
	Unanswered int
	// Parts are hashes of the prompt parts sent there since the last time.
	Parts []uint32
	// Waiting is how many prompts waited there by its own word, and WordAge how old
	// that is; 0 when it said nothing since the last time.
	Waiting int
	WordAge clock.Millis
}

// peerWork is what another entry told last.
type peerWork struct {
	at   clock.Millis
	work map[uint32]Told
}

// toldFor is how long an entry's word on its work holds. It loses its weight steadily,
// as the endpoint reads on: the largest model reads a long prompt in a second.
const toldFor = clock.Second

// newsLeast is the reading work, in milliseconds, that a prompt must have for others to
// be told of it at once: an entry that sends its own behind it notices.
const newsLeast = 40.0

// News returns a channel that has something in it when others should be told at once.
func (b *Board) News() <-chan struct{} { return b.news }

func (b *Board) tellNews() {
	select {
	case b.news <- struct{}{}:
	default:
	}
}

// Tell returns this entry's work at all endpoints where it has any, the parts sent and
// what endpoints said of themselves since the last call. A report that is lost is made
// up for by the next one, but for its parts, whose prompts are then read once more at
// most.
func (b *Board) Tell(now clock.Millis) (out []Told) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.marks {
		t := Told{Endpoint: m.hash, Pending: m.pending, Unanswered: m.unanswered, Parts: b.kept.untold[m.hash]}
		if m.untoldWord {
			t.Waiting, t.WordAge = m.word, max(now-m.wordAt, 1)
			m.untoldWord = false
		}
		if t.Unanswered > 0 || len(t.Parts) > 0 || t.WordAge > 0 {
			out = append(out, t)
		}
	}
	clear(b.kept.untold)
	return out
}

// Hear takes another entry's word on its work in place of its last one.
func (b *Board) Hear(entry string, told []Told, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := peerWork{at: now, work: make(map[uint32]Told, len(told))}
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
	for _, t := range p.work {
		m := b.byHash[t.Endpoint]
		if m != nil && t.WordAge > 0 && now-t.WordAge > m.wordAt {
			b.word(m, t.Waiting, now-t.WordAge, now)
		}
	}
}

// told sums what other entries have at an endpoint.
func (b *Board) told(endpoint uint32, now clock.Millis) (pending, unanswered float64) {
	for _, p := range b.peers {
		left := 1 - float64(now-p.at)/float64(toldFor)
		if left <= 0 {
			continue
		}
		t := p.work[endpoint]
		pending += t.Pending * left
		unanswered += float64(t.Unanswered) * left
	}
	return pending, unanswered
}
