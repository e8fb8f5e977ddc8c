package endpoint

import "sync"

// busy counts the admitted attempts per version, so that no version is unloaded while it is in use.
// It has at most as many versions as the window has slots.
type busy struct {
	mu       sync.Mutex
	attempts map[string]int
}

func (b *busy) add(version string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.attempts == nil {
		b.attempts = make(map[string]int)
	}
	b.attempts[version] += n
	if b.attempts[version] == 0 {
		delete(b.attempts, version)
	}
}

func (b *busy) versions() (names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.attempts {
		names = append(names, name)
	}
	return names
}
