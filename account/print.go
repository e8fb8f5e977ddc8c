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

// ErrEmpty marks logs that tell of no request.
var ErrEmpty = errors.New("account: the logs tell of no request")

// barWidth is the length of the longest bar of the plot, in characters.
const barWidth = 40

// Print writes the account.
func (l *Log) Print(w io.Writer) (err error) {
	if len(l.Requests) == 0 {
		return ErrEmpty
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	l.routes(t)
	l.causes(t)
	l.attempts(t)
	l.phases(t)
	l.errors(t)
	l.seconds(t)
	fmt.Fprintf(t, "\n%d lines of other things, %d torn ones passed over\n", l.Other, l.Malformed)
	return t.Flush()
}

// tally counts requests of one kind.
type tally struct {
	asked, answered, late, refused, failed, left int
	first                                        []clock.Millis
}

func (c *tally) add(r Request) {
	c.asked++
	switch {
	case r.Cause == Answered:
		c.answered++
	case r.Cause == LateFirstByte || r.Cause == LatePause:
		c.late++
	case r.Cause == LeftByCaller:
		c.left++
	case strings.HasPrefix(r.Cause, "refused"):
		c.refused++
	default:
		c.failed++
	}
	if r.FirstByte > 0 {
		c.first = append(c.first, r.FirstByte)
	}
}

// quantile is the span below which a part of the spans lie; 0 without any.
func quantile(spans []clock.Millis, part float64) clock.Millis {
	if len(spans) == 0 {
		return 0
	}
	slices.Sort(spans)
	return spans[int(math.Ceil(part*float64(len(spans)-1)))]
}

func (l *Log) routes(w io.Writer) {
	by := make(map[string]*tally)
	for _, r := range l.Requests {
		name := cmp.Or(r.Route, "-")
		if by[name] == nil {
			by[name] = &tally{}
		}
		by[name].add(r)
	}
	fmt.Fprintln(w, "route\tasked\tin time\tlate\trefused\tfailed\tleft\tfirst byte p50\tp99")
	for _, name := range slices.Sorted(maps.Keys(by)) {
		c := by[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", name, c.asked, c.answered, c.late, c.refused, c.failed, c.left, quantile(c.first, 0.5), quantile(c.first, 0.99))
	}
}

// sum is how many of something there were, and the time they took.
type sum struct {
	name string
	n    int
	took clock.Millis
}

// sums groups by name, the most time first.
func sums[T any](all []T, of func(T) (name string, took clock.Millis)) (out []sum) {
	by := make(map[string]sum)
	for _, x := range all {
		name, took := of(x)
		s := by[name]
		by[name] = sum{name, s.n + 1, s.took + took}
	}
	return slices.SortedFunc(maps.Values(by), func(a, b sum) int {
		return cmp.Or(cmp.Compare(b.took, a.took), cmp.Compare(a.name, b.name))
	})
}

func (l *Log) causes(w io.Writer) {
	fmt.Fprintln(w, "\nwhat became of requests\tnumber\ttime at the entry")
	for _, s := range sums(l.Requests, func(r Request) (string, clock.Millis) { return r.Cause, r.Took }) {
		fmt.Fprintf(w, "%s\t%d\t%s\n", s.name, s.n, s.took)
	}
}

func (l *Log) attempts(w io.Writer) {
	fmt.Fprintln(w, "\nattempts that brought no answer\tnumber\ttime")
	for _, s := range sums(l.Attempts, func(a Attempt) (string, clock.Millis) { return strings.TrimSpace(a.Result + " " + a.Model), a.Elapsed }) {
		fmt.Fprintf(w, "%s\t%d\t%s\n", s.name, s.n, s.took)
	}
}

// phases tells by route how long the phases of answered requests took.
func (l *Log) phases(w io.Writer) {
	by := make(map[string][]Phases)
	for _, r := range l.Requests {
		if r.Phases != nil {
			by[r.Route] = append(by[r.Route], *r.Phases)
		}
	}
	if len(by) == 0 {
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
	for _, route := range slices.Sorted(maps.Keys(by)) {
		fmt.Fprintf(w, "%s\t%d", route, len(by[route]))
		for _, of := range columns {
			spans := make([]clock.Millis, len(by[route]))
			for i, p := range by[route] {
				spans[i] = of(p)
			}
			fmt.Fprintf(w, "\t%s %s", quantile(spans, 0.5), quantile(spans, 0.99))
		}
		fmt.Fprintln(w)
	}
}

// errors tells by model how far first bytes were off what was expected. Only attempts
// that did not bring the answer have a line of their own.
func (l *Log) errors(w io.Writer) {
	by := make(map[string][]clock.Millis)
	for _, a := range l.Attempts {
		if a.Model != "" && a.FirstByte > 0 {
			by[a.Model] = append(by[a.Model], a.FirstByte-a.Expected)
		}
	}
	if len(by) == 0 {
		return
	}
	fmt.Fprintln(w, "\nfirst bytes less what was expected\tnumber\tp1\tp10\tp50\tp90\tp99")
	for _, model := range slices.Sorted(maps.Keys(by)) {
		fmt.Fprintf(w, "%s\t%d", model, len(by[model]))
		for _, part := range [...]float64{0.01, 0.1, 0.5, 0.9, 0.99} {
			fmt.Fprintf(w, "\t%s", quantile(by[model], part))
		}
		fmt.Fprintln(w)
	}
}

// seconds plots the requests that were not answered in time by the second of their
// end.
func (l *Log) seconds(w io.Writer) {
	by := make(map[time.Time]*tally)
	most := 1
	for _, r := range l.Requests {
		at := r.At.Truncate(time.Second)
		if by[at] == nil {
			by[at] = &tally{}
		}
		by[at].add(r)
		most = max(most, by[at].asked)
	}
	fmt.Fprintln(w, "\nended at\tin time\tlate\trefused\tfailed\tleft\t= in time, ~ late, x refused or failed")
	for _, at := range slices.SortedFunc(maps.Keys(by), time.Time.Compare) {
		c := by[at]
		bar := func(n int, mark string) string { return strings.Repeat(mark, (n*barWidth+most-1)/most) }
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", at.Format(time.TimeOnly), c.answered, c.late, c.refused, c.failed, c.left,
			bar(c.answered, "=")+bar(c.late, "~")+bar(c.refused+c.failed, "x"))
	}
}
