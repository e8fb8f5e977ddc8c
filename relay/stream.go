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
	// gapFactor and leastGap bound the silence within a stream that can go on
	// elsewhere. An endpoint that pre-empts a request pauses its stream for up to
	// a second and goes on.
	gapFactor = 2
	leastGap  = 1500 * clock.Millis(1)
	// writePatience bounds the pause in which a caller takes nothing. A caller
	// that stops reading would otherwise hold its request, and its place at an
	// endpoint, until the request's time is up.
	writePatience = 5 * clock.Second
	// maxEvent bounds an event.
	maxEvent = 1 << 20
)

// stream hands events on as they come. Only whole events are handed on: an
// endpoint that fails may stop in the middle of one.
func (a *attempt) stream(h Head, answer *upstream.Answer) (r result, err error) {
	x := a.exchange
	events := &eventReader{r: bufio.NewReader(answer)}
	if !x.written {
		x.open(h)
	}
	for {
		if err = answer.SetReadTimeout(x.silence()); err != nil {
			return broken, lost(err)
		}
		e, err := events.next()
		if err == io.EOF {
			return done, nil
		}
		if err != nil {
			a.silent, a.cause = upstream.TimedOut(err), err
			return broken, lost(err)
		}
		a.lastAt = x.server.cfg.Clock.Now()
		if a.events == 0 {
			a.openedAt = a.lastAt
		}
		a.events++
		x.server.board.RecordActivity(a.endpoint.ID, a.lastAt)
		if err = x.emit(e); err != nil {
			return ended, err
		}
	}
}

// silence is how long the next event may take.
func (x *exchange) silence() clock.Millis {
	if !x.mayRepeat() {
		return max(x.left(), 1)
	}
	return max(min(max(gapFactor*x.route.TargetGap, leastGap), x.left()), 1)
}

// open begins the answer to the caller. Its length is not known when a part of
// it may come from another endpoint.
func (x *exchange) open(h Head) {
	copyHeader(x.w.Header(), h.Header)
	x.w.Header().Del("Content-Length")
	x.w.WriteHeader(h.Status)
	x.written, x.status = true, h.Status
	x.firstAt = x.server.cfg.Clock.Now() - x.startedAt
}

// emit hands one event on, unless the caller has it already.
func (x *exchange) emit(e event) (err error) {
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(time.Now().Add(writePatience.Duration()))
	if _, err = x.w.Write(e.raw); err == nil {
		err = control.Flush()
	}
	if err != nil {
		return refusal.New(refusal.Cancelled, "caller takes nothing: "+err.Error()).WithRun(refusal.Ran)
	}
	now := x.server.cfg.Clock.Now()
	if x.events > 0 {
		x.pause = max(x.pause, now-x.emittedAt)
	}
	x.events++
	x.emittedAt = now
	if e.id != "" {
		x.req.LastEventID, x.req.Resumes = e.id, true
	}
	return nil
}

// event is one event of a stream as it came.
type event struct {
	raw []byte
	id  string
}

// eventReader parts a stream into events.
type eventReader struct {
	r *bufio.Reader
}

var (
	errTorn  = errors.New("relay: stream ends in the middle of an event")
	errEvent = errors.New("relay: event is too large")
)

// next returns the next whole event, or io.EOF after the last one.
func (s *eventReader) next() (e event, err error) {
	for {
		line, err := s.r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case err == io.EOF && len(e.raw) > 0:
			return e, errTorn
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return e, err
		case len(e.raw) > maxEvent:
			return e, errEvent
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
