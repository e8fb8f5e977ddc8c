package entry

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/choice"
	"github.com/parsleydeal/parsleydeal/refusal"
	"github.com/parsleydeal/parsleydeal/session"
)

// admit checks that the organisation may use the route now.
func (e *Entry) admit(req *requestState) (err error) {
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
	return e.checkStaleness(req.view, route.WhenStale, int64(route.StaleAfter))
}

// plan verifies the session token, if there is one, and chooses the version.
func (e *Entry) plan(req *requestState, token string) (err error) {
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

// choose makes the plans for the request. They keep the session's version, unless the session has
// none or its version no longer accepts new requests.
func (e *Entry) choose(req *requestState) (err error) {
	version := req.session.Version
	reason := moveReason(req, version)
	if req.pinned {
		req.sessionMoved = reason
	}
	if req.session.ID == "" {
		req.session = session.Token{ID: req.id, Organisation: req.organisation, Route: req.routeName}
	}
	q := choice.PlanQuery{
		Route: req.routeName, Organisation: req.organisation,
		Hash: xxhash.Sum64String(req.session.ID), InputTokens: int64(len(req.body) / bytesPerToken),
	}
	if version != "" && reason == "" {
		req.plans = choice.SessionPlans(req.view, req.route, q, version)
	} else {
		req.plans = choice.Plans(req.view, req.route, q)
	}
	if len(req.plans) == 0 {
		return refusal.New(refusal.NoEndpoint, "no version meets the quality target").WithRetryAfter(startingRetry)
	}
	return e.setVersion(req, req.plans[0].First)
}

// bytesPerToken is the approximate length of a token, used to price a prompt.
const bytesPerToken = 4

// moveReason returns why a session cannot keep its version, or "" if it can. A withdrawal or hold
// overrides the session.
func moveReason(req *requestState, version string) string {
	switch {
	case version == "":
		return ""
	case req.view.Tables().Versions[version].Withdrawn:
		return "withdrawn"
	case req.view.Holds().Held(version, req.organisation):
		return "held"
	case !req.route.Allows(version):
		return "not-allowed"
	default:
		return ""
	}
}
