package relay

import (
	"context"
	"errors"
	"fmt"

	"github.com/parsleydeal/parsleydeal/caller"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// Steps of a request at which the entry may notice that its caller has left.
const (
	// leftDuringStart is while the request is held until this entry knows its site.
	leftDuringStart = "start"
	// leftDuringConfirmation is while a refusal by the configuration is confirmed.
	leftDuringConfirmation = "confirmation"
	// leftDuringTest is while another request tests what endpoints crash on.
	leftDuringTest = "test"
	// leftBeforeRetry is between two attempts.
	leftBeforeRetry = "retry"
	// leftBeforeSend is right before an attempt is sent to its endpoint.
	leftBeforeSend = "send"
	// leftDuringAnswer is while an endpoint works on the request, or while its answer is passed on.
	leftDuringAnswer = "answer"
)

// errLeft returns the error of a request whose caller has left.
func errLeft() error {
	return refusal.New(refusal.Cancelled, errCallerClosed.Error()).WithRun(refusal.Unknown)
}

// hasLeft reports whether it was noticed that the caller has left.
func (x *exchange) hasLeft() bool { return x.leftAt != "" || x.r.Context().Err() != nil }

// callerLeft asks whether the caller has closed its connection, and notes the step at which that was noticed.
func (x *exchange) callerLeft(step string) bool {
	if x.leftAt != "" {
		return true
	}
	switch {
	case errors.Is(context.Cause(x.r.Context()), caller.ErrLeft):
		x.leftBy = "watch"
	case x.r.Context().Err() != nil:
		x.leftBy = "context"
	case x.caller.Left():
		x.leftBy = "socket"
	default:
		return false
	}
	x.leftAt = step
	x.server.metrics.GetOrCreateCounter(fmt.Sprintf("parsleydeal_callers_left_total{noticed=%q,by=%q}", step, x.leftBy)).Inc()
	return true
}

// recordUnread records how long the request lay unread before this entry got to it.
func (x *exchange) recordUnread() {
	x.unread = x.caller.Unread()
	x.server.unread.Update(float64(x.unread) / float64(clock.Second))
}

// arrivedAt returns when the request arrived. What the caller waits for is counted from then.
func (x *exchange) arrivedAt() clock.Millis { return x.startedAt - x.unread }
