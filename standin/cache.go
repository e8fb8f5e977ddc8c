package standin

import (
	"bytes"
	"io"
	"net/http"
)

const (
	// maxSessions bounds the number of KV caches that an engine stores.
	maxSessions = 1024
	// cachedSpeedup is the factor by which the first token comes sooner if the engine has the
	// session's cache.
	cachedSpeedup = 4
	// cacheBytes is the size of each KV cache.
	cacheBytes = 600 << 10
)

// caches holds the KV caches of an engine, by session and version.
type caches struct {
	// entries has at most maxSessions caches; those of further sessions are not stored.
	entries map[string][]byte
	imports int
}

// Imports returns the number of caches that the engine has imported.
func (e *Engine) Imports() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.caches.imports
}

// cached reports whether the engine has a session's cache. If not, it stores one.
func (e *Engine) cached(session, version string) (hit bool) {
	if session == "" {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	name := session + "/" + version
	_, hit = e.caches.entries[name]
	if !hit {
		e.storeCache(name, bytes.Repeat([]byte(name[:1]), cacheBytes))
	}
	return hit
}

// storeCache must be called with e.mu locked.
func (e *Engine) storeCache(name string, data []byte) {
	if e.caches.entries == nil {
		e.caches.entries = make(map[string][]byte)
	}
	if len(e.caches.entries) < maxSessions {
		e.caches.entries[name] = data
	}
}

func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	data, ok := e.caches.entries[r.PathValue("session")+"/"+r.URL.Query().Get("version")]
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil || len(data) != cacheBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.caches.imports++
	e.storeCache(r.PathValue("session")+"/"+r.URL.Query().Get("version"), data)
	w.WriteHeader(http.StatusNoContent)
}
