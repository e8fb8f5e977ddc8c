package entry

import (
	"slices"

	answers "github.com/parsleydeal/parsleydeal/answer"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// begin starts an answer anew, on whatever version. What earlier versions ran
// still counts when the caller is told whether the request ran.
func (r *work) begin() {
	r.progress.Reset()
	r.way = answers.Restart
}

// goOn decides after a failed attempt whether and how the request is tried
// again, and prepares it: from the start, or after the last token taken.
func (r *work) goOn(err error) bool {
	cause, ok := refusal.As(err)
	if !ok {
		cause = refusal.New(refusal.EndpointLost, err.Error()).WithRun(refusal.Unknown)
	}
	r.way = r.progress.Next(cause, answers.Rules{
		Repeatable: r.repeatable,
		Resumes:    r.resumes(),
		// A stream's pieces and a service's status are sent as they come; the
		// parts of an answer in JSON, or of one held back for the rater, wait.
		Shown: r.progress.Taken() && !r.judging && (r.stream || r.service != ""),
		Spent: r.bodySpent,
	})
	if r.way == answers.Restart && r.progress.Taken() {
		r.progress.Reset()
		r.drop()
	}
	return r.way != answers.GiveUp
}

// broken notes the step of a call that ran and whose answer is not whole. It may
// not be repeated, so this is the only bill it can get.
func (r *work) broken(s *wire.Step) {
	if s != nil && !r.repeatable {
		r.steps = append(r.steps, s)
	}
}

// truth returns the refusal for the caller, true of all attempts together.
func (r *work) truth(err error) error {
	cause, ok := refusal.As(err)
	if !ok {
		return err
	}
	return r.progress.Truth(cause)
}

// kept reports whether an endpoint goes on with the run and keeps the answer
// when its entry's connection breaks.
func (r *work) kept() bool { return !r.repeatable || r.key != "" }

// resumes reports whether some engines of the request's version resume answers.
func (r *work) resumes() bool {
	t := r.view.Tables()
	return r.service == "" && slices.ContainsFunc(t.PoolsOf(r.version), func(name string) bool { return t.Pools[name].Resumes })
}
