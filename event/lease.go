package event

import "github.com/parsleydeal/parsleydeal/clock"

// OrderKind is the action that an order requests from an engine.
type OrderKind string

// The kinds of orders to an engine.
const (
	LoadVersion   OrderKind = "load"
	UnloadVersion OrderKind = "unload"
	ChangeRole    OrderKind = "role"
)

// OrderOutcome is the outcome of an order.
type OrderOutcome int

// The outcomes of an order to an engine.
const (
	// OrderAccepted means that the engine accepted the order. A later EngineReported shows the effect.
	OrderAccepted OrderOutcome = iota
	// OrderRefused means that the engine refused the order, for example for lack of memory.
	OrderRefused
	// OrderFenced means that the order was refused because of an outdated fencing number.
	OrderFenced
	// OrderNotSent means that the order was not sent.
	OrderNotSent
	// OrderUnknown means that the order may have taken effect or may still do so.
	OrderUnknown
)

// EngineReported delivers the status of this VM's engine.
type EngineReported struct {
	Now        clock.Millis
	Generation uint64
	// Versions is nil if the engine does not report which versions are loaded; it then accepts no
	// orders.
	Versions []string
	Role     string
	// Busy lists the versions that have admitted attempts. Revision is that of the tables in force just
	// before Busy was read.
	Busy     []string
	Revision int64
}

// WeightsDone reports the result of a FetchWeights effect.
type WeightsDone struct {
	Now     clock.Millis
	Version string
	Err     error
}

// OrderDone reports the outcome of a SendOrder effect.
type OrderDone struct {
	Now     clock.Millis
	ID      uint64
	Outcome OrderOutcome
}

func (EngineReported) isEvent() {}
func (WeightsDone) isEvent()    {}
func (OrderDone) isEvent()      {}

// FetchWeights requests that the weight store makes a version available to this VM. A WeightsDone event
// follows.
type FetchWeights struct{ Version string }

// SendOrder sends an order to the engine. An OrderDone event with the same ID follows.
type SendOrder struct {
	ID      uint64
	Kind    OrderKind
	Version string
	Role    string
	// Fence is the fencing number: the log offset of the lease under which the order is sent.
	Fence int64
	// Until is the time after which the order must not be sent.
	Until clock.Millis
	// CompareFence is true if the engine ignores fencing numbers, so that the process must compare them
	// before it sends the order.
	CompareFence bool
}

func (FetchWeights) isEffect() {}
func (SendOrder) isEffect()    {}
