// Package event holds every input and output of the control reducer as data.
package event

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
)

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Effect is something the loop shell shall do.
type Effect interface{ isEffect() }

// Tick tells the time. All other events take effect at the last tick's or
// their own instant.
type Tick struct{ Now clock.Millis }

// LogRead brings a page of a stream.
type LogRead struct {
	Now    clock.Millis
	Stream string
	Page   provider.Page
}

// LogFailed tells that a stream could not be read.
type LogFailed struct {
	Now    clock.Millis
	Stream string
	Err    error
}

// VMsListed brings the platform's VM list.
type VMsListed struct {
	Now clock.Millis
	VMs []provider.VM
}

// DigestReceived brings what a peer knows.
type DigestReceived struct {
	Now    clock.Millis
	Digest *wire.Digest
	// Reply is true when the digest answers an exchange that this process began
	// at Sent, on its own clock.
	Reply bool
	Sent  clock.Millis
}

// PeerFailed tells that a peer could not be reached.
type PeerFailed struct {
	Now clock.Millis
	VM  string
}

// RecordsReceived brings configuration records from a peer.
type RecordsReceived struct {
	Now   clock.Millis
	From  string
	Reply *wire.RecordsReply
}

// LoadReceived brings an endpoint's load from an answer.
type LoadReceived struct {
	Now  clock.Millis
	Load *wire.Load
}

// AttemptEnded tells the end of one attempt on a version, as traffic saw it.
type AttemptEnded struct {
	Now          clock.Millis
	Route        string
	Version      string
	Organisation string
	VM           string
	// Failed attempts ended without a whole answer through the version's fault.
	Failed bool
	// FirstToken and TokenGap are the spans before the first token and the mean
	// between tokens.
	FirstToken clock.Millis
	TokenGap   clock.Millis
	// Slow says that the answer missed its route's objective for either.
	Slow bool
}

// Rated brings a late rating of an answer.
type Rated struct {
	Now          clock.Millis
	Route        string
	Version      string
	Organisation string
	// Score is between 0 and 1.
	Score float64
}

// Draining tells that this process has been asked to stop.
type Draining struct{ Now clock.Millis }

// AppendDone tells the end of an Append effect.
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

// Append asks for a record on a stream; AppendDone follows with the same ID.
type Append struct {
	Stream string
	ID     string
	Data   []byte
}

// Exchange asks for a digest exchange with a peer. The shell fills the digest in
// with what the process knows at that instant; Digest adds the counts.
type Exchange struct {
	VM      string
	Address string
	Digest  *wire.Digest
}

// FetchRecords asks a peer for configuration records.
type FetchRecords struct {
	VM      string
	Address string
	From    int64
}

// Publish asks the shell to publish the state's view to traffic.
type Publish struct{}

// WriteLog asks for a log line about a verdict on a change.
type WriteLog struct {
	Message string
	Fields  []any
}

func (Append) isEffect()       {}
func (Exchange) isEffect()     {}
func (FetchRecords) isEffect() {}
func (Publish) isEffect()      {}
func (WriteLog) isEffect()     {}
