package site

import (
	"cmp"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

const (
	// defaultSessionTTL is how long a session keeps its version after its last request unless Self says otherwise.
	defaultSessionTTL = 7 * clock.Second
	// maxRetainedSessions limits the sessions that are kept for processes that are gone.
	maxRetainedSessions = 8192
)

// keptSessions are sessions that stay on the old version of a service until a time. They outlive the process that reported
// them: its callers go on at other entries.
type keptSessions struct {
	service string
	// order is the position of the order.
	order  Position
	hashes []uint64
	until  clock.Millis
}

// sessionTTL returns how long a session keeps its version after its last request.
func (s *State) sessionTTL() clock.Millis { return cmp.Or(s.self.SessionTTL, defaultSessionTTL) }

// retainSessions retains the sessions that the process of a peer kept on old versions. Another process has taken its
// place.
func (s *State) retainSessions(p *peer) (effects []Effect) {
	n := 0
	for _, u := range p.upgrades {
		if len(u.GetKept()) > 0 {
			s.retained = append(s.retained, keptSessions{u.GetService(), Position{u.GetEra(), u.GetNumber()}, u.GetKept(), p.lastSeenAt + s.sessionTTL()})
			n += len(u.GetKept())
		}
	}
	if n == 0 {
		return nil
	}
	s.limitRetained()
	return []Effect{LogLine{Message: "Sessions of a process that is gone keep their version", Fields: []any{"process", p.report.GetProcess(), "sessions", n, "for", p.lastSeenAt + s.sessionTTL() - s.now}}}
}

// limitRetained drops the oldest of the retained sessions beyond maxRetainedSessions.
func (s *State) limitRetained() {
	n := 0
	for i, r := range slices.Backward(s.retained) {
		if n += len(r.hashes); n > maxRetainedSessions {
			s.retained = slices.Clone(s.retained[i+1:])
			return
		}
	}
}

// endRetained forgets sessions whose time is over.
func (s *State) endRetained() (effects []Effect) {
	n := len(s.retained)
	s.retained = slices.DeleteFunc(s.retained, func(r keptSessions) bool { return s.now >= r.until })
	if len(s.retained) < n {
		effects = append(effects, Publish{})
	}
	return effects
}

// keptByOthers returns the sessions that other entries keep on the old version of an order's service, or kept until their
// process ended.
func (s *State) keptByOthers(o upgrade.Order) map[uint64]bool {
	kept := make(map[uint64]bool)
	for _, r := range s.sessionsByOthers() {
		if r.service == o.Service && sameOrderAt(r.order, o) {
			for _, h := range r.hashes {
				kept[h] = true
			}
		}
	}
	return kept
}

// sessionsByOthers returns what other processes keep or kept on old versions. A process that reports nothing any more
// may be gone.
func (s *State) sessionsByOthers() (all []keptSessions) {
	for _, p := range s.peers {
		until := p.lastSeenAt + s.sessionTTL()
		for _, u := range p.upgrades {
			if len(u.GetKept()) > 0 && s.now < until {
				all = append(all, keptSessions{u.GetService(), Position{u.GetEra(), u.GetNumber()}, u.GetKept(), until})
			}
		}
	}
	for _, r := range s.retained {
		if s.now < r.until {
			all = append(all, r)
		}
	}
	return all
}

// sessionsToWire returns the sessions on old versions for an entry that starts: its callers come back to it with sessions
// that its predecessor or another process kept. Each session is named once, however often it was handed on.
func (s *State) sessionsToWire() (out []*wire.KeptSessions) {
	all := s.sessionsByOthers()
	for service, hashes := range s.keptSessions {
		if u := s.upgrades[service]; u != nil && len(hashes) > 0 {
			all = append(all, keptSessions{service, positionOf(u.Order().Number), hashes, s.now + s.sessionTTL()})
		}
	}
	slices.SortStableFunc(all, func(a, b keptSessions) int { return cmp.Compare(b.until, a.until) })
	type session struct {
		service string
		hash    uint64
	}
	seen := make(map[session]bool)
	for _, r := range all {
		k := &wire.KeptSessions{Service: r.service, Number: r.order.Offset, Era: r.order.Era, RemainingMillis: int64(r.until - s.now)}
		for _, h := range r.hashes {
			if x := (session{r.service, h}); !seen[x] && len(seen) < maxRetainedSessions {
				seen[x] = true
				k.Hashes = append(k.Hashes, h)
			}
		}
		if len(k.Hashes) > 0 {
			out = append(out, k)
		}
	}
	return out
}

// sessionsFromWire returns the sessions of a state that was built at the time builtAt.
func sessionsFromWire(all []*wire.KeptSessions, builtAt clock.Millis) (out []keptSessions) {
	for _, x := range all {
		out = append(out, keptSessions{x.GetService(), Position{x.GetEra(), x.GetNumber()}, x.GetHashes(), builtAt + clock.Millis(x.GetRemainingMillis())})
	}
	return out
}

// noteKept takes what this process keeps on old versions. The first sessions are reported at once: they may come to
// another entry with their next request.
func (s *State) noteKept(kept map[string][]uint64) (effects []Effect) {
	first := false
	for service, hashes := range kept {
		first = first || len(hashes) > 0 && len(s.keptSessions[service]) == 0
	}
	if s.keptSessions = kept; !first {
		return nil
	}
	return []Effect{s.broadcast()}
}
