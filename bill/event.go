package bill

import (
	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Event is an input of a Ledger.
type Event interface{ isEvent() }

// Effect is what the shell shall do for a Ledger.
type Effect interface{ isEffect() }

// Finish hands over a bill. Reserved says that Reserve took a place for it; an
// orphaned step has none and is taken beyond the bound rather than lost.
type Finish struct {
	Now      clock.Millis
	Bill     *wire.Bill
	Reserved bool
}

// HoldReplied tells what a process said to Hold.
type HoldReplied struct {
	Now     clock.Millis
	Request string
	VM      string
	Held    bool
}

// HoldRequested brings bills that another process asks this one to hold. Zone is where
// the other copy stands.
type HoldRequested struct {
	Now    clock.Millis
	Zone   string
	Keeper string
	Bills  []*wire.Bill
}

// Stored tells that bills stand on the log, by the IDs of their Append effects.
type Stored struct{ IDs []string }

// Released tells that another process saw bills on the log.
type Released struct{ Requests []string }

// MembersChanged brings the members anew.
type MembersChanged struct {
	Now   clock.Millis
	Place *batch.Assignment
}

// Tick tells the time.
type Tick struct{ Now clock.Millis }

// Drain tells that this process shall stop: it hands on what it keeps.
type Drain struct{ Now clock.Millis }

// Hold asks a process to hold a bill; Answered follows.
type Hold struct {
	VM      string
	Address string
	// Zone is where the other copy stands. Keeper has it; it is this process
	// when Keeper is empty.
	Zone   string
	Keeper string
	Bill   *wire.Bill
}

// Append asks to put a bill on the log; Stored follows with the ID.
type Append struct {
	ID   string
	Bill *wire.Bill
}

// Withdraw asks to take bills back from the journal where it has not sent them.
type Withdraw struct{ IDs []string }

// Safe tells that a bill is held twice or on the log: the last piece of the
// answer may go.
type Safe struct{ Request string }

// Release asks to tell a process that bills stand on the log.
type Release struct {
	VM       string
	Requests []string
}

// ReplyHold answers Taken.
type ReplyHold struct {
	Held   bool
	Reason string
}

func (Finish) isEvent()         {}
func (HoldReplied) isEvent()    {}
func (HoldRequested) isEvent()  {}
func (Stored) isEvent()         {}
func (Released) isEvent()       {}
func (MembersChanged) isEvent() {}
func (Tick) isEvent()           {}
func (Drain) isEvent()          {}

func (Hold) isEffect()      {}
func (Append) isEffect()    {}
func (Withdraw) isEffect()  {}
func (Safe) isEffect()      {}
func (Release) isEffect()   {}
func (ReplyHold) isEffect() {}
