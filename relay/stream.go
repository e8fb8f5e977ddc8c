package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
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
	// maxEventBytes bounds the size of an event.
	maxEventBytes = 1 << 20
)

// streamAnswer forwards events as they arrive. Only complete events are forwarded: an endpoint
// that fails may stop in the middle of one.
func (a *attempt) streamAnswer(h Head, answer *upstream.Answer) (r result, err error) {
	x := a.exchange
	events := &eventReader{r: bufio.NewReader(answer)}
	if !x.written {
		x.writeHead(h)
	}
	for {
		if err = answer.SetReadTimeout(x.eventTimeout()); err != nil {
			return broken, interrupted(err)
		}
		e, err := events.next()
		if err == io.EOF {
			return done, nil
		}
		if err != nil {
			a.silent, a.cause = upstream.TimedOut(err), err
			return broken, interrupted(err)
		}
		a.lastEventAt = x.server.cfg.Clock.Now()
		if a.events == 0 {
			a.firstEventAt = a.lastEventAt
		}
		a.events++
		x.server.selector.RecordActivity(a.endpoint.ID, a.lastEventAt)
		if err = x.writeEvent(e); err != nil {
			return ended, err
		}
	}
}

// eventTimeout returns how long to wait for the next event.
func (x *exchange) eventTimeout() clock.Millis {
	if !x.mayRepeat() {
		return max(x.remaining(), 1)
	}
	return max(min(max(eventTimeoutFactor*x.route.TargetGap, minEventTimeout), x.remaining()), 1)
}

// writeHead sends the head of the answer to the caller. The length is omitted because part of the
// answer may come from another endpoint.
func (x *exchange) writeHead(h Head) {
	copyHeader(x.w.Header(), h.Header)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(h.Status)
	x.written, x.status = true, h.Status
	x.timeToFirstByte = x.server.cfg.Clock.Now() - x.startedAt
}

// writeEvent sends one event to the caller and records its ID, from which the stream can be
// resumed.
func (x *exchange) writeEvent(e event) (err error) {
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	if _, err = x.w.Write(e.raw); err == nil {
		err = control.Flush()
	}
	if err != nil {
		return refusal.New(refusal.Cancelled, "caller takes nothing: "+err.Error()).WithRun(refusal.Ran)
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

// event is one event of a stream, as received.
type event struct {
	raw []byte
	id  string
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
	for {
		line, err := s.r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
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
		text := bytes.TrimRight(line, "\r\n")
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(text) == 0 {
			return e, nil
		}
	}
}
