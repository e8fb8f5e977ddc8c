package event

import "github.com/parsleydeal/parsleydeal/clock"

// Begun tells that the first token of an answer came. It counts the answers
// against which errors are set: an answer's end comes too late for that, since
// errors end sooner than good answers.
type Begun struct {
	Now          clock.Millis
	Route        string
	Version      string
	Organisation string
}

// Judged brings the rater's word on the first answer of a cascade.
type Judged struct {
	Now          clock.Millis
	Route        string
	Version      string
	Organisation string
	// Score is between 0 and 1.
	Score float64
	// Passed says that the answer was good enough to be delivered.
	Passed bool
}

func (Begun) isEvent()  {}
func (Judged) isEvent() {}
