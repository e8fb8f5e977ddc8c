package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/parsleydeal/parsleydeal/clock"
)

// WriteText writes the evaluation as text for a terminal.
func (e *Evaluation) WriteText(w io.Writer) (err error) {
	fmt.Fprintf(w, "%d processes, counting for up to %s\n", e.Processes, clock.Millis(e.CoveredMillis))
	if len(e.Missing) > 0 {
		fmt.Fprintf(w, "NO ANSWER from %s: what they served is not in here\n", strings.Join(e.Missing, ", "))
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ROUTE\tOBJECTIVE\tTARGET\t5m\t1h\t6h\t3d\tBUDGET LEFT\tALERT\tTOP CAUSES")
	for _, l := range e.Lines {
		fmt.Fprintf(t, "%s\t%s\t%.4g\t%s\t%s\t%s\t%s\n", l.Route, l.Objective, l.Target, l.ratesText(), l.budgetText(), l.Alert, l.causesText())
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "ROUTE, LAST HOUR\tATTEMPTS\tFIRST p50\tp95\tp99\tGAP p50\tp95")
	for _, p := range e.Latencies {
		fmt.Fprintf(t, "%s\t%d\t%d ms\t%d ms\t%d ms\t%d ms\t%d ms\n", p.Route, p.Attempts, p.FirstP50, p.FirstP95, p.FirstP99, p.GapP50, p.GapP95)
	}
	return t.Flush()
}

func (l Line) ratesText() string {
	var out []string
	for _, w := range Windows() {
		text := "-"
		if r, ok := l.Rates[w.Name]; ok {
			text = fmt.Sprintf("%.2f", r)
		}
		out = append(out, text)
	}
	return strings.Join(out, "\t")
}

// budgetText formats the remaining budget. An overspent budget is shown as a multiple, as "spent
// 20.0 times" is easier to understand than "-1900%".
func (l Line) budgetText() string {
	if l.BudgetRemaining >= 0 {
		return fmt.Sprintf("%.0f%%", 100*l.BudgetRemaining)
	}
	return fmt.Sprintf("0%%, spent %.1f times", 1-l.BudgetRemaining)
}

func (l Line) causesText() string {
	var out []string
	for _, c := range l.Causes {
		out = append(out, fmt.Sprintf("%s %s %.0f%%", c.Kind, c.Name, 100*c.Fraction))
	}
	return strings.Join(out, ", ")
}
