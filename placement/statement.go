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

// lasting is the part of a statement that holds until the next one.
func (s Advertisement) lasting() Advertisement {
	s.ColdFor, s.PauseFor = 0, 0
	return s
}

// stated is the last statement of an endpoint.
type stated struct {
	// Statement holds what lasts of it.
	Advertisement
	// born is the start of the endpoint that made it: the next process under the same
	// ID has said nothing yet.
	born int64
	// at is when it was heard, rateSince since when the endpoint names a rate, and
	// rateEnded when it last ceased to; 0 for never.
	at        clock.Millis
	rateSince clock.Millis
	rateEnded clock.Millis
	// leavingUntil is until when it is taken to leave on the word of another entry.
	leavingUntil clock.Millis
	// coldUntil is the end of its cold start, and pausedUntil until when it wants nothing
	// from this entry.
	coldUntil   clock.Millis
	pausedUntil clock.Millis
	// own says that this entry has it from the endpoint itself, and untold that others
	// were not told of the change.
	own    bool
	untold bool
}

const (
	// rateSpan is the span over which the rate that an endpoint names is kept, with what
	// requests may differ in the time that they take to reach it. Over a second a rate of
	// one or two could not be shared.
	rateSpan = 4200 * clock.Millis(1)
	// rateExtra is how many requests beyond its rate an endpoint may get in that span, so
	// that an entry of its zone and one elsewhere always have a share and hear when it
	// ends.
	rateExtra = 2.0
	// trialPause is the span between two requests by which the entries without a share, of
	// those that share one part of a rate, find out that it has ended.
	trialPause = 10 * clock.Second
	// toldLeavingFor is how long an endpoint is taken to leave on the word of another entry,
	// which may be wrong. One that still runs after it says so itself.
	toldLeavingFor = 10 * clock.Second
	// stateKept is how long a statement is kept of an endpoint that is not announced.
	stateKept = clock.Minute
	// stateFor is how long a statement is told on after it was heard.
	stateFor = 2 * clock.Second
)

// RecordAdvertisement takes an endpoint's statement, by the answer to a request that was sent at an
// instant, and reports whether what lasts of it differs from the one before.
func (b *Selector) RecordAdvertisement(e *fleet.Endpoint, s Advertisement, sentAt, now clock.Millis) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.mark(e.ID)
	if e.Incarnation < m.stated.born {
		return false
	}
	known := m.statedOf(e)
	// Answers may overtake one another: one that was asked for before the rate was named
	// does not lift it.
	heardAt := now
	if known.HasRate && !s.HasRate && sentAt < known.at {
		s.Rate, s.HasRate, heardAt = known.Rate, true, known.at
	}
	m.stated = known.followedBy(s, heardAt)
	m.stated.own = true
	changed = known.Advertisement != m.stated.Advertisement
	m.stated.untold = known.untold || changed
	if m.stated.untold {
		b.signalUrgent()
	}
	return changed
}

// followedBy returns what is known after a later statement of the same process. One that
// leaves does not come back, and its later answers may have been made before.
func (known stated) followedBy(s Advertisement, now clock.Millis) stated {
	next := known
	next.Advertisement, next.at, next.rateSince, next.own, next.untold = s.lasting(), now, now, false, false
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
		next.rateEnded = now
	}
	return next
}

// holds reports whether a statement must be kept though its endpoint is not announced.
func (known stated) holds(now clock.Millis) bool {
	binds := known.Leaving || known.HasRate || known.pausedUntil > now || known.leavingUntil > now
	return binds && now-known.at <= stateKept
}

// statedOf returns what an endpoint has said since its start.
func (m *mark) statedOf(e *fleet.Endpoint) stated {
	if m.stated.born != e.Incarnation {
		return stated{born: e.Incarnation}
	}
	return m.stated
}

// leaves reports whether an endpoint is known to leave by answers.
func (m *mark) leaves(e *fleet.Endpoint, now clock.Millis) bool {
	s := m.statedOf(e)
	return s.Leaving || s.leavingUntil > now
}

// Advertised returns what an endpoint has said of itself since its start.
func (b *Selector) Advertised(e *fleet.Endpoint) Advertisement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mark(e.ID).statedOf(e).Advertisement
}

// RateLimited counts the endpoints that name a rate.
func (b *Selector) RateLimited() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.marks {
		if m.stated.HasRate {
			n++
		}
	}
	return n
}

// withinRate reports whether one more request keeps this entry's share of the rate that an
// endpoint names. The shares of all entries add up to that rate, as each of them knows
// only its own sends.
func (m *mark) withinRate(e *fleet.Endpoint, q Query) bool {
	s := m.statedOf(e)
	if !s.HasRate {
		return true
	}
	share, total := q.Bounds.Shares[e.Zone], rateTotal(s.Rate)
	if n := share.Quota(total, e.ID); n > 0 {
		return m.sentSince(max(q.Now-rateSpan, s.rateSince)) < n
	}
	place, others := share.without(total, e.ID)
	wait := others * trialPause
	if s.at == s.rateSince {
		// Most of them hear of a rate at about the same time.
		wait = place * trialPause
	}
	return q.Now-s.at >= wait
}

// rateTotal is what all entries may send within rateSpan to an endpoint that names a rate.
func rateTotal(rate float64) float64 {
	return rate*float64(rateSpan)/float64(clock.Second) + rateExtra
}

// tries notes a request to an endpoint that names a rate: an entry without a share may send
// the next one only after its pause.
func (m *mark) tries(e *fleet.Endpoint, q Query) {
	s := m.statedOf(e)
	if s.HasRate && q.Bounds.Shares[e.Zone].Quota(rateTotal(s.Rate), e.ID) == 0 {
		m.stated.at = q.Now
	}
}

// tellState adds an endpoint's statement to what others are told of it: at once where it is
// new, and in whole reports while it holds or has just ended, since a report may be lost.
func (m *mark) tellState(t *EndpointReport, now clock.Millis, whole bool) (tells bool) {
	s := m.stated
	recent := (s.HasRate || s.Leaving) && now-s.at <= stateFor || s.rateEnded > 0 && now-s.rateEnded <= stateFor
	if !s.own || !s.untold && !(whole && recent) {
		return false
	}
	t.Advertisement, t.AdvertisementAge, t.Incarnation = s.Advertisement, max(now-s.at, 1), s.born
	m.stated.untold = false
	return true
}

// hearState takes another entry's word on an endpoint's statement, if it is newer than what
// is known.
func (m *mark) hearState(t EndpointReport, now clock.Millis) {
	at := now - t.AdvertisementAge
	if t.AdvertisementAge <= 0 || t.Incarnation < m.stated.born || t.Incarnation == m.stated.born && at <= m.stated.at {
		return
	}
	known := m.stated
	if known.born != t.Incarnation {
		known = stated{born: t.Incarnation}
	}
	m.stated = known.followedBy(Advertisement{Rate: t.Advertisement.Rate, HasRate: t.Advertisement.HasRate}, at)
	if t.Advertisement.Leaving {
		m.stated.leavingUntil = now + toldLeavingFor
	}
}
