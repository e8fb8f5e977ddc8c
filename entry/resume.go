package entry

import (
	"slices"

	answers "github.com/parsleydeal/parsleydeal/answer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// restart resets the answer before the first attempt on a version. The run state reported to the
// caller still covers the attempts on earlier versions.
func (r *requestState) restart() {
	r.progress.Reset()
	r.retryMode = answers.Restart
}

// prepareRetry decides after a failed attempt whether the request is retried, and whether from the
// start or after the last token received. It prepares the retry and returns false if there is none.
func (r *requestState) prepareRetry(err error) bool {
	cause, ok := refusal.As(err)
	if !ok {
		cause = refusal.New(refusal.EndpointLost, err.Error()).WithRun(refusal.Unknown)
	}
	r.retryMode = r.progress.Next(cause, answers.RetryRules{
		Repeatable: r.repeatable,
		CanResume:  r.canResume(),
		// The pieces of a stream and the status of a service are sent as they arrive. An answer in
		// JSON, or one buffered for the rater, has not been shown to the caller yet.
		PartSent:     r.progress.HasOutput() && !r.judging && (r.stream || r.service != ""),
		BodyConsumed: r.bodySpent,
	})
	if r.retryMode == answers.Restart && r.progress.HasOutput() {
		r.progress.Reset()
		r.discardAnswer()
	}
	return r.retryMode != answers.GiveUp
}

// addBrokenStep records the step of a call that ran but whose answer is incomplete. As the call is
// not repeated, no later attempt bills it.
func (r *requestState) addBrokenStep(s *wire.Step) {
	if s != nil && !r.repeatable {
		r.steps = append(r.steps, s)
	}
}

// overallRefusal returns the refusal for the caller, which covers all attempts together.
func (r *requestState) overallRefusal(err error) error {
	cause, ok := refusal.As(err)
	if !ok {
		return err
	}
	return r.progress.CombinedRefusal(cause)
}

// survivesDisconnect reports whether an endpoint continues the run and retains the answer when the
// connection to its entry breaks.
func (r *requestState) survivesDisconnect() bool { return !r.repeatable || r.key != "" }

// canResume reports whether any engine of the request's version can resume an answer.
func (r *requestState) canResume() bool {
	t := r.view.Tables()
	return r.service == "" && slices.ContainsFunc(t.PoolsOf(r.version), func(name string) bool { return t.Pools[name].Resumes })
}
