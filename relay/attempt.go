package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/fleet"
	"github.com/parsleydeal/parsleydeal/quarantine"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// attempt is one attempt of a request at one endpoint.
type attempt struct {
	exchange  *exchange
	plan      plan
	endpoint  *fleet.Endpoint
	startedAt clock.Millis
	// timeToFirstByte is the time until the head of the answer arrived; 0 before that.
	timeToFirstByte clock.Millis
	status          int
	confidence      int
	// outstanding is the number of requests at the endpoint, as it reported with the answer.
	outstanding int
	// expectedFirstByte is the predicted time until the head arrives.
	expectedFirstByte clock.Millis
	// events counts the events of a stream; firstEventAt and lastEventAt are the arrival times of
	// the first and the last one.
	events       int
	firstEventAt clock.Millis
	lastEventAt  clock.Millis
	// latencyRecorded is true once the latency was recorded for the comparison of versions.
	latencyRecorded bool
	// silent is true when the endpoint sent nothing for longer than the timeout.
	silent bool
	// delayed is true when the attempt timed out that late that the timeout tells of this process, not of the endpoint.
	delayed bool
	// unsent is true when nothing of the request was sent, refused when nothing listened at the
	// endpoint's address.
	unsent  bool
	refused bool
	// tooLong is true when the endpoint sent more than an answer may have.
	tooLong bool
	// abandoned is true when nothing was sent because nobody waits for the answer any more.
	abandoned bool
	// framing is how the end of the answer is known; empty before its head arrived.
	framing upstream.Framing
	// watch is the attempt in the register of what endpoints crash on.
	watch *quarantine.Attempt
	// wrongEndpoint is true when the address now belongs to another endpoint.
	wrongEndpoint bool
	failureAnswer *bufferedAnswer
	cause         error
	// onEnd holds what ends with the attempt, in the order in which it began.
	onEnd []func()
}

// run sends the request and handles the answer.
func (a *attempt) run(ctx context.Context) (r result, err error) {
	x := a.exchange
	s := x.server
	now := s.cfg.Clock.Now()
	a.startedAt, a.confidence = now, -1
	if x.firstAttemptAt == 0 {
		x.firstAttemptAt = now
	}
	work := s.selector.Begin(a.endpoint, x.query(a.plan))
	a.expectedFirstByte = work.ExpectedFirstByte()
	a.onEnd = []func(){work.End, s.counts.beginRequest(x.service, a.endpoint.Version), s.sessions.begin(x.session, x.service, a.endpoint.Version, s.cfg.Clock.Now)}
	defer func() {
		if r != poor {
			a.end()
		}
	}()
	a.watch = s.quarantine.Begin(incarnationOf(a.endpoint), x.keys, x.route.Kind != catalog.Streaming, now)
	a.onEnd = append(a.onEnd, func() { s.quarantine.End(a.watch, false, s.cfg.Clock.Now()) })
	a.countLimited()
	x.sends++
	answer, err := s.cfg.Pool.Do(ctx, a.call())
	a.delayed = upstream.Delayed(err)
	if errorx.IsOfType(err, upstream.ErrAbandoned) {
		a.unsent, a.abandoned = true, true
		x.unsent++
		return notRun, x.deadlineError(err)
	}
	if errorx.IsOfType(err, upstream.ErrNotSent) {
		a.unsent, a.refused = true, errorx.IsOfType(err, upstream.ErrRefused)
		x.unsent++
		if ctx.Err() != nil {
			x.callerLeft(leftBeforeSend)
		}
		return notRun, refusal.New(refusal.EndpointLost, err.Error())
	}
	x.runs++
	x.unusedRetryAt = 0
	if errorx.IsOfType(err, upstream.ErrInvalidHead) {
		s.invalidHeads.Inc()
	}
	if err != nil {
		a.silent, a.tooLong, a.cause = errorx.IsOfType(err, upstream.ErrSilent), errorx.IsOfType(err, upstream.ErrTooLong), err
		return failed, refusal.New(refusal.EndpointLost, err.Error()).WithRun(refusal.Unknown)
	}
	a.onEnd = append(a.onEnd, answer.Close)
	a.timeToFirstByte = max(s.cfg.Clock.Now()-a.startedAt, 1)
	x.connectTook += answer.ConnectTime()
	h := s.cfg.Dialect.Head(answer.Status, answer.Header)
	x.pace = h.Load.Pace
	work.FirstByte(s.cfg.Clock.Now(), h.Load.Pace)
	s.latency.addError(x.route, a.plan.model(), a.timeToFirstByte-a.expectedFirstByte)
	if h.begins() {
		s.quarantine.Head(a.watch, s.cfg.Clock.Now())
	} else {
		s.quarantine.Cancel(a.watch)
	}
	a.recordAlive(s.cfg.Clock.Now())
	a.framing = answer.Framing()
	a.status, a.confidence = h.Status, h.Confidence
	a.recordHead(h)
	return a.classify(h, answer)
}

// end closes the answer and records that the attempt has ended. It must be called once.
func (a *attempt) end() {
	for _, end := range slices.Backward(a.onEnd) {
		end()
	}
}

// countLimited counts an attempt at an endpoint that advertises a rate limit.
func (a *attempt) countLimited() {
	s := a.exchange.server
	switch {
	case !s.selector.Advertised(a.endpoint).HasRate:
	case a.exchange.sends == 0:
		s.limitedFirst.Inc()
	default:
		s.limitedFurther.Inc()
	}
}

// call builds the request for the endpoint.
func (a *attempt) call() upstream.Call {
	x := a.exchange
	params := AttemptParams{
		Endpoint: a.endpoint.ID, Address: a.endpoint.Address, Organisation: x.organisation, Model: a.plan.model(),
		Remaining: max(x.untilDeadline(), 1), Priority: x.priority, LastEventID: x.req.LastEventID, Resumes: x.req.Resumes,
		// A reused connection may be dead, and only a request sent on it reveals that. A request
		// that must not be repeated would be lost.
		NewConnection: !x.route.Repeatable(),
	}
	c := x.server.cfg.Dialect.Call(x.req, params, x.req.body)
	c.HasBody = x.req.hasBody
	c.FirstByteTimeout = a.firstByteWait
	if c.NewConnection && x.server.cfg.Strategies.For(decision.Connection) == decision.Watched {
		c.SettleTime = settleDuration
	}
	c.Abandoned = func() bool { return x.callerLeft(leftBeforeSend) }
	c.Sending = func() { x.server.quarantine.Sent(a.watch, x.server.cfg.Clock.Now()) }
	c.MaxIdle = x.server.maxIdle(x.view, x.service)
	return c
}

const (
	// settleDuration is how long a new connection is watched for a reset before a request that may
	// run only once is sent on it: an endpoint at its connection limit accepts a connection and
	// then resets it. The duration is that of a round trip to the endpoint and its handshake.
	settleDuration = 3 * clock.Millis(1)
	// idleConnectionRatio is the fraction of an endpoint's connection limit that all entries
	// together may keep idle. The rest is for requests in flight.
	idleConnectionRatio = 0.5
	// defaultMaxIdle is the number of idle connections kept to an endpoint whose service sets no
	// connection limit.
	defaultMaxIdle = 32
)

// maxIdle returns how many idle connections this entry may keep to an endpoint.
func (s *Server) maxIdle(v *site.View, service string) int {
	c, ok := v.Config().Service(service)
	if !ok || c.MaxConnections <= 0 {
		return defaultMaxIdle
	}
	return int(math.Round(idleConnectionRatio * float64(c.MaxConnections) / float64(v.Entries())))
}

// busyTimeoutFactor multiplies the first-byte timeout at an endpoint that answers other requests
// while this one waits. This request is then queued there, and would be at the end of the queue at
// another endpoint.
const busyTimeoutFactor = 2.5

// firstByteWait returns how much longer to wait for the first byte. A request that may be repeated
// is moved to another endpoint earlier if its endpoint sends nothing on any connection.
func (a *attempt) firstByteWait(waited clock.Millis) clock.Millis {
	x := a.exchange
	remaining := x.remaining()
	strategy := x.server.cfg.Strategies.For(decision.FirstByteTimeout)
	if !x.mayRepeatAfter(1) || strategy == decision.CallerTimeout {
		return remaining
	}
	timeout := x.server.latency.typicalTimeout(x.route, a.plan.model())
	if strategy == decision.ByError {
		timeout = x.server.latency.timeoutFor(x.route, a.plan.model(), a.expectedFirstByte)
	}
	if x.server.selector.ActiveSince(a.endpoint.ID, a.startedAt) {
		timeout = clock.Millis(busyTimeoutFactor * float64(timeout))
	}
	if waited >= timeout && !x.server.cfg.Strategies.Disabled(decision.StayIfBusy) && !a.otherEndpointHasRoom() {
		return min(recheckInterval, remaining)
	}
	return min(timeout-waited, remaining)
}

// recheckInterval is how long a request stays at its slow endpoint before it checks again whether
// another endpoint has room for it.
const recheckInterval = 100 * clock.Millis(1)

// otherEndpointHasRoom reports whether another endpoint would answer in time. Without this check a
// request that leaves a slow endpoint while all others are full fails at once, although its answer
// might have arrived a moment later.
func (a *attempt) otherEndpointHasRoom() bool {
	x := a.exchange
	return x.server.selector.HasCapacity(x.view.Fleet(), x.retryQuery(a.plan))
}

// recordHead records what the head of an answer reports about the endpoint.
func (a *attempt) recordHead(h Head) {
	s := a.exchange.server
	now := s.cfg.Clock.Now()
	a.outstanding = h.Load.Outstanding
	if h.Load.Invalid != "" {
		s.recordLoadDefect(a, h.Load.Invalid, now)
	}
	if h.Load.Known && !h.WrongEndpoint {
		s.selector.RecordLoad(a.endpoint.ID, h.Load.Outstanding, h.Load.Slots, now)
		s.selector.RecordQueueLength(a.endpoint.ID, h.Load.QueueLength, now)
		if h.Load.Pace > 0 {
			s.selector.RecordPace(a.endpoint.ID, h.Load.Pace, now)
		}
	}
	if !h.WrongEndpoint && (h.Signed || h.NotRun) {
		a.recordAdvertisement(h, now)
	}
}

// loadDefectLogInterval is the minimum time between two log lines about reported loads with the same
// defect.
const loadDefectLogInterval = 10 * clock.Second

// recordLoadDefect counts a reported load that could not be used, and logs the first one in each
// loadDefectLogInterval.
func (s *Server) recordLoadDefect(a *attempt, d LoadDefect, now clock.Millis) {
	s.metrics.GetOrCreateCounter(`parsleydeal_endpoint_load_invalid_total{reason="` + string(d) + `"}`).Inc()
	s.mu.Lock()
	at, logged := s.loadDefectLoggedAt[d]
	due := !logged || now-at >= loadDefectLogInterval
	if due {
		s.loadDefectLoggedAt[d] = now
	}
	s.mu.Unlock()
	if due {
		s.cfg.Log.Warn("Endpoint's load cannot be used", "reason", d, "endpoint", a.endpoint.ID, "address", a.endpoint.Address, "request", a.exchange.req.ID)
	}
}

// recordAdvertisement records the endpoint's advertisement and logs changes in it.
func (a *attempt) recordAdvertisement(h Head, now clock.Millis) {
	s, e, ad := a.exchange.server, a.endpoint, h.Advertisement
	log := func(message string, fields ...any) {
		s.cfg.Log.Info(message, append(fields, "endpoint", e.ID, "address", e.Address, "zone", e.Zone, "request", a.exchange.req.ID, "status", h.Status)...)
	}
	if s.selector.RecordAdvertisement(e, ad, a.startedAt, now) {
		s.advertisementChanges.Inc()
		log("Endpoint's statement changed", "born", e.Incarnation, "leaving", ad.Leaving, "has-rate", ad.HasRate, "rate", ad.Rate, "after", now-a.startedAt)
	}
	if ad.PauseFor > 0 {
		log("Endpoint asked for a pause", "pause", ad.PauseFor)
	}
}

// classify decides by the head how the answer is handled.
func (a *attempt) classify(h Head, answer *upstream.Answer) (r result, err error) {
	x := a.exchange
	switch {
	case h.NotRun || h.WrongEndpoint:
		a.wrongEndpoint = h.WrongEndpoint
		x.runs--
		return notRun, refusal.New(refusal.Saturated, "endpoint refused the request with status "+strconv.Itoa(h.Status))
	case !h.Signed || h.Encoded:
		return failed, refusal.New(refusal.EngineFailed, "answer with status "+strconv.Itoa(h.Status)+" is not the endpoint's own").WithRun(refusal.Unknown)
	case x.written:
		return a.continueStream(h, answer)
	case h.failed():
		return a.readFailure(h, answer)
	case h.Status == http.StatusOK && a.mayEscalate() && a.isPoor(h.Confidence) && x.takeRetry(reasonEscalated) == retryGranted:
		x.keep(&fallback{attempt: a, head: h, answer: answer})
		return poor, refusal.New(refusal.EngineFailed, "answer is probably poor").WithRun(refusal.Ran)
	case a.isStream():
		x.dropFallback()
		return a.streamAnswer(h, answer)
	}
	return a.readAnswer(h, answer)
}

// isStream reports whether the answer is a stream of events.
func (a *attempt) isStream() bool {
	return a.exchange.route.Kind == catalog.Streaming && a.status == http.StatusOK
}

// continueStream goes on with the stream of which the caller has a part. An answer that does not continue it is a failure
// of this endpoint: the caller would take it for the rest of the stream.
func (a *attempt) continueStream(h Head, answer *upstream.Answer) (r result, err error) {
	if h.Status != http.StatusOK || mediaType(h.Header) != mediaType(a.exchange.w.Header()) {
		a.exchange.server.notContinued.Inc()
		return failed, refusal.New(refusal.EngineFailed, fmt.Sprintf("answer with status %d and type %q does not continue the stream", h.Status, mediaType(h.Header))).WithRun(refusal.Unknown)
	}
	return a.streamAnswer(h, answer)
}

// mediaType returns the type of a body without its parameters.
func mediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// mayEscalate reports whether this answer may be dropped in favour of an attempt at a larger
// model. A test of a suspected block is not: it would cost a second endpoint.
func (a *attempt) mayEscalate() bool {
	x := a.exchange
	return x.tested == "" && x.mayRepeat() && x.remaining() > minEscalationTime
}

// minEscalationTime is the remaining time below which a larger model is not tried, because its
// answer would be too late.
const minEscalationTime = 400 * clock.Millis(1)

// maxAnswerBytes bounds the body of an answer that is buffered.
const maxAnswerBytes = 8 << 20

// readAnswer buffers the full answer before any of it is sent to the caller, so that the request
// can be repeated if the connection breaks. A larger answer is passed on as it arrives.
func (a *attempt) readAnswer(h Head, answer *upstream.Answer) (r result, err error) {
	x := a.exchange
	if err = answer.SetReadTimeout(x.eventTimeout()); err != nil {
		return failed, interrupted(err)
	}
	body, err := x.bufferAnswer(answer)
	if errors.Is(err, errAnswerTooLarge) {
		return a.passOn(h, answer, body)
	}
	if err != nil {
		a.silent, a.delayed, a.cause = upstream.TimedOut(err), answer.Delayed(), err
		return failed, interrupted(err)
	}
	if err = a.checkWhole(len(body) > 0); err != nil {
		return a.notWhole(err)
	}
	answer.Close()
	return done, x.deliver(&bufferedAnswer{head: h, body: body})
}

// passOn sends the caller an answer of which only the beginning is buffered. If it breaks off, no
// other attempt can complete it.
func (a *attempt) passOn(h Head, answer *upstream.Answer, beginning []byte) (r result, err error) {
	x := a.exchange
	x.writeHead(h)
	if err = x.writeBody(beginning); err != nil {
		return ended, err
	}
	buf := make([]byte, maxWriteBytes)
	for {
		if err = answer.SetReadTimeout(x.eventTimeout()); err != nil {
			return ended, interrupted(err)
		}
		n, err := answer.Read(buf)
		if n > 0 {
			if err := x.write(buf[:n]); err != nil {
				return ended, err
			}
		}
		if err == io.EOF {
			if err = a.checkWhole(true); err == nil {
				return done, nil
			}
		}
		if err != nil {
			a.cause = err
			return ended, interrupted(err)
		}
	}
}

// errAnswerTooLarge is returned for an answer that is not buffered as a whole.
var errAnswerTooLarge = errors.New("relay: answer is too large")

// answerCopies is how often a buffered answer may be in memory while its buffer grows.
const answerCopies = 2

// bufferAnswer reads an answer up to maxAnswerBytes, and as far as there is memory for buffered answers. Otherwise it
// returns what it has read and errAnswerTooLarge.
func (x *exchange) bufferAnswer(answer *upstream.Answer) (body []byte, err error) {
	if answer.Length > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	// The failure response of an earlier attempt may be kept.
	kept := x.buffered
	return readGrowing(answer, answer.Length, func(size int) error {
		more := kept + answerCopies*size - x.buffered
		if size > maxAnswerBytes+1 || !x.server.buffered.reserve(more) {
			return errAnswerTooLarge
		}
		x.buffered += more
		return nil
	})
}

// minBuffer is the size of the buffer for a body of unknown length at first, in bytes.
const minBuffer = 4 << 10

// readGrowing reads to the end into a buffer that grows as far as reserve returns no error. It returns what was read with
// that error, or with the one of the reading. length is the expected length; negative if it is not known.
func readGrowing(r io.Reader, length int64, reserve func(size int) error) (data []byte, err error) {
	size := minBuffer
	if length >= 0 {
		// One more byte shows the end.
		size = int(length) + 1
	}
	for {
		if err = reserve(size); err != nil {
			return data, err
		}
		data = append(make([]byte, 0, size), data...)
		for len(data) < cap(data) {
			n, err := r.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
			if err == io.EOF {
				return data, nil
			}
			if err != nil {
				return data, err
			}
		}
		size = 2 * cap(data)
	}
}

// readFailure buffers the failure response of an endpoint. It is sent to the caller if no other
// attempt is made or succeeds.
func (a *attempt) readFailure(h Head, answer *upstream.Answer) (r result, err error) {
	x := a.exchange
	if err = answer.SetReadTimeout(x.eventTimeout()); err != nil {
		return failed, interrupted(err)
	}
	body, err := x.bufferAnswer(answer)
	if err != nil {
		a.cause, a.tooLong = err, errors.Is(err, errAnswerTooLarge)
		return failed, interrupted(err)
	}
	if err = a.checkWhole(len(body) > 0); err != nil {
		return a.notWhole(err)
	}
	a.failureAnswer = &bufferedAnswer{head: h, body: body}
	return failed, refusal.New(refusal.EngineFailed, "endpoint failed with status "+strconv.Itoa(h.Status)).WithRun(refusal.Ran)
}

// deliver sends a buffered answer to the caller.
func (x *exchange) deliver(answer *bufferedAnswer) (err error) {
	x.begun.Store(true)
	copyHeader(x.w.Header(), answer.head.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	x.w.WriteHeader(answer.head.Status)
	x.written, x.status = true, answer.head.Status
	if x.r.Method == http.MethodHead {
		return nil
	}
	return x.writeBody(answer.body)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
}

func interrupted(err error) error {
	return refusal.New(refusal.EndpointLost, "answer broke off: "+err.Error()).WithRun(refusal.Unknown)
}
