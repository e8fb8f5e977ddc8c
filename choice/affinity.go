package choice

import (
	"container/list"
	"sync"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// maxPrefixes bounds the stored prefixes; the least recently used one is evicted first.
	maxPrefixes = 16384
	// prefixLifetime is how long after its last use an engine is expected to have a prefix cached.
	prefixLifetime = 5 * clock.Minute
)

// Affinity records which endpoint last ran a prompt with a given prefix, and so probably has the
// prefix cached. It is safe for concurrent use.
type Affinity struct {
	mu    sync.Mutex
	order *list.List
	// entries holds the elements of order by prefix hash, at most maxPrefixes.
	entries map[uint64]*list.Element
}

type affinityEntry struct {
	prefix uint64
	vmID   string
	usedAt clock.Millis
}

// NewAffinity returns an Affinity without any prefixes.
func NewAffinity() *Affinity {
	return &Affinity{order: list.New(), entries: make(map[uint64]*list.Element)}
}

// Find returns the ID of the VM whose endpoint probably has the prefix in its cache, or "".
func (a *Affinity) Find(prefix uint64, now clock.Millis) (vm string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.entries[prefix]
	if !ok {
		return ""
	}
	p := e.Value.(*affinityEntry)
	if now-p.usedAt > prefixLifetime {
		return ""
	}
	return p.vmID
}

// RecordUse records that the endpoint on a VM runs a prompt with this prefix.
func (a *Affinity) RecordUse(prefix uint64, vm string, now clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.entries[prefix]; ok {
		p := e.Value.(*affinityEntry)
		p.vmID, p.usedAt = vm, now
		a.order.MoveToFront(e)
		return
	}
	a.entries[prefix] = a.order.PushFront(&affinityEntry{prefix, vm, now})
	if a.order.Len() > maxPrefixes {
		last := a.order.Back()
		a.order.Remove(last)
		delete(a.entries, last.Value.(*affinityEntry).prefix)
	}
}
