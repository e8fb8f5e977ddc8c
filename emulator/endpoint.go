package emulator

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/placement"
)

// endpoint prefills prompts in the order of their arrival and streams answers. Times are in
// milliseconds of virtual time.
type endpoint struct {
	id string
	// number is the endpoint's number in its zone, from 0.
	number int
	slots  int
	// typicalPace is the pace without other work on the VM.
	typicalPace float64
	otherWork   OtherWork
	// cacheCapacity is in tokens.
	cacheCapacity int
	// prefillFreeAt is when the endpoint will have prefilled all prompts received so far.
	prefillFreeAt float64
	// outstanding is the number of requests that are waiting, being prefilled or streaming.
	// answerEnds holds the times at which their answers end and free their slots.
	outstanding int
	answerEnds  []float64
	// lastUsed holds the time at which each cached block was last used, blockTokens its size, and
	// cachedTokens the sum of the sizes.
	lastUsed     map[string]float64
	blockTokens  map[string]int
	cachedTokens int
	// limits holds the rate limits that the endpoint advertises. limitReceivedAt holds, by entry,
	// when the entry first received the limit in force, and arrivals the times of all entries'
	// requests within limitWindow.
	limits          []Limit
	limitReceivedAt map[string]clock.Millis
	arrivals        []clock.Millis
	// incarnation counts the crashes; downUntil is when the endpoint is back after a crash, and running
	// holds the attempts in progress.
	incarnation int64
	downUntil   clock.Millis
	running     map[*attempt]bool
}

// newEndpoint returns the endpoint of a zone with the given number, from 0.
func newEndpoint(s Site, id string, number int, limits []Limit) *endpoint {
	pace := 1.0
	if len(s.Paces) > 0 {
		pace = s.Paces[number%len(s.Paces)]
	}
	return &endpoint{id: id, number: number, typicalPace: pace, otherWork: s.OtherWork, slots: s.Slots, cacheCapacity: s.CacheTokens, lastUsed: make(map[string]float64), blockTokens: make(map[string]int), limits: limits, limitReceivedAt: make(map[string]clock.Millis), running: make(map[*attempt]bool)}
}

// start starts a request. It returns when the first byte and the end of the answer will be sent,
// and the number of tokens to prefill.
func (e *endpoint) start(now clock.Millis, m Model, blocks []placement.Block, events int) (first, end clock.Millis, uncached int) {
	start := max(e.prefillFreeAt, float64(now), e.nextSlotAt(float64(now)))
	uncached = e.prefill(start, m, blocks)
	pace := e.paceAt(start)
	e.prefillFreeAt = start + m.TokenMillis*float64(uncached)*pace
	firstByteAt := e.prefillFreeAt + m.OverheadMillis
	endAt := firstByteAt + m.EventMillis*float64(events-1)*pace
	e.outstanding++
	e.answerEnds = append(e.answerEnds, endAt)
	return clock.Millis(firstByteAt), clock.Millis(endAt), uncached
}

// paceAt returns how long work that starts at the time now takes, as a multiple of usual.
func (e *endpoint) paceAt(now float64) float64 {
	w := e.otherWork
	if w.Fraction == 0 {
		return e.typicalPace
	}
	const fractions = 1 << 32
	draw := xxhash.Sum64String(fmt.Sprint(e.id, "/", int64(now)/w.Millis)) % fractions
	if float64(draw)/fractions < w.Fraction {
		return e.typicalPace * w.Factor
	}
	return e.typicalPace
}

// nextSlotAt returns the time at which a slot becomes free for one more request, after all
// requests that already have a slot or wait for one.
func (e *endpoint) nextSlotAt(now float64) float64 {
	e.answerEnds = slices.DeleteFunc(e.answerEnds, func(at float64) bool { return at <= now })
	if len(e.answerEnds) < e.slots {
		return now
	}
	slices.Sort(e.answerEnds)
	return e.answerEnds[len(e.answerEnds)-e.slots]
}

// prefill caches the blocks of a prompt and returns the number of tokens to prefill: those of all
// blocks from the first one that is not cached.
func (e *endpoint) prefill(now float64, m Model, blocks []placement.Block) (uncached int) {
	missing := false
	for _, b := range blocks {
		key := m.Name + "/" + b.ID
		_, ok := e.lastUsed[key]
		missing = missing || !ok
		if missing {
			uncached += b.Tokens
		}
		if !ok {
			e.cachedTokens += b.Tokens
			e.blockTokens[key] = b.Tokens
		}
		e.lastUsed[key] = now
	}
	for e.cachedTokens > e.cacheCapacity && len(e.lastUsed) > 0 {
		e.evictOldest()
	}
	return uncached
}

// evictOldest evicts the least recently used block.
func (e *endpoint) evictOldest() {
	oldest := ""
	for key, at := range e.lastUsed {
		if oldest == "" || at < e.lastUsed[oldest] || at == e.lastUsed[oldest] && key < oldest {
			oldest = key
		}
	}
	e.cachedTokens -= e.blockTokens[oldest]
	delete(e.lastUsed, oldest)
	delete(e.blockTokens, oldest)
}
