package placement

import (
	"maps"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
)

// EndpointReport is what an entry tells others of one endpoint: its work there, and what the
// endpoint said of itself.
type EndpointReport struct {
	// Endpoint is the hash of the endpoint's ID.
	Endpoint uint32
	// PendingMillis is the reading work, in milliseconds, of the prompts sent there whose
	// first byte has not come, and Unanswered their number.
	PendingMillis float64
	Unanswered    int
	// Blocks are hashes of the prompt parts sent there since the last time.
	Blocks []uint32
	// QueueLength is how many prompts waited there by its own word, and WordAge how old
	// that is; 0 when it said nothing since the last time.
	QueueLength    int
	QueueLengthAge clock.Millis
	// Advertisement is what the endpoint said of itself, StatementAge how old that is, and
	// Born the start of the endpoint that it is of; 0 when there is nothing to tell.
	Advertisement    Advertisement
	AdvertisementAge clock.Millis
	Incarnation      int64
}

// peerWork is what another entry told last, by endpoint.
type peerWork map[uint32]heardWork

// heardWork is its word on one endpoint, and when it came.
type heardWork struct {
	EndpointReport
	at clock.Millis
}

// toldFor is how long an entry's word on its work holds. It loses its weight steadily,
// as the endpoint reads on: the largest model reads a long prompt in a second.
const toldFor = clock.Second

// urgentLeast is the reading work, in milliseconds, that a prompt must have for others to
// be told of it at once: an entry that sends its own behind it notices.
const urgentLeast = 40.0

// Urgent returns a channel that has something in it when others should be told at once.
func (b *Selector) Urgent() <-chan struct{} { return b.urgent }

func (b *Selector) signalUrgent() {
	select {
	case b.urgent <- struct{}{}:
	default:
	}
}

// Report returns this entry's work at all endpoints where it has any, the shared parts sent
// and what endpoints said of themselves since the last whole report; or only its work
// where that has changed since the last one. A report that is lost is made up for by the
// next whole one, but for its parts, whose prompts are then read once more at most.
func (b *Selector) Report(now clock.Millis, whole bool) (out []EndpointReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.marks {
		t := EndpointReport{Endpoint: m.hash, PendingMillis: m.pending, Unanswered: m.unanswered}
		tells := m.changed
		if whole {
			t.Blocks = b.kept.untold[m.hash]
			if m.untoldWord {
				t.QueueLength, t.QueueLengthAge = m.word, max(now-m.wordAt, 1)
			}
			m.untoldWord = false
			tells = t.Unanswered > 0 || len(t.Blocks) > 0 || t.QueueLengthAge > 0
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

// Receive takes another entry's word on its work, in place of all that it told before when
// the report is whole.
func (b *Selector) Receive(entry string, told []EndpointReport, whole bool, now clock.Millis) {
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

func (b *Selector) hear(p peerWork, t EndpointReport, now clock.Millis) {
	if !b.ways.Disabled(decision.ReportedBlocks) {
		b.kept.hear(t.Endpoint, t.Blocks, now)
	}
	m := b.byHash[t.Endpoint]
	if m != nil {
		m.hearState(t, now)
	}
	if b.ways.Disabled(decision.ReportedWork) {
		return
	}
	t.Blocks = nil
	p[t.Endpoint] = heardWork{t, now}
	if m != nil && t.QueueLengthAge > 0 && now-t.QueueLengthAge > m.wordAt {
		b.word(m, t.QueueLength, now-t.QueueLengthAge, now)
	}
}

// told sums what other entries have at an endpoint.
func (b *Selector) told(endpoint uint32, now clock.Millis) (pending, unanswered float64) {
	for _, p := range b.peers {
		w, ok := p[endpoint]
		left := 1 - float64(now-w.at)/float64(toldFor)
		if !ok || left <= 0 {
			continue
		}
		pending += w.PendingMillis * left
		unanswered += float64(w.Unanswered) * left
	}
	return pending, unanswered
}

// forget drops what other entries told too long ago.
func (b *Selector) forget(now clock.Millis) {
	for entry, p := range b.peers {
		maps.DeleteFunc(p, func(_ uint32, w heardWork) bool { return now-w.at > toldFor })
		if len(p) == 0 {
			delete(b.peers, entry)
		}
	}
}
