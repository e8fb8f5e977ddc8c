package gate

import "github.com/parsleydeal/parsleydeal/clock"

// Request describes a request to the gate.
type Request struct {
	Organisation string
	// Weight is the organisation's fair share relative to others.
	Weight   int
	Priority int32
	// Bytes is the size of the body; first-token times are compared among bodies of similar
	// size.
	Bytes int
}

// State is the state of a request at the gate.
type State int

// The states of a request. Waiting becomes Admitted or Refused; Admitted becomes Finished.
const (
	Waiting State = iota
	Admitted
	Refused
	Finished
)

// Outcome says how an admitted request ended.
type Outcome int

// The outcomes of admitted requests.
const (
	// Served requests got a complete answer.
	Served Outcome = iota
	// Dropped requests ended through no fault of the endpoint: they were cancelled, or
	// refused before dispatch.
	Dropped
	// Failed requests ended with an error at the endpoint.
	Failed
	// Unreachable means that no connection to the endpoint could be made.
	Unreachable
)

// Ticket is one request at the gate.
type Ticket struct {
	request Request
	state   State
	// decided is closed when the state leaves Waiting.
	decided  chan struct{}
	admitted clock.Millis
	// windowBusy is true if at least half of the window was in use at admission: only then does an
	// on-time first token show that the endpoint has capacity for more.
	windowBusy bool
	// hasFirstToken is true once the first token was produced; onTime is true if it took no
	// longer than is typical.
	hasFirstToken bool
	onTime        bool
	// excluded is true if the first-token time must not be counted: the wait for it was already
	// counted as a spike, or the window was closed after admission.
	excluded bool
}

// Decided returns a channel that is closed when the ticket no longer waits.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

func (t *Ticket) decide(s State) {
	t.state = s
	close(t.decided)
}
