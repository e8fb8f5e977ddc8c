package site

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// Event is something that the state learns of.
type Event interface{ event() }

// Tick tells the time.
type Tick struct{ Now clock.Millis }

// OperatorRead is an answer of the operators' stream. Whole answers list all
// that is in force.
type OperatorRead struct {
	Now clock.Millis
	// SentAt is when the read was sent: what it says was true then or later.
	SentAt clock.Millis
	Full   bool
	Update OperatorUpdate
	// Records are what News was made of; From and Next are the offsets between
	// which they are complete.
	Records []Record
	From    int64
	Next    int64
}

// StoreFailed tells that the store did not answer.
type StoreFailed struct{ Now clock.Millis }

// EndpointsRead is an answer of the endpoints' stream.
type EndpointsRead struct {
	Now clock.Millis
	// SentAt is when the read was sent.
	SentAt  clock.Millis
	Full    bool
	Changes []fleet.Change
	// Records are what Changes was made of.
	Records []Record
}

// VerdictsRead is an answer of the status stream.
type VerdictsRead struct {
	Now      clock.Millis
	Verdicts []Verdict
	// Next is the offset at which the stream ended.
	Next int64
}

// EntriesRead lists the addresses of the entries by name.
type EntriesRead struct {
	Now       clock.Millis
	Addresses map[string]string
}

// ReportReceived is a report of another entry.
type ReportReceived struct {
	Now    clock.Millis
	Report *wire.EntryReport
	// Update and Changes are what the report's records say.
	Update  OperatorUpdate
	Changes []fleet.Change
}

// TrafficCounts is what this process's traffic has counted since it started.
type TrafficCounts struct {
	Now    clock.Millis
	Counts map[string]upgrade.Counts
	// Running is the number of requests under way by service and version.
	Running map[string]map[string]int
	// KeptSessions lists by service the sessions that stay on the old version of an
	// upgrade although their number belongs to the new one.
	KeptSessions map[string][]uint64
}

// Leave tells that the process was asked to stop.
type Leave struct{}

// WriteDone tells that a verdict was appended or found taken.
type WriteDone struct {
	Now     clock.Millis
	Verdict Verdict
	Err     error
}

func (Tick) event()           {}
func (OperatorRead) event()   {}
func (EndpointsRead) event()  {}
func (VerdictsRead) event()   {}
func (EntriesRead) event()    {}
func (ReportReceived) event() {}
func (TrafficCounts) event()  {}
func (WriteDone) event()      {}
func (Leave) event()          {}
func (StoreFailed) event()    {}

// Effect is something that the state asks for.
type Effect interface{ effect() }

// Publish asks for a new view.
type Publish struct{}

// Write asks to append a verdict, if the status stream still ends at an offset.
type Write struct {
	Verdict Verdict
	At      int64
}

// LogLine asks for a log line.
type LogLine struct {
	Message string
	Fields  []any
	Warn    bool
}

// SendReport asks to send a report to the other entries, or to one address.
type SendReport struct {
	Report *wire.EntryReport
	// To is empty for all others.
	To string
}

func (SendReport) effect() {}
func (Publish) effect()    {}
func (Write) effect()      {}
func (LogLine) effect()    {}
