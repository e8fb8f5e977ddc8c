package fleet

// Revision is a place in the history of all registrations: that behind a registration or removal, or the end of the
// history as it was read.
type Revision struct {
	// Era counts how often the history was replaced by an older copy of itself; 0 if that is not known.
	Era int64
	// Next is the number of registrations and removals before this place; 0 if it is unknown.
	Next int64
}

// comparable reports whether the order of two revisions is known.
func (r Revision) comparable(q Revision) bool {
	return r.Next > 0 && q.Next > 0 && (r.Era == 0) == (q.Era == 0)
}

// notAfter reports whether r is known to be no later than q. What an earlier era had is older than anything of a later one;
// what a later era has may be the same again.
func (r Revision) notAfter(q Revision) bool {
	return r.comparable(q) && (r.Era < q.Era || r.Era == q.Era && r.Next <= q.Next)
}

// after reports whether r is known to be later than q.
func (r Revision) after(q Revision) bool { return r.comparable(q) && r.Era == q.Era && r.Next > q.Next }

// latest returns the later of two revisions that are ends of the history.
func latest(r, q Revision) Revision {
	if r.Next == 0 || r.notAfter(q) {
		return q
	}
	return r
}
