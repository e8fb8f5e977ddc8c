package standin

import (
	"bytes"
	"io"
	"net/http"
)

const (
	// maxSessions bounds the sessions whose cache an engine keeps.
	maxSessions = 1024
	// cachedPart is the part of the span before the first token that a session
	// with a cache still takes.
	cachedPart = 4
	// cacheBytes is the size of every cache.
	cacheBytes = 600 << 10
)

// caches holds the KV caches of an engine by session and version.
type caches struct {
	// kept has at most maxSessions entries; further sessions get none.
	kept    map[string][]byte
	imports int
}

// Imports returns how many caches the engine has taken in.
func (e *Engine) Imports() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.caches.imports
}

// cached reports whether the engine has a session's cache, and keeps one from
// now on.
func (e *Engine) cached(session, version string) (hit bool) {
	if session == "" {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	name := session + "/" + version
	_, hit = e.caches.kept[name]
	if !hit {
		e.keep(name, bytes.Repeat([]byte(name[:1]), cacheBytes))
	}
	return hit
}

func (e *Engine) keep(name string, data []byte) {
	if e.caches.kept == nil {
		e.caches.kept = make(map[string][]byte)
	}
	if len(e.caches.kept) < maxSessions {
		e.caches.kept[name] = data
	}
}

func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	data, ok := e.caches.kept[r.PathValue("session")+"/"+r.URL.Query().Get("version")]
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
	e.keep(r.PathValue("session")+"/"+r.URL.Query().Get("version"), data)
	w.WriteHeader(http.StatusNoContent)
}
