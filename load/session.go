package load

import "sync"

// sessions keeps the latest token and version of each session of a plan, so at
// most as many as the plan has for each organisation and route.
type sessions struct {
	mu   sync.Mutex
	last map[sessionKey]kept
}

type sessionKey struct {
	organisation, route string
	number              int
}

type kept struct{ token, version string }

func newSessions() *sessions { return &sessions{last: make(map[sessionKey]kept)} }

func keyOf(q *request) sessionKey {
	return sessionKey{q.organisation.Name, q.route.Name, q.session}
}

// get returns the token to send and the version it stands for; the token is
// empty for a new session.
func (s *sessions) get(q *request) kept {
	if q.route == nil || q.session < 0 {
		return kept{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last[keyOf(q)]
}

// keep takes the token of an answer.
func (s *sessions) keep(q *request, token, version string) {
	if q.route == nil || q.session < 0 || token == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[keyOf(q)] = kept{token, version}
}
