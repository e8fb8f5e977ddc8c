package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// lendingSite is a site whose entries report their use of quotas and lend.
type lendingSite struct {
	*rateLimitedSite
	zones map[string]string
	// frozen holds the entries that do not run, inbox what arrived meanwhile.
	frozen map[int]bool
	inbox  map[int][]func(now clock.Millis)
}

func newLendingSite(entries int, rate float64) *lendingSite {
	return &lendingSite{rateLimitedSite: newRateLimitedSite(entries, rate), zones: map[string]string{"e0": "a"}, frozen: make(map[int]bool), inbox: make(map[int][]func(clock.Millis))}
}

// report sends the full report of one entry to all others for which arrives returns true.
func (s *lendingSite) report(i int, arrives func() bool, now clock.Millis) {
	if s.frozen[i] {
		return
	}
	bounds := Bounds{Shares: map[string]Share{"a": s.share(i)}}
	use := s.selectors[i].RateUse(bounds, s.zones, now)
	loans := s.selectors[i].Lend(use, bounds, s.zones, now)
	for j := range s.selectors {
		if j == i || !arrives() {
			continue
		}
		var own []Loan
		for _, l := range loans {
			if l.To == fmt.Sprint(j) {
				own = append(own, l)
			}
		}
		s.deliver(j, func(at clock.Millis) {
			s.selectors[j].ReceiveNeed(fmt.Sprint(i), use, now, at)
			s.selectors[j].Borrow(fmt.Sprint(i), own, at)
		}, now)
	}
}

func (s *lendingSite) deliver(j int, message func(clock.Millis), now clock.Millis) {
	if s.frozen[j] {
		s.inbox[j] = append(s.inbox[j], message)
		return
	}
	message(now)
}

func (s *lendingSite) freeze(i int, frozen bool, now clock.Millis) {
	s.frozen[i] = frozen
	if !frozen {
		for _, message := range s.inbox[i] {
			message(now)
		}
		delete(s.inbox, i)
	}
}

// Traffic moves between entries, reports are lost, and entries stop and go on. Guards against loans that
// add up with the quotas to more than the endpoint's rate.
func TestLoansStayWithinRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 60).Draw(t, "rate")
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		s := newLendingSite(n, rate)
		lost := rapid.Float64Range(0, 0.5).Draw(t, "lost")
		draw := rapid.Float64Range(0, 1)
		var sends []clock.Millis
		busy := 0
		for now := clock.Millis(1); now < 20*clock.Second; now += 10 {
			if now%1500 == 1 {
				busy = rapid.IntRange(0, n-1).Draw(t, "busy")
				stopped := rapid.IntRange(0, n-1).Draw(t, "stopped")
				s.freeze(stopped, !s.frozen[stopped] && draw.Draw(t, "stops") < 0.3, now)
			}
			for i := range n {
				if now%500 == clock.Millis(1+10*(i%50)) {
					s.report(i, func() bool { return draw.Draw(t, "arrives") >= lost }, now)
				}
				tries := 0
				if i == busy {
					tries = 2
				}
				for range tries {
					if !s.frozen[i] && s.choose(i, now) == Selected {
						sends = append(sends, now)
					}
				}
			}
		}
		first := 0
		for i, at := range sends {
			for at-sends[first] >= rateWindow {
				first++
			}
			if float64(i-first+1) > rateTotal(rate)+1e-9 {
				t.Fatalf("%d requests in the %s before %s, %.1f allowed", i-first+1, rateWindow, at, rateTotal(rate))
			}
		}
	})
}

// Most new connections go to one of five entries. Guards against an entry that refuses requests at its
// even share while the others leave theirs unused.
func TestBusyEntryBorrowsQuota(t *testing.T) {
	is := is.New(t)
	const rate, entries, perSecond = 50.0, 5, 36
	s := newLendingSite(entries, rate)
	served, asked := 0, 0
	for now := clock.Millis(1); now < 12*clock.Second; now += 10 {
		for i := range entries {
			if now%500 == clock.Millis(1+100*i) {
				s.report(i, func() bool { return true }, now)
			}
		}
		// Four fifths of the requests reach the first entry.
		for k := range 5 {
			if (now/10*5+clock.Millis(k))%100 >= perSecond*100/500 {
				continue
			}
			entry := 0
			if k == 4 {
				entry = 1 + int(now/10)%(entries-1)
			}
			ok := s.choose(entry, now) == Selected
			if now > 3*clock.Second && entry == 0 {
				asked++
				if ok {
					served++
				}
			}
		}
	}
	t.Logf("%d of %d requests at the busy entry served", served, asked)
	is.True(served*4 >= asked*3)
}
