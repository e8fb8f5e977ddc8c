// Package event defines the inputs (events) and outputs (effects) of the control reducer. Both are plain
// data; the node delivers the events and executes the effects.
package event

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Effect is an action that the node executes for the reducer.
type Effect interface{ isEffect() }

// Tick advances the time of the reducer. Other events are applied at their own time or, if they have none,
// at that of the last tick.
type Tick struct{ Now clock.Millis }

// LogRead delivers a page of a stream.
type LogRead struct {
	Now    clock.Millis
	Stream string
	Page   provider.Page
}

// LogFailed reports that a stream could not be read.
type LogFailed struct {
	Now    clock.Millis
	Stream string
	Err    error
}

// VMsListed delivers the platform's VM list.
type VMsListed struct {
	Now clock.Millis
	VMs []provider.VM
}

// DigestReceived delivers the digest of a peer's state.
type DigestReceived struct {
	Now    clock.Millis
	Digest *wire.Digest
	// Reply is true if the digest is the reply to an exchange that this process started. Sent is
	// when it started the exchange, by its own clock.
	Reply bool
	Sent  clock.Millis
}

// PeerFailed reports that a peer could not be reached.
type PeerFailed struct {
	Now clock.Millis
	VM  string
}

// RecordsReceived delivers configuration records from a peer.
type RecordsReceived struct {
	Now   clock.Millis
	From  string
	Reply *wire.RecordsReply
}

// LoadReceived delivers an endpoint's load report from an answer.
type LoadReceived struct {
	Now  clock.Millis
	Load *wire.Load
}

// AttemptEnded reports the end of one attempt on a version.
type AttemptEnded struct {
	Now          clock.Millis
	Route        string
	Version      string
	Organisation string
	VM           string
	// Failed is true if there was no complete answer because of a fault of the version.
	Failed bool
	// FirstToken is the time to the first token, TokenGap the mean time between tokens.
	FirstToken clock.Millis
	TokenGap   clock.Millis
	// Slow is true if either exceeded the limit of the route's objective.
	Slow bool
}

// Rated delivers the asynchronous rating of an answer.
type Rated struct {
	Now          clock.Millis
	Route        string
	Version      string
	Organisation string
	// Score is from 0 to 1.
	Score float64
}

// Draining reports that this process was requested to stop.
type Draining struct{ Now clock.Millis }

// AppendDone reports the result of an Append effect.
type AppendDone struct {
	Now    clock.Millis
	Stream string
	ID     string
	Offset int64
	Err    error
}

func (Tick) isEvent()            {}
func (LogRead) isEvent()         {}
func (LogFailed) isEvent()       {}
func (VMsListed) isEvent()       {}
func (DigestReceived) isEvent()  {}
func (PeerFailed) isEvent()      {}
func (RecordsReceived) isEvent() {}
func (LoadReceived) isEvent()    {}
func (AttemptEnded) isEvent()    {}
func (Rated) isEvent()           {}
func (Draining) isEvent()        {}
func (AppendDone) isEvent()      {}

// Append appends a record to a stream. An AppendDone event with the same ID follows.
type Append struct {
	Stream string
	ID     string
	Data   []byte
}

// Exchange exchanges digests with a peer. The node completes Digest with the process's state at the
// time of sending; the reducer sets only the outcome counts of versions.
type Exchange struct {
	VM      string
	Address string
	Digest  *wire.Digest
}

// FetchRecords requests configuration records from a peer, starting at offset From.
type FetchRecords struct {
	VM      string
	Address string
	From    int64
}

// Publish publishes the current view of the state to the request path.
type Publish struct{}

// WriteLog writes a log line, for example on the outcome of a change.
type WriteLog struct {
	Message string
	Fields  []any
}

func (Append) isEffect()       {}
func (Exchange) isEffect()     {}
func (FetchRecords) isEffect() {}
func (Publish) isEffect()      {}
func (WriteLog) isEffect()     {}
