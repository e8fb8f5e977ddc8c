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
	// catchUpTimeout is how long a request waits until this endpoint has the tables that its entry
	// used.
	catchUpTimeout = 300 * clock.Millis(1)
	// defaultQueueWait is how long a request waits for a slot if its pool sets no queue-wait.
	defaultQueueWait   = 250 * clock.Millis(1)
	notReadyRetryAfter = 500 * clock.Millis(1)
)

// admit checks an attempt against the endpoint's tables and acquires a slot in the window. It runs
// before dispatch, so a request refused here has not run.
//
// The tables are checked again after each wait: the request must not run if a zone was taken out, a
// version was withdrawn or a drain started in the meantime. The slot is acquired before the last
// check, so that no request is missed: either a drain finds the slot in use, or the check finds that
// the endpoint drains and refuses the request.
func (e *Endpoint) admit(ctx context.Context, a *attempt) (err error) {
	if err = e.catchUp(ctx, a.head); err != nil {
		return err
	}
	if err = e.check(e.node.View(), a.head); err != nil {
		return err
	}
	if err = e.acquireSlot(ctx, a); err != nil {
		return err
	}
	a.version = a.head.GetVersion()
	e.busy.add(a.version, 1)
	return e.check(e.node.View(), a.head)
}

// catchUp waits for the tables that the entry used to route the request. Without the wait an
// outdated endpoint would run a version that was just withdrawn, or refuse one that was just
// published.
func (e *Endpoint) catchUp(ctx context.Context, head *wire.RunHead) (err error) {
	if e.node.View().Revision() >= head.GetRevision() {
		return nil
	}
	e.node.ReportNewerRevision(head.GetEntry(), "", head.GetRevision())
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout.Duration())
	defer cancel()
	if !e.node.Loop().Await(ctx, func(v *view.View) bool { return v.Revision() >= head.GetRevision() }) {
		return refusal.New(refusal.Behind, "endpoint's tables are behind the entry's").WithRetryAfter(notReadyRetryAfter)
	}
	return nil
}

// check validates an attempt against one view.
func (e *Endpoint) check(v *view.View, head *wire.RunHead) (err error) {
	t := v.Tables()
	if !v.Started() {
		return refusal.New(refusal.Starting, "endpoint has no tables yet").WithRetryAfter(notReadyRetryAfter)
	}
	if v.Draining() {
		return refusal.New(refusal.Leaving, "endpoint is leaving")
	}
	if v.Revision() < head.GetRevision() {
		return refusal.New(refusal.Behind, "endpoint's tables are behind the entry's").WithRetryAfter(notReadyRetryAfter)
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

// checkEngine refuses a version that the engine reports as not loaded. An engine that does
// not report its versions is assumed to have loaded those in the tables.
func (e *Endpoint) checkEngine(version string) error {
	s := e.status.Load()
	if s == nil || s.Versions == nil || slices.Contains(s.Versions, version) {
		return nil
	}
	return refusal.New(refusal.NoEndpoint, "engine has not loaded this version").WithRetryAfter(notReadyRetryAfter)
}

// acquireSlot waits for a slot in the window.
func (e *Endpoint) acquireSlot(ctx context.Context, a *attempt) (err error) {
	pool, ok := e.pool()
	if !ok {
		return refusal.New(refusal.NoEndpoint, "endpoint's pool is not in the tables")
	}
	e.gate.SetLimits(limitsOf(pool, a.head.GetService() != ""))
	a.ticket = e.gate.Submit(e.node.Clock().Now(), e.gateRequest(a))
	wait := pool.QueueWait
	if wait == 0 {
		wait = defaultQueueWait
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

// limitsOf returns the window limits from the tables. The window of a plain service is fully open
// from the start, because the first-token time of a service cannot reveal a cold start.
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

func (e *Endpoint) gateRequest(a *attempt) gate.Request {
	org := a.head.GetOrganisation()
	return gate.Request{
		Organisation: org,
		Weight:       e.node.View().Tables().Organisations[org].Weight,
		Priority:     a.head.GetPriority(),
		Bytes:        a.bytes,
	}
}
