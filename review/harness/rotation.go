package harness

import (
	"context"
	"sync"
	"time"
)

const (
	// probeInterval is how often the platform asks an entry whether it is ready, maxMisses after how many answers in a row
	// without a 200 the entry receives no new connections.
	probeInterval = time.Second
	maxMisses     = 2
)

// Rotation decides like the platform which entry gets a new connection.
type Rotation struct {
	site   *Site
	mu     sync.Mutex
	misses map[*Entry]int
}

// NewRotation returns a rotation with all entries of the site, which are asked from now on until the context ends.
func (s *Site) NewRotation(ctx context.Context) *Rotation {
	r := &Rotation{site: s, misses: make(map[*Entry]int)}
	for _, e := range s.Entries {
		go r.probe(ctx, e)
	}
	return r
}

func (r *Rotation) probe(ctx context.Context, e *Entry) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		ready := e.IsReady()
		r.mu.Lock()
		before := r.misses[e] < maxMisses
		if r.misses[e]++; ready {
			r.misses[e] = 0
		}
		after := r.misses[e] < maxMisses
		r.mu.Unlock()
		if before != after {
			r.site.Record.Logf("platform: %s is in rotation: %v", e.Name, after)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Pick returns the entry for a client whose hash selects the first entry: that one, or the next one in rotation.
func (r *Rotation) Pick() *Entry { return r.PickOf(r.site.Entries...) }

// PickOf returns the first of the entries that is in rotation, or the first one if none is.
func (r *Rotation) PickOf(entries ...*Entry) *Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range entries {
		if r.misses[e] < maxMisses {
			return e
		}
	}
	return entries[0]
}
