package choice

import (
	"container/list"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// maxPrefixes bounds the remembered prefixes; the least recently used falls
	// out first.
	maxPrefixes = 16384
	// prefixLife is how long an engine may be hoped to keep a prefix unused.
	prefixLife = 5 * clock.Minute
)

// Affinity remembers which endpoint ran a prompt prefix last, and so probably
// has it in its cache.
type Affinity struct {
	mu    sync.Mutex
	order *list.List
	// places holds at most maxPrefixes elements of order.
	places map[uint64]*list.Element
}

type place struct {
	prefix uint64
	vm     string
	usedAt clock.Millis
}

// NewAffinity makes an empty memory.
func NewAffinity() *Affinity {
	return &Affinity{order: list.New(), places: make(map[uint64]*list.Element)}
}

// Find returns the endpoint that probably has a prefix, or "".
func (a *Affinity) Find(prefix uint64, now clock.Millis) (vm string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.places[prefix]
	if !ok {
		return ""
	}
	p := e.Value.(*place)
	if now-p.usedAt > prefixLife {
		return ""
	}
	return p.vm
}

// RecordUse notes that an endpoint runs a prefix.
func (a *Affinity) RecordUse(prefix uint64, vm string, now clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.places[prefix]; ok {
		p := e.Value.(*place)
		p.vm, p.usedAt = vm, now
		a.order.MoveToFront(e)
		return
	}
	a.places[prefix] = a.order.PushFront(&place{prefix, vm, now})
	if a.order.Len() > maxPrefixes {
		last := a.order.Back()
		a.order.Remove(last)
		delete(a.places, last.Value.(*place).prefix)
	}
}
