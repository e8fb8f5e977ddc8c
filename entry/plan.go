package entry

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/session"
)

// admit checks that the organisation may use the route now.
func (e *Entry) admit(req *work) (err error) {
	route, ok := req.view.Tables().Routes[req.routeName]
	if !ok {
		return refusal.New(refusal.NoRoute, "no model "+req.routeName)
	}
	if !slices.Contains(route.Organisations, req.organisation) {
		return refusal.New(refusal.NoRoute, "no model "+req.routeName)
	}
	req.route = route
	req.deadline = route.Deadline
	if req.deadline == 0 {
		req.deadline = defaultDeadline
	}
	return e.fresh(req.view, route.WhenStale, int64(route.StaleAfter))
}

// plan chooses the version: the session's own, or the one its hash falls on.
func (e *Entry) plan(req *work, token string) (err error) {
	if token != "" {
		if req.session, err = e.sessions.Verify(token); err != nil {
			return refusal.New(refusal.SessionRejected, err.Error())
		}
		if req.session.Organisation != req.organisation || req.session.Route != req.routeName {
			return refusal.New(refusal.SessionRejected, "session belongs to another organisation or model")
		}
		req.pinned = true
	}
	return e.choose(req)
}

// choose keeps the session's version, or makes plans for a new one when it has
// none or its own gets no new work any more.
func (e *Entry) choose(req *work) (err error) {
	kept := req.session.Version
	lost := movedBecause(req, kept)
	if req.pinned {
		req.moved = lost
	}
	if req.session.ID == "" {
		req.session = session.Token{ID: req.id, Organisation: req.organisation, Route: req.routeName}
	}
	q := choice.PlanQuery{
		Route: req.routeName, Organisation: req.organisation,
		Hash: xxhash.Sum64String(req.session.ID), InputTokens: int64(len(req.body) / bytesPerToken),
	}
	if kept != "" && lost == "" {
		req.plans = choice.SessionPlans(req.view, req.route, q, kept)
	} else {
		req.plans = choice.Plans(req.view, req.route, q)
	}
	if len(req.plans) == 0 {
		return refusal.New(refusal.NoEndpoint, "no version meets the quality target").WithRetryAfter(startingRetry)
	}
	return e.adopt(req, req.plans[0].First)
}

// bytesPerToken is about how long a token is, to price a prompt.
const bytesPerToken = 4

// movedBecause says why a session cannot keep its version, or "" when it can.
// Withdrawn and held beat the session.
func movedBecause(req *work, kept string) string {
	switch {
	case kept == "":
		return ""
	case req.view.Tables().Versions[kept].Withdrawn:
		return "withdrawn"
	case req.view.Holds().Held(kept, req.organisation):
		return "held"
	case !req.route.Allows(kept):
		return "not-allowed"
	default:
		return ""
	}
}
