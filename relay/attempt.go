package relay

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/fleet"
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
	// firstAfter is how long the head of the answer took; 0 before it came.
	firstAfter clock.Millis
	status     int
	confidence int
	// held is how many requests the endpoint held by its own word when it answered.
	held int
	// expected is how long the head was expected to take.
	expected clock.Millis
	// events counts those of a stream, openedAt and lastAt are when the first and
	// the last one came.
	events   int
	openedAt clock.Millis
	lastAt   clock.Millis
	// silent is true when the endpoint said nothing for too long.
	silent bool
	// elsewhere is true when another endpoint has the address by now.
	elsewhere bool
	kept      *held
	cause     error
}

// run sends the request and handles the answer.
func (a *attempt) run(ctx context.Context) (r result, err error) {
	x := a.exchange
	s := x.server
	now := s.cfg.Clock.Now()
	a.startedAt, a.confidence = now, -1
	if x.placedAt == 0 {
		x.placedAt = now
	}
	work := s.board.Begin(a.endpoint, x.query(a.plan))
	a.expected = work.ExpectedFirstByte()
	defer work.End()
	defer s.tally.begin(x.service, a.endpoint.Version)()
	defer s.sessions.use(x.session, x.service, a.endpoint.Version, s.cfg.Clock.Now)()
	a.countLimited()
	x.sends++
	answer, err := s.cfg.Pool.Do(ctx, a.call())
	if errorx.IsOfType(err, upstream.ErrNotSent) {
		return notRun, refusal.New(refusal.EndpointLost, err.Error())
	}
	x.runs++
	if err != nil {
		a.silent, a.cause = errorx.IsOfType(err, upstream.ErrSilent), err
		return failed, refusal.New(refusal.EndpointLost, err.Error()).WithRun(refusal.Unknown)
	}
	defer answer.Close()
	a.firstAfter = max(s.cfg.Clock.Now()-a.startedAt, 1)
	x.connected += answer.ConnectTime()
	work.FirstByte(s.cfg.Clock.Now())
	s.pace.miss(x.route, a.plan.model(), a.firstAfter-a.expected)
	s.board.RecordActivity(a.endpoint.ID, s.cfg.Clock.Now())
	h := s.cfg.Dialect.Head(answer.Status, answer.Header)
	a.status, a.confidence = h.Status, h.Confidence
	a.learn(h)
	return a.judge(h, answer)
}

// countLimited counts an attempt at an endpoint that names a rate.
func (a *attempt) countLimited() {
	s := a.exchange.server
	switch {
	case !s.board.Advertised(a.endpoint).HasRate:
	case a.exchange.sends == 0:
		s.limitedFirst.Inc()
	default:
		s.limitedFurther.Inc()
	}
}

// call makes the request for the endpoint.
func (a *attempt) call() upstream.Call {
	x := a.exchange
	o := AttemptParams{
		Endpoint: a.endpoint.ID, Address: a.endpoint.Address, Organisation: x.organisation, Model: a.plan.model(),
		Remaining: max(x.left(), 1), Priority: x.priority, LastEventID: x.req.LastEventID, Resumes: x.req.Resumes,
		// A kept connection may be dead, which shows only after the request was sent
		// on it; a request that may not be repeated would be lost.
		NewConnection: !x.route.Repeatable(),
	}
	c := x.server.cfg.Dialect.Call(x.req, o, x.req.body)
	c.HasBody = x.req.hasBody
	c.FirstByteTimeout = a.wait
	if c.NewConnection && x.server.cfg.Strategies.For(decision.Connection) == decision.Watched {
		c.SettleTime = settleFor
	}
	c.MaxIdle = x.server.mostIdle(x.view, x.service)
	return c
}

const (
	// settleFor is how long a new connection is watched for a request that may run only
	// once: the way to an endpoint and back, and its handshake.
	settleFor = 3 * clock.Millis(1)
	// idlePart is the part of the connections that an endpoint takes which all entries
	// together may keep idle. The rest is for requests under way.
	idlePart = 0.5
	// defaultIdle is how many idle connections to an endpoint are kept where operators
	// set no bound.
	defaultIdle = 32
)

// mostIdle is how many idle connections this entry may keep to an endpoint.
func (s *Server) mostIdle(v *site.View, service string) int {
	c, ok := v.Config().Services[service]
	if !ok || c.MaxConnections <= 0 {
		return defaultIdle
	}
	return int(math.Round(idlePart * float64(c.MaxConnections) / float64(v.Entries())))
}

// aliveFactor is how much longer than usual a request waits at an endpoint that
// answers others meanwhile. It stands in a queue there, and would stand at the
// end of one elsewhere.
const aliveFactor = 2.5

// wait says how much longer the answer's first byte is waited for. A request that
// may go elsewhere leaves an endpoint that sends nothing to anybody.
func (a *attempt) wait(waited clock.Millis) clock.Millis {
	x := a.exchange
	left := x.left()
	way := x.server.cfg.Strategies.For(decision.FirstByteTimeout)
	if !x.mayRepeatAfter(1) || way == decision.CallerTimeout {
		return left
	}
	patience := x.server.pace.patience(x.route, a.plan.model())
	if way == decision.ByError {
		patience = x.server.pace.patienceFor(x.route, a.plan.model(), a.expected)
	}
	if x.server.board.ActiveSince(a.endpoint.ID, a.startedAt) {
		patience = clock.Millis(aliveFactor * float64(patience))
	}
	if waited >= patience && !x.server.cfg.Strategies.Disabled(decision.StayIfBusy) && !a.roomElsewhere() {
		return min(recheckAfter, left)
	}
	return min(patience-waited, left)
}

// recheckAfter is how long a request that has nowhere else to go waits on before it looks
// again.
const recheckAfter = 100 * clock.Millis(1)

// roomElsewhere reports whether another endpoint would answer in time. A request that
// leaves a slow endpoint while all others are full is failed at once, though it might
// have had its answer a moment later.
func (a *attempt) roomElsewhere() bool {
	x := a.exchange
	return x.server.board.HasCapacity(x.view.Fleet(), x.queryAgain(a.plan))
}

// learn takes what the head of an answer says of the endpoint.
func (a *attempt) learn(h Head) {
	s := a.exchange.server
	now := s.cfg.Clock.Now()
	a.held = h.Outstanding
	if h.HasLoad && !h.WrongEndpoint {
		s.board.RecordLoad(a.endpoint.ID, h.Outstanding, h.Slots, now)
		s.board.RecordQueueLength(a.endpoint.ID, h.QueueLength, now)
	}
	if !h.WrongEndpoint && (h.Signed || h.NotRun) {
		a.state(h, now)
	}
}

// state takes the endpoint's statement, and logs what is new in it.
func (a *attempt) state(h Head, now clock.Millis) {
	s, e, said := a.exchange.server, a.endpoint, h.Advertisement
	log := func(message string, fields ...any) {
		s.cfg.Log.Info(message, append(fields, "endpoint", e.ID, "address", e.Address, "zone", e.Zone, "request", a.exchange.req.ID, "status", h.Status)...)
	}
	if s.board.RecordAdvertisement(e, said, a.startedAt, now) {
		s.statements.Inc()
		log("Endpoint's statement changed", "born", e.Incarnation, "leaving", said.Leaving, "has-rate", said.HasRate, "rate", said.Rate, "after", now-a.startedAt)
	}
	if said.PauseFor > 0 {
		log("Endpoint asked for a pause", "pause", said.PauseFor)
	}
}

// judge decides by the head what becomes of an answer.
func (a *attempt) judge(h Head, answer *upstream.Answer) (r result, err error) {
	x := a.exchange
	switch {
	case h.NotRun || h.WrongEndpoint:
		a.elsewhere = h.WrongEndpoint
		x.runs--
		return notRun, refusal.New(refusal.Saturated, "endpoint refused the request with status "+strconv.Itoa(h.Status))
	case !h.Signed || h.Encoded:
		return failed, refusal.New(refusal.EngineFailed, "answer with status "+strconv.Itoa(h.Status)+" is not the endpoint's own").WithRun(refusal.Unknown)
	case h.Status >= http.StatusInternalServerError:
		return a.failure(h, answer)
	case h.Status == http.StatusOK && a.mayClimb() && a.poor(h.Confidence):
		return poor, refusal.New(refusal.EngineFailed, "answer is probably poor").WithRun(refusal.Ran)
	case x.route.Kind == catalog.Streaming && h.Status == http.StatusOK:
		return a.stream(h, answer)
	}
	return a.whole(h, answer)
}

// mayClimb reports whether the request may have another attempt in place of this answer.
func (a *attempt) mayClimb() bool {
	x := a.exchange
	return !x.written && x.mayRepeat() && x.left() > climbLeast && x.budget().CanRetry(x.server.cfg.Clock.Now())
}

// climbLeast is the time that a larger model needs to be of use.
const climbLeast = 400 * clock.Millis(1)

// maxBody bounds an answer that is read whole.
const maxBody = 8 << 20

// whole reads the whole answer before any of it is handed on, so that one that
// breaks off can be asked for again.
func (a *attempt) whole(h Head, answer *upstream.Answer) (r result, err error) {
	x := a.exchange
	if err = answer.SetReadTimeout(x.silence()); err != nil {
		return failed, lost(err)
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxBody))
	if err != nil {
		a.silent, a.cause = upstream.TimedOut(err), err
		return failed, lost(err)
	}
	answer.Close()
	return done, x.deliver(&held{head: h, body: body})
}

// failure keeps a failure that the endpoint reports, to be handed on when no
// other attempt is made or helps.
func (a *attempt) failure(h Head, answer *upstream.Answer) (r result, err error) {
	x := a.exchange
	if err = answer.SetReadTimeout(x.silence()); err != nil {
		return failed, lost(err)
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxBody))
	if err != nil {
		a.cause = err
		return failed, lost(err)
	}
	a.kept = &held{head: h, body: body}
	return failed, refusal.New(refusal.EngineFailed, "endpoint failed with status "+strconv.Itoa(h.Status)).WithRun(refusal.Ran)
}

// deliver hands a whole answer on.
func (x *exchange) deliver(k *held) (err error) {
	copyHeader(x.w.Header(), k.head.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(k.body)))
	x.w.WriteHeader(k.head.Status)
	x.written, x.status = true, k.head.Status
	if x.r.Method == http.MethodHead {
		return nil
	}
	if _, err = x.w.Write(k.body); err != nil {
		return refusal.New(refusal.Cancelled, "caller went away").WithRun(refusal.Ran)
	}
	return nil
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
}

func lost(err error) error {
	return refusal.New(refusal.EndpointLost, "answer broke off: "+err.Error()).WithRun(refusal.Unknown)
}
