package placement

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/fleet"
	"pgregory.net/rapid"
)

// limitedSite has one endpoint and some entries, half of them in its zone, which all know
// that it names a rate.
type limitedSite struct {
	fleet    *fleet.Snapshot
	endpoint *fleet.Endpoint
	boards   []*Selector
}

func newLimitedSite(entries int, rate float64) *limitedSite {
	s := &limitedSite{fleet: fleetOf(1, nil)}
	s.endpoint = s.fleet.Find("e0")
	for range entries {
		b := NewSelector()
		b.RecordAdvertisement(s.endpoint, Advertisement{Rate: rate, HasRate: true}, 0, 1)
		s.boards = append(s.boards, b)
	}
	return s
}

func (s *limitedSite) pick(i int, now clock.Millis) Reason {
	half := max(len(s.boards)/2, 1)
	share := Share{Fraction: 0.5, Entries: half, Index: i}
	if i >= half {
		share = Share{Fraction: 0.5, Entries: len(s.boards) - half, Index: i - half}
	}
	_, why := s.boards[i].Select(s.fleet, Query{Service: "s", Version: "v1", Zone: "a", Now: now, Bounds: Bounds{Shares: map[string]Share{"a": share}}})
	return why
}

// Entries that know a rate each took it for themselves, and the endpoint got many times as
// much as it can bear.
func TestEntriesTogetherRespectRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 20).Draw(t, "rate")
		s := newLimitedSite(rapid.IntRange(1, 70).Draw(t, "entries"), rate)
		var sends []clock.Millis
		for now := clock.Millis(1); now < 15*clock.Second; now += clock.Millis(rapid.IntRange(1, 40).Draw(t, "step")) {
			if s.pick(rapid.IntRange(0, len(s.boards)-1).Draw(t, "entry"), now) == Selected {
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

// An endpoint ceases to name a rate, and all entries send to it again: those that hear it
// from the endpoint, and those that may not send to it and are told.
func TestEndedRateLimitIsLiftedAtAllEntries(t *testing.T) {
	is := is.New(t)
	s := newLimitedSite(40, 1)
	var first, last *Selector
	for i, b := range s.boards {
		if s.pick(i, 2) == Selected {
			first = b
		} else {
			last = b
		}
	}
	is.True(first != nil && last != nil)
	is.True(first.RecordAdvertisement(s.endpoint, Advertisement{}, 3, 100))
	is.True(!first.Advertised(s.endpoint).HasRate)
	is.True(last.Advertised(s.endpoint).HasRate)
	last.Receive("first", first.Report(110, false), false, 120)
	is.True(!last.Advertised(s.endpoint).HasRate)
	again := NewSelector()
	again.RecordAdvertisement(s.endpoint, Advertisement{Rate: 1, HasRate: true}, 0, 1)
	again.Receive("first", first.Report(600, true), true, 610)
	is.True(!again.Advertised(s.endpoint).HasRate) // told again in whole reports
}

// Nobody tells an entry without a share that a rate has ended. It finds out by itself, and
// not all such entries at once.
func TestEntriesWithoutQuotaProbeInTurn(t *testing.T) {
	is := is.New(t)
	s := newLimitedSite(40, 1)
	for i := range s.boards {
		s.pick(i, 2) // shares are used up
	}
	var tries []int
	for now := clock.Millis(1000); now < 4*trialPause; now += 10 {
		for i, b := range s.boards {
			if len(b.mark("e0").sends) == 0 && s.pick(i, now) == Selected {
				tries = append(tries, i)
			}
		}
	}
	is.True(len(tries) >= 4)
	is.True(len(tries) <= 8)
}

// An answer to a request that was sent before a rate was named comes after the one that
// names it.
func TestStaleAnswerDoesNotLiftRateLimit(t *testing.T) {
	is := is.New(t)
	e := fleetOf(1, nil).Find("e0")
	b := NewSelector()
	is.True(b.RecordAdvertisement(e, Advertisement{Rate: 2, HasRate: true}, 100, 150))
	is.True(!b.RecordAdvertisement(e, Advertisement{}, 90, 160))
	is.True(b.Advertised(e).HasRate)
	is.True(b.RecordAdvertisement(e, Advertisement{}, 151, 200))
	is.True(!b.Advertised(e).HasRate)
}

// An endpoint starts again under its ID. What its last process said does not bind the new
// one, and a report of it that comes late changes nothing.
func TestAdvertisementEndsWithItsIncarnation(t *testing.T) {
	is := is.New(t)
	old := fleetOf(1, func(_ int, e *fleet.Endpoint) { e.Incarnation = 5 }).Find("e0")
	fresh := fleetOf(1, func(_ int, e *fleet.Endpoint) { e.Incarnation = 6 }).Find("e0")
	b, other := NewSelector(), NewSelector()
	b.RecordAdvertisement(old, Advertisement{Rate: 2, HasRate: true}, 0, 10)
	told := b.Report(11, true)
	is.True(!b.Advertised(fresh).HasRate)
	b.RecordAdvertisement(fresh, Advertisement{Leaving: true}, 12, 13)
	is.True(!b.RecordAdvertisement(old, Advertisement{}, 11, 14)) // asked before the new process was announced
	is.True(b.Advertised(fresh).Leaving)
	other.RecordAdvertisement(fresh, Advertisement{}, 0, 5)
	other.Receive("b", told, true, 12)
	is.True(!other.Advertised(fresh).HasRate)
}

// The answers of an endpoint that leaves overtake one another, and nothing else is left to
// send to. It gets nothing more until its next process is announced.
func TestLeavingEndpointStaysLeaving(t *testing.T) {
	is := is.New(t)
	s := fleetOf(1, func(_ int, e *fleet.Endpoint) { e.Incarnation = 5 })
	e := s.Find("e0")
	b := NewSelector()
	q := Query{Service: "s", Version: "v1", Zone: "a", Now: 10}
	_, why := b.Select(s, q)
	is.Equal(why, Selected)
	is.True(b.RecordAdvertisement(e, Advertisement{Leaving: true}, 10, 20))
	is.True(!b.RecordAdvertisement(e, Advertisement{}, 10, 30))
	q.Now = 20 * clock.Second
	_, why = b.Select(s, q)
	is.Equal(why, None)
	_, why = b.Select(fleetOf(1, func(_ int, e *fleet.Endpoint) { e.Incarnation = 6 }), q)
	is.Equal(why, Selected)
}

// One entry hears that an endpoint leaves, and the others would each send it one more
// request to hear it too. A wrong word of another entry does not keep an endpoint out for
// good.
func TestLeavingIsReportedToPeers(t *testing.T) {
	is := is.New(t)
	s := fleetOf(1, nil)
	first, other := NewSelector(), NewSelector()
	q := Query{Service: "s", Version: "v1", Zone: "a", Now: 10}
	_, why := other.Select(s, q)
	is.Equal(why, Selected)
	first.RecordAdvertisement(s.Find("e0"), Advertisement{Leaving: true}, 10, 20)
	other.Receive("first", first.Report(30, false), false, 40)
	q.Now = 50
	_, why = other.Select(s, q)
	is.Equal(why, None)
	q.Now = 40 + toldLeavingFor
	_, why = other.Select(s, q)
	is.Equal(why, Selected)
}

// An endpoint asks for a pause, and another refusal of it asks for a shorter one.
func TestLongestAdvertisedPauseApplies(t *testing.T) {
	is := is.New(t)
	s := fleetOf(1, nil)
	b := NewSelector()
	b.RecordAdvertisement(s.Find("e0"), Advertisement{PauseFor: 1990}, 0, 10)
	b.RecordAdvertisement(s.Find("e0"), Advertisement{}, 10, 20)
	b.RecordAdvertisement(s.Find("e0"), Advertisement{PauseFor: 470}, 20, 30)
	for now, want := range map[clock.Millis]Reason{1000: Full, 2000: Full, 2001: Selected} {
		_, why := b.Select(s, Query{Service: "s", Version: "v1", Zone: "a", Now: now})
		is.Equal(why, want) // by the instant
	}
}

// The announcement of an endpoint lapses while the store is away, and is back a moment later.
// What the endpoint had said by then was forgotten with it.
func TestAdvertisementOutlivesLapsedRegistration(t *testing.T) {
	is := is.New(t)
	s := fleetOf(3, nil)
	b := NewSelector()
	b.RecordAdvertisement(s.Find("e0"), Advertisement{Leaving: true}, 0, 10)
	b.RecordAdvertisement(s.Find("e1"), Advertisement{Rate: 2, HasRate: true}, 0, 10)
	b.RecordAdvertisement(s.Find("e2"), Advertisement{}, 0, 10)
	none := fleet.New().Snapshot()
	b.Prune(none, 1000)
	is.Equal(len(b.marks), 2)
	is.True(b.Advertised(s.Find("e0")).Leaving)
	is.True(b.Advertised(s.Find("e1")).HasRate)
	b.Prune(none, 20+stateKept)
	is.Equal(len(b.marks), 0)
}
