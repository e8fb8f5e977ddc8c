package relay

import (
	"slices"
	"sync"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/site"
)

// sessions records the version that served each session last, by the hash of the session, until
// the session has been idle for idleTimeout and a grace period.
type sessions struct {
	idleTimeout clock.Millis
	mu          sync.Mutex
	all         map[uint64]*session
}

type session struct {
	service string
	version string
	// running counts the requests in flight; endedAt is when the last one ended.
	running int
	endedAt clock.Millis
}

func newSessions(idleTimeout clock.Millis) *sessions {
	return &sessions{idleTimeout: idleTimeout, all: make(map[uint64]*session)}
}

// SessionGrace extends the idle timeout, because the next request of a session may have been in
// transit for that long.
const SessionGrace = 2 * clock.Second

func (s *sessions) active(x *session, now clock.Millis) bool {
	return x.running > 0 || now-x.endedAt <= s.idleTimeout+SessionGrace
}

// begin records the version that a session's request is sent to; end records the end of the
// request.
func (s *sessions) begin(hash uint64, service, version string, now func() clock.Millis) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x, ok := s.all[hash]
	if !ok {
		x = &session{}
		s.all[hash] = x
	}
	x.service, x.version = service, version
	x.running++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		x.running--
		x.endedAt = now()
	}
}

// version returns the version that a session ran on recently, or "". A session that another entry
// pins to the old version counts as having run on it.
func (s *sessions) version(hash uint64, service string, now clock.Millis, v *site.View) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.all[hash]; ok && x.service == service && s.active(x, now) {
		return x.version
	}
	if v.KeptByPeer(service, hash) {
		return v.Rule(service, now).Current
	}
	return ""
}

// pinned returns by service the sessions that run on the old version of an upgrade although their
// hash falls in the share of the new one.
func (s *sessions) pinned(v *site.View, now clock.Millis) map[string][]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]uint64)
	for hash, x := range s.all {
		rule := v.Rule(x.service, now)
		if rule.Target == "" || !rule.Pinned || x.version == rule.Target || !s.active(x, now) {
			continue
		}
		if catalog.Fraction(hash) < rule.Share {
			out[x.service] = append(out[x.service], hash)
		}
	}
	for _, hashes := range out {
		slices.Sort(hashes)
	}
	return out
}

func (s *sessions) sweep(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for hash, x := range s.all {
		if !s.active(x, now) {
			delete(s.all, hash)
		}
	}
}
