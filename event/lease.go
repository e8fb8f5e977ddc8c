package event

import "github.com/parsleydeal/parsleydeal/clock"

// OrderKind says what an engine shall do.
type OrderKind string

// The kinds of orders.
const (
	LoadVersion   OrderKind = "load"
	UnloadVersion OrderKind = "unload"
	ChangeRole    OrderKind = "role"
)

// OrderOutcome says what became of an order.
type OrderOutcome int

// The outcomes of orders.
const (
	// OrderAccepted orders were accepted; their effect shows in a later EngineSeen.
	OrderAccepted OrderOutcome = iota
	// OrderRefused orders were refused by the engine, such as for lack of room.
	OrderRefused
	// OrderFenced orders carried an old fencing number.
	OrderFenced
	// OrderNotSent orders never left.
	OrderNotSent
	// OrderUnknown orders may have had effect, or may yet have.
	OrderUnknown
)

// EngineReported brings what the engine beside this process says of itself.
type EngineReported struct {
	Now        clock.Millis
	Generation uint64
	// Versions is nil when the engine does not tell what it has loaded; it takes
	// no orders then.
	Versions []string
	Role     string
	// Busy lists the versions that answered requests at the gate, on a view with
	// tables of this Revision.
	Busy     []string
	Revision int64
}

// WeightsDone tells the end of a FetchWeights effect.
type WeightsDone struct {
	Now     clock.Millis
	Version string
	Err     error
}

// OrderDone tells the end of a GiveOrder effect.
type OrderDone struct {
	Now     clock.Millis
	ID      uint64
	Outcome OrderOutcome
}

func (EngineReported) isEvent() {}
func (WeightsDone) isEvent()    {}
func (OrderDone) isEvent()      {}

// FetchWeights asks the weight store to make a version available to this VM.
type FetchWeights struct{ Version string }

// SendOrder asks the shell to give the engine an order; OrderDone follows with
// the same ID.
type SendOrder struct {
	ID      uint64
	Kind    OrderKind
	Version string
	Role    string
	// Fence is the offset of the lease under which the order is given.
	Fence int64
	// Until is the instant after which the order may not be given any more.
	Until clock.Millis
	// CompareFence is true when the engine ignores fencing numbers, so that the shell
	// compares them itself.
	CompareFence bool
}

func (FetchWeights) isEffect() {}
func (SendOrder) isEffect()    {}
