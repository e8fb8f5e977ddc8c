package placement

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
)

// Advertisement is what an endpoint advertises about itself with an answer.
type Advertisement struct {
	// Rate is how many requests per second the endpoint accepts from all entries together.
	// It is valid only if HasRate is set.
	Rate    float64
	HasRate bool
	// Leaving means that the endpoint finishes its requests and accepts no new ones.
	Leaving bool
	// ColdFor is how long the endpoint's cold start lasts, and PauseFor how long this entry
	// must send nothing to it; 0 if not advertised.
	ColdFor  clock.Millis
	PauseFor clock.Millis
}

// persistent returns the advertisement without its durations: advertisedState stores the times at
// which they end instead.
func (a Advertisement) persistent() Advertisement {
	a.ColdFor, a.PauseFor = 0, 0
	return a
}

// advertisedState is the last advertisement of an endpoint, with the limits and times that earlier
// ones set.
type advertisedState struct {
	// Advertisement is the last advertisement without its durations.
	Advertisement
	// incarnation is the endpoint's incarnation that the state belongs to. The state does not
	// apply to a later process with the same ID.
	incarnation int64
	// receivedAt is when the last advertisement was received or, if this entry has no quota, when
	// it last sent a probe. rateSince is when the endpoint began to advertise its current rate
	// limit, and rateEndedAt when it last stopped advertising one; 0 for never.
	receivedAt  clock.Millis
	rateSince   clock.Millis
	rateEndedAt clock.Millis
	// leavingUntil is the time until which the endpoint is treated as leaving because another
	// entry reported it.
	leavingUntil clock.Millis
	// coldUntil is the end of the endpoint's cold start. This entry must send nothing to the
	// endpoint before pausedUntil.
	coldUntil   clock.Millis
	pausedUntil clock.Millis
	// direct is set if this entry received the advertisement from the endpoint itself, and
	// unreported if a change of it has not been reported to other entries yet.
	direct     bool
	unreported bool
}

const (
	// rateWindow is the sliding window in which an advertised rate limit is enforced. It includes
	// a margin, since the time that requests take to reach the endpoint varies. With a window of
	// one second, a rate of one or two requests per second could not be divided among entries.
	rateWindow = 4200 * clock.Millis(1)
	// rateAllowance is added to the number of requests that an endpoint may get per rateWindow at
	// its rate. It ensures that at least one entry of its zone and one of another zone always have
	// a quota and so learn when the limit ends.
	rateAllowance = 2.0
	// probeInterval is the time between two probes of an endpoint. A probe is a request by which
	// an entry without a quota finds out whether the rate limit has ended. All such entries that
	// share one fraction of the rate take turns.
	probeInterval = 10 * clock.Second
	// reportedLeavingTTL is how long an endpoint is treated as leaving because another entry
	// reported it. The report may be wrong. An endpoint that is still leaving after this time will
	// advertise it to this entry too.
	reportedLeavingTTL = 10 * clock.Second
	// advertisementTTL is how long after its receipt an advertisement is retained while the
	// endpoint is not registered.
	advertisementTTL = clock.Minute
	// repeatReportsFor is how long after an advertisement arrived the full reports repeat it.
	repeatReportsFor = 2 * clock.Second
)

// RecordAdvertisement records the advertisement in an answer to a request sent at sentAt. It
// reports whether the advertisement, apart from its durations, differs from the previous one.
func (sel *Selector) RecordAdvertisement(e *fleet.Endpoint, a Advertisement, sentAt, now clock.Millis) (changed bool) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	st := sel.stateOf(e.ID)
	if e.Incarnation < st.advertised.incarnation {
		return false
	}
	known := st.advertisedBy(e)
	// Answers may arrive out of order. The answer to a request that was sent before the rate was
	// advertised must not lift the limit.
	receivedAt := now
	if known.HasRate && !a.HasRate && sentAt < known.receivedAt {
		a.Rate, a.HasRate, receivedAt = known.Rate, true, known.receivedAt
	}
	st.advertised = known.followedBy(a, receivedAt)
	st.advertised.direct = true
	changed = known.Advertisement != st.advertised.Advertisement
	st.advertised.unreported = known.unreported || changed
	if st.advertised.unreported {
		sel.signalUrgent()
	}
	return changed
}

// followedBy returns the state after a later advertisement of the same incarnation. Once an
// endpoint is leaving it remains so: an answer without the flag may have been made before the
// endpoint started to leave.
func (known advertisedState) followedBy(a Advertisement, now clock.Millis) advertisedState {
	next := known
	next.Advertisement, next.receivedAt, next.rateSince, next.direct, next.unreported = a.persistent(), now, now, false, false
	next.Leaving = a.Leaving || known.Leaving
	if a.PauseFor > 0 {
		// The clock counts whole milliseconds, and part of the current one has passed.
		next.pausedUntil = max(known.pausedUntil, now+a.PauseFor+1)
	}
	if a.ColdFor > 0 {
		next.coldUntil = now + a.ColdFor
	}
	switch {
	case known.HasRate && a.HasRate:
		next.rateSince = known.rateSince
	case known.HasRate:
		next.rateEndedAt = now
	}
	return next
}

// mustKeep reports whether the state must be retained although the endpoint is not registered.
func (known advertisedState) mustKeep(now clock.Millis) bool {
	restricts := known.Leaving || known.HasRate || known.pausedUntil > now || known.leavingUntil > now
	return restricts && now-known.receivedAt <= advertisementTTL
}

// advertisedBy returns the advertised state of the endpoint's current incarnation; a state without
// any advertisement if the stored one belongs to another incarnation.
func (st *endpointState) advertisedBy(e *fleet.Endpoint) advertisedState {
	if st.advertised.incarnation != e.Incarnation {
		return advertisedState{incarnation: e.Incarnation}
	}
	return st.advertised
}

// isLeaving reports whether the endpoint has advertised, or another entry has reported, that it is
// leaving.
func (st *endpointState) isLeaving(e *fleet.Endpoint, now clock.Millis) bool {
	advertised := st.advertisedBy(e)
	return advertised.Leaving || advertised.leavingUntil > now
}

// Advertised returns the last advertisement of the endpoint's current incarnation without its
// durations; the zero value if there is none.
func (sel *Selector) Advertised(e *fleet.Endpoint) Advertisement {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	return sel.stateOf(e.ID).advertisedBy(e).Advertisement
}

// RateLimited counts the endpoints that advertise a rate limit.
func (sel *Selector) RateLimited() (n int) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	for _, st := range sel.states {
		if st.advertised.HasRate {
			n++
		}
	}
	return n
}

// withinRate reports whether this entry may send one more request under the endpoint's advertised
// rate limit: within its quota and what others lend it, or as a probe if it has none. Each entry counts
// only the requests that it sends itself, and the quotas of all entries add up to the rate.
func (st *endpointState) withinRate(e *fleet.Endpoint, q Query) bool {
	advertised := st.advertisedBy(e)
	if !advertised.HasRate {
		return true
	}
	share, total := q.Bounds.Shares[e.Zone], rateTotal(advertised.Rate)
	borrowed := st.borrowedRequests(q.Now)
	if n := share.Quota(total, e.ID); n+borrowed > 0 {
		return st.sentSince(max(q.Now-rateWindow, advertised.rateSince)) < n+borrowed-st.lentRequests(q.Now)
	}
	place, entries := share.excluded(total, e.ID)
	wait := entries * probeInterval
	if advertised.receivedAt == advertised.rateSince {
		// Most entries learn of a rate limit at about the same time, so they probe in turn.
		wait = place * probeInterval
	}
	return q.Now-advertised.receivedAt >= wait
}

// rateTotal returns how many requests all entries together may send within rateWindow at an
// advertised rate.
func rateTotal(rate float64) float64 {
	return rate*float64(rateWindow)/float64(clock.Second) + rateAllowance
}

// recordProbe records that this entry sends a request as a probe, which is the case if it has no
// quota of the endpoint's advertised rate. It may send the next probe only when its turn comes
// again.
func (st *endpointState) recordProbe(e *fleet.Endpoint, q Query) {
	advertised := st.advertisedBy(e)
	if advertised.HasRate && q.Bounds.Shares[e.Zone].Quota(rateTotal(advertised.Rate), e.ID)+st.borrowedRequests(q.Now) == 0 {
		st.advertised.receivedAt = q.Now
	}
}

// reportAdvertisement adds the endpoint's advertisement to a report and reports whether it did. A
// change is reported at once. Since a report may be lost, full reports repeat for repeatReportsFor
// that the endpoint has a rate limit, is leaving, or no longer has a rate limit.
func (st *endpointState) reportAdvertisement(r *EndpointReport, now clock.Millis, full bool) (added bool) {
	a := st.advertised
	recent := (a.HasRate || a.Leaving) && now-a.receivedAt <= repeatReportsFor || a.rateEndedAt > 0 && now-a.rateEndedAt <= repeatReportsFor
	if !a.direct || !a.unreported && !(full && recent) {
		return false
	}
	r.Advertisement, r.AdvertisementAge, r.Incarnation = a.Advertisement, max(now-a.receivedAt, 1), a.incarnation
	st.advertised.unreported = false
	return true
}

// receiveAdvertisement applies the advertisement in another entry's report if it is newer than the
// stored one.
func (st *endpointState) receiveAdvertisement(r EndpointReport, now clock.Millis) {
	at := now - r.AdvertisementAge
	if r.AdvertisementAge <= 0 || r.Incarnation < st.advertised.incarnation || r.Incarnation == st.advertised.incarnation && at <= st.advertised.receivedAt {
		return
	}
	known := st.advertised
	if known.incarnation != r.Incarnation {
		known = advertisedState{incarnation: r.Incarnation}
	}
	st.advertised = known.followedBy(Advertisement{Rate: r.Advertisement.Rate, HasRate: r.Advertisement.HasRate}, at)
	if r.Advertisement.Leaving {
		st.advertised.leavingUntil = now + reportedLeavingTTL
	}
}
