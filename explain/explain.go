// Package explain puts the log lines of many processes in order that tell of one
// request, endpoint or upgrade.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
)

// MaxLineBytes bounds a log line that is read.
const MaxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	// At is the writer's wall clock.
	At time.Time
	// Source names the file or process that wrote it.
	Source string
	// VM is the writer's, empty when the line does not say.
	VM   string
	Text string
}

// stamp finds the time of a line, which may stand behind what a collector put
// before it.
var stamp = regexp.MustCompile(`[A-Z][a-z]{2} [ \d]\d \d\d:\d\d:\d\d\.\d{3}`)

var vmField = regexp.MustCompile(`\bvm=(\S+)`)

// Read returns the lines of a log that name a subject: a request's, endpoint's or
// version's name as it stands in a field.
func Read(r io.Reader, source, subject string) (lines []Line, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), MaxLineBytes)
	names := regexp.MustCompile(`[=/ ]` + regexp.QuoteMeta(subject) + `(\s|/|$)`)
	for s.Scan() {
		text := s.Text()
		if !names.MatchString(text) {
			continue
		}
		at, rest := SplitTimestamp(text)
		l := Line{At: at, Source: source, Text: rest}
		if m := vmField.FindStringSubmatch(text); m != nil {
			l.VM = m[1]
		}
		lines = append(lines, l)
	}
	return lines, s.Err()
}

// SplitTimestamp parts a line at its time; one without a time keeps its place.
func SplitTimestamp(text string) (at time.Time, rest string) {
	where := stamp.FindStringIndex(text)
	if where == nil {
		return at, strings.TrimSpace(text)
	}
	at, err := time.Parse(time.StampMilli, text[where[0]:where[1]])
	if err != nil {
		return time.Time{}, strings.TrimSpace(text)
	}
	return at, strings.TrimSpace(text[where[1]:])
}

// WriteTimeline sorts lines by time and writes them with the span since the first. Wall
// clocks of VMs differ: lines of one VM keep their order, and each names its VM.
func WriteTimeline(w io.Writer, lines []Line) (err error) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, l := range lines {
		span := clock.Millis(0)
		if !l.At.IsZero() {
			span = clock.FromDuration(l.At.Sub(lines[0].At))
		}
		if _, err = fmt.Fprintf(w, "%8s  %-24s %s\n", span, name(l), field(l.Text)); err != nil {
			return err
		}
	}
	return nil
}

func name(l Line) string {
	if l.VM != "" {
		return l.VM
	}
	return l.Source
}

// field drops the VM from a line's fields, since it stands before it.
func field(text string) string { return vmField.ReplaceAllString(text, "") }

// Outcome says in a sentence what ended a request, from its last line; empty when
// the lines do not tell.
func Outcome(lines []Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		text := lines[i].Text
		switch {
		case strings.Contains(text, "Request answered"):
			return "The request was answered" + attempts(text) + "."
		case strings.Contains(text, "Request failed"):
			return "The request failed" + attempts(text) + ": " + cause(text) + "."
		}
	}
	return ""
}

var (
	sendsField = regexp.MustCompile(`\bsends=(\d+)`)
	errorField = regexp.MustCompile(`\berror=("([^"]*)"|\S+)`)
)

func attempts(text string) string {
	m := sendsField.FindStringSubmatch(text)
	switch {
	case m == nil:
		return ""
	case m[1] == "0":
		return " without having been sent to an endpoint"
	case m[1] == "1":
		return " after one attempt"
	default:
		return " after " + m[1] + " attempts"
	}
}

func cause(text string) string {
	m := errorField.FindStringSubmatch(text)
	if m == nil {
		return "the line names no error"
	}
	return strings.Trim(m[1], `"`)
}
