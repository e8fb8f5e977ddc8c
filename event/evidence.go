package event

import "github.com/parsleydeal/parsleydeal/clock"

// AnswerStarted reports the first token of an answer. Error rates are computed relative to started
// answers instead of finished ones, because failed attempts end sooner than good answers.
type AnswerStarted struct {
	Now          clock.Millis
	Route        string
	Version      string
	Organisation string
}

// CascadeRated delivers the rating of the first answer of a cascade.
type CascadeRated struct {
	Now          clock.Millis
	Route        string
	Version      string
	Organisation string
	// Score is from 0 to 1.
	Score float64
	// Passed is true if the answer was good enough to be delivered.
	Passed bool
}

func (AnswerStarted) isEvent() {}
func (CascadeRated) isEvent()  {}
