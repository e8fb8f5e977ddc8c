package endpoint

import "sync"

// busy counts the attempts held by version, so that no version is unloaded under
// them. It has no more entries than the window has places.
type busy struct {
	mu   sync.Mutex
	held map[string]int
}

func (b *busy) add(version string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held == nil {
		b.held = make(map[string]int)
	}
	b.held[version] += n
	if b.held[version] == 0 {
		delete(b.held, version)
	}
}

func (b *busy) versions() (names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.held {
		names = append(names, name)
	}
	return names
}
