// Package account sums up what became of the requests in the log lines of entries: by
// route, by second and by cause, with the time that each cause took.
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

// Request is the end of a request as an entry logged it.
type Request struct {
	// At is the writer's wall clock at the end.
	At    time.Time
	Route string
	// Cause is why the request was not answered in time, or "answered".
	Cause string
	// Took is its whole time at the entry, First the time to the first byte; 0 when
	// none came.
	Took      clock.Millis
	FirstByte clock.Millis
	// Phases holds how long the phases of an answered request took; nil where its line
	// does not say.
	Phases *Phases
}

// Phases are the parts of a request's time, one after another.
type Phases struct {
	// Body is the reading of the caller's body, Placed what passed after it until the
	// first attempt began.
	Body      clock.Millis
	Placement clock.Millis
	// Connect is the making of connections, Answer the rest until the first byte, and
	// Stream what came after it.
	Connect   clock.Millis
	FirstByte clock.Millis
	Stream    clock.Millis
}

// Attempt is an attempt that did not bring the answer.
type Attempt struct {
	// Result is what became of it, in the words of the log.
	Result  string
	Model   string
	Elapsed clock.Millis
	// FirstByte is how long the first byte took, Expected how long it was expected to take;
	// First is 0 when none came.
	FirstByte clock.Millis
	Expected  clock.Millis
}

// Log holds what log lines told.
type Log struct {
	Requests []Request
	Attempts []Attempt
	// Malformed counts lines of requests and attempts that lack a field or cannot be read;
	// Other counts lines that tell of something else.
	Malformed int
	Other     int
}

// Causes of requests that were not answered, or late.
const (
	// Answered requests had their whole answer in time.
	Answered = "answered"
	// LateFirstByte and LatePause are answers whose first byte came after its aim, or that
	// paused for longer than their route allows.
	LateFirstByte = "late: first byte"
	LatePause     = "late: pause"
	// LeftByCaller requests ended because their caller went away.
	LeftByCaller = "left by caller"
)

var pairs = regexp.MustCompile(`([a-z-]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// Read adds the lines of a log.
func (l *Log) Read(r io.Reader) (err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), explain.MaxLineBytes)
	for s.Scan() {
		l.line(s.Text())
	}
	return s.Err()
}

func (l *Log) line(text string) {
	switch {
	case strings.Contains(text, "Request answered "), strings.Contains(text, "Request failed "):
		l.request(text)
	case strings.Contains(text, "Attempt did not answer "):
		l.attempt(text)
	default:
		l.Other++
	}
}

// fields of a line, by name.
type fields map[string]string

func fieldsOf(text string) fields {
	f := make(fields)
	for _, m := range pairs.FindAllStringSubmatch(text, -1) {
		value := m[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		f[m[1]] = value
	}
	return f
}

// span reads a field that holds a span of time.
func (f fields) span(name string) (span clock.Millis, ok bool) {
	d, err := time.ParseDuration(f[name])
	return clock.FromDuration(d), err == nil
}

func (l *Log) request(text string) {
	f := fieldsOf(text)
	at, _ := explain.SplitTimestamp(text)
	took, ok := f.span("took")
	first, hasFirst := f.span("first")
	if at.IsZero() || !ok || !hasFirst || f["route"] == "" && f["error"] == "" {
		l.Malformed++
		return
	}
	l.Requests = append(l.Requests, Request{At: at, Route: f["route"], Cause: causeOf(f), Took: took, FirstByte: first, Phases: phasesOf(f, took, first)})
}

// phasesOf parts the time of a request that was answered.
func phasesOf(f fields, took, first clock.Millis) *Phases {
	body, hasBody := f.span("body")
	placed, hasPlaced := f.span("placed")
	connect, hasConnect := f.span("connect")
	if !hasBody || !hasPlaced || !hasConnect || f["error"] != "" {
		return nil
	}
	if first == 0 {
		first = took
	}
	return &Phases{Body: body, Placement: max(placed-body, 0), Connect: connect, FirstByte: max(first-placed-connect, 0), Stream: max(took-first, 0)}
}

// causeOf names the cause by a line's fields.
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

func (l *Log) attempt(text string) {
	f := fieldsOf(text)
	after, ok := f.span("after")
	if !ok || f["result"] == "" {
		l.Malformed++
		return
	}
	a := Attempt{Result: f["result"], Model: f["model"], Elapsed: after}
	a.FirstByte, _ = f.span("first")
	a.Expected, _ = f.span("expected")
	l.Attempts = append(l.Attempts, a)
}
