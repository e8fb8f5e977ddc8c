package load

import "sync"

// sessions stores the latest token and version of each session. For each organisation and route it
// stores at most Plan.Sessions sessions.
type sessions struct {
	mu   sync.Mutex
	last map[sessionKey]sessionState
}

type sessionKey struct {
	organisation, route string
	number              int
}

type sessionState struct{ token, version string }

func newSessions() *sessions { return &sessions{last: make(map[sessionKey]sessionState)} }

func keyOf(q *request) sessionKey {
	return sessionKey{q.organisation.Name, q.route.Name, q.session}
}

// get returns the session token to send and the version in the answer that the token came with.
// Both are empty for a new session and for a request outside sessions.
func (s *sessions) get(q *request) sessionState {
	if q.route == nil || q.session < 0 {
		return sessionState{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[keyOf(q)]
}

// store records the token of an answer; it ignores an empty token.
func (s *sessions) store(q *request, token, version string) {
	if q.route == nil || q.session < 0 || token == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[keyOf(q)] = sessionState{token, version}
}
