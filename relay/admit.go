package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/parsleydeal/parsleydeal/catalog"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/decision"
	"github.com/parsleydeal/parsleydeal/refusal"
)

const (
	// startRetry is when a caller may come back to a process that does not know
	// its site yet: about how long the first reads of the store take.
	startRetry = 500 * clock.Millis(1)
	// staleRetry is when a caller whose key cannot be confirmed may come back. It
	// reaches another entry then, or this one after the store has answered.
	staleRetry = clock.Second
	// defaultTimeout bounds requests of routes that set no bound.
	defaultTimeout = 30 * clock.Second
	// defaultBody bounds a body where the configuration does not.
	defaultBody = 8 << 20
)

// admit finds the route and the organisation, and refuses what cannot be served.
func (x *exchange) admit() (err error) {
	s, c := x.server, x.view.Config()
	if !x.view.Started() {
		return refusal.New(refusal.Starting, "entry does not know its site yet").WithRetryAfter(startRetry)
	}
	if err = x.limits(c.Limits); err != nil {
		return err
	}
	x.route = c.Route(x.req.Host, x.req.Path)
	if x.route == nil {
		return refusal.New(refusal.NoRoute, "no route for this host and path")
	}
	if err = x.authorise(c); err != nil {
		return err
	}
	x.setDeadline()
	x.session = sessionOf(x.req)
	x.service = x.route.Service(x.session)
	s.budget(x.service, x.view.Entries()).RecordRequest(x.startedAt)
	return nil
}

const (
	// startPart is the part of a caller's time for which its request is held until the entry
	// knows its site. The rest is for the answer, here or elsewhere.
	startPart = 0.5
	// startFor is how long after an entry's start requests are held. A start takes less
	// unless the store is away, and nobody knows for how long that will be.
	startFor = 1500 * clock.Millis(1)
)

// awaitStart holds a request that comes before the entry knows its site. After all entries
// were stopped there is no other to go to.
func (x *exchange) awaitStart() {
	s := x.server
	if x.view.Started() || s.cfg.Strategies.For(decision.EarlyRequests) != decision.Hold {
		return
	}
	hold := s.startedAt + startFor - x.startedAt
	if x.req.CallerTimeout > 0 {
		hold = min(hold, clock.Millis(startPart*float64(x.req.CallerTimeout)))
	}
	if hold <= 0 {
		return
	}
	rest := time.NewTimer(hold.Duration())
	defer rest.Stop()
	select {
	case <-s.cfg.Started:
	case <-rest.C:
	case <-x.r.Context().Done():
	}
	x.waited = s.cfg.Clock.Since(x.startedAt)
	x.view = s.cfg.View()
}

// limits refuses headers that are too large.
func (x *exchange) limits(l catalog.Limits) error {
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

// authorise finds the organisation of the caller's key. Public routes need none.
func (x *exchange) authorise(c *catalog.Config) (err error) {
	x.priority = x.route.Priority
	if x.route.Public || !c.NeedsKeys() {
		return nil
	}
	// A key that is unknown here may be new. Without a confirmed configuration
	// neither yes nor no is known to be true.
	if err = x.fresh(); err != nil {
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

// fresh refuses keyed work on a configuration that was not confirmed for too
// long: a key in it may have been taken away since. It is asked again right
// before each attempt, since a request may wait and a VM may be suspended in
// between.
func (x *exchange) fresh() error {
	s := x.server
	if !s.cfg.Strict || x.route.Public {
		return nil
	}
	if age := s.cfg.Clock.Since(s.cfg.View().ConfirmedAt()); age > s.cfg.KeyLease {
		return refusal.New(refusal.Stale, fmt.Sprintf("configuration was last confirmed %s ago", age)).WithRetryAfter(staleRetry)
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
	return x.fresh()
}

func (x *exchange) setDeadline() {
	limit := x.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if x.req.CallerTimeout > 0 {
		limit = min(limit, x.req.CallerTimeout)
	}
	x.deadline = x.startedAt + limit
}

// sessionOf hashes the session, or the request itself when it belongs to none.
func sessionOf(req *Request) uint64 {
	name := req.Session
	if name == "" {
		name = req.ID
	}
	return catalog.HashOf(name)
}

// readBody reads the whole body, so that an attempt can be repeated and a caller
// that closes its connection is noticed.
func (x *exchange) readBody() (err error) {
	most := x.view.Config().Limits.MaxBodyBytes
	if most <= 0 {
		most = defaultBody
	}
	x.req.hasBody = x.r.ContentLength != 0
	if !x.req.hasBody {
		return nil
	}
	control := http.NewResponseController(x.w)
	if err = control.SetReadDeadline(time.Now().Add(x.left().Duration())); err != nil {
		return err
	}
	x.req.body, err = io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return refusal.New(refusal.TooLarge, fmt.Sprintf("body has more than %d bytes", most))
	case err != nil && x.left() <= 0:
		x.w.Header().Set("Connection", "close")
		return refusal.New(refusal.SlowBody, "body did not come in time")
	case err != nil:
		x.w.Header().Set("Connection", "close")
		return refusal.New(refusal.Malformed, "body cannot be read: "+err.Error())
	}
	// With a deadline left on the connection its next idle spell would end it.
	return control.SetReadDeadline(time.Time{})
}
