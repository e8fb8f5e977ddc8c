package placement

import (
	"github.com/parsleydeal/parsleydeal/fleet"
)

const (
	// warmShareFactor is the multiple of its even share of an endpoint's bound that an entry may send
	// to an endpoint not known to be cold. In a site with 31 entries, for example, an even share is
	// one request per second. Limited to that, an entry would refuse callers whenever two requests
	// coincide, and would pass over endpoints that have a prompt's blocks cached.
	warmShareFactor = 4
	// meanShareFactor is the multiple of what this entry sends to a candidate on average that it may
	// send to each one not known to be cold, whatever its even share. As long as half of the candidates
	// take requests, an entry that gets most requests of a site is not limited by the number of entries.
	meanShareFactor = 2.0
)

// recentSends counts the requests that were sent to the candidates of a query within SendWindow, when
// that is first asked for.
type recentSends struct {
	candidates []*fleet.Endpoint
	counted    bool
	total      int
}

// perCandidate returns the mean for one candidate, with the request of the query.
func (r *recentSends) perCandidate(sel *Selector, q Query) float64 {
	if !r.counted {
		r.counted = true
		for _, e := range r.candidates {
			r.total += sel.stateOf(e.ID).sentSince(q.Now - SendWindow)
		}
	}
	return float64(r.total+1) / float64(len(r.candidates))
}

// withinBounds reports whether one more request stays within this entry's share of what an
// endpoint may get per second. An endpoint in cold start crashes if it gets well above its bound,
// so the shares of all entries add up to that bound.
//
// An endpoint may turn cold without advertising it. Until this entry knows, it sends there no more than
// warmShareFactor times its even share of the bound, or meanShareFactor times what it sends to other
// candidates. All entries together send at most the sum of both, however the requests are divided among
// them.
func (sel *Selector) withinBounds(s *fleet.Snapshot, e *fleet.Endpoint, st *endpointState, q Query) bool {
	share, sent := q.Bounds.Shares[e.Zone], st.sentSince(q.Now-SendWindow)
	if s.Cold(e, q.Now) || st.assumedColdUntil > q.Now || st.advertisedBy(e).coldUntil > q.Now {
		return !q.Bounds.NoCold && (q.Bounds.Cold <= 0 || sent < share.Quota(q.Bounds.Cold, e.ID))
	}
	total := q.Bounds.Warm * warmShareFactor
	return total <= 0 || sent < share.Quota(total, e.ID) || sent < min(int(total), share.round(meanShareFactor*q.sends.perCandidate(sel, q), st.hash))
}

// round rounds a number up or down, up for the fraction of endpoints that it exceeds the next lower integer
// by. Which endpoints these are differs by entry.
func (s Share) round(x float64, endpoint uint32) int {
	// spread distributes the numbers of entries and the hashes of endpoints over all 32 bits.
	const spread, all = 0x9E3779B1, 1 << 32
	n := int(x)
	if float64((endpoint^uint32(s.Index))*spread)/all < x-float64(n) {
		n++
	}
	return n
}

// withinEvenShare reports whether one more request stays within this entry's even share of what a
// warm endpoint may get. It limits requests that are sent to an endpoint for its cached blocks: if
// all entries prefer the same endpoint, selection by cost does not balance its load with that of
// others.
func withinEvenShare(e *fleet.Endpoint, st *endpointState, q Query) bool {
	return q.Bounds.Warm <= 0 || st.sentSince(q.Now-SendWindow) < q.Bounds.Shares[e.Zone].Quota(q.Bounds.Warm, e.ID)
}
