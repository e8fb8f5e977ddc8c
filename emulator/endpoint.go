package emulator

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/placement"
)

// endpoint reads prompts in the order in which they came and streams answers.
type endpoint struct {
	slots  int
	memory int
	// freeAt is when it has read all it was given, in milliseconds.
	freeAt float64
	// held counts requests that it reads or answers; ends holds when the slots in use
	// become free.
	held int
	ends []float64
	// kept holds when a part was last used, and size its tokens.
	kept map[string]float64
	size map[string]int
	used int
	// limits holds when it names a rate, toldAt when it first told each entry of the one
	// in force, and arrivals when those entries sent something, within limitSpan.
	limits   []Limit
	toldAt   map[string]clock.Millis
	arrivals []clock.Millis
}

func newEndpoint(s Site, limits []Limit) *endpoint {
	return &endpoint{slots: s.Slots, memory: s.CacheTokens, kept: make(map[string]float64), size: make(map[string]int), limits: limits, toldAt: make(map[string]clock.Millis)}
}

// begin takes a prompt and tells when its first byte and its end come, and how many
// tokens are read for it.
func (e *endpoint) begin(now clock.Millis, m Model, parts []placement.Block, events int) (first, end clock.Millis, read int) {
	start := max(e.freeAt, float64(now), e.slotAt(float64(now)))
	read = e.read(start, m, parts)
	e.freeAt = start + m.TokenMillis*float64(read)
	byteAt := e.freeAt + m.OverheadMillis
	endAt := byteAt + m.EventMillis*float64(events-1)
	e.held++
	e.ends = append(e.ends, endAt)
	return clock.Millis(byteAt), clock.Millis(endAt), read
}

// slotAt is when a slot is free for one more than those that have one or wait for one.
func (e *endpoint) slotAt(now float64) float64 {
	e.ends = slices.DeleteFunc(e.ends, func(at float64) bool { return at <= now })
	if len(e.ends) < e.slots {
		return now
	}
	slices.Sort(e.ends)
	return e.ends[len(e.ends)-e.slots]
}

// read counts the tokens that are not kept, from the first missing part on, and keeps
// all of them.
func (e *endpoint) read(now float64, m Model, parts []placement.Block) (read int) {
	missing := false
	for _, p := range parts {
		key := m.Name + "/" + p.ID
		_, ok := e.kept[key]
		missing = missing || !ok
		if missing {
			read += p.Tokens
		}
		if !ok {
			e.used += p.Tokens
			e.size[key] = p.Tokens
		}
		e.kept[key] = now
	}
	for e.used > e.memory && len(e.kept) > 0 {
		e.forget()
	}
	return read
}

// forget drops the part that was used least recently.
func (e *endpoint) forget() {
	oldest := ""
	for key, at := range e.kept {
		if oldest == "" || at < e.kept[oldest] || at == e.kept[oldest] && key < oldest {
			oldest = key
		}
	}
	e.used -= e.size[oldest]
	delete(e.kept, oldest)
	delete(e.size, oldest)
}
