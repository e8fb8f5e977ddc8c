package event

import "github.com/parsleydeal/parsleydeal/clock"

// AnswerStarted tells that the first token of an answer came. It counts the answers
// against which errors are set: an answer's end comes too late for that, since
// errors end sooner than good answers.
type AnswerStarted struct {
	Now          clock.Millis
	Route        string
	Version      string
	Organisation string
}

// CascadeRated brings the rater's word on the first answer of a cascade.
type CascadeRated struct {
	Now          clock.Millis
	Route        string
	Version      string
	Organisation string
	// Score is between 0 and 1.
	Score float64
	// Passed says that the answer was good enough to be delivered.
	Passed bool
}

func (AnswerStarted) isEvent() {}
func (CascadeRated) isEvent()  {}
