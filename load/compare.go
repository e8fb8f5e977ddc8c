package load

import (
	"bytes"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pelletier/go-toml/v2"
)

// Comparison is the difference of one quantity between two results.
type Comparison struct {
	Name          string
	Before, After float64
	// Worse is true when the quantity is worse by more than the tolerance.
	Worse bool
}

// Change returns the relative change; 0 when there was nothing before.
func (c Comparison) Change() float64 {
	if c.Before == 0 {
		return 0
	}
	return c.After/c.Before - 1
}

// Compare sets two results of the same plan side by side. A quantity is worse
// when it changed to its bad side by more than the tolerance, such as 0.1. A
// promise that is broken in the later result is always worse. ErrInvalid marks
// results of different plans, whose figures say nothing of each other.
func Compare(before, after *Result, tolerance float64) (out []Comparison, err error) {
	if !samePlan(before.Plan, after.Plan) {
		return nil, ErrInvalid.New("the results have different plans")
	}
	add := func(name string, a, b float64, goodHigh bool) {
		c := Comparison{Name: name, Before: a, After: b}
		change := c.Change()
		c.Worse = !goodHigh && change > tolerance || goodHigh && change < -tolerance
		out = append(out, c)
	}
	add("whole share", share(before), share(after), true)
	add("tries each", float64(before.Tries)/float64(max(before.Sent, 1)), float64(after.Tries)/float64(max(after.Sent, 1)), false)
	a, b := before.spans(), after.spans()
	for i := range min(len(a), len(b)) {
		add(a[i].name+" p50 µs", float64(a[i].spans.P50), float64(b[i].spans.P50), false)
		add(a[i].name+" p95 µs", float64(a[i].spans.P95), float64(b[i].spans.P95), false)
		add(a[i].name+" p99 µs", float64(a[i].spans.P99), float64(b[i].spans.P99), false)
	}
	add("whole per core second", before.CompletedPerCoreSecond, after.CompletedPerCoreSecond, true)
	for i, p := range after.Promises {
		c := Comparison{Name: "broken: " + p.Name, After: float64(p.Broken), Worse: p.Broken > 0}
		if i < len(before.Promises) {
			c.Before = float64(before.Promises[i].Broken)
		}
		out = append(out, c)
	}
	return out, nil
}

func share(r *Result) float64 { return float64(r.Completed) / float64(max(r.Sent+r.Unsent, 1)) }

// samePlan leaves out where the system was, which differs between builds.
func samePlan(a, b Plan) bool {
	for _, p := range []*Plan{&a, &b} {
		p.Entries, p.Direct = nil, ""
	}
	x, errA := toml.Marshal(a)
	y, errB := toml.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(x, y)
}

// PrintComparison shows a comparison and reports whether anything is worse.
func PrintComparison(w io.Writer, list []Comparison) (worse bool, err error) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "QUANTITY\tbefore\tafter\tchange\t")
	for _, c := range list {
		mark := ""
		if c.Worse {
			mark = "worse"
			worse = true
		}
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%+.1f%%\t%s\n", c.Name, c.Before, c.After, 100*c.Change(), mark)
	}
	return worse, t.Flush()
}
