package membership

import (
	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
)

const (
	// pollAfterSilence is how long an endpoint must have sent no message before it is polled.
	pollAfterSilence = 3 * clock.Second
	// useDuration is how long after its last answer to this process an endpoint counts as used.
	useDuration = 5 * clock.Minute
	// maxPollsPerTick bounds the polls sent in one tick and thereby their network traffic.
	maxPollsPerTick = 1
	// maxChecksPerTick bounds the VMs that are checked for a due poll in one tick.
	maxChecksPerTick = 32
)

// polls plans the polls of endpoints that have sent no message for a while.
type polls struct {
	// used holds the members that answered requests of this process. Those that did so more than
	// useDuration ago are removed when they are checked.
	used []*member
	// next is the index in used of the member checked last; the next tick continues after it.
	next int
}

// poll requests the load of endpoints that this process uses and that have sent no message for a
// while. Answers to requests carry loads, so busy endpoints are never polled. The polls are spread
// over pollAfterSilence by a hash of process and VM, so that polls of many entries don't reach an
// endpoint at once and one entry doesn't send its polls in a burst.
func (s *State) poll() (effects []event.Effect) {
	p := &s.polls
	for checked := 0; checked < maxChecksPerTick && len(p.used) > 0 && len(effects) < maxPollsPerTick; checked++ {
		p.next = (p.next + 1) % len(p.used)
		m := p.used[p.next]
		if s.now-m.usedAt >= useDuration || s.vms[m.vm.ID] != m {
			m.used = false
			p.used[p.next] = p.used[len(p.used)-1]
			p.used = p.used[:len(p.used)-1]
			continue
		}
		if !s.pollDue(m) {
			continue
		}
		m.pollAt = s.now + pollAfterSilence/2 + pollPhase(s.self, m.vm.ID)
		effects = append(effects, event.Exchange{VM: m.vm.ID, Address: m.vm.Address})
	}
	return effects
}

func (s *State) pollDue(m *member) bool {
	if m.vm.Role != provider.EndpointRole || m.vm.ID == s.self || m.suspected {
		return false
	}
	return s.now-m.lastSeenAt >= pollAfterSilence && s.now >= m.pollAt
}

// pollPhase returns a delay between 0 and pollAfterSilence that is fixed for the pair of VMs.
func pollPhase(self, vm string) clock.Millis {
	return clock.Millis(xxhash.Sum64String(self+"/"+vm) % uint64(pollAfterSilence))
}
