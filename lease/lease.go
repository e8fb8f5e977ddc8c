// Package lease drives the engine beside an endpoint process to the versions and
// the role that the tables give its pool. Orders go out one at a time, each under
// a lease whose offset on the log is the order's fencing number.
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
	// Lifetime is how long a lease is used, counted from before it was asked for, so
	// that it lapses here no later than anyone else may think.
	Lifetime = 30 * clock.Second
	// OrderLifetime is the longest time in which an order may still have effect after
	// its lease lapsed or its answer was lost.
	OrderLifetime = 10 * clock.Second
	// retryLeast and retryMost bound the pause after a failure; it doubles.
	retryLeast = 500 * clock.Millis(1)
	retryMost  = 30 * clock.Second
	// effectTime is how long an accepted order may take until it shows.
	effectTime = 10 * clock.Minute
	// WeightsTimeout is how long the store may take before it is asked again.
	WeightsTimeout = 10 * clock.Minute
)

// Env is what the rest of control knows.
type Env struct {
	VM    string
	Epoch uint64
	// Versions are those that the engine shall have, without withdrawn ones.
	Versions  []string
	Withdrawn func(version string) bool
	// Role is empty when the tables leave it to the engine.
	Role string
	// ChecksFencing says that the engine refuses old fencing numbers by itself.
	ChecksFencing bool
	// Revision is that of the tables.
	Revision int64
}

// State reduces the orders of one engine. The zero value knows nothing.
type State struct {
	now clock.Millis
	// started is when this process began; begun is true once it is known.
	started clock.Millis
	begun   bool
	engine  *event.EngineReported
	// fence is the lease's offset and until the instant at which it lapses here;
	// asked is when the append under way was asked for, and taking its ID.
	fence  int64
	until  clock.Millis
	asked  clock.Millis
	taking string
	// order is the one order under way, nil when there is none.
	order *order
	// quiet is the instant before which no order may be given, because an earlier
	// one may still have effect.
	quiet clock.Millis
	// fetched is the version whose weights are here, fetching the one asked for.
	fetched  string
	fetching string
	fetchEnd clock.Millis
	// crowded is true after the engine refused to load beside what it has.
	crowded bool
	// retry is the instant before which nothing is tried again after failures.
	retry    clock.Millis
	failures int
	number   uint64
}

type order struct {
	event.SendOrder
	// taken is true once the engine has accepted the order, whose effect has not
	// shown yet.
	taken bool
	end   clock.Millis
}

// Reduce takes one event and returns the next steps towards the tables.
func (s *State) Reduce(e event.Event, k Env) (effects []event.Effect) {
	s.take(e, k)
	if s.engine == nil || s.engine.Versions == nil || !s.begun || s.engine.Revision < k.Revision {
		return nil
	}
	return s.step(k)
}

func (s *State) take(e event.Event, k Env) {
	switch e := e.(type) {
	case event.Tick:
		s.tick(e.Now)
	case event.EngineReported:
		s.tick(e.Now)
		s.see(e)
	case event.AppendDone:
		s.leased(e)
	case event.WeightsDone:
		s.weights(e, k)
	case event.OrderDone:
		s.ordered(e, k)
	}
}

func (s *State) tick(now clock.Millis) {
	s.now = max(s.now, now)
	if !s.begun {
		s.begun = true
		s.started = now
	}
}

// see takes in the engine's state. A new generation has lost what was loaded
// and the weights at hand.
func (s *State) see(e event.EngineReported) {
	if s.engine != nil && s.engine.Generation != e.Generation {
		s.fetched = ""
		s.crowded = false
		if s.order != nil && s.order.taken {
			s.order = nil
		}
	}
	s.engine = &e
	if s.order != nil && s.order.taken && s.shows(s.order) {
		s.crowded = s.crowded && s.order.Kind != event.UnloadVersion
		s.order = nil
		s.failures = 0
	}
}

// shows reports whether an order's effect is to be seen.
func (s *State) shows(o *order) bool {
	has := slices.Contains(s.engine.Versions, o.Version)
	switch o.Kind {
	case event.LoadVersion:
		return has
	case event.UnloadVersion:
		return !has
	}
	return s.engine.Role == o.Role
}

func (s *State) leased(e event.AppendDone) {
	if e.Stream != provider.LeaseStream || e.ID != s.taking {
		return
	}
	s.now = max(s.now, e.Now)
	s.taking = ""
	if e.Err != nil {
		s.fail("lease")
		return
	}
	s.fence = e.Offset
	s.until = s.asked + Lifetime
}

func (s *State) weights(e event.WeightsDone, k Env) {
	if e.Version != s.fetching {
		return
	}
	s.now = max(s.now, e.Now)
	s.fetching = ""
	if e.Err != nil {
		s.fail(k.VM + e.Version)
		return
	}
	s.fetched = e.Version
	s.failures = 0
}

func (s *State) ordered(e event.OrderDone, k Env) {
	if s.order == nil || e.ID != s.order.ID || s.order.taken {
		return
	}
	s.now = max(s.now, e.Now)
	switch e.Outcome {
	case event.OrderAccepted:
		s.order.taken = true
		s.order.end = s.now + effectTime
		return
	case event.OrderRefused:
		s.crowded = s.order.Kind == event.LoadVersion
	case event.OrderUnknown:
		s.uncertain(k)
	}
	if e.Outcome != event.OrderRefused {
		s.until = 0
	}
	s.order = nil
	s.fail(k.VM)
}

// uncertain notes an order that may still have effect. An engine that checks
// fencing numbers refuses it once it has seen a newer one; of any other engine
// the next order waits until the old one cannot have effect any more.
func (s *State) uncertain(k Env) {
	if !k.ChecksFencing {
		s.quiet = max(s.quiet, s.now+OrderLifetime)
	}
}

// fail pauses before the next try, doubled with each failure and spread by a
// hash, so that endpoints that failed together do not all come back together.
func (s *State) fail(seed string) {
	span := retryLeast << min(s.failures, 6)
	s.failures++
	span = min(span, retryMost)
	part := xxhash.Sum64String(fmt.Sprintf("%s/%d", seed, s.failures)) % 1000
	s.retry = s.now + span/2 + span*clock.Millis(part)/1000
}

// step takes the next step, at most one of each kind at a time.
func (s *State) step(k Env) (effects []event.Effect) {
	if s.order != nil {
		if s.now < s.order.end {
			return nil
		}
		s.uncertain(k)
		s.until = 0
		s.order = nil
		s.fail(k.VM)
	}
	o, ok := s.next(k)
	if !ok || s.now < s.retry {
		return nil
	}
	if o.Kind == event.LoadVersion && s.fetched != o.Version {
		return s.fetch(o.Version)
	}
	if s.now < s.quietUntil(k) {
		return nil
	}
	if s.now+OrderLifetime > s.until {
		return s.lease(k)
	}
	s.number++
	o.ID, o.Fence, o.Until, o.CompareFence = s.number, s.fence, s.now+OrderLifetime, !k.ChecksFencing
	// The order ends here only after it can no longer be given.
	s.order = &order{SendOrder: o, end: s.now + 2*OrderLifetime}
	return []event.Effect{o}
}

// quietUntil is the instant before which no order may be given. After a start
// that is the longest life of an order which an earlier process on this VM may
// have given just before it ended: its late effect would undo a newer order, and
// the engine that ignores fencing numbers would not notice.
func (s *State) quietUntil(k Env) clock.Millis {
	if k.ChecksFencing {
		return s.quiet
	}
	return max(s.quiet, s.started+OrderLifetime)
}

// next finds the order that brings the engine nearer to the tables. Withdrawn
// versions go first. What is new is loaded before what is old is unloaded, so
// that a pool that swaps versions does not run dry, unless the engine lacks room.
// A version that still answers requests stays until they have ended.
func (s *State) next(k Env) (o event.SendOrder, ok bool) {
	var missing, surplus []string
	for _, v := range k.Versions {
		if !slices.Contains(s.engine.Versions, v) {
			missing = append(missing, v)
		}
	}
	for _, v := range s.engine.Versions {
		if slices.Contains(s.engine.Busy, v) {
			continue
		}
		if k.Withdrawn(v) {
			return event.SendOrder{Kind: event.UnloadVersion, Version: v}, true
		}
		if !slices.Contains(k.Versions, v) {
			surplus = append(surplus, v)
		}
	}
	if len(missing) > 0 && (!s.crowded || len(surplus) == 0) {
		return event.SendOrder{Kind: event.LoadVersion, Version: slices.Min(missing)}, true
	}
	if len(surplus) > 0 {
		return event.SendOrder{Kind: event.UnloadVersion, Version: slices.Min(surplus)}, true
	}
	if k.Role != "" && s.engine.Role != k.Role {
		return event.SendOrder{Kind: event.ChangeRole, Role: k.Role}, true
	}
	return o, false
}

func (s *State) fetch(version string) (effects []event.Effect) {
	if s.fetching != "" && s.now < s.fetchEnd {
		return nil
	}
	s.fetching = version
	s.fetchEnd = s.now + WeightsTimeout
	return []event.Effect{event.FetchWeights{Version: version}}
}

func (s *State) lease(k Env) (effects []event.Effect) {
	if s.taking != "" && s.now < s.asked+Lifetime {
		return nil
	}
	data, err := proto.Marshal(&wire.Lease{Vm: k.VM, Epoch: k.Epoch})
	if err != nil {
		s.fail(k.VM)
		return nil
	}
	s.number++
	s.taking = fmt.Sprintf("lease-%d", s.number)
	s.asked = s.now
	return []event.Effect{event.Append{Stream: provider.LeaseStream, ID: s.taking, Data: data}}
}
