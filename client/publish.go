package client

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

// pollInterval is the time between two attempts to publish or two status checks.
const pollInterval = 200 * clock.Millis(1)

// Publish appends a change to the log and returns its outcome, which is the same in every process.
// It retries until the context ends. If the reply to an append is lost, it looks for the change on
// the log before it sends it again under the same ID, so that the change takes effect once. It
// returns ErrRejected if the change is on the log but invalid. If the context ends first, it
// returns ErrNoVerdict if the change may be on the log, and ErrNotSent if it is not.
func (o *Operator) Publish(ctx context.Context, c *table.Change) (outcome table.Outcome, err error) {
	data, err := c.Encode()
	if err != nil {
		return outcome, err
	}
	appended, mayBeOnLog := false, false
	for {
		if outcome, ok := o.findOutcome(ctx, c.ID); ok {
			return outcome, rejectedError(outcome)
		}
		if !appended && ctx.Err() == nil {
			_, err = o.Log.Append(ctx, provider.ConfigStream, data)
			appended = err == nil
			mayBeOnLog = mayBeOnLog || appended || errorx.IsOfType(err, provider.ErrUnknown)
			if appended {
				continue
			}
		}
		if !o.Pause(ctx, pollInterval) {
			return outcome, noVerdictError(c.ID, mayBeOnLog, err)
		}
	}
}

func noVerdictError(id string, mayBeOnLog bool, err error) error {
	if !mayBeOnLog {
		return ErrNotSent.New("change %s was not sent: %v", id, err)
	}
	return ErrNoVerdict.New("change %s may stand on the log; publish it again with the same id: %v", id, err)
}

// findOutcome looks for a change on the log and returns its outcome. If the log cannot be read, it
// retries until the context ends: sending the change again instead would be harmless, but would not
// show the outcome.
func (o *Operator) findOutcome(ctx context.Context, id string) (v table.Outcome, ok bool) {
	for ctx.Err() == nil {
		h, err := o.History(ctx)
		if err == nil {
			return h.State.Outcome(id)
		}
		o.Pause(ctx, pollInterval)
	}
	return v, false
}

func rejectedError(v table.Outcome) error {
	if v.Accepted {
		return nil
	}
	return ErrRejected.New("change %s: %s", v.ID, v.Reason)
}

// InForce lists the VMs on which a revision is in force (Yes) and the others (No). No includes the
// VMs whose status could not be read.
type InForce struct {
	Yes []VMStatus
	No  []VMStatus
}

// WaitInForce waits until the revision or a later one is in force on every VM in the VM list. If
// the context ends first, it returns the last state read and ErrNotInForce.
func (o *Operator) WaitInForce(ctx context.Context, revision int64) (seen InForce, err error) {
	for {
		all, err := o.Status(ctx)
		if err == nil {
			seen = split(all, revision)
			if len(seen.No) == 0 {
				return seen, nil
			}
		}
		if !o.Pause(ctx, pollInterval) {
			return seen, ErrNotInForce.New("revision %d is not known to be in force on %d VMs", revision, len(seen.No))
		}
	}
}

func split(all []VMStatus, revision int64) (f InForce) {
	for _, s := range all {
		if s.Err == nil && s.Status.Revision >= revision {
			f.Yes = append(f.Yes, s)
		} else {
			f.No = append(f.No, s)
		}
	}
	return f
}
