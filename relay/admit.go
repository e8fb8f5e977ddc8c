package relay

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/refusal"
)

const (
	// startRetryAfter is the retry delay for callers that arrive before the state of the site is
	// loaded: about the time that the first reads of the store take.
	startRetryAfter = 500 * clock.Millis(1)
	// staleRetryAfter is the retry delay for a caller whose key cannot be confirmed. By then the
	// request may reach another entry, or this entry may have confirmed its configuration at the
	// store.
	staleRetryAfter = clock.Second
	// defaultTimeout applies to routes without a timeout.
	defaultTimeout = 30 * clock.Second
	// defaultMaxBodyBytes applies where the configuration sets no limit.
	defaultMaxBodyBytes = 8 << 20
)

// admit sets the route, organisation, service and deadline of the request, and refuses a request
// that cannot be served.
func (x *exchange) admit() (err error) {
	s := x.server
	if !x.view.Started() {
		return refusal.New(refusal.Starting, "entry does not know its site yet").WithRetryAfter(startRetryAfter)
	}
	if err = x.checkConfig(); err != nil && s.cfg.Confirm != nil {
		err = x.confirmRefusal(err)
	}
	if err != nil {
		return err
	}
	x.setDeadline()
	if err = x.checkTime(); err != nil {
		return err
	}
	if x.remaining() < minRemaining {
		return refusal.New(refusal.DeadlinePassed, fmt.Sprintf("request was read %s after it arrived", x.unread))
	}
	x.session = sessionOf(x.req)
	x.service = x.route.Service(x.session)
	s.budget(x.service, x.view.Entries()).RecordRequest(x.startedAt)
	return nil
}

// checkConfig sets the route and organisation of the request, and refuses one that the configuration does not
// allow.
func (x *exchange) checkConfig() (err error) {
	c := x.view.Config()
	if err = x.checkSizes(c.Limits()); err != nil {
		return err
	}
	x.route = c.Route(x.req.Host, x.req.Path)
	if x.route == nil {
		return refusal.New(refusal.NoRoute, "no route for this host and path")
	}
	return x.authorise(c)
}

const (
	// startWaitRatio is the fraction of the caller timeout for which a request waits until the
	// state of the site is loaded. The rest is left for the answer, from this entry or another one.
	startWaitRatio = 0.5
	// maxStartWait is the time since the entry's start after which it no longer holds requests.
	// The state is loaded earlier unless the store is unavailable, and an outage may last long.
	maxStartWait = 1500 * clock.Millis(1)
)

// awaitStart holds a request that arrives before the state of the site is loaded. When all entries
// start at the same time, no other entry could serve it if it were refused.
func (x *exchange) awaitStart() (err error) {
	s := x.server
	if x.view.Started() || s.cfg.Strategies.For(decision.EarlyRequests) != decision.Hold {
		return nil
	}
	hold := s.startedAt + maxStartWait - x.startedAt
	if x.req.CallerTimeout > 0 {
		hold = min(hold, clock.Millis(startWaitRatio*float64(x.req.CallerTimeout))-x.unread)
	}
	if hold <= 0 {
		return nil
	}
	timer := time.NewTimer(hold.Duration())
	defer timer.Stop()
	select {
	case <-s.cfg.Started:
	case <-timer.C:
	case <-x.r.Context().Done():
	}
	x.startWait = s.cfg.Clock.Since(x.startedAt)
	if x.callerLeft(leftDuringStart) {
		return errLeft()
	}
	x.view = s.cfg.View()
	return nil
}

// checkSizes refuses a request whose headers or Content-Length are too large.
func (x *exchange) checkSizes(l catalog.Limits) error {
	size := len(x.r.RequestURI) + len(x.r.Method)
	for name, values := range x.r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	if l.MaxHeaderBytes > 0 && size > l.MaxHeaderBytes {
		return refusal.New(refusal.HeadersTooLarge, fmt.Sprintf("headers have %d bytes, %d are allowed", size, l.MaxHeaderBytes))
	}
	if l.MaxBodyBytes > 0 && x.r.ContentLength > l.MaxBodyBytes {
		return refusal.New(refusal.TooLarge, fmt.Sprintf("body has %d bytes, %d are allowed", x.r.ContentLength, l.MaxBodyBytes))
	}
	return nil
}

// authorise sets the organisation of the caller's key. Public routes need no key.
func (x *exchange) authorise(c *catalog.Config) (err error) {
	x.priority = x.route.Priority
	if x.route.Public || !c.NeedsKeys() {
		return nil
	}
	// A key that is not in the configuration may be new. Without a confirmed configuration the key
	// can be neither accepted nor rejected.
	if err = x.checkConfigAge(); err != nil {
		return err
	}
	o, ok := c.OrganisationOf(x.req.Key)
	if !ok {
		return refusal.New(refusal.Unauthorised, "the key is unknown")
	}
	x.organisation = o.Name
	if o.HasPriority {
		x.priority = o.Priority
	}
	return nil
}

// checkConfigAge refuses a request with a key if the configuration has not been confirmed for
// longer than the key lease: the key may have been revoked since. It is called again right before
// each attempt, because the request may have waited or the VM may have been suspended in between.
func (x *exchange) checkConfigAge() error {
	s := x.server
	if !s.cfg.Strict || x.route.Public {
		return nil
	}
	if age := s.cfg.Clock.Since(s.cfg.View().ConfirmedAt()); age > s.cfg.KeyLease {
		return refusal.New(refusal.Stale, fmt.Sprintf("configuration was last confirmed %s ago", age)).WithRetryAfter(staleRetryAfter)
	}
	return nil
}

// checkAllowed refuses an attempt that a newer configuration no longer allows.
func (x *exchange) checkAllowed() (err error) {
	v := x.server.cfg.View()
	if v.Config() != x.view.Config() {
		c := v.Config()
		route := c.Route(x.req.Host, x.req.Path)
		if route == nil {
			return refusal.New(refusal.NoRoute, "the route was taken away")
		}
		if !route.Public && c.NeedsKeys() {
			if _, ok := c.OrganisationOf(x.req.Key); !ok {
				return refusal.New(refusal.Unauthorised, "the key was taken away")
			}
		}
		if !route.Serves(x.service) {
			x.service = route.Service(x.session)
		}
	}
	x.view = v
	if x.organisation == "" {
		return nil
	}
	return x.checkConfigAge()
}

func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if x.req.CallerTimeout > 0 {
		limit = min(limit, x.req.CallerTimeout)
	}
	x.deadline = x.arrivedAt() + limit
}

// sessionOf returns the hash of the session, or of the request ID for a request without a session.
func sessionOf(req *Request) uint64 {
	name := req.Session
	if name == "" {
		name = req.ID
	}
	return catalog.HashOf(name)
}

// readBody reads the whole body, so that an attempt can be repeated and a caller that closes its
// connection is detected.
func (x *exchange) readBody() (err error) {
	maxBytes := x.view.Config().Limits().MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	x.req.hasBody = x.r.ContentLength != 0
	if !x.req.hasBody {
		return nil
	}
	if x.r.ContentLength > maxBytes {
		x.w.Header().Set("Connection", "close")
		return refusal.New(refusal.TooLarge, fmt.Sprintf("body has %d bytes, %d are allowed", x.r.ContentLength, maxBytes))
	}
	if err = x.reserve(int(max(x.r.ContentLength, 0))); err != nil {
		return err
	}
	control := http.NewResponseController(x.w)
	if err = control.SetReadDeadline(time.Now().Add(x.remaining().Duration())); err != nil {
		return err
	}
	x.req.body, err = readGrowing(http.MaxBytesReader(x.w, x.r.Body, maxBytes), x.r.ContentLength, x.reserve)
	var tooLarge *http.MaxBytesError
	_, refused := refusal.As(err)
	switch {
	case refused:
		return err
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.TooLarge, fmt.Sprintf("body has more than %d bytes", maxBytes))
	case err != nil && x.remaining() <= 0:
		x.w.Header().Set("Connection", "close")
		return refusal.New(refusal.SlowBody, "body did not come in time")
	case err != nil:
		x.w.Header().Set("Connection", "close")
		return refusal.New(refusal.Malformed, "body cannot be read: "+err.Error())
	}
	// Without this reset, the deadline would close the connection while it waits for the next
	// request.
	if err = control.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	return x.reserve(len(x.req.body))
}

// reserve reserves the memory for a body of n bytes, unless it is reserved already. Without memory
// the request is refused before it is sent to any endpoint.
func (x *exchange) reserve(n int) (err error) {
	more := bodyCopies*n - x.reserved
	if more <= 0 {
		return nil
	}
	if !x.server.bodies.reserve(more) {
		x.w.Header().Set("Connection", "close")
		return refusal.New(refusal.Saturated, fmt.Sprintf("no memory for a body of %d bytes", n))
	}
	x.reserved += more
	return nil
}
