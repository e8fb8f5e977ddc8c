package placement

import (
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
)

// Advertisement is what an answer says of the endpoint that gave it.
type Advertisement struct {
	// Rate is how many requests a second the endpoint takes from all entries together;
	// it holds where HasRate says that the endpoint names one.
	Rate    float64
	HasRate bool
	// Leaving says that the endpoint finishes what it has and takes nothing new.
	Leaving bool
	// ColdFor is how long its cold start lasts, PauseFor how long it wants nothing from
	// this entry; 0 where it says nothing of that.
	ColdFor  clock.Millis
	PauseFor clock.Millis
}

// persistent is the part of a statement that holds until the next one.
func (s Advertisement) persistent() Advertisement {
	s.ColdFor, s.PauseFor = 0, 0
	return s
}

// advertisedState is the last statement of an endpoint.
type advertisedState struct {
	// Statement holds what lasts of it.
	Advertisement
	// incarnation is the start of the endpoint that made it: the next process under the same
	// ID has said nothing yet.
	incarnation int64
	// receivedAt is when it was heard, rateSince since when the endpoint names a rate, and
	// rateEnded when it last ceased to; 0 for never.
	receivedAt  clock.Millis
	rateSince   clock.Millis
	rateEndedAt clock.Millis
	// leavingUntil is until when it is taken to leave on the word of another entry.
	leavingUntil clock.Millis
	// coldUntil is the end of its cold start, and pausedUntil until when it wants nothing
	// from this entry.
	coldUntil   clock.Millis
	pausedUntil clock.Millis
	// direct says that this entry has it from the endpoint itself, and untold that others
	// were not told of the change.
	direct     bool
	unreported bool
}

const (
	// rateWindow is the span over which the rate that an endpoint names is kept, with what
	// requests may differ in the time that they take to reach it. Over a second a rate of
	// one or two could not be shared.
	rateWindow = 4200 * clock.Millis(1)
	// rateAllowance is how many requests beyond its rate an endpoint may get in that span, so
	// that an entry of its zone and one elsewhere always have a share and hear when it
	// ends.
	rateAllowance = 2.0
	// trialInterval is the span between two requests by which the entries without a share, of
	// those that share one part of a rate, find out that it has ended.
	trialInterval = 10 * clock.Second
	// reportedLeavingTTL is how long an endpoint is taken to leave on the word of another entry,
	// which may be wrong. One that still runs after it says so itself.
	reportedLeavingTTL = 10 * clock.Second
	// advertisementTTL is how long a statement is kept of an endpoint that is not announced.
	advertisementTTL = clock.Minute
	// repeatReportsFor is how long a statement is told on after it was heard.
	repeatReportsFor = 2 * clock.Second
)

// RecordAdvertisement takes an endpoint's statement, by the answer to a request that was sent at an
// instant, and reports whether what lasts of it differs from the one before.
func (b *Selector) RecordAdvertisement(e *fleet.Endpoint, s Advertisement, sentAt, now clock.Millis) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.stateOf(e.ID)
	if e.Incarnation < m.advertised.incarnation {
		return false
	}
	known := m.advertisedBy(e)
	// Answers may overtake one another: one that was asked for before the rate was named
	// does not lift it.
	heardAt := now
	if known.HasRate && !s.HasRate && sentAt < known.receivedAt {
		s.Rate, s.HasRate, heardAt = known.Rate, true, known.receivedAt
	}
	m.advertised = known.followedBy(s, heardAt)
	m.advertised.direct = true
	changed = known.Advertisement != m.advertised.Advertisement
	m.advertised.unreported = known.unreported || changed
	if m.advertised.unreported {
		b.signalUrgent()
	}
	return changed
}

// followedBy returns what is known after a later statement of the same process. One that
// leaves does not come back, and its later answers may have been made before.
func (known advertisedState) followedBy(s Advertisement, now clock.Millis) advertisedState {
	next := known
	next.Advertisement, next.receivedAt, next.rateSince, next.direct, next.unreported = s.persistent(), now, now, false, false
	next.Leaving = s.Leaving || known.Leaving
	if s.PauseFor > 0 {
		// The clock counts whole milliseconds, of which this one has begun already.
		next.pausedUntil = max(known.pausedUntil, now+s.PauseFor+1)
	}
	if s.ColdFor > 0 {
		next.coldUntil = now + s.ColdFor
	}
	switch {
	case known.HasRate && s.HasRate:
		next.rateSince = known.rateSince
	case known.HasRate:
		next.rateEndedAt = now
	}
	return next
}

// mustKeep reports whether a statement must be kept though its endpoint is not announced.
func (known advertisedState) mustKeep(now clock.Millis) bool {
	binds := known.Leaving || known.HasRate || known.pausedUntil > now || known.leavingUntil > now
	return binds && now-known.receivedAt <= advertisementTTL
}

// advertisedBy returns what an endpoint has said since its start.
func (m *endpointState) advertisedBy(e *fleet.Endpoint) advertisedState {
	if m.advertised.incarnation != e.Incarnation {
		return advertisedState{incarnation: e.Incarnation}
	}
	return m.advertised
}

// leaves reports whether an endpoint is known to leave by answers.
func (m *endpointState) leaves(e *fleet.Endpoint, now clock.Millis) bool {
	s := m.advertisedBy(e)
	return s.Leaving || s.leavingUntil > now
}

// Advertised returns what an endpoint has said of itself since its start.
func (b *Selector) Advertised(e *fleet.Endpoint) Advertisement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stateOf(e.ID).advertisedBy(e).Advertisement
}

// RateLimited counts the endpoints that name a rate.
func (b *Selector) RateLimited() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.states {
		if m.advertised.HasRate {
			n++
		}
	}
	return n
}

// withinRate reports whether one more request keeps this entry's share of the rate that an
// endpoint names. The shares of all entries add up to that rate, as each of them knows
// only its own sends.
func (m *endpointState) withinRate(e *fleet.Endpoint, q Query) bool {
	s := m.advertisedBy(e)
	if !s.HasRate {
		return true
	}
	share, total := q.Bounds.Shares[e.Zone], rateTotal(s.Rate)
	if n := share.Quota(total, e.ID); n > 0 {
		return m.sentSince(max(q.Now-rateWindow, s.rateSince)) < n
	}
	place, others := share.excluded(total, e.ID)
	wait := others * trialInterval
	if s.receivedAt == s.rateSince {
		// Most of them hear of a rate at about the same time.
		wait = place * trialInterval
	}
	return q.Now-s.receivedAt >= wait
}

// rateTotal is what all entries may send within rateSpan to an endpoint that names a rate.
func rateTotal(rate float64) float64 {
	return rate*float64(rateWindow)/float64(clock.Second) + rateAllowance
}

// recordTrial notes a request to an endpoint that names a rate: an entry without a share may send
// the next one only after its pause.
func (m *endpointState) recordTrial(e *fleet.Endpoint, q Query) {
	s := m.advertisedBy(e)
	if s.HasRate && q.Bounds.Shares[e.Zone].Quota(rateTotal(s.Rate), e.ID) == 0 {
		m.advertised.receivedAt = q.Now
	}
}

// reportAdvertisement adds an endpoint's statement to what others are told of it: at once where it is
// new, and in whole reports while it holds or has just ended, since a report may be lost.
func (m *endpointState) reportAdvertisement(t *EndpointReport, now clock.Millis, whole bool) (tells bool) {
	s := m.advertised
	recent := (s.HasRate || s.Leaving) && now-s.receivedAt <= repeatReportsFor || s.rateEndedAt > 0 && now-s.rateEndedAt <= repeatReportsFor
	if !s.direct || !s.unreported && !(whole && recent) {
		return false
	}
	t.Advertisement, t.AdvertisementAge, t.Incarnation = s.Advertisement, max(now-s.receivedAt, 1), s.incarnation
	m.advertised.unreported = false
	return true
}

// receiveAdvertisement takes another entry's word on an endpoint's statement, if it is newer than what
// is known.
func (m *endpointState) receiveAdvertisement(t EndpointReport, now clock.Millis) {
	at := now - t.AdvertisementAge
	if t.AdvertisementAge <= 0 || t.Incarnation < m.advertised.incarnation || t.Incarnation == m.advertised.incarnation && at <= m.advertised.receivedAt {
		return
	}
	known := m.advertised
	if known.incarnation != t.Incarnation {
		known = advertisedState{incarnation: t.Incarnation}
	}
	m.advertised = known.followedBy(Advertisement{Rate: t.Advertisement.Rate, HasRate: t.Advertisement.HasRate}, at)
	if t.Advertisement.Leaving {
		m.advertised.leavingUntil = now + reportedLeavingTTL
	}
}
