package endpoint

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/refusal"
)

// admit checks an attempt against the endpoint's own tables. A refusal here
// comes before dispatch, so "not run" is true.
func (e *Endpoint) admit(head *wire.RunHead) (err error) {
	v := e.node.View()
	if !v.Started() {
		return refusal.New(refusal.Starting, "endpoint has no tables yet")
	}
	if v.Draining() {
		return refusal.New(refusal.Leaving, "endpoint is leaving")
	}
	if v.Revision() < head.GetRevision() {
		e.node.Behind(head.GetEntry(), "", head.GetRevision())
		return refusal.New(refusal.Behind, "endpoint's tables are behind the entry's")
	}
	s := e.node.Settings()
	t := v.Tables()
	if t.ZoneOut(s.Zone) || t.VMOut(s.VM) {
		return refusal.New(refusal.ZoneOut, "availability zone or VM is out")
	}
	pool, ok := e.pool()
	if !ok {
		return refusal.New(refusal.NoEndpoint, "endpoint's pool is not in the tables")
	}
	if err = e.allowed(head, pool.Versions); err != nil {
		return err
	}
	e.window.Resize(pool.ColdWindow, pool.FullWindow)
	if !e.window.Acquire() {
		return refusal.New(refusal.Saturated, "endpoint's window is full")
	}
	return nil
}

func (e *Endpoint) allowed(head *wire.RunHead, versions []string) error {
	t := e.node.View().Tables()
	if head.GetService() != "" {
		s, ok := t.Services[head.GetService()]
		if !ok || !slices.Contains(s.Organisations, head.GetOrganisation()) {
			return refusal.New(refusal.NotAllowed, "organisation may not reach this service")
		}
		return nil
	}
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
	if e.node.View().Holds().Held(head.GetVersion(), head.GetOrganisation()) {
		return refusal.New(refusal.Held, "version is held back")
	}
	if !slices.Contains(versions, head.GetVersion()) {
		return refusal.New(refusal.NoEndpoint, "pool does not serve this version")
	}
	return nil
}
