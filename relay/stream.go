package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/upstream"
)

const (
	// eventTimeoutFactor and minEventTimeout set the timeout for the next event of a stream that
	// can be resumed at another endpoint: eventTimeoutFactor times the route's TargetGap, but at
	// least minEventTimeout. An endpoint that pre-empts a request pauses its stream for up to a
	// second and then continues; such a pause must not count as a timeout.
	eventTimeoutFactor = 2
	minEventTimeout    = 1500 * clock.Millis(1)
	// writeTimeout bounds a write to the caller. A caller that stops reading would otherwise hold
	// its request, and its slot at an endpoint, until the request's deadline.
	writeTimeout = 5 * clock.Second
	// maxWriteBytes is the largest part of a body that is written at once.
	maxWriteBytes = 64 << 10
	// maxEventBytes bounds the size of an event.
	maxEventBytes = 1 << 20
	// readBufferBytes is the size of the buffer from which events are read.
	readBufferBytes = 4 << 10
)

// streamAnswer forwards events as they arrive. Only complete events are forwarded: an endpoint
// that fails may stop in the middle of one.
func (a *attempt) streamAnswer(h Head, answer *upstream.Answer) (r result, err error) {
	x := a.exchange
	events := a.readAhead(answer)
	defer events.close()
	x.position.join()
	for {
		e, err := events.next()
		if err == io.EOF {
			if err = a.checkWhole(x.position.begun() || x.req.Resumes); err != nil {
				return a.notWhole(err)
			}
			x.beginStream(h)
			return done, nil
		}
		if err != nil {
			a.silent, a.delayed, a.tooLong, a.cause = upstream.TimedOut(err), answer.Delayed(), errors.Is(err, errEventTooLarge), err
			return a.interruptedResult(), interrupted(err)
		}
		a.lastEventAt = e.at
		if a.events == 0 {
			a.firstEventAt = a.lastEventAt
			x.noteResumption(e)
		}
		if err = x.position.advance(e); err != nil {
			return a.outOfOrder(err)
		}
		x.beginStream(h)
		a.events++
		if a.events == sampledEvents {
			a.recordLatency()
		}
		a.recordAlive(a.lastEventAt)
		if err = events.during(func() error { return x.writeEvent(e) }); err != nil {
			return ended, err
		}
	}
}

// readAhead returns a reader of the events of an answer.
func (a *attempt) readAhead(answer *upstream.Answer) *readAhead {
	x, events := a.exchange, &eventReader{r: bufio.NewReaderSize(answer, readBufferBytes)}
	r := &readAhead{
		prepare: func() error { return answer.SetReadTimeout(x.eventTimeout()) },
		read: func() (e event, err error) {
			e, err = events.next()
			e.at = x.server.cfg.Clock.Now()
			return e, err
		},
		interrupt: func() { _ = answer.SetReadTimeout(0) },
		held:      x.server.held,
		caller:    x.heldAnswer(),
	}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// heldAnswer returns the answer to this request, of which nothing is held yet.
func (x *exchange) heldAnswer() heldAnswer {
	control := http.NewResponseController(x.w)
	return heldAnswer{rank: x.priority, cut: func(bytes int, age clock.Millis) {
		x.cutOff.Store(true)
		_ = control.SetWriteDeadline(time.Now())
		x.logCut("memory", bytes, age)
	}}
}

// logCut counts and logs that the caller is cut off because it reads too slowly.
func (x *exchange) logCut(reason string, bytes int, age clock.Millis) {
	s := x.server
	s.metrics.GetOrCreateCounter(`parsleydeal_callers_cut_total{reason="` + reason + `"}`).Inc()
	s.cfg.Log.Info("Caller is cut off", "request", x.req.ID, "reason", reason, "held", bytes, "age", age, "rank", x.priority)
}

// eventTimeout returns how long to wait for the next event.
func (x *exchange) eventTimeout() clock.Millis {
	if !x.mayRepeat() {
		return max(x.remaining(), 1)
	}
	return max(min(max(eventTimeoutFactor*x.route.TargetGap, minEventTimeout), x.remaining()), 1)
}

// beginStream sends the head of the answer, unless the caller has that of an earlier attempt.
func (x *exchange) beginStream(h Head) {
	if !x.written {
		x.writeHead(h)
	}
}

// writeHead sends the head of the answer to the caller. The length is omitted because part of the
// answer may come from another endpoint.
func (x *exchange) writeHead(h Head) {
	x.begun.Store(true)
	copyHeader(x.w.Header(), h.Header)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(h.Status)
	x.written, x.status = true, h.Status
	x.timeToFirstByte = x.server.cfg.Clock.Now() - x.startedAt
}

// writeEvent sends one event to the caller and records its ID, from which the stream can be
// resumed.
func (x *exchange) writeEvent(e event) (err error) {
	if err = x.write(e.raw); err != nil {
		return err
	}
	now := x.server.cfg.Clock.Now()
	if x.events > 0 {
		x.longestPause = max(x.longestPause, now-x.lastEventAt)
	}
	x.events++
	x.lastEventAt = now
	if e.id != "" {
		x.req.LastEventID, x.req.Resumes = e.id, true
	}
	return nil
}

// write sends a part of the answer to the caller.
func (x *exchange) write(data []byte) (err error) {
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	if x.cutOff.Load() {
		return refusal.New(refusal.Cancelled, "caller was cut off").WithRun(refusal.Ran)
	}
	if _, err = x.w.Write(data); err == nil {
		err = control.Flush()
	}
	if err == nil {
		x.bytes += len(data)
		return nil
	}
	if upstream.TimedOut(err) && !x.cutOff.Load() {
		x.logCut("write-timeout", len(data), writeTimeout)
	}
	return refusal.New(refusal.Cancelled, "caller takes nothing: "+err.Error()).WithRun(refusal.Ran)
}

// writeBody sends a buffered body in parts, so that a caller that takes some of it within
// writeTimeout is not cut off.
func (x *exchange) writeBody(body []byte) (err error) {
	held, rest := x.heldAnswer(), len(body)
	x.server.held.hold(&held, rest)
	defer func() { x.server.held.release(&held, rest) }()
	for rest > 0 {
		n := min(rest, maxWriteBytes)
		if err = x.write(body[len(body)-rest:][:n]); err != nil {
			return err
		}
		x.server.held.release(&held, n)
		rest -= n
	}
	return nil
}

// event is one event of a stream, as received at the time at.
type event struct {
	raw []byte
	// data is true if the event has data; one without data and ID is a comment.
	data bool
	id   string
	at   clock.Millis
}

// eventReader splits a stream into events.
type eventReader struct {
	r *bufio.Reader
}

var (
	errIncompleteEvent = errors.New("relay: stream ends in the middle of an event")
	errEventTooLarge   = errors.New("relay: event is too large")
)

// next returns the next complete event, or io.EOF after the last one.
func (s *eventReader) next() (e event, err error) {
	lineStart := 0
	for {
		// A line that is longer than the buffer comes in several parts.
		part, err := s.r.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case err == io.EOF && len(e.raw) > 0:
			return e, errIncompleteEvent
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return e, err
		case len(e.raw) > maxEventBytes:
			return e, errEventTooLarge
		case err != nil:
			continue
		}
		line := bytes.TrimRight(e.raw[lineStart:], "\r\n")
		lineStart = len(e.raw)
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		e.data = e.data || bytes.HasPrefix(line, []byte("data"))
		if len(line) == 0 {
			return e, nil
		}
	}
}
