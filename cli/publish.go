package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/settings"
	"github.com/parsleydeal/parsleydeal/table"
)

type publishCommand struct {
	command
	platformOptions
	ID      string `long:"id" description:"id of the change; give that of an earlier try whose verdict is not known"`
	Author  string `long:"author" env:"USER" description:"who publishes"`
	Base    *int64 `long:"base" description:"revision that the change was made on; the current one if neither this nor the file says"`
	Timeout string `long:"timeout" default:"30s" description:"how long to wait for the verdict and for the change to be in force everywhere"`
	Args    struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

func addPublish(p *flags.Parser) error {
	c := &publishCommand{}
	c.run = func(ctx context.Context, _ []string) error { return c.publish(ctx, os.Stdout) }
	_, err := p.AddCommand("publish", "Publish a change to the tables",
		"Publish appends a change to the platform's log, tells the verdict of its readers, and waits until every VM has it in force. A change may be published again with the same id: it takes effect once.", c)
	return err
}

func (c *publishCommand) publish(ctx context.Context, w io.Writer) (err error) {
	var timeout clock.Millis
	if err = timeout.UnmarshalText([]byte(c.Timeout)); err != nil {
		return fmt.Errorf("publish: --timeout: %w: %w", err, errUsage)
	}
	change, err := readChange(c.Args.File)
	if err != nil {
		return err
	}
	op, err := c.operator()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	history, err := op.History(ctx)
	if err != nil {
		return fmt.Errorf("publish: nothing was published: read the log: %w", err)
	}
	c.fillDefaults(change, &history.State)
	if _, seen := history.State.Outcome(change.ID); !seen && change.Base == history.State.Revision() {
		if err = preview(c.Args.File, &history.State, change); err != nil {
			return err
		}
	}
	return c.publishChange(ctx, w, op, change)
}

// fillDefaults sets id and base from the command's options, and author if the file does not set it.
// If there is still no id it generates one, and if there is no base it uses the current revision.
func (c *publishCommand) fillDefaults(change *table.Change, s *table.State) {
	if c.ID != "" {
		change.ID = c.ID
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if change.Author == "" {
		change.Author = c.Author
	}
	if c.Base != nil {
		change.Base = *c.Base
	}
	if change.Base == noBase {
		change.Base = s.Revision()
	}
}

func (c *publishCommand) publishChange(ctx context.Context, w io.Writer, op *client.Operator, change *table.Change) (err error) {
	fmt.Fprintf(w, "change %s by %s on revision %d\n", change.ID, change.Author, change.Base)
	verdict, err := op.Publish(ctx, change)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "accepted as revision %d\n", verdict.Revision)
	seen, err := op.WaitInForce(ctx, verdict.Revision)
	fmt.Fprintf(w, "in force on %d VMs, not on %d\n", len(seen.Yes), len(seen.No))
	for _, s := range seen.No {
		fmt.Fprintf(w, "  %s in %s: %s\n", s.VM.ID, s.VM.Zone, notInForceReason(s))
	}
	return err
}

func notInForceReason(s client.VMStatus) string {
	if s.Err != nil {
		return "no answer: " + s.Err.Error()
	}
	return fmt.Sprintf("has revision %d, last confirmed %s ago", s.Status.Revision, clock.Millis(s.Status.StalenessMillis))
}

type tablesCommand struct {
	command
	platformOptions
	Verdicts int `long:"verdicts" default:"10" description:"how many of the latest verdicts to show"`
}

func addTables(p *flags.Parser) error {
	c := &tablesCommand{}
	c.run = func(ctx context.Context, _ []string) error { return c.print(ctx, os.Stdout) }
	_, err := p.AddCommand("tables", "Show the tables in force and the latest verdicts",
		"Tables reads the log and prints the tables in force as a whole change that can be edited and published: its base is the current revision, so a change by someone else in between is not undone.", c)
	return err
}

func (c *tablesCommand) print(ctx context.Context, w io.Writer) (err error) {
	op, err := c.operator()
	if err != nil {
		return err
	}
	h, err := op.History(ctx)
	if err != nil {
		return err
	}
	for _, v := range h.Verdicts[max(len(h.Verdicts)-c.Verdicts, 0):] {
		fmt.Fprintf(w, "# %s\n", verdictLine(v))
	}
	if h.State.Tables() == nil {
		_, err = fmt.Fprintln(w, "# no tables are in force")
		return err
	}
	change := &table.Change{Kind: table.Whole, Base: h.State.Revision(), Tables: *h.State.Tables()}
	data, err := change.Encode()
	if err != nil {
		return settings.ErrInvalid.Wrap(err, "encode tables")
	}
	_, err = w.Write(data)
	return err
}

func verdictLine(v table.Outcome) string {
	if v.Accepted {
		return fmt.Sprintf("revision %d accepted: change %q by %q", v.Revision, v.ID, v.Author)
	}
	return fmt.Sprintf("offset %d rejected: change %q by %q: %q", v.Revision, v.ID, v.Author, v.Reason)
}
