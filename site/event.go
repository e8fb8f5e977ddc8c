package site

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/upgrade"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Tick reports the current time.
type Tick struct{ Now clock.Millis }

// StoodStill reports that the process did nothing for a while: its VM was suspended, or had no processor. What it knows,
// and what it read before, may be older than it seems.
type StoodStill struct {
	Now clock.Millis
	For clock.Millis
}

// OperatorRead is the result of a read of the operators' stream. A full result lists everything
// in force.
type OperatorRead struct {
	Now clock.Millis
	// SentAt is when the read was sent: the result reflects the stream at that time or later.
	SentAt clock.Millis
	Full   bool
	Update OperatorUpdate
	// Records are the records that Update was decoded from. They are complete between the offsets
	// From and Next.
	Records []Record
	From    int64
	// Next is the position up to which the stream was read.
	Next Position
	// Starts holds when entries started the upgrades of the orders, by service.
	Starts map[string]OrderStart
}

// StoreFailed reports that a call to the store failed.
type StoreFailed struct{ Now clock.Millis }

// OperatorReadOverdue reports that a read of the operators' stream that was sent at SentAt should have ended.
type OperatorReadOverdue struct {
	Now    clock.Millis
	SentAt clock.Millis
}

// ConfigFound is a configuration that was found among earlier records.
type ConfigFound struct {
	Now    clock.Millis
	Update OperatorUpdate
}

// EndpointsRead is the result of a read of the endpoints' stream. A full result lists all
// endpoints.
type EndpointsRead struct {
	Now clock.Millis
	// SentAt is when the read was sent.
	SentAt  clock.Millis
	Full    bool
	Changes []fleet.Change
	// Records are the records that Changes was decoded from.
	Records []Record
	// Next is the position up to which the stream was read.
	Next Position
}

// VerdictsRead is the result of a read of the status stream.
type VerdictsRead struct {
	Now      clock.Millis
	Verdicts []Verdict
	// Full is true if Verdicts lists all that are in the store.
	Full bool
	// Next is the position at which the stream ended.
	Next Position
}

// EntriesRead lists the addresses of the registered entries by name.
type EntriesRead struct {
	Now       clock.Millis
	Addresses map[string]string
}

// ReportReceived is a report from another entry.
type ReportReceived struct {
	Now    clock.Millis
	Report *wire.EntryReport
	// Update and Changes are decoded from the report's records.
	Update  OperatorUpdate
	Changes []fleet.Change
}

// TrafficCounts is what this process has counted in its traffic since it started.
type TrafficCounts struct {
	Now    clock.Millis
	Counts map[string]upgrade.Counts
	// Latencies holds the latency samples by service.
	Latencies map[string]upgrade.Latencies
	// Orders is the number of the order to which the counts of a service's new version belong.
	Orders map[string]int64
	// Running is the number of requests in progress by service and version.
	Running map[string]map[string]int
	// KeptSessions lists by service the hashes of the sessions that stay on the old version of an
	// upgrade although their hash is in the new version's share.
	KeptSessions map[string][]uint64
}

// Leave reports that the process was asked to stop.
type Leave struct{}

// Stop reports that the process has answered its last request.
type Stop struct{ Now clock.Millis }

// WriteDone reports that an append of a verdict at the position At ended. Era is the era of the store
// in which the record was added. Err is ErrMoved if the stream ended at another offset.
type WriteDone struct {
	Now     clock.Millis
	Verdict Verdict
	At      Position
	Era     int64
	Err     error
}

func (Tick) event()                {}
func (StoodStill) event()          {}
func (OperatorReadOverdue) event() {}
func (ConfigFound) event()         {}
func (OperatorRead) event()        {}
func (EndpointsRead) event()       {}
func (VerdictsRead) event()        {}
func (EntriesRead) event()         {}
func (ReportReceived) event()      {}
func (TrafficCounts) event()       {}
func (WriteDone) event()           {}
func (Leave) event()               {}
func (Stop) event()                {}
func (StoreFailed) event()         {}

// Effect is an action that the reducer requests.
type Effect interface{ effect() }

// Publish publishes a new view.
type Publish struct{}

// Write appends a verdict if the status stream still ends at the position At. Start is recorded before it; nil if
// there is nothing to record.
type Write struct {
	Verdict Verdict
	At      Position
	Start   *OrderStart
}

// LogLine writes a log line.
type LogLine struct {
	Message string
	Fields  []any
	Warn    bool
}

// SendReport sends a report to all other entries, or to one address.
type SendReport struct {
	Report *wire.EntryReport
	// To is the recipient's address; empty for all other entries.
	To string
}

func (SendReport) effect() {}
func (Publish) effect()    {}
func (Write) effect()      {}
func (LogLine) effect()    {}
