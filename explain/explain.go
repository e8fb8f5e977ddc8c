// Package explain collects the log lines of many processes about one request, endpoint or upgrade
// and orders them by time.
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

// MaxLineBytes is the maximum length of a log line, in bytes. Longer lines cannot be read.
const MaxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	// At is the wall clock of the process that wrote the line; zero if the line has no time.
	At time.Time
	// Source is the name of the file or process that the line was read from.
	Source string
	// VM is the VM of the process that wrote the line, empty if the line does not name it.
	VM   string
	Text string
}

// timestampPattern matches the time of a line. Text that a log collector added may precede it.
var timestampPattern = regexp.MustCompile(`[A-Z][a-z]{2} [ \d]\d \d\d:\d\d:\d\d\.\d{3}`)

var vmField = regexp.MustCompile(`\bvm=(\S+)`)

// Read returns the lines of a log that have the subject in a field. The subject is the name of a
// request, endpoint or version. The error is that of the reader, or bufio.ErrTooLong for a line
// longer than MaxLineBytes.
func Read(r io.Reader, source, subject string) (lines []Line, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), MaxLineBytes)
	subjectPattern := regexp.MustCompile(`[=/ ]` + regexp.QuoteMeta(subject) + `(\s|/|$)`)
	for s.Scan() {
		text := s.Text()
		if !subjectPattern.MatchString(text) {
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

// SplitTimestamp splits a line into its time and the text after it. If the line has no time, at is
// zero and rest is the full line.
func SplitTimestamp(text string) (at time.Time, rest string) {
	position := timestampPattern.FindStringIndex(text)
	if position == nil {
		return at, strings.TrimSpace(text)
	}
	at, err := time.Parse(time.StampMilli, text[position[0]:position[1]])
	if err != nil {
		return time.Time{}, strings.TrimSpace(text)
	}
	return at, strings.TrimSpace(text[position[1]:])
}

// WriteTimeline sorts lines by time and writes each with the time since the first one and its VM.
// The clocks of VMs may differ, so the order is reliable only among the lines of one VM.
func WriteTimeline(w io.Writer, lines []Line) (err error) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, l := range lines {
		elapsed := clock.Millis(0)
		if !l.At.IsZero() {
			elapsed = clock.FromDuration(l.At.Sub(lines[0].At))
		}
		if _, err = fmt.Fprintf(w, "%8s  %-24s %s\n", elapsed, writer(l), withoutVM(l.Text)); err != nil {
			return err
		}
	}
	return nil
}

func writer(l Line) string {
	if l.VM != "" {
		return l.VM
	}
	return l.Source
}

// withoutVM removes the VM field, as WriteTimeline writes the VM in front of the line.
func withoutVM(text string) string { return vmField.ReplaceAllString(text, "") }

// Outcome returns a sentence on how a request ended, taken from the last line that reports its end.
// It is empty if no line does.
func Outcome(lines []Line) string {
	for i := len(lines) - 1; i >= 0; i-- {
		text := lines[i].Text
		switch {
		case strings.Contains(text, "Request answered"):
			return "The request was answered" + attemptsText(text) + "."
		case strings.Contains(text, "Request failed"):
			return "The request failed" + attemptsText(text) + ": " + failureCause(text) + retryText(text) + "."
		}
	}
	return ""
}

var (
	sendsField = regexp.MustCompile(`\bsends=(\d+)`)
	errorField = regexp.MustCompile(`\berror=("([^"]*)"|\S+)`)
)

func attemptsText(text string) string {
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

// retryText tells that the retry budget allowed no further attempt.
func retryText(text string) string {
	if !strings.Contains(text, " retry=denied ") {
		return ""
	}
	return "; the retry budget allowed no further attempt"
}

func failureCause(text string) string {
	m := errorField.FindStringSubmatch(text)
	if m == nil {
		return "the line names no error"
	}
	return strings.Trim(m[1], `"`)
}
