package placement

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"pgregory.net/rapid"
)

// rateLimitedSite has entries and one endpoint, which advertises a rate limit to all of them. Half
// of the entries are in its zone.
type rateLimitedSite struct {
	fleet     *fleet.Snapshot
	endpoint  *fleet.Endpoint
	selectors []*Selector
}

func newRateLimitedSite(entries int, rate float64) *rateLimitedSite {
	s := &rateLimitedSite{fleet: fleetOf(1, nil)}
	s.endpoint = s.fleet.Find("e0")
	for range entries {
		sel := NewSelector()
		sel.RecordAdvertisement(s.endpoint, Advertisement{Rate: rate, HasRate: true}, 0, 1)
		s.selectors = append(s.selectors, sel)
	}
	return s
}

// share returns an entry's share of the limit.
func (s *rateLimitedSite) share(i int) Share {
	half := max(len(s.selectors)/2, 1)
	if i >= half {
		return Share{Fraction: 0.5, Entries: len(s.selectors) - half, Index: i - half}
	}
	return Share{Fraction: 0.5, Entries: half, Index: i}
}

func (s *rateLimitedSite) choose(i int, now clock.Millis) Reason {
	_, reason := s.selectors[i].Select(s.fleet, Query{Service: "s", Version: "v1", Zone: "a", Now: now, Bounds: Bounds{Shares: map[string]Share{"a": s.share(i)}}})
	return reason
}

// Guards against each entry using the whole rate limit for itself, so that the endpoint gets
// many times the rate that it accepts.
func TestEntriesTogetherRespectRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 20).Draw(t, "rate")
		s := newRateLimitedSite(rapid.IntRange(1, 70).Draw(t, "entries"), rate)
		var sends []clock.Millis
		for now := clock.Millis(1); now < 15*clock.Second; now += clock.Millis(rapid.IntRange(1, 40).Draw(t, "step")) {
			if s.choose(rapid.IntRange(0, len(s.selectors)-1).Draw(t, "entry"), now) == Selected {
				sends = append(sends, now)
			}
		}
		for i := range sends {
			n := 0
			for _, at := range sends[i:] {
				if at-sends[i] < 4*clock.Second {
					n++
				}
			}
			if float64(n) > 1.5*4*rate+5 {
				t.Fatalf("%d requests in 4 s at a rate of %g", n, rate)
			}
		}
	})
}

// Guards against a rate limit that stays in force after the endpoint has stopped advertising
// it. Entries learn of its end from the endpoint or, if they have no quota, from reports.
func TestEndedRateLimitIsLiftedAtAllEntries(t *testing.T) {
	is := is.New(t)
	s := newRateLimitedSite(40, 1)
	var first, last *Selector
	for i, sel := range s.selectors {
		if s.choose(i, 2) == Selected {
			first = sel
		} else {
			last = sel
		}
	}
	is.True(first != nil && last != nil)
	is.True(first.RecordAdvertisement(s.endpoint, Advertisement{}, 3, 100))
	is.True(!first.Advertised(s.endpoint).HasRate)
	is.True(last.Advertised(s.endpoint).HasRate)
	last.Receive("first", first.Report(110, false), false, 120)
	is.True(!last.Advertised(s.endpoint).HasRate)
	other := NewSelector()
	other.RecordAdvertisement(s.endpoint, Advertisement{Rate: 1, HasRate: true}, 0, 1)
	other.Receive("first", first.Report(600, true), true, 610)
	is.True(!other.Advertised(s.endpoint).HasRate) // full reports repeat that the limit has ended
}

// If no report arrives that a rate limit has ended, an entry without a quota must find out by
// probing. The entries must not all probe at once.
func TestEntriesWithoutQuotaProbeInTurn(t *testing.T) {
	is := is.New(t)
	s := newRateLimitedSite(40, 1)
	for i := range s.selectors {
		s.choose(i, 2) // use up the quotas
	}
	var tries []int
	for now := clock.Millis(1000); now < 4*probeInterval; now += 10 {
		for i, sel := range s.selectors {
			if len(sel.stateOf("e0").sends) == 0 && s.choose(i, now) == Selected {
				tries = append(tries, i)
			}
		}
	}
	is.True(len(tries) >= 4)
	is.True(len(tries) <= 8)
}

// Guards against a rate limit being lifted by a stale answer: its request was sent before the
// limit was advertised, and it arrives after the answer that advertises the limit.
func TestStaleAnswerDoesNotLiftRateLimit(t *testing.T) {
	is := is.New(t)
	e := fleetOf(1, nil).Find("e0")
	sel := NewSelector()
	is.True(sel.RecordAdvertisement(e, Advertisement{Rate: 2, HasRate: true}, 100, 150))
	is.True(!sel.RecordAdvertisement(e, Advertisement{}, 90, 160))
	is.True(sel.Advertised(e).HasRate)
	is.True(sel.RecordAdvertisement(e, Advertisement{}, 151, 200))
	is.True(!sel.Advertised(e).HasRate)
}

// An endpoint restarts with the same ID. The advertisements of its previous incarnation must not
// apply to the new one, even if they arrive late in reports of other entries.
func TestAdvertisementEndsWithItsIncarnation(t *testing.T) {
	is := is.New(t)
	old := fleetOf(1, func(_ int, e *fleet.Endpoint) { e.Incarnation = 5 }).Find("e0")
	fresh := fleetOf(1, func(_ int, e *fleet.Endpoint) { e.Incarnation = 6 }).Find("e0")
	sel, other := NewSelector(), NewSelector()
	sel.RecordAdvertisement(old, Advertisement{Rate: 2, HasRate: true}, 0, 10)
	reports := sel.Report(11, true)
	is.True(!sel.Advertised(fresh).HasRate)
	sel.RecordAdvertisement(fresh, Advertisement{Leaving: true}, 12, 13)
	is.True(!sel.RecordAdvertisement(old, Advertisement{}, 11, 14)) // sent before the new incarnation was registered
	is.True(sel.Advertised(fresh).Leaving)
	other.RecordAdvertisement(fresh, Advertisement{}, 0, 5)
	other.Receive("b", reports, true, 12)
	is.True(!other.Advertised(fresh).HasRate)
}

// The answers of a leaving endpoint arrive out of order, and there is no other endpoint. It must
// get no more requests until its next incarnation is registered.
func TestLeavingEndpointStaysLeaving(t *testing.T) {
	is := is.New(t)
	s := fleetOf(1, func(_ int, e *fleet.Endpoint) { e.Incarnation = 5 })
	e := s.Find("e0")
	sel := NewSelector()
	q := Query{Service: "s", Version: "v1", Zone: "a", Now: 10}
	_, reason := sel.Select(s, q)
	is.Equal(reason, Selected)
	is.True(sel.RecordAdvertisement(e, Advertisement{Leaving: true}, 10, 20))
	is.True(!sel.RecordAdvertisement(e, Advertisement{}, 10, 30))
	q.Now = 20 * clock.Second
	_, reason = sel.Select(s, q)
	is.Equal(reason, None)
	_, reason = sel.Select(fleetOf(1, func(_ int, e *fleet.Endpoint) { e.Incarnation = 6 }), q)
	is.Equal(reason, Selected)
}

// Without reports, each entry would send a leaving endpoint one more request before it learns that
// the endpoint is leaving. A wrong report must not exclude an endpoint forever.
func TestLeavingIsReportedToPeers(t *testing.T) {
	is := is.New(t)
	s := fleetOf(1, nil)
	first, other := NewSelector(), NewSelector()
	q := Query{Service: "s", Version: "v1", Zone: "a", Now: 10}
	_, reason := other.Select(s, q)
	is.Equal(reason, Selected)
	first.RecordAdvertisement(s.Find("e0"), Advertisement{Leaving: true}, 10, 20)
	other.Receive("first", first.Report(30, false), false, 40)
	q.Now = 50
	_, reason = other.Select(s, q)
	is.Equal(reason, None)
	q.Now = 40 + reportedLeavingTTL
	_, reason = other.Select(s, q)
	is.Equal(reason, Selected)
}

// Guards against a pause that ends early because a later refusal advertises a shorter one.
func TestLongestAdvertisedPauseApplies(t *testing.T) {
	is := is.New(t)
	s := fleetOf(1, nil)
	sel := NewSelector()
	sel.RecordAdvertisement(s.Find("e0"), Advertisement{PauseFor: 1990}, 0, 10)
	sel.RecordAdvertisement(s.Find("e0"), Advertisement{}, 10, 20)
	sel.RecordAdvertisement(s.Find("e0"), Advertisement{PauseFor: 470}, 20, 30)
	for now, want := range map[clock.Millis]Reason{1000: Full, 2000: Full, 2001: Selected} {
		_, reason := sel.Select(s, Query{Service: "s", Version: "v1", Zone: "a", Now: now})
		is.Equal(reason, want)
	}
}

// Guards against losing an endpoint's advertisements when its registration lapses during an
// outage of the store and comes back a moment later.
func TestAdvertisementOutlivesLapsedRegistration(t *testing.T) {
	is := is.New(t)
	s := fleetOf(3, nil)
	sel := NewSelector()
	sel.RecordAdvertisement(s.Find("e0"), Advertisement{Leaving: true}, 0, 10)
	sel.RecordAdvertisement(s.Find("e1"), Advertisement{Rate: 2, HasRate: true}, 0, 10)
	sel.RecordAdvertisement(s.Find("e2"), Advertisement{}, 0, 10)
	none := fleet.New().Snapshot()
	sel.Prune(none, 1000)
	is.Equal(len(sel.states), 2)
	is.True(sel.Advertised(s.Find("e0")).Leaving)
	is.True(sel.Advertised(s.Find("e1")).HasRate)
	sel.Prune(none, 20+advertisementTTL)
	is.Equal(len(sel.states), 0)
}
