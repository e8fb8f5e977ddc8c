package endpoint

import (
	"context"
	"slices"
	"time"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/gate"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/table"
	"github.com/parsleydeal/parsleydeal/view"
)

const (
	// catchUp is how long a request waits for tables that the entry has and this
	// endpoint lacks.
	catchUp = 300 * clock.Millis(1)
	// queueWait is how long a request waits for a place when its pool does not
	// say.
	queueWait   = 250 * clock.Millis(1)
	behindRetry = 500 * clock.Millis(1)
)

// admit checks an attempt against the endpoint's own tables and takes a place in
// the window. A refusal here comes before dispatch, so "not run" is true.
//
// The tables are checked again after every wait: a zone taken out, a version
// withdrawn or a stop begun while the request waited must stop it. The place is
// taken before the last check, so a stop that finds no place taken has been
// published before that check reads the view.
func (e *Endpoint) admit(ctx context.Context, a *attempt) (err error) {
	if err = e.catchUp(ctx, a.head); err != nil {
		return err
	}
	if err = e.check(e.node.View(), a.head); err != nil {
		return err
	}
	if err = e.take(ctx, a); err != nil {
		return err
	}
	a.version = a.head.GetVersion()
	e.busy.add(a.version, 1)
	return e.check(e.node.View(), a.head)
}

// catchUp waits for the tables on which the entry decided. Without it an endpoint
// that lags would run a version withdrawn a moment ago, or refuse one just
// published.
func (e *Endpoint) catchUp(ctx context.Context, head *wire.RunHead) (err error) {
	if e.node.View().Revision() >= head.GetRevision() {
		return nil
	}
	e.node.ReportNewerRevision(head.GetEntry(), "", head.GetRevision())
	ctx, cancel := context.WithTimeout(ctx, catchUp.Duration())
	defer cancel()
	if !e.node.Loop().Await(ctx, func(v *view.View) bool { return v.Revision() >= head.GetRevision() }) {
		return refusal.New(refusal.Behind, "endpoint's tables are behind the entry's").WithRetryAfter(behindRetry)
	}
	return nil
}

// check holds an attempt against one view.
func (e *Endpoint) check(v *view.View, head *wire.RunHead) (err error) {
	t := v.Tables()
	if !v.Started() {
		return refusal.New(refusal.Starting, "endpoint has no tables yet").WithRetryAfter(behindRetry)
	}
	if v.Draining() {
		return refusal.New(refusal.Leaving, "endpoint is leaving")
	}
	if v.Revision() < head.GetRevision() {
		return refusal.New(refusal.Behind, "endpoint's tables are behind the entry's").WithRetryAfter(behindRetry)
	}
	s := e.node.Settings()
	if t.ZoneOut(s.Zone) || t.VMOut(s.VM) {
		return refusal.New(refusal.ZoneOut, "availability zone or VM is out")
	}
	pool, ok := t.Pools[s.Endpoint.Pool]
	if !ok || !pool.InZone(s.Zone) {
		return refusal.New(refusal.NoEndpoint, "the tables have no such pool in this zone")
	}
	if head.GetService() != "" {
		return checkService(t, head, s.Endpoint.Pool)
	}
	if err = checkRoute(v, head, pool); err != nil {
		return err
	}
	return e.checkEngine(head.GetVersion())
}

func checkService(t *table.Tables, head *wire.RunHead, pool string) error {
	s, ok := t.Services[head.GetService()]
	if !ok || !slices.Contains(s.Organisations, head.GetOrganisation()) {
		return refusal.New(refusal.NotAllowed, "organisation may not reach this service")
	}
	if s.Pool != pool {
		return refusal.New(refusal.NoEndpoint, "service runs in another pool")
	}
	return nil
}

func checkRoute(v *view.View, head *wire.RunHead, pool table.Pool) error {
	t := v.Tables()
	r, ok := t.Routes[head.GetRoute()]
	if !ok || !slices.Contains(r.Organisations, head.GetOrganisation()) {
		return refusal.New(refusal.NotAllowed, "organisation may not reach this route")
	}
	if !r.Allows(head.GetVersion()) {
		return refusal.New(refusal.NotAllowed, "route does not allow this version")
	}
	if t.Versions[head.GetVersion()].Withdrawn {
		return refusal.New(refusal.Withdrawn, "version is withdrawn")
	}
	if v.Holds().Held(head.GetVersion(), head.GetOrganisation()) {
		return refusal.New(refusal.Held, "version is held back")
	}
	if !slices.Contains(pool.Versions, head.GetVersion()) {
		return refusal.New(refusal.NoEndpoint, "pool does not serve this version")
	}
	return nil
}

// checkEngine refuses a version that the engine says it has not loaded. An
// engine that does not tell its versions is taken to have what the tables say.
func (e *Endpoint) checkEngine(version string) error {
	s := e.status.Load()
	if s == nil || s.Versions == nil || slices.Contains(s.Versions, version) {
		return nil
	}
	return refusal.New(refusal.NoEndpoint, "engine has not loaded this version").WithRetryAfter(behindRetry)
}

// take waits for a place in the window.
func (e *Endpoint) take(ctx context.Context, a *attempt) (err error) {
	pool, ok := e.pool()
	if !ok {
		return refusal.New(refusal.NoEndpoint, "endpoint's pool is not in the tables")
	}
	e.gate.SetLimits(limitsOf(pool, a.head.GetService() != ""))
	a.ticket = e.gate.Submit(e.node.Clock().Now(), e.request(a))
	wait := pool.QueueWait
	if wait == 0 {
		wait = queueWait
	}
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	select {
	case <-a.ticket.Decided():
	case <-t.C:
		e.gate.Withdraw(a.ticket)
	case <-ctx.Done():
		e.gate.Withdraw(a.ticket)
	}
	if e.gate.State(a.ticket) != gate.Admitted {
		return refusal.New(refusal.Saturated, "endpoint's window is full").WithRetryAfter(e.gate.RetryAfter())
	}
	return nil
}

// limitsOf reads the window from the tables. A plain service has no cold start
// that its first-token time could tell of, so its window is full from the start.
func limitsOf(p table.Pool, plain bool) gate.Limits {
	l := gate.Limits{Cold: p.ColdWindow, Full: p.FullWindow, Queue: p.Queue}
	if plain {
		l.Cold = p.FullWindow
	}
	if l.Queue == 0 {
		l.Queue = p.FullWindow
	}
	return l
}

func (e *Endpoint) request(a *attempt) gate.Request {
	org := a.head.GetOrganisation()
	return gate.Request{
		Organisation: org,
		Weight:       e.node.View().Tables().Organisations[org].Weight,
		Priority:     a.head.GetPriority(),
		Bytes:        a.bytes,
	}
}
