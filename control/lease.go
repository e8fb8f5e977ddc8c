package control

import (
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/lease"
)

// WithPool sets the pool of the endpoint whose engine this process controls. For an entry the pool
// stays empty.
func (s *State) WithPool(pool string) *State {
	s.pool = pool
	return s
}

// reduceLease returns the effects that give the engine on this VM the versions and the role that
// the tables set for its pool.
func (s *State) reduceLease(e event.Event) (effects []event.Effect, changed bool) {
	switch e.(type) {
	case event.Tick, event.EngineReported, event.AppendDone, event.WeightsDone, event.OrderDone:
	default:
		return nil, false
	}
	t := s.tables.Tables()
	if s.pool == "" || t == nil || s.draining {
		return nil, false
	}
	pool, ok := t.Pools[s.pool]
	if !ok {
		return nil, false
	}
	env := lease.Env{VM: s.self, Epoch: s.epoch, Role: pool.Role, ChecksFencing: pool.ChecksFencing, Revision: s.tables.Revision()}
	for _, v := range pool.Versions {
		if t.Versions[v].Withdrawn {
			continue
		}
		env.Versions = append(env.Versions, v)
	}
	env.Withdrawn = func(version string) bool { return t.Versions[version].Withdrawn }
	return s.lease.Reduce(e, env), false
}
