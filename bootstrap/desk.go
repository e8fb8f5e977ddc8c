package bootstrap

import (
	"slices"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/site"
)

const (
	// transferBurst is how many entries get the state at once, and transferInterval the time until
	// one more may. The burst is the number of branches of the tree when all entries start; at other
	// times few entries ask.
	transferBurst    = 8
	transferInterval = 100 * clock.Millis(1)
	// maxReferrals is the maximum number of entries that one answer refers to.
	maxReferrals = 8
	// maxServed bounds the entries that are remembered for referrals, and servedTTL is how long.
	maxServed = 64
	servedTTL = 10 * clock.Second
)

// Desk decides which of the entries that ask get the state, and to which others the rest is
// referred. It reads no clock and is not safe for concurrent use.
type Desk struct {
	// available is the number of transfers that may start at the time updatedAt.
	available float64
	updatedAt clock.Millis
	served    []served
	// referrals counts the referrals, so that each one names other entries.
	referrals int
}

type served struct {
	site.EntryAddress
	at clock.Millis
}

// NewDesk returns a desk that has served no entry.
func NewDesk(now clock.Millis) *Desk { return &Desk{available: transferBurst, updatedAt: now} }

// Admit reports whether the entry that asks gets the state.
func (d *Desk) Admit(e site.EntryAddress, now clock.Millis) bool {
	d.available = min(d.available+float64(now-d.updatedAt)/float64(transferInterval), transferBurst)
	d.updatedAt = now
	if d.available < 1 {
		return false
	}
	d.available--
	d.served = slices.DeleteFunc(d.served, func(s served) bool { return s.Address == e.Address || now-s.at > servedTTL })
	if len(d.served) >= maxServed {
		d.served = d.served[1:]
	}
	d.served = append(d.served, served{e, now})
	return true
}

// Refer returns entries that got the state recently: first those of a zone, and in turn.
func (d *Desk) Refer(zone string) (entries []site.EntryAddress) {
	d.referrals++
	for _, near := range [...]bool{true, false} {
		for i := range d.served {
			s := d.served[(i+d.referrals)%len(d.served)]
			if (s.Zone == zone) == near && len(entries) < maxReferrals {
				entries = append(entries, s.EntryAddress)
			}
		}
	}
	return entries
}
