package placement

import (
	"maps"
	"math"
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	// loanTTL is how long a loan may be used after the borrower asked for it. Entries ask and lend with
	// each full report.
	loanTTL = 2 * clock.Second
	// borrowFrom is the use of its own quotas from which an entry is lent more, lendBelow the use below
	// which an entry lends.
	borrowFrom = 0.7
	lendBelow  = 0.5
	// lendReserve is the fraction of its quotas that an entry keeps beyond its use. Of quotas of one request it keeps some.
	lendReserve = 0.2
	// needTTL is how long another entry's report of its use counts.
	needTTL = 1500 * clock.Millis(1)
	// maxAsked is how many entries that get no reports of this one are asked for loans at once. In the lifetime of a loan
	// that is four times as many.
	maxAsked = 16
)

// NeedsLoans reports whether an entry with the given use of its quotas is lent more.
func NeedsLoans(use float64) bool { return use >= borrowFrom }

// Rotation selects entries to ask for loans in turn, so that a large site is not asked as a whole each time. Its zero value
// is ready for use.
type Rotation struct{ asked int }

// Next returns the next of the given entries, which are in the same order each time.
func (r *Rotation) Next(all []string) (next []string) {
	for range min(maxAsked, len(all)) {
		r.asked = (r.asked + 1) % len(all)
		next = append(next, all[r.asked])
	}
	return next
}

// Loan is a part of an entry's quota of an endpoint's advertised rate that another entry, To, may use
// until loanTTL after it asked. It replaces an earlier loan between the two.
type Loan struct {
	To string
	// AskedAt is when the borrower asked, by its own clock: however long the loan is on its way, the
	// borrower does not use it for longer than the lender expects.
	AskedAt clock.Millis
	// Endpoint is the hash of the endpoint's ID, and Incarnation the one that advertised the rate.
	Endpoint    uint32
	Incarnation int64
	// Requests is how many requests may be sent in any rateWindow.
	Requests int
}

// lent is a loan of this entry. It counts as used until the last request under it has left the
// borrower's rateWindow.
type lent struct {
	to       string
	requests int
	until    clock.Millis
}

// borrowed is a loan to this entry.
type borrowed struct {
	requests    int
	incarnation int64
	until       clock.Millis
}

// need is another entry's reported use of its quotas; askedAt is by the clock of that entry.
type need struct {
	use     float64
	askedAt clock.Millis
	at      clock.Millis
}

// lentRequests returns how much of this entry's quota others may use.
func (st *endpointState) lentRequests(now clock.Millis) (n int) {
	st.lent = slices.DeleteFunc(st.lent, func(l lent) bool { return l.until <= now })
	most := make(map[string]int, len(st.lent))
	for _, l := range st.lent {
		most[l.to] = max(most[l.to], l.requests)
	}
	for _, requests := range most {
		n += requests
	}
	return n
}

// borrowedRequests returns how much of other entries' quotas this one may use.
func (st *endpointState) borrowedRequests(now clock.Millis) (n int) {
	for _, b := range st.borrowed {
		if b.until > now && b.incarnation == st.advertised.incarnation {
			n += b.requests
		}
	}
	return n
}

// RateUse returns the fraction of this entry's own quotas of advertised rates that it uses; 0 if no
// endpoint advertises one. It is above 1 for an entry that uses loans.
func (sel *Selector) RateUse(bounds Bounds, zones map[string]string, now clock.Millis) float64 {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	sent, quota := 0, 0
	for id, zone := range zones {
		if st := sel.states[id]; st != nil && st.advertised.HasRate {
			quota += bounds.Shares[zone].Quota(rateTotal(st.advertised.Rate), id)
			sent += st.sentSince(now - rateWindow)
		}
	}
	if quota == 0 {
		return 0
	}
	return float64(sent) / float64(quota)
}

// ReceiveNeed records another entry's use of its quotas, which it reported at askedAt by its own clock.
func (sel *Selector) ReceiveNeed(entry string, use float64, askedAt, now clock.Millis) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	if math.IsNaN(use) || use < borrowFrom {
		delete(sel.needs, entry)
		return
	}
	sel.needs[entry] = need{use, askedAt, now}
}

// Lend returns new loans to entries that use most of their quotas, out of what this entry, which uses
// the given fraction of its own, does not use. The quotas of all entries and their loans never add up
// to more than the rate: a loan is kept free here until the borrower can no longer have used it
// within rateWindow, also if it did not arrive.
func (sel *Selector) Lend(use float64, bounds Bounds, zones map[string]string, now clock.Millis) (loans []Loan) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	maps.DeleteFunc(sel.needs, func(_ string, n need) bool { return now-n.at > needTTL })
	if use >= lendBelow || len(sel.needs) == 0 {
		return nil
	}
	total := 0.0
	for _, n := range sel.needs {
		total += n.use
	}
	for _, id := range slices.Sorted(maps.Keys(zones)) {
		st := sel.states[id]
		if st == nil || !st.advertised.HasRate {
			continue
		}
		share := bounds.Shares[zones[id]]
		quota := share.Quota(rateTotal(st.advertised.Rate), id)
		spare := quota - st.sentSince(now-rateWindow) - share.round(lendReserve*float64(quota), st.hash)
		for _, to := range slices.Sorted(maps.Keys(sel.needs)) {
			n := min(int(float64(spare)*sel.needs[to].use/total), quota-st.sentSince(now-rateWindow)-st.lentToOthers(to, now))
			if n <= 0 {
				continue
			}
			st.lent = append(st.lent, lent{to, n, now + loanTTL + rateWindow})
			loans = append(loans, Loan{to, sel.needs[to].askedAt, st.hash, st.advertised.incarnation, n})
		}
	}
	return loans
}

// lentToOthers returns how much of the quota entries other than the given one may use.
func (st *endpointState) lentToOthers(to string, now clock.Millis) int {
	all := st.lent
	st.lent = slices.DeleteFunc(slices.Clone(all), func(l lent) bool { return l.to == to })
	n := st.lentRequests(now)
	st.lent = all
	return n
}

// Borrow applies another entry's loans to this one. It replaces all earlier ones of that entry.
func (sel *Selector) Borrow(from string, loans []Loan, now clock.Millis) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	for _, st := range sel.states {
		delete(st.borrowed, from)
	}
	for _, l := range loans {
		st := sel.byHash[l.Endpoint]
		if st == nil || l.Requests <= 0 || l.AskedAt > now {
			continue
		}
		if st.borrowed == nil {
			st.borrowed = make(map[string]borrowed)
		}
		st.borrowed[from] = borrowed{l.Requests, l.Incarnation, l.AskedAt + loanTTL}
	}
}

// Lending returns the requests per rateWindow that this entry lends and borrows.
func (sel *Selector) Lending(now clock.Millis) (lent, borrowed int) {
	sel.mu.Lock()
	defer sel.mu.Unlock()
	for _, st := range sel.states {
		lent += st.lentRequests(now)
		borrowed += st.borrowedRequests(now)
	}
	return lent, borrowed
}
