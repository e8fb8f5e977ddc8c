package bill

import (
	"github.com/parsleydeal/parsleydeal/batch"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// Event is an input of a Ledger.
type Event interface{ isEvent() }

// Effect is an action that the caller of Reduce must perform for a Ledger.
type Effect interface{ isEffect() }

// Finish adds the bill of a finished request. Reserved is true if Reserve was called for it. An
// endpoint makes a bill without a reservation if the entry went away before it billed a step. Such a
// bill is accepted beyond the bound, as it would otherwise be lost.
type Finish struct {
	Now      clock.Millis
	Bill     *wire.Bill
	Reserved bool
}

// HoldReplied reports the reply of a process to Hold.
type HoldReplied struct {
	Now     clock.Millis
	Request string
	VM      string
	Held    bool
}

// HoldRequested carries bills that another process asks this one to hold. Zone is the availability
// zone of the copy that already exists. If there are several copies, it lists their zones,
// separated by spaces.
type HoldRequested struct {
	Now    clock.Millis
	Zone   string
	Keeper string
	Bills  []*wire.Bill
}

// Stored reports that bills are on the log, by the IDs of their Append effects.
type Stored struct{ IDs []string }

// Released reports that, according to another process, bills are on the log.
type Released struct{ Requests []string }

// MembersChanged replaces the assignment of appenders and holders after a change of the members.
type MembersChanged struct {
	Now        clock.Millis
	Assignment *batch.Assignment
}

// Tick reports the current time.
type Tick struct{ Now clock.Millis }

// Drain reports that this process is stopping: it transfers the bills it keeps to others.
type Drain struct{ Now clock.Millis }

// Hold asks a process to hold a bill. The node answers with HoldReplied, also if the call fails.
type Hold struct {
	VM      string
	Address string
	// Zone is the availability zone of the copy that already exists. If there are several copies,
	// it lists their zones, separated by spaces. Keeper is the process that made the bill, if that
	// is another process and still live; empty means that this process acts as the keeper.
	Zone   string
	Keeper string
	Bill   *wire.Bill
}

// Append requests that a bill be appended to the log. Once it is on the log, the node answers with
// Stored and the same ID.
type Append struct {
	ID   string
	Bill *wire.Bill
}

// Withdraw cancels Append effects, by their IDs, whose bills have not been sent to the log yet.
type Withdraw struct{ IDs []string }

// Safe reports that a bill has two copies or is on the log, so the last piece of the answer may be
// sent.
type Safe struct{ Request string }

// Release requests that a process be notified that bills are on the log.
type Release struct {
	VM       string
	Requests []string
}

// ReplyHold is the reply to HoldRequested. Reason explains a refusal.
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
