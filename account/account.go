// Package account summarises the outcomes of requests from the log lines of entries: by route, by
// second and by cause, with the total time of the requests of each cause.
package account

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/explain"
)

// Request is a finished request as an entry logged it.
type Request struct {
	// At is when the request ended, by the wall clock of the entry.
	At    time.Time
	Route string
	// Cause is Answered, or why the request was not answered in time.
	Cause string
	// Took is the total time at the entry. FirstByte is the time to the first byte, or 0 if there
	// was none.
	Took      clock.Millis
	FirstByte clock.Millis
	// Phases holds the durations of the phases of an answered request. It is nil if the line does
	// not have them.
	Phases *Phases
}

// Phases are the consecutive phases of a request.
type Phases struct {
	// Body is the time to read the caller's body. Placement is the time from then to the start of
	// the first attempt.
	Body      clock.Millis
	Placement clock.Millis
	// Connect is the time to open connections, FirstByte the remaining time until the first byte,
	// and Stream the time after it.
	Connect   clock.Millis
	FirstByte clock.Millis
	Stream    clock.Millis
}

// Attempt is an attempt that did not produce the answer.
type Attempt struct {
	// Result is the outcome as logged, for example "failed".
	Result  string
	Model   string
	Elapsed clock.Millis
	// FirstByte is the time to the first byte, or 0 if there was none. Expected is the predicted
	// value of it.
	FirstByte clock.Millis
	Expected  clock.Millis
}

// Log holds the requests and attempts read from log lines.
type Log struct {
	Requests []Request
	Attempts []Attempt
	// Malformed counts lines about requests and attempts that lack a field or cannot be parsed.
	// Other counts all other lines.
	Malformed int
	Other     int
}

// The values of Request.Cause. Further values are those of refused and failed requests, which
// include the error code.
const (
	// Answered means that the complete answer was sent in time.
	Answered = "answered"
	// LateFirstByte means that the first byte of the answer came after the latency target;
	// LatePause, that the answer paused for longer than the route allows.
	LateFirstByte = "late: first byte"
	LatePause     = "late: pause"
	// LeftByCaller means that the caller closed the connection before the request ended.
	LeftByCaller = "left by caller"
)

var fieldPattern = regexp.MustCompile(`([a-z-]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// Read parses the lines of a log and adds their requests and attempts to l. It fails if the log
// cannot be read or has a line longer than explain.MaxLineBytes.
func (l *Log) Read(r io.Reader) (err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), explain.MaxLineBytes)
	for s.Scan() {
		l.readLine(s.Text())
	}
	return s.Err()
}

func (l *Log) readLine(text string) {
	switch {
	case strings.Contains(text, "Request answered "), strings.Contains(text, "Request failed "):
		l.readRequest(text)
	case strings.Contains(text, "Attempt did not answer "):
		l.readAttempt(text)
	default:
		l.Other++
	}
}

// fields holds the fields of a line by name.
type fields map[string]string

func parseFields(text string) fields {
	f := make(fields)
	for _, m := range fieldPattern.FindAllStringSubmatch(text, -1) {
		value := m[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		f[m[1]] = value
	}
	return f
}

// duration parses a field that holds a duration.
func (f fields) duration(name string) (length clock.Millis, ok bool) {
	d, err := time.ParseDuration(f[name])
	return clock.FromDuration(d), err == nil
}

func (l *Log) readRequest(text string) {
	f := parseFields(text)
	at, _ := explain.SplitTimestamp(text)
	took, ok := f.duration("took")
	first, hasFirst := f.duration("first")
	if at.IsZero() || !ok || !hasFirst || f["route"] == "" && f["error"] == "" {
		l.Malformed++
		return
	}
	l.Requests = append(l.Requests, Request{At: at, Route: f["route"], Cause: causeOf(f), Took: took, FirstByte: first, Phases: phasesOf(f, took, first)})
}

// phasesOf splits the time of an answered request into its phases.
func phasesOf(f fields, took, first clock.Millis) *Phases {
	body, hasBody := f.duration("body")
	placed, hasPlaced := f.duration("placed")
	connect, hasConnect := f.duration("connect")
	if !hasBody || !hasPlaced || !hasConnect || f["error"] != "" {
		return nil
	}
	if first == 0 {
		first = took
	}
	return &Phases{Body: body, Placement: max(placed-body, 0), Connect: connect, FirstByte: max(first-placed-connect, 0), Stream: max(took-first, 0)}
}

// causeOf returns the cause from the fields of a line.
func causeOf(f fields) string {
	code, _, _ := strings.Cut(f["error"], " (")
	switch {
	case f["left-by-caller"] == "true":
		return LeftByCaller
	case f["error"] == "" && f["late"] == "first-byte":
		return LateFirstByte
	case f["error"] == "" && f["late"] == "pause":
		return LatePause
	case f["error"] == "":
		return Answered
	case f["sends"] == "0":
		return "refused: " + code
	}
	return "failed: " + code
}

func (l *Log) readAttempt(text string) {
	f := parseFields(text)
	after, ok := f.duration("after")
	if !ok || f["result"] == "" {
		l.Malformed++
		return
	}
	a := Attempt{Result: f["result"], Model: f["model"], Elapsed: after}
	a.FirstByte, _ = f.duration("first")
	a.Expected, _ = f.duration("expected")
	l.Attempts = append(l.Attempts, a)
}
