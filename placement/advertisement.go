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

// persistent returns the advertisement without the durations, which are not kept in it.
func (a Advertisement) persistent() Advertisement {
	a.ColdFor, a.PauseFor = 0, 0
	return a
}

// advertisedState is the last advertisement of an endpoint with what followed from earlier ones.
type advertisedState struct {
	// Advertisement is the persistent part of the last one.
	Advertisement
	// incarnation is the start of the endpoint that the state belongs to. It does not apply
	// to a later process with the same ID.
	incarnation int64
	// receivedAt is when the last advertisement was received or, for an entry without a quota,
	// when it last sent a probe. rateSince is since when the endpoint advertises a rate, and
	// rateEndedAt when it last stopped to; 0 for never.
	receivedAt  clock.Millis
	rateSince   clock.Millis
	rateEndedAt clock.Millis
	// leavingUntil is the time until which the endpoint is treated as leaving because another
	// entry reported it.
	leavingUntil clock.Millis
	// coldUntil is the end of the endpoint's cold start, and pausedUntil the time until which
	// this entry must send nothing to it.
	coldUntil   clock.Millis
	pausedUntil clock.Millis
	// direct is set if this entry received the advertisement from the endpoint itself, and
	// unreported if the change was not reported to other entries yet.
	direct     bool
	unreported bool
}

const (
	// rateWindow is the window over which an advertised rate limit is enforced. It includes a
	// margin for differences in the time that requests take to reach the endpoint. Over a
	// window of one second, a rate of one or two could not be divided among entries.
	rateWindow = 4200 * clock.Millis(1)
	// rateAllowance is the number of requests above its rate that an endpoint may get per
	// rateWindow, so that at least one entry of its zone and one of another zone always have
	// a quota and learn when the limit ends.
	rateAllowance = 2.0
	// probeInterval is the interval between two requests by which the entries without a quota,
	// among those that share one part of a rate, find that the limit has ended.
	probeInterval = 10 * clock.Second
	// reportedLeavingTTL is how long an endpoint is treated as leaving because another entry
	// reported it. The report may be wrong; an endpoint that still leaves after this time
	// advertises it to this entry as well.
	reportedLeavingTTL = 10 * clock.Second
	// advertisementTTL is how long after its receipt an advertisement is kept while the endpoint
	// is not registered.
	advertisementTTL = clock.Minute
	// repeatReportsFor is how long full reports repeat an advertisement after its arrival.
	repeatReportsFor = 2 * clock.Second
)

// RecordAdvertisement records the advertisement in an answer to a request sent at sentAt, and
// reports whether its persistent part differs from the previous one.
func (sel *Selector) RecordAdvertisement(e *fleet.Endpoint, a Advertisement, sentAt, now clock.Millis) (changed bool) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	st := sel.stateOf(e.ID)
	if e.Incarnation < st.advertised.incarnation {
		return false
	}
	known := st.advertisedBy(e)
	// Answers may overtake each other: the answer to a request that was sent before the rate
	// was advertised does not lift the limit.
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

// followedBy returns the state after a later advertisement of the same incarnation. Leaving is
// final: answers that arrive later may have been made before.
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

// mustKeep reports whether the state must be kept while the endpoint is not registered.
func (known advertisedState) mustKeep(now clock.Millis) bool {
	restricts := known.Leaving || known.HasRate || known.pausedUntil > now || known.leavingUntil > now
	return restricts && now-known.receivedAt <= advertisementTTL
}

// advertisedBy returns what an endpoint has advertised in its current incarnation.
func (st *endpointState) advertisedBy(e *fleet.Endpoint) advertisedState {
	if st.advertised.incarnation != e.Incarnation {
		return advertisedState{incarnation: e.Incarnation}
	}
	return st.advertised
}

// isLeaving reports whether an endpoint has advertised, or another entry reported, that it leaves.
func (st *endpointState) isLeaving(e *fleet.Endpoint, now clock.Millis) bool {
	advertised := st.advertisedBy(e)
	return advertised.Leaving || advertised.leavingUntil > now
}

// Advertised returns the persistent part of what an endpoint has advertised in its current
// incarnation; the zero value if nothing.
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

// withinRate reports whether one more request stays within this entry's quota of the rate that
// an endpoint advertises. Each entry counts only its own sends, so the quotas of all entries
// add up to that rate.
func (st *endpointState) withinRate(e *fleet.Endpoint, q Query) bool {
	advertised := st.advertisedBy(e)
	if !advertised.HasRate {
		return true
	}
	share, total := q.Bounds.Shares[e.Zone], rateTotal(advertised.Rate)
	if n := share.Quota(total, e.ID); n > 0 {
		return st.sentSince(max(q.Now-rateWindow, advertised.rateSince)) < n
	}
	place, entries := share.excluded(total, e.ID)
	wait := entries * probeInterval
	if advertised.receivedAt == advertised.rateSince {
		// Most entries learn of a rate at about the same time, so they probe in turn.
		wait = place * probeInterval
	}
	return q.Now-advertised.receivedAt >= wait
}

// rateTotal is what all entries together may send within rateWindow at an advertised rate.
func rateTotal(rate float64) float64 {
	return rate*float64(rateWindow)/float64(clock.Second) + rateAllowance
}

// recordProbe records a request of an entry without a quota to an endpoint that advertises a
// rate. The entry may send the next one only after its interval.
func (st *endpointState) recordProbe(e *fleet.Endpoint, q Query) {
	advertised := st.advertisedBy(e)
	if advertised.HasRate && q.Bounds.Shares[e.Zone].Quota(rateTotal(advertised.Rate), e.ID) == 0 {
		st.advertised.receivedAt = q.Now
	}
}

// reportAdvertisement adds the endpoint's advertisement to a report and reports whether it did.
// A change is reported at once. Full reports repeat a rate limit or leaving, and the end of a
// rate limit, for repeatReportsFor, since a report may be lost.
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

// receiveAdvertisement takes over the advertisement in another entry's report if it is newer
// than the known one.
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
