package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/parsleydeal/parsleydeal/cascade"
	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/limit"
	"github.com/parsleydeal/parsleydeal/logbook"
	"github.com/parsleydeal/parsleydeal/meter"
	"github.com/parsleydeal/parsleydeal/placement"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/site"
	"github.com/parsleydeal/parsleydeal/upstream"
)

// Config is what a server works with.
type Config struct {
	Clock   clock.Clock
	Log     *log.Logger
	Dialect Dialect
	// View returns what is believed of the site; it never blocks.
	View func() *site.View
	// Started is closed once the view knows its site.
	Started <-chan struct{}
	Pool    *upstream.Pool
	Zone    string
	// Strict has keys refused that were not confirmed for KeyLease.
	Strict   bool
	KeyLease clock.Millis
	// RetryRatio and RetrySlack bound the attempts beyond the first that a service
	// gets from all entries in each RetrySpan.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow clock.Millis
	// ColdOverage and ColdSlack widen what an endpoint in cold start takes.
	ColdOverage        float64
	ColdSlack          float64
	SessionIdleTimeout clock.Millis
	// Strategies holds how decisions are made.
	Strategies decision.Strategies
}

// Server answers callers.
type Server struct {
	cfg      Config
	board    *placement.Selector
	sessions *sessions
	tally    *tally
	meter    *meter.Meter
	metrics  *metrics.Set
	// statements counts how often what an endpoint says of itself changed.
	statements *metrics.Counter
	// limitedFirst and limitedFurther count the attempts at endpoints that name a rate.
	limitedFirst   *metrics.Counter
	limitedFurther *metrics.Counter
	pace           *pace
	judge          *cascade.Escalator
	leaving        atomic.Bool
	// startedAt is when the server was made.
	startedAt clock.Millis
	// asking holds the addresses of entries that wait for a snapshot; wantsSnapshot is
	// true while this one waits for its own.
	asking        chan string
	wantsSnapshot atomic.Bool
	active        atomic.Int64
	mu            sync.Mutex
	// budgets holds the retry budget of each service.
	budgets map[string]*limit.Share
}

// New makes a server.
func New(cfg Config) *Server {
	set := metrics.NewSet()
	return &Server{
		cfg: cfg, startedAt: cfg.Clock.Now(), meter: meter.New(set), metrics: set, statements: set.NewCounter("parsleydeal_endpoint_statements_total"),
		limitedFirst: set.NewCounter(`parsleydeal_limited_sends_total{attempt="first"}`), limitedFurther: set.NewCounter(`parsleydeal_limited_sends_total{attempt="further"}`), board: placement.NewSelectorWith(cfg.Strategies), sessions: newSessions(cfg.SessionIdleTimeout), tally: newTally(),
		asking: make(chan string, answersWaiting), pace: newPace(), judge: cascade.NewEscalator(cfg.Strategies), budgets: make(map[string]*limit.Share),
	}
}

// Leave has every answer from now on ask its caller to close the connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Active returns the number of requests under way.
func (s *Server) Active() int64 { return s.active.Load() }

// TrafficCounts returns what traffic has counted since the start.
func (s *Server) TrafficCounts() site.TrafficCounts {
	c := s.tally.counted()
	c.KeptSessions = s.sessions.kept(s.cfg.View(), s.cfg.Clock.Now())
	return c
}

// Sweep drops what is no longer needed; it is called now and then.
func (s *Server) Sweep() {
	s.sessions.sweep(s.cfg.Clock.Now())
	s.board.Prune(s.cfg.View().Fleet(), s.cfg.Clock.Now())
	s.cfg.Pool.Sweep()
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	x := &exchange{server: s, w: w, r: r, startedAt: s.cfg.Clock.Now(), view: s.cfg.View()}
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	end := s.meter.Begin()
	err := x.serve()
	end(x.routeName(), uint32(x.sends), err)
	x.finish(err)
}

// exchange is one request on its way. One goroutine owns it.
type exchange struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	req       *Request
	view      *site.View
	startedAt clock.Millis
	// deadline is when the request ends, on the server's clock.
	deadline     clock.Millis
	route        *catalog.Route
	service      string
	organisation string
	priority     int
	session      uint64
	// tried holds the endpoints that got the request since the last answer that was
	// dropped, silentAt those that sent nothing for too long. runs counts those that may
	// have run it, sends all of them.
	tried    map[string]bool
	silentAt map[string]bool
	runs     int
	sends    int
	// written is true once the head of the answer is on its way to the caller.
	written bool
	// status and endpoint are those of the answer, for the log.
	status   int
	endpoint string
	version  string
	model    string
	events   int
	firstAt  clock.Millis
	// waited is how long the request was held until the entry knew its site.
	waited clock.Millis
	// bodyTook is how long the caller's body took to come, placedAt when the first
	// attempt began, and connected how long attempts that were answered waited for a
	// connection.
	bodyTook  clock.Millis
	placedAt  clock.Millis
	connected clock.Millis
	// emittedAt is when the last event was handed on, pause the longest span between
	// two of them.
	emittedAt clock.Millis
	pause     clock.Millis
}

func (x *exchange) serve() (err error) {
	s := x.server
	if x.req, err = s.cfg.Dialect.Read(x.r); err != nil {
		return err
	}
	x.awaitStart()
	if err = x.admit(); err != nil {
		return err
	}
	begun := s.cfg.Clock.Now()
	if err = x.readBody(); err != nil {
		return err
	}
	x.bodyTook = s.cfg.Clock.Since(begun)
	ctx, cancel := context.WithTimeout(x.r.Context(), x.left().Duration())
	defer cancel()
	return x.run(ctx)
}

// left is how much time the request has.
func (x *exchange) left() clock.Millis { return x.deadline - x.server.cfg.Clock.Now() }

// finish answers a request that got no whole answer, and logs the end.
func (x *exchange) finish(err error) {
	s := x.server
	took := s.cfg.Clock.Since(x.startedAt)
	gone := x.r.Context().Err() != nil
	x.logEnd(err, took, gone)
	switch {
	case err == nil:
	case x.written || gone:
		// The status is sent. Breaking the connection is the only way left to tell
		// the caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	default:
		x.refuse(err)
	}
}

// logEnd writes the request's line in the log.
func (x *exchange) logEnd(err error, took clock.Millis, gone bool) {
	fields := []any{
		"request", x.id(), "route", x.routeName(), "organisation", x.organisation, "status", x.status, "endpoint", x.endpoint, "version", x.version, "model", x.model,
		"sends", x.sends, "events", x.events, "waited", x.waited, "took", took, "body", x.bodyTook, "placed", x.placed(), "connect", x.connected, "first", x.firstAt, "late", x.late(took), "config", x.configVersion(), "config-age", x.configAge(), "left-by-caller", gone,
	}
	if err != nil {
		x.server.cfg.Log.Warn("Request failed", append(fields, "error", logbook.Text(err))...)
		return
	}
	x.server.cfg.Log.Info("Request answered", fields...)
}

// placed is how long after its start the request's first attempt began; 0 when none did.
func (x *exchange) placed() clock.Millis {
	if x.placedAt == 0 {
		return 0
	}
	return x.placedAt - x.startedAt
}

// late says by what an answer was not of full use; empty for one in time.
func (x *exchange) late(took clock.Millis) string {
	first := x.firstAt
	if x.events == 0 {
		first = took
	}
	switch {
	case x.route == nil:
		return ""
	case x.route.LatencyTarget > 0 && first > x.route.LatencyTarget:
		return "first-byte"
	case x.route.TargetGap > 0 && x.pause > x.route.TargetGap:
		return "pause"
	}
	return ""
}

// id is the request's, or empty when it could not be read.
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

// configAge is how long ago the configuration was confirmed.
func (x *exchange) configAge() clock.Millis { return x.server.cfg.Clock.Since(x.view.ConfirmedAt()) }

func (x *exchange) configVersion() int64 {
	if c := x.view.Config(); c != nil {
		return c.Version
	}
	return 0
}

// refuse writes a typed refusal.
func (x *exchange) refuse(err error) {
	r := refusal.Of(err)
	x.server.cfg.Dialect.SetRefusalHeaders(x.w.Header(), x.id())
	r.Write(x.w, x.r, retryAfter(r, x))
}

// errGone marks a caller that closed its connection.
var errGone = errors.New("relay: caller closed its connection")
