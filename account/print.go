package account

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

// ErrEmpty is returned by Print if no request was read.
var ErrEmpty = errors.New("account: the logs tell of no request")

// maxBarWidth is the width of the longest bar of the plot, in characters.
const maxBarWidth = 40

// Print writes the summary as text. It returns ErrEmpty if no request was read.
func (l *Log) Print(w io.Writer) (err error) {
	if len(l.Requests) == 0 {
		return ErrEmpty
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	l.printRoutes(t)
	l.printCauses(t)
	l.printAttempts(t)
	l.printPhases(t)
	l.printPredictionErrors(t)
	l.printTimeline(t)
	fmt.Fprintf(t, "\n%d lines of other things, %d torn ones passed over\n", l.Other, l.Malformed)
	return t.Flush()
}

// requestCounts counts requests by outcome.
type requestCounts struct {
	total, inTime, late, refused, failed, leftByCaller int
	firstBytes                                         []clock.Millis
}

func (c *requestCounts) add(r Request) {
	c.total++
	switch {
	case r.Cause == Answered:
		c.inTime++
	case r.Cause == LateFirstByte || r.Cause == LatePause:
		c.late++
	case r.Cause == LeftByCaller:
		c.leftByCaller++
	case strings.HasPrefix(r.Cause, "refused"):
		c.refused++
	default:
		c.failed++
	}
	if r.FirstByte > 0 {
		c.firstBytes = append(c.firstBytes, r.FirstByte)
	}
}

// quantile returns the q-quantile of durations, or 0 if there are none. It sorts durations in
// place.
func quantile(durations []clock.Millis, q float64) clock.Millis {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[int(math.Ceil(q*float64(len(durations)-1)))]
}

func (l *Log) printRoutes(w io.Writer) {
	byRoute := make(map[string]*requestCounts)
	for _, r := range l.Requests {
		name := cmp.Or(r.Route, "-")
		if byRoute[name] == nil {
			byRoute[name] = &requestCounts{}
		}
		byRoute[name].add(r)
	}
	fmt.Fprintln(w, "route\tasked\tin time\tlate\trefused\tfailed\tleft\tfirst byte p50\tp99")
	for _, name := range slices.Sorted(maps.Keys(byRoute)) {
		counts := byRoute[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", name, counts.total, counts.inTime, counts.late, counts.refused, counts.failed, counts.leftByCaller, quantile(counts.firstBytes, 0.5), quantile(counts.firstBytes, 0.99))
	}
}

// causeTotal is the number of items with one name and the total time they took.
type causeTotal struct {
	name string
	n    int
	took clock.Millis
}

// totalsByName groups items by the name that of returns, and sorts the groups by total time,
// longest first.
func totalsByName[T any](items []T, of func(T) (name string, took clock.Millis)) (out []causeTotal) {
	byName := make(map[string]causeTotal)
	for _, x := range items {
		name, took := of(x)
		s := byName[name]
		byName[name] = causeTotal{name, s.n + 1, s.took + took}
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b causeTotal) int {
		return cmp.Or(cmp.Compare(b.took, a.took), cmp.Compare(a.name, b.name))
	})
}

func (l *Log) printCauses(w io.Writer) {
	fmt.Fprintln(w, "\nwhat became of requests\tnumber\ttime at the entry")
	for _, s := range totalsByName(l.Requests, func(r Request) (string, clock.Millis) { return r.Cause, r.Took }) {
		fmt.Fprintf(w, "%s\t%d\t%s\n", s.name, s.n, s.took)
	}
}

func (l *Log) printAttempts(w io.Writer) {
	fmt.Fprintln(w, "\nattempts that brought no answer\tnumber\ttime")
	for _, s := range totalsByName(l.Attempts, func(a Attempt) (string, clock.Millis) { return strings.TrimSpace(a.Result + " " + a.Model), a.Elapsed }) {
		fmt.Fprintf(w, "%s\t%d\t%s\n", s.name, s.n, s.took)
	}
}

// printPhases prints the durations of the phases of answered requests by route.
func (l *Log) printPhases(w io.Writer) {
	byRoute := make(map[string][]Phases)
	for _, r := range l.Requests {
		if r.Phases != nil {
			byRoute[r.Route] = append(byRoute[r.Route], *r.Phases)
		}
	}
	if len(byRoute) == 0 {
		return
	}
	columns := []func(p Phases) clock.Millis{
		func(p Phases) clock.Millis { return p.Body },
		func(p Phases) clock.Millis { return p.Placement },
		func(p Phases) clock.Millis { return p.Connect },
		func(p Phases) clock.Millis { return p.FirstByte },
		func(p Phases) clock.Millis { return p.Stream },
	}
	fmt.Fprintln(w, "\nphases of answered requests, p50 and p99\tnumber\tbody\tplaced\tconnect\tfirst byte\tstream")
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		fmt.Fprintf(w, "%s\t%d", route, len(byRoute[route]))
		for _, of := range columns {
			durations := make([]clock.Millis, len(byRoute[route]))
			for i, p := range byRoute[route] {
				durations[i] = of(p)
			}
			fmt.Fprintf(w, "\t%s %s", quantile(durations, 0.5), quantile(durations, 0.99))
		}
		fmt.Fprintln(w)
	}
}

// printPredictionErrors prints, by model, quantiles of the time to the first byte minus its
// predicted value. It covers only attempts that did not produce the answer, since the log has no
// separate line for the one that did.
func (l *Log) printPredictionErrors(w io.Writer) {
	byModel := make(map[string][]clock.Millis)
	for _, a := range l.Attempts {
		if a.Model != "" && a.FirstByte > 0 {
			byModel[a.Model] = append(byModel[a.Model], a.FirstByte-a.Expected)
		}
	}
	if len(byModel) == 0 {
		return
	}
	fmt.Fprintln(w, "\nfirst bytes less what was expected\tnumber\tp1\tp10\tp50\tp90\tp99")
	for _, model := range slices.Sorted(maps.Keys(byModel)) {
		fmt.Fprintf(w, "%s\t%d", model, len(byModel[model]))
		for _, q := range [...]float64{0.01, 0.1, 0.5, 0.9, 0.99} {
			fmt.Fprintf(w, "\t%s", quantile(byModel[model], q))
		}
		fmt.Fprintln(w)
	}
}

// printTimeline plots the outcomes of requests by the second in which they ended.
func (l *Log) printTimeline(w io.Writer) {
	bySecond := make(map[time.Time]*requestCounts)
	maxTotal := 1
	for _, r := range l.Requests {
		at := r.At.Truncate(time.Second)
		if bySecond[at] == nil {
			bySecond[at] = &requestCounts{}
		}
		bySecond[at].add(r)
		maxTotal = max(maxTotal, bySecond[at].total)
	}
	fmt.Fprintln(w, "\nended at\tin time\tlate\trefused\tfailed\tleft\t= in time, ~ late, x refused or failed")
	for _, at := range slices.SortedFunc(maps.Keys(bySecond), time.Time.Compare) {
		counts := bySecond[at]
		bar := func(n int, symbol string) string { return strings.Repeat(symbol, (n*maxBarWidth+maxTotal-1)/maxTotal) }
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", at.Format(time.TimeOnly), counts.inTime, counts.late, counts.refused, counts.failed, counts.leftByCaller,
			bar(counts.inTime, "=")+bar(counts.late, "~")+bar(counts.refused+counts.failed, "x"))
	}
}
