// Package lease reconciles the engine beside an endpoint process with the versions and the role
// that the tables set for its pool. It sends one order at a time to load a version, unload a
// version or change the role. Each order is sent under a lease, whose offset on the log is the
// order's fencing number.
package lease

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"google.golang.org/protobuf/proto"
)

const (
	// Lifetime is how long a lease is valid. The time starts before the lease is requested, so that
	// the lease expires here no later than any other process assumes.
	Lifetime = 30 * clock.Second
	// OrderLifetime is the longest time that an order may still take effect after its lease expired
	// or its reply was lost.
	OrderLifetime = 10 * clock.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failure, which doubles each time.
	minRetryDelay = 500 * clock.Millis(1)
	maxRetryDelay = 30 * clock.Second
	// effectTimeout is how long an accepted order may take until the engine reports its effect.
	effectTimeout = 10 * clock.Minute
	// WeightsTimeout is how long a fetch of weights may take before it is repeated.
	WeightsTimeout = 10 * clock.Minute
)

// Env is the input of the reducer besides events.
type Env struct {
	VM    string
	Epoch uint64
	// Versions lists the versions that the engine must load. It contains no withdrawn ones.
	Versions []string
	// Withdrawn reports whether a version is withdrawn. It must not be nil.
	Withdrawn func(version string) bool
	// Role is empty if the tables do not set one.
	Role string
	// ChecksFencing is true if the engine itself refuses outdated fencing numbers.
	ChecksFencing bool
	// Revision is the revision of the tables.
	Revision int64
}

// State is the reducer of the orders to one engine. The zero value is ready to use. It is not safe
// for concurrent use.
type State struct {
	now clock.Millis
	// startedAt is the start of this process, by the first Tick or EngineReported; hasStart is true
	// once it is set.
	startedAt clock.Millis
	hasStart  bool
	engine    *event.EngineReported
	// fence is the log offset of the current lease; leaseExpiresAt is when the lease expires by this
	// process's clock.
	fence          int64
	leaseExpiresAt clock.Millis
	// leaseRequestedAt is when the pending lease was requested; pendingLease is the ID of its append,
	// or empty.
	leaseRequestedAt clock.Millis
	pendingLease     string
	// order is the current order, or nil.
	order *order
	// ordersBlockedUntil is the time before which no order may be sent, because an earlier one may
	// still take effect.
	ordersBlockedUntil clock.Millis
	// fetchedVersion is the version whose weights were fetched last, fetchingVersion the one being
	// fetched, and fetchDeadline when that fetch is repeated.
	fetchedVersion  string
	fetchingVersion string
	fetchDeadline   clock.Millis
	// noRoom is true after the engine refused to load a version beside those it has.
	noRoom bool
	// retryAt is the time of the next try after failures.
	retryAt  clock.Millis
	failures int
	lastID   uint64
}

type order struct {
	event.SendOrder
	// accepted is true once the engine has accepted the order but not reported its effect.
	accepted bool
	deadline clock.Millis
}

// Reduce applies one event and returns the next effects. It returns none until the engine has
// reported its versions at the current revision of the tables.
func (s *State) Reduce(e event.Event, env Env) (effects []event.Effect) {
	s.apply(e, env)
	if s.engine == nil || s.engine.Versions == nil || !s.hasStart || s.engine.Revision < env.Revision {
		return nil
	}
	return s.nextStep(env)
}

func (s *State) apply(e event.Event, env Env) {
	switch e := e.(type) {
	case event.Tick:
		s.tick(e.Now)
	case event.EngineReported:
		s.tick(e.Now)
		s.updateEngine(e)
	case event.AppendDone:
		s.leaseAppended(e)
	case event.WeightsDone:
		s.weightsFetched(e, env)
	case event.OrderDone:
		s.orderFinished(e, env)
	}
}

func (s *State) tick(now clock.Millis) {
	s.now = max(s.now, now)
	if !s.hasStart {
		s.hasStart = true
		s.startedAt = now
	}
}

// updateEngine records the engine's reported state. A new generation of the engine has lost the
// loaded versions and the fetched weights.
func (s *State) updateEngine(e event.EngineReported) {
	if s.engine != nil && s.engine.Generation != e.Generation {
		s.fetchedVersion = ""
		s.noRoom = false
		if s.order != nil && s.order.accepted {
			s.order = nil
		}
	}
	s.engine = &e
	if s.order != nil && s.order.accepted && s.inEffect(s.order) {
		s.noRoom = s.noRoom && s.order.Kind != event.UnloadVersion
		s.order = nil
		s.failures = 0
	}
}

// inEffect reports whether the engine reported the effect of an order.
func (s *State) inEffect(o *order) bool {
	loaded := slices.Contains(s.engine.Versions, o.Version)
	switch o.Kind {
	case event.LoadVersion:
		return loaded
	case event.UnloadVersion:
		return !loaded
	}
	return s.engine.Role == o.Role
}

func (s *State) leaseAppended(e event.AppendDone) {
	if e.Stream != provider.LeaseStream || e.ID != s.pendingLease {
		return
	}
	s.now = max(s.now, e.Now)
	s.pendingLease = ""
	if e.Err != nil {
		s.backOff("lease")
		return
	}
	s.fence = e.Offset
	s.leaseExpiresAt = s.leaseRequestedAt + Lifetime
}

func (s *State) weightsFetched(e event.WeightsDone, env Env) {
	if e.Version != s.fetchingVersion {
		return
	}
	s.now = max(s.now, e.Now)
	s.fetchingVersion = ""
	if e.Err != nil {
		s.backOff(env.VM + e.Version)
		return
	}
	s.fetchedVersion = e.Version
	s.failures = 0
}

func (s *State) orderFinished(e event.OrderDone, env Env) {
	if s.order == nil || e.ID != s.order.ID || s.order.accepted {
		return
	}
	s.now = max(s.now, e.Now)
	switch e.Outcome {
	case event.OrderAccepted:
		s.order.accepted = true
		s.order.deadline = s.now + effectTimeout
		return
	case event.OrderRefused:
		s.noRoom = s.order.Kind == event.LoadVersion
	case event.OrderUnknown:
		s.blockOrders(env)
	}
	if e.Outcome != event.OrderRefused {
		s.leaseExpiresAt = 0
	}
	s.order = nil
	s.backOff(env.VM)
}

// blockOrders delays further orders because the current one may still take effect. An engine that
// checks fencing numbers refuses it once it has seen a newer one; for any other engine the next
// order waits until the old one can no longer take effect.
func (s *State) blockOrders(env Env) {
	if !env.ChecksFencing {
		s.ordersBlockedUntil = max(s.ordersBlockedUntil, s.now+OrderLifetime)
	}
}

// backOff delays the next try. The delay doubles with each failure and is spread by a hash, so that
// endpoints that failed together do not retry together.
func (s *State) backOff(seed string) {
	delay := minRetryDelay << min(s.failures, 6)
	s.failures++
	delay = min(delay, maxRetryDelay)
	perMille := xxhash.Sum64String(fmt.Sprintf("%s/%d", seed, s.failures)) % 1000
	s.retryAt = s.now + delay/2 + delay*clock.Millis(perMille)/1000
}

// nextStep returns the next effect, if one is due. At most one of each kind is pending.
func (s *State) nextStep(env Env) (effects []event.Effect) {
	if s.order != nil {
		if s.now < s.order.deadline {
			return nil
		}
		s.blockOrders(env)
		s.leaseExpiresAt = 0
		s.order = nil
		s.backOff(env.VM)
	}
	o, ok := s.nextOrder(env)
	if !ok || s.now < s.retryAt {
		return nil
	}
	if o.Kind == event.LoadVersion && s.fetchedVersion != o.Version {
		return s.fetchWeights(o.Version)
	}
	if s.now < s.ordersAllowedAt(env) {
		return nil
	}
	if s.now+OrderLifetime > s.leaseExpiresAt {
		return s.requestLease(env)
	}
	s.lastID++
	o.ID, o.Fence, o.Until, o.CompareFence = s.lastID, s.fence, s.now+OrderLifetime, !env.ChecksFencing
	// This deadline is later than Until, so the order times out only after it can no longer be
	// sent.
	s.order = &order{SendOrder: o, deadline: s.now + 2*OrderLifetime}
	return []event.Effect{o}
}

// ordersAllowedAt returns the time before which no order may be sent. If the engine ignores fencing
// numbers, this is at least OrderLifetime after the start: an earlier process on this VM may have
// sent an order just before it ended, whose late effect would undo a newer one.
func (s *State) ordersAllowedAt(env Env) clock.Millis {
	if env.ChecksFencing {
		return s.ordersBlockedUntil
	}
	return max(s.ordersBlockedUntil, s.startedAt+OrderLifetime)
}

// nextOrder returns the next order that brings the engine closer to the state set in the tables; ok
// is false if none is needed. Withdrawn versions are unloaded first. New versions are loaded before
// old ones are unloaded, so that a pool that swaps versions keeps its capacity, unless the engine
// lacks room. A version that still serves requests stays loaded until they have ended.
func (s *State) nextOrder(env Env) (o event.SendOrder, ok bool) {
	var missing, surplus []string
	for _, v := range env.Versions {
		if !slices.Contains(s.engine.Versions, v) {
			missing = append(missing, v)
		}
	}
	for _, v := range s.engine.Versions {
		if slices.Contains(s.engine.Busy, v) {
			continue
		}
		if env.Withdrawn(v) {
			return event.SendOrder{Kind: event.UnloadVersion, Version: v}, true
		}
		if !slices.Contains(env.Versions, v) {
			surplus = append(surplus, v)
		}
	}
	if len(missing) > 0 && (!s.noRoom || len(surplus) == 0) {
		return event.SendOrder{Kind: event.LoadVersion, Version: slices.Min(missing)}, true
	}
	if len(surplus) > 0 {
		return event.SendOrder{Kind: event.UnloadVersion, Version: slices.Min(surplus)}, true
	}
	if env.Role != "" && s.engine.Role != env.Role {
		return event.SendOrder{Kind: event.ChangeRole, Role: env.Role}, true
	}
	return o, false
}

func (s *State) fetchWeights(version string) (effects []event.Effect) {
	if s.fetchingVersion != "" && s.now < s.fetchDeadline {
		return nil
	}
	s.fetchingVersion = version
	s.fetchDeadline = s.now + WeightsTimeout
	return []event.Effect{event.FetchWeights{Version: version}}
}

func (s *State) requestLease(env Env) (effects []event.Effect) {
	if s.pendingLease != "" && s.now < s.leaseRequestedAt+Lifetime {
		return nil
	}
	data, err := proto.Marshal(&wire.Lease{Vm: env.VM, Epoch: env.Epoch})
	if err != nil {
		s.backOff(env.VM)
		return nil
	}
	s.lastID++
	s.pendingLease = fmt.Sprintf("lease-%d", s.lastID)
	s.leaseRequestedAt = s.now
	return []event.Effect{event.Append{Stream: provider.LeaseStream, ID: s.pendingLease, Data: data}}
}
