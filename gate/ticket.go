package gate

import "github.com/parsleydeal/parsleydeal/clock"

// Request is what the gate needs to know of a request.
type Request struct {
	Organisation string
	// Weight is the organisation's fair share relative to others.
	Weight   int
	Priority int32
	// Bytes is the size of the body, by which first-token times are compared.
	Bytes int
}

// State is where a request stands at the gate.
type State int

// The states. Waiting becomes Admitted or Refused; Admitted becomes Finished.
const (
	Waiting State = iota
	Admitted
	Refused
	Finished
)

// Outcome says how an admitted request ended.
type Outcome int

// The outcomes.
const (
	// Served requests got a whole answer.
	Served Outcome = iota
	// Dropped requests ended through no fault of the endpoint: cancelled, or
	// turned away before dispatch.
	Dropped
	// Failed requests failed at the endpoint.
	Failed
	// Unreachable means that the endpoint took no connection.
	Unreachable
)

// Ticket is one request at the gate.
type Ticket struct {
	request Request
	state   State
	// decided is closed when the state leaves Waiting.
	decided  chan struct{}
	admitted clock.Millis
	// pressed is true when the window was at least half used at admission: only
	// then does good service say that the endpoint could bear more.
	pressed bool
	// first is true once the first token came, calm when it came in usual time.
	first bool
	calm  bool
	// overdue is true once the wait for the first token has been counted as a
	// jump, so that no request votes twice.
	overdue bool
}

// Decided is closed when the ticket no longer waits.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

func (t *Ticket) decide(s State) {
	t.state = s
	close(t.decided)
}
