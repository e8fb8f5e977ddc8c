package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/parsleydeal/parsleydeal/client"
	"github.com/parsleydeal/parsleydeal/clock"
)

type statusCommand struct {
	command
	platformOptions
	JSON bool `long:"json" description:"print every process's whole status as JSON"`
}

func addStatus(p *flags.Parser) error {
	c := &statusCommand{}
	c.run = func(ctx context.Context, _ []string) error { return c.print(ctx, os.Stdout) }
	_, err := p.AddCommand("status", "Show the status of all VMs",
		"Status asks the process on every listed VM for its status. It fails when no process answers.", c)
	return err
}

func (c *statusCommand) print(ctx context.Context, w io.Writer) (err error) {
	op, err := c.operator()
	if err != nil {
		return err
	}
	all, err := op.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(w, all)
	} else {
		err = printStatus(w, all)
	}
	if err != nil {
		return err
	}
	for _, s := range all {
		if s.Err == nil {
			return nil
		}
	}
	return fmt.Errorf("status: none of %d VMs answered", len(all))
}

// vmLine is the JSON form of one VM's status.
type vmLine struct {
	VM     string `json:"vm"`
	Error  string `json:"error,omitempty"`
	Status any    `json:"status,omitempty"`
}

func printJSON(w io.Writer, all []client.VMStatus) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	out := make([]vmLine, 0, len(all))
	for _, s := range all {
		line := vmLine{VM: s.VM.ID, Status: s.Status}
		if s.Err != nil {
			line = vmLine{VM: s.VM.ID, Error: s.Err.Error()}
		}
		out = append(out, line)
	}
	return enc.Encode(out)
}

func printStatus(w io.Writer, all []client.VMStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tROLE\tPOOL\tZONE\tREADY\tREVISION\tSTALENESS\tOUT\tHELD/WINDOW")
	for _, s := range all {
		fmt.Fprintln(t, strings.Join(statusCells(s), "\t"))
	}
	return t.Flush()
}

func statusCells(s client.VMStatus) []string {
	cells := []string{s.VM.ID, s.VM.Role, orDash(s.VM.Pool), s.VM.Zone}
	if s.Err != nil {
		return append(cells, "no answer", "-", "-", "-", s.Err.Error())
	}
	ready := "yes"
	if !s.Status.Ready {
		ready = s.Status.Reason
	}
	out := strings.Join(append(s.Status.ZonesOut, s.Status.VMsOut...), " ")
	return append(cells, ready, fmt.Sprint(s.Status.Revision), clock.Millis(s.Status.StalenessMillis).String(), orDash(out), windowCell(s.Status.Sections))
}

// windowCell returns the outstanding requests of an endpoint and its window size, such as 3/16, or
// a dash for other processes.
func windowCell(sections map[string]any) string {
	w, ok := sections["window"].(map[string]any)
	if !ok {
		return "-"
	}
	return fmt.Sprintf("%v/%v", w["held"], w["size"])
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
