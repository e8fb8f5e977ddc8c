package relay

import (
	"slices"
	"sync"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/site"
)

// sessions remembers on which version each session ran last, by the session's
// hash, for as long as a session lasts that nobody uses.
type sessions struct {
	life clock.Millis
	mu   sync.Mutex
	all  map[uint64]*session
}

type session struct {
	service string
	version string
	// running counts its requests under way, endedAt is when the last one ended.
	running int
	endedAt clock.Millis
}

func newSessions(life clock.Millis) *sessions {
	return &sessions{life: life, all: make(map[uint64]*session)}
}

// lapse is how much longer a session is remembered than callers may pause: the
// next request of a session may have been on its way for that long.
const lapse = 2 * clock.Second

func (s *sessions) alive(x *session, now clock.Millis) bool {
	return x.running > 0 || now-x.endedAt <= s.life+lapse
}

// use notes the version that a session's request is sent to, and its end.
func (s *sessions) use(hash uint64, service, version string, now func() clock.Millis) (end func()) {
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

// version returns the version that a session ran on lately, or "". A session
// that another entry keeps on the old version counts as having run there.
func (s *sessions) version(hash uint64, service string, now clock.Millis, v *site.View) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.all[hash]; ok && x.service == service && s.alive(x, now) {
		return x.version
	}
	if v.KeptByPeer(service, hash) {
		return v.Rule(service, now).Current
	}
	return ""
}

// kept lists by service the sessions that run on the old version of an upgrade
// although their number belongs to the new one.
func (s *sessions) kept(v *site.View, now clock.Millis) map[string][]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]uint64)
	for hash, x := range s.all {
		rule := v.Rule(x.service, now)
		if rule.Target == "" || !rule.Pinned || x.version == rule.Target || !s.alive(x, now) {
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
		if !s.alive(x, now) {
			delete(s.all, hash)
		}
	}
}
