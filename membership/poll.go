package membership

import (
	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// quietAfter is how long an endpoint may say nothing before it is polled.
	quietAfter = 3 * clock.Second
	// useFor is how long after its last answer an endpoint counts as in use here.
	useFor = 5 * clock.Minute
	// pollsPerTick bounds the polls of one tick, and so the bytes they cost.
	pollsPerTick = 1
	// looksPerTick bounds the VMs looked at for that.
	looksPerTick = 32
)

// polls plans the polls of quiet endpoints.
type polls struct {
	// used holds the members whose answers came lately; at most all members.
	used []*member
	// next is where in used the last look stopped.
	next int
}

// poll asks quiet endpoints that this process uses for their load. Answers to
// requests carry loads, so busy endpoints are never asked. Each VM has an
// instant of its own, spread by hash over the quiet span, so that the polls of
// many entries neither meet at one endpoint nor leave one in a burst.
func (s *State) poll() (effects []event.Effect) {
	p := &s.polls
	for looked := 0; looked < looksPerTick && len(p.used) > 0 && len(effects) < pollsPerTick; looked++ {
		p.next = (p.next + 1) % len(p.used)
		m := p.used[p.next]
		if s.now-m.usedAt >= useFor || s.vms[m.vm.ID] != m {
			m.used = false
			p.used[p.next] = p.used[len(p.used)-1]
			p.used = p.used[:len(p.used)-1]
			continue
		}
		if !s.pollDue(m) {
			continue
		}
		m.pollAt = s.now + quietAfter/2 + phase(s.self, m.vm.ID)
		effects = append(effects, event.Exchange{VM: m.vm.ID, Address: m.vm.Address})
	}
	return effects
}

func (s *State) pollDue(m *member) bool {
	if m.vm.Role != provider.EndpointRole || m.vm.ID == s.self || m.suspected {
		return false
	}
	return s.now-m.heardAt >= quietAfter && s.now >= m.pollAt
}

// phase spreads instants over one quiet span.
func phase(self, vm string) clock.Millis {
	return clock.Millis(xxhash.Sum64String(self+"/"+vm) % uint64(quietAfter))
}
