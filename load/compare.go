package load

import (
	"bytes"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pelletier/go-toml/v2"
)

// Comparison is one quantity in two results.
type Comparison struct {
	Name          string
	Before, After float64
	// Worse is true when the quantity got worse by more than the tolerance.
	Worse bool
}

// Change returns the relative change, such as 0.1 for 10 % more; 0 when Before is 0.
func (c Comparison) Change() float64 {
	if c.Before == 0 {
		return 0
	}
	return c.After/c.Before - 1
}

// Compare compares two results of the same plan. A quantity is worse when it changed for the worse
// by more than the tolerance, a fraction such as 0.1. A guarantee that is broken in the later
// result always counts as worse. It returns ErrInvalid if the plans differ.
func Compare(before, after *Result, tolerance float64) (out []Comparison, err error) {
	if !samePlan(before.Plan, after.Plan) {
		return nil, ErrInvalid.New("the results have different plans")
	}
	add := func(name string, a, b float64, higherIsBetter bool) {
		c := Comparison{Name: name, Before: a, After: b}
		change := c.Change()
		c.Worse = !higherIsBetter && change > tolerance || higherIsBetter && change < -tolerance
		out = append(out, c)
	}
	add("whole share", completedRatio(before), completedRatio(after), true)
	add("tries each", float64(before.Tries)/float64(max(before.Sent, 1)), float64(after.Tries)/float64(max(after.Sent, 1)), false)
	a, b := before.durations(), after.durations()
	for i := range min(len(a), len(b)) {
		add(a[i].name+" p50 µs", float64(a[i].stats.P50), float64(b[i].stats.P50), false)
		add(a[i].name+" p95 µs", float64(a[i].stats.P95), float64(b[i].stats.P95), false)
		add(a[i].name+" p99 µs", float64(a[i].stats.P99), float64(b[i].stats.P99), false)
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

func completedRatio(r *Result) float64 {
	return float64(r.Completed) / float64(max(r.Sent+r.Unsent, 1))
}

// samePlan reports whether two plans are equal. It ignores the addresses of the system, which may
// differ from run to run.
func samePlan(a, b Plan) bool {
	for _, p := range []*Plan{&a, &b} {
		p.Entries, p.Direct = nil, ""
	}
	x, errA := toml.Marshal(a)
	y, errB := toml.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(x, y)
}

// PrintComparison prints a comparison as a table and reports whether anything is worse.
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
