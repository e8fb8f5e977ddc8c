package relay

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/parsleydeal/parsleydeal/caller"
	"github.com/parsleydeal/parsleydeal/cascade"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/limit"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/meter"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/quarantine"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// Config holds the settings and dependencies of a server.
type Config struct {
	Clock   clock.Clock
	Log     *log.Logger
	Dialect Dialect
	// View returns the current view of the site; it never blocks.
	View func() *site.View
	// Confirm makes sure that the view's configuration was the newest one at the given time or later, or
	// returns an error; nil if that cannot be made sure of.
	Confirm func(ctx context.Context, since clock.Millis) error
	// Started is closed once the state of the site is loaded.
	Started <-chan struct{}
	Pool    *upstream.Pool
	// Name is the name of this entry in its reports of work.
	Name string
	Zone string
	// Strict refuses requests with a key if the configuration has not been confirmed for longer
	// than KeyLease.
	Strict   bool
	KeyLease clock.Millis
	// RetryRatio and RetrySlack bound the retries of a service's requests by all entries together
	// in each RetryWindow: RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow clock.Millis
	// ColdOverage and ColdSlack raise the rate limit of an endpoint in a cold start: the limit is
	// multiplied by ColdOverage, and ColdSlack requests per second are added.
	ColdOverage        float64
	ColdSlack          float64
	SessionIdleTimeout clock.Millis
	// Memory is the memory of the process in bytes; 0 if it is not limited.
	Memory int
	// Strategies holds the strategy for each kind of decision.
	Strategies decision.Strategies
}

// Server answers requests of callers.
type Server struct {
	cfg      Config
	selector *placement.Selector
	sessions *sessions
	counts   *versionCounts
	meter    *meter.Meter
	metrics  *metrics.Set
	// advertisementChanges counts changes in what endpoints advertise.
	advertisementChanges *metrics.Counter
	// limitedFirst and limitedFurther count the first and further attempts at endpoints that
	// advertise a rate limit.
	limitedFirst   *metrics.Counter
	limitedFurther *metrics.Counter
	// notContinued counts answers to resumed streams that do not continue these.
	notContinued *metrics.Counter
	// panics counts requests whose handler panicked.
	panics *metrics.Counter
	// invalidHeads counts answers whose head is not valid.
	invalidHeads *metrics.Counter
	// unread is how long requests lay unread before this entry got to them, in seconds.
	unread     *metrics.Histogram
	latency    *latencyTracker
	escalator  *cascade.Escalator
	quarantine *quarantine.Register
	// evidence reports what the register has found; nil before SendEvidence is called.
	evidence  atomic.Pointer[evidenceReporter]
	leaving   atomic.Bool
	stop      *plannedStop
	durations *durations
	startedAt clock.Millis
	// snapshotRequests holds the addresses of entries that wait for a snapshot; awaitingSnapshot
	// is true while this entry waits for its own.
	snapshotRequests chan string
	awaitingSnapshot atomic.Bool
	active           atomic.Int64
	mu               sync.Mutex
	// budgets holds the retry budget of each service.
	budgets map[string]*limit.Share
	// held counts what waits for callers, bodies the bodies of requests in flight, and buffered the answers of which
	// nothing was sent yet.
	held     *heldBytes
	bodies   *memoryBudget
	buffered *memoryBudget
	// loadDefectLoggedAt is when each defect of a reported load was last logged.
	loadDefectLoggedAt map[LoadDefect]clock.Millis
}

// New returns a server with the given configuration.
func New(cfg Config) *Server {
	set := metrics.NewSet()
	memory := float64(cmp.Or(cfg.Memory, defaultMemory))
	return &Server{
		stop: newPlannedStop(), durations: newDurations(),
		cfg: cfg, startedAt: cfg.Clock.Now(), meter: meter.New(set), metrics: set, advertisementChanges: set.NewCounter("parsleydeal_endpoint_statements_total"),
		unread:       set.NewHistogram("parsleydeal_request_unread_seconds"),
		notContinued: set.NewCounter("parsleydeal_streams_not_continued_total"),
		panics:       set.NewCounter("parsleydeal_handler_panics_total"),
		invalidHeads: set.NewCounter("parsleydeal_endpoint_heads_invalid_total"),
		limitedFirst: set.NewCounter(`parsleydeal_limited_sends_total{attempt="first"}`), limitedFurther: set.NewCounter(`parsleydeal_limited_sends_total{attempt="further"}`), selector: placement.NewSelectorWith(cfg.Strategies), sessions: newSessions(cfg.SessionIdleTimeout), counts: newVersionCounts(cfg.Clock, set.NewCounter("parsleydeal_latency_samples_dropped_total")),
		snapshotRequests: make(chan string, maxSnapshotQueue), latency: newLatencyTracker(), escalator: cascade.NewEscalator(cfg.Strategies), quarantine: quarantine.New(), budgets: make(map[string]*limit.Share), loadDefectLoggedAt: make(map[LoadDefect]clock.Millis),
		held: newHeldBytes(cfg.Clock, int(heldAnswersRatio*memory)), bodies: &memoryBudget{limit: int(heldBodiesRatio * memory)}, buffered: &memoryBudget{limit: int(bufferedAnswersRatio * memory)},
	}
}

// Active returns the number of requests in flight.
func (s *Server) Active() int64 { return s.active.Load() }

// TrafficCounts returns the outcomes counted since the start, the requests in flight by version,
// and the sessions pinned to an old version.
func (s *Server) TrafficCounts() site.TrafficCounts {
	c := s.counts.snapshot()
	c.KeptSessions = s.sessions.pinned(s.cfg.View(), s.cfg.Clock.Now())
	return c
}

// Sweep drops expired sessions, the state of removed endpoints and unused connections. It is called
// periodically.
func (s *Server) Sweep() {
	s.sessions.sweep(s.cfg.Clock.Now())
	s.quarantine.Sweep(s.cfg.Clock.Now())
	s.durations.sweep(s.cfg.Clock.Now())
	s.selector.Prune(s.cfg.View().Fleet(), s.cfg.Clock.Now())
	s.cfg.Pool.Sweep()
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	x := &exchange{server: s, w: w, r: r, caller: caller.Of(r.Context()), startedAt: s.cfg.Clock.Now(), view: s.cfg.View()}
	x.recordUnread()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	end := s.meter.Begin()
	err := x.serveRecovered()
	end(x.routeName(), uint32(x.sends), err)
	s.bodies.release(x.reserved)
	s.buffered.release(x.buffered)
	x.finish(err)
}

// exchange is one request in flight. It is owned by one goroutine.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	req    *Request
	caller *caller.Conn
	view   *site.View
	// startedAt is when this entry got to the request, which arrived unread before that.
	startedAt clock.Millis
	// deadline is when the request must have ended, on the server's clock.
	deadline     clock.Millis
	route        *catalog.Route
	service      string
	organisation string
	priority     int
	session      uint64
	// tried holds the endpoints that got the request since the last time an answer was dropped,
	// silentEndpoints those that timed out without sending anything. runs counts the attempts that
	// may have run, sends counts all attempts, and unsent those of which nothing was sent.
	tried           map[string]bool
	silentEndpoints map[string]bool
	runs            int
	sends           int
	unsent          int
	// keys are what the request is known by when endpoints crash. tested is the suspected one that this
	// request tests, lastTested the one that it tested last, and refusedFor the one that it was refused for;
	// empty if there is none.
	keys       *quarantine.Keys
	tested     string
	lastTested string
	refusedFor string
	// retry is the decision about another attempt after the last one.
	retry retryOutcome
	// unusedRetryAt is when the retry was counted of which nothing has been sent yet; 0 if there is none.
	unusedRetryAt clock.Millis
	// fallback is the answer to deliver if no endpoint takes the request; nil if there is none.
	fallback *fallback
	// written is true once the head of the answer was sent to the caller; begun is the same for other goroutines.
	written bool
	begun   atomic.Bool
	// status, endpoint, version and model are those of the answer, for the log.
	status          int
	endpoint        string
	version         string
	model           string
	events          int
	timeToFirstByte clock.Millis
	// position is how far the caller has the stream.
	position position
	// framing is that of the last attempt's answer, bytes what the caller was sent of the body, and resumptions where its
	// stream was continued, for the log.
	framing     upstream.Framing
	bytes       int
	resumptions []string
	// unread is how long the request lay unread before this entry got to it, leftAt the step at which the entry
	// noticed that the caller had left, and leftBy whether the context or the socket told; both are empty if it did
	// not leave.
	unread clock.Millis
	leftAt string
	leftBy string
	// startWait is how long the request was held until the state of the site was loaded.
	startWait clock.Millis
	// bodyTook is how long it took to read the caller's body, firstAttemptAt when the first
	// attempt started, and connectTook how long answered attempts waited for a connection.
	bodyTook       clock.Millis
	firstAttemptAt clock.Millis
	connectTook    clock.Millis
	// pace is the pace that the endpoint reported with the last answer; 0 if it reported none.
	pace float64
	// cutOff is true once the caller is cut off because too much is held for slow callers.
	cutOff atomic.Bool
	// reserved is the memory that the request's body takes, buffered that of buffered answers, in bytes.
	reserved int
	buffered int
	// lastEventAt is when the last event was sent to the caller, longestPause the longest time
	// between two events.
	lastEventAt  clock.Millis
	longestPause clock.Millis
}

func (x *exchange) serve() (err error) {
	s := x.server
	if x.req, err = s.cfg.Dialect.Read(x.r); err != nil {
		return err
	}
	if err = x.awaitStart(); err != nil {
		return err
	}
	if err = x.admit(); err != nil {
		return err
	}
	bodyStartedAt := s.cfg.Clock.Now()
	if err = x.readBody(); err != nil {
		return err
	}
	x.bodyTook = s.cfg.Clock.Since(bodyStartedAt)
	ctx, cancel := context.WithTimeout(x.r.Context(), x.untilDeadline().Duration())
	defer cancel()
	defer x.endWithServer(cancel)()
	return x.run(ctx)
}

// untilDeadline returns the time until the deadline.
func (x *exchange) untilDeadline() clock.Millis { return x.deadline - x.server.cfg.Clock.Now() }

// remaining returns the time until the deadline, or until the server ends if that is sooner and nothing was sent to the
// caller.
func (x *exchange) remaining() clock.Millis {
	if x.begun.Load() {
		return x.untilDeadline()
	}
	return min(x.untilDeadline(), x.server.stop.endsAt()-x.server.cfg.Clock.Now())
}

// finish logs the request, and sends a refusal if it got no complete answer.
func (x *exchange) finish(err error) {
	s := x.server
	took := s.cfg.Clock.Since(x.startedAt)
	if err == nil {
		s.durations.add(x.route.Name, took, s.cfg.Clock.Now())
	}
	callerLeft := err != nil && x.callerLeft(leftDuringAnswer)
	x.logRequest(err, took, callerLeft)
	switch {
	case err == nil:
	case x.written || callerLeft:
		// The status has been sent. Aborting the connection is the only way left to signal that
		// the answer is incomplete.
		panic(http.ErrAbortHandler)
	default:
		x.refuse(err)
	}
}

// logRequest writes the request's log line.
func (x *exchange) logRequest(err error, took clock.Millis, callerLeft bool) {
	fields := []any{
		"request", x.id(), "route", x.routeName(), "organisation", x.organisation, "status", x.status, "endpoint", x.endpoint, "version", x.version, "model", x.model,
		"sends", x.sends, "retry", x.retry, "refused-for", x.refusedFor, "events", x.events, "bytes", x.bytes, "protocol", x.r.Proto, "framing", x.framing, "resumed", strings.Join(x.resumptions, ","), "unread", x.unread, "waited", x.startWait, "took", took, "body", x.bodyTook, "placed", x.firstAttemptAfter(), "connect", x.connectTook, "first", x.timeToFirstByte, "pace", x.pace, "late", x.late(took), "config", x.configVersion(), "config-age", x.configAge(), "config-by", x.view.ConfirmedBy(), "left-by-caller", callerLeft, "left-at", x.leftAt, "left-by", x.leftBy,
	}
	if err != nil {
		x.server.cfg.Log.Warn("Request failed", append(fields, "error", logbook.Text(err))...)
		return
	}
	x.server.cfg.Log.Info("Request answered", fields...)
}

// firstAttemptAfter returns the time from the start of the request to its first attempt; 0 if
// there was none.
func (x *exchange) firstAttemptAfter() clock.Millis {
	if x.firstAttemptAt == 0 {
		return 0
	}
	return x.firstAttemptAt - x.startedAt
}

// late returns the name of the latency target that the answer missed, first-byte or pause; empty
// if it was in time.
func (x *exchange) late(took clock.Millis) string {
	first := x.timeToFirstByte
	if x.events == 0 {
		first = took
	}
	first += x.unread
	switch {
	case x.route == nil:
		return ""
	case x.route.LatencyTarget > 0 && first > x.route.LatencyTarget:
		return "first-byte"
	case x.route.TargetGap > 0 && x.longestPause > x.route.TargetGap:
		return "pause"
	}
	return ""
}

// id returns the request ID; empty if the request could not be read.
func (x *exchange) id() string {
	if x.req == nil {
		return ""
	}
	return x.req.ID
}

func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

// configAge returns how long ago the configuration was confirmed.
func (x *exchange) configAge() clock.Millis { return x.server.cfg.Clock.Since(x.view.ConfirmedAt()) }

func (x *exchange) configVersion() int64 {
	if c := x.view.Config(); c != nil {
		return c.Version()
	}
	return 0
}

// refuse sends a refusal to the caller.
func (x *exchange) refuse(err error) {
	r := refusal.Of(err)
	x.server.cfg.Dialect.SetRefusalHeaders(x.w.Header(), x.id())
	r.Write(x.w, x.r, retryAfter(r, x))
}

// errCallerClosed is the error for a caller that closed its connection.
var errCallerClosed = errors.New("relay: caller closed its connection")
