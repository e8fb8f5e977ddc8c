package placement

import (
	"maps"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
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
	// Statement is what the endpoint said of itself, StatementAge how old that is, and
	// Born the start of the endpoint that it is of; 0 when there is nothing to tell.
	Statement    Statement
	StatementAge clock.Millis
	Born         int64
}

// peerWork is what another entry told last, by endpoint.
type peerWork map[uint32]heardWork

// heardWork is its word on one endpoint, and when it came.
type heardWork struct {
	Told
	at clock.Millis
}

// toldFor is how long an entry's word on its work holds. It loses its weight steadily,
// as the endpoint reads on: the largest model reads a long prompt in a second.
const toldFor = clock.Second

// urgentLeast is the reading work, in milliseconds, that a prompt must have for others to
// be told of it at once: an entry that sends its own behind it notices.
const urgentLeast = 40.0

// Urgent returns a channel that has something in it when others should be told at once.
func (b *Board) Urgent() <-chan struct{} { return b.urgent }

func (b *Board) signalUrgent() {
	select {
	case b.urgent <- struct{}{}:
	default:
	}
}

// Tell returns this entry's work at all endpoints where it has any, the shared parts sent
// and what endpoints said of themselves since the last whole report; or only its work
// where that has changed since the last one. A report that is lost is made up for by the
// next whole one, but for its parts, whose prompts are then read once more at most.
func (b *Board) Tell(now clock.Millis, whole bool) (out []Told) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.marks {
		t := Told{Endpoint: m.hash, Pending: m.pending, Unanswered: m.unanswered}
		tells := m.changed
		if whole {
			t.Parts = b.kept.untold[m.hash]
			if m.untoldWord {
				t.Waiting, t.WordAge = m.word, max(now-m.wordAt, 1)
			}
			m.untoldWord = false
			tells = t.Unanswered > 0 || len(t.Parts) > 0 || t.WordAge > 0
		}
		m.changed = false
		if m.tellState(&t, now, whole) || tells {
			out = append(out, t)
		}
	}
	if whole {
		clear(b.kept.untold)
	}
	return out
}

// Hear takes another entry's word on its work, in place of all that it told before when
// the report is whole.
func (b *Board) Hear(entry string, told []Told, whole bool, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[entry]
	if whole || p == nil {
		p = make(peerWork, len(told))
		b.peers[entry] = p
	}
	for _, t := range told {
		b.hear(p, t, now)
	}
}

func (b *Board) hear(p peerWork, t Told, now clock.Millis) {
	if !b.ways.Off(decision.ToldParts) {
		b.kept.hear(t.Endpoint, t.Parts, now)
	}
	m := b.byHash[t.Endpoint]
	if m != nil {
		m.hearState(t, now)
	}
	if b.ways.Off(decision.ToldWork) {
		return
	}
	t.Parts = nil
	p[t.Endpoint] = heardWork{t, now}
	if m != nil && t.WordAge > 0 && now-t.WordAge > m.wordAt {
		b.word(m, t.Waiting, now-t.WordAge, now)
	}
}

// told sums what other entries have at an endpoint.
func (b *Board) told(endpoint uint32, now clock.Millis) (pending, unanswered float64) {
	for _, p := range b.peers {
		w, ok := p[endpoint]
		left := 1 - float64(now-w.at)/float64(toldFor)
		if !ok || left <= 0 {
			continue
		}
		pending += w.Pending * left
		unanswered += float64(w.Unanswered) * left
	}
	return pending, unanswered
}

// forget drops what other entries told too long ago.
func (b *Board) forget(now clock.Millis) {
	for entry, p := range b.peers {
		maps.DeleteFunc(p, func(_ uint32, w heardWork) bool { return now-w.at > toldFor })
		if len(p) == 0 {
			delete(b.peers, entry)
		}
	}
}
