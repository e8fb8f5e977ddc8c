package client

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
)

// publishPause is the span between two tries or two looks.
const publishPause = 200 * clock.Millis(1)

// Publish appends a change and returns the verdict of the log's readers. A
// change whose answer was lost is looked for on the log before it is sent
// again under the same ID, so it takes effect once. ErrNoVerdict marks a change
// that may still stand on the log when the context ends.
func (o *Operator) Publish(ctx context.Context, c *table.Change) (verdict table.Outcome, err error) {
	data, err := c.Encode()
	if err != nil {
		return verdict, err
	}
	appended, mayStand := false, false
	for {
		if verdict, ok := o.verdict(ctx, c.ID); ok {
			return verdict, rejected(verdict)
		}
		if !appended && ctx.Err() == nil {
			_, err = o.Log.Append(ctx, provider.ConfigStream, data)
			appended = err == nil
			mayStand = mayStand || appended || errorx.IsOfType(err, provider.ErrUnknown)
			if appended {
				continue
			}
		}
		if !o.Pause(ctx, publishPause) {
			return verdict, noVerdict(c.ID, mayStand, err)
		}
	}
}

func noVerdict(id string, mayStand bool, err error) error {
	if !mayStand {
		return ErrNotSent.New("change %s was not sent: %v", id, err)
	}
	return ErrNoVerdict.New("change %s may stand on the log; publish it again with the same id: %v", id, err)
}

// verdict looks for a change on the log. A log that cannot be read is read
// again until the context ends: sending a change again without having looked
// would be harmless, but would tell nothing.
func (o *Operator) verdict(ctx context.Context, id string) (v table.Outcome, ok bool) {
	for ctx.Err() == nil {
		h, err := o.History(ctx)
		if err == nil {
			return h.State.Outcome(id)
		}
		o.Pause(ctx, publishPause)
	}
	return v, false
}

func rejected(v table.Outcome) error {
	if v.Accepted {
		return nil
	}
	return ErrRejected.New("change %s: %s", v.ID, v.Reason)
}

// InForce says where a revision is in force.
type InForce struct {
	Yes []VMStatus
	No  []VMStatus
}

// WaitInForce waits until every listed VM has a revision or a later one.
// ErrNotInForce comes with what was seen last when the context ends first.
func (o *Operator) WaitInForce(ctx context.Context, revision int64) (seen InForce, err error) {
	for {
		all, err := o.Status(ctx)
		if err == nil {
			seen = split(all, revision)
			if len(seen.No) == 0 {
				return seen, nil
			}
		}
		if !o.Pause(ctx, publishPause) {
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
