package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// history is a store's history of registrations and removals.
type history []Change

// at returns an endpoint's registration at the end of the history; nil if there is none.
func (h history) at(id string, end int) (e *Endpoint) {
	for _, c := range h[:end] {
		if c.ID == id {
			e = c.Endpoint
		}
	}
	return e
}

// drawHistory draws registrations, heartbeats and removals of a few endpoints.
func drawHistory(t *rapid.T) (h history) {
	born, sequence := make(map[string]int64), make(map[string]int64)
	for i := range rapid.IntRange(2, 24).Draw(t, "records") {
		id := rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "endpoint")
		c := Change{ID: id, Revision: Revision{Next: int64(i + 1)}}
		if rapid.IntRange(0, 2).Draw(t, "gone") > 0 {
			if h.at(id, len(h)) == nil && rapid.Bool().Draw(t, "restarted") {
				born[id]++
				sequence[id] = 0
			}
			sequence[id]++
			c.Endpoint = &Endpoint{ID: id, Incarnation: born[id], Sequence: sequence[id], Leaving: rapid.Bool().Draw(t, "leaving"), Revision: c.Revision}
		}
		h = append(h, c)
	}
	return h
}

// Changes come late, more than once and in any order, with reads that may be older than what is known. Guards against an
// endpoint that is brought back or removed by older news than is known of it.
func TestOlderNewsChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, f := drawHistory(t), New()
		// known is up to where the history of each endpoint is known, complete up to where that of all is.
		known, complete := make(map[string]int, len(h)), 0
		place := func(least int) int { return rapid.IntRange(least, len(h)).Draw(t, "place") }
		learn := func(id string, end int) { known[id] = max(known[id], end) }
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			kind := rapid.SampledFrom([]string{"record", "absence", "read", "full"}).Draw(t, "kind")
			end := place(1)
			switch kind {
			case "record":
				f.Update(Update{Changes: []Change{h[end-1]}})
				learn(h[end-1].ID, end)
			case "absence":
				id := h[end-1].ID
				if h.at(id, end) == nil {
					f.Update(Update{Changes: []Change{{ID: id, Revision: Revision{Next: int64(end)}}}})
					learn(id, end)
				}
			case "read":
				from := rapid.IntRange(0, min(complete, end)).Draw(t, "from")
				f.Update(Update{Changes: h[from:end], End: Revision{Next: int64(end)}})
				for _, c := range h {
					learn(c.ID, end)
				}
				complete = max(complete, end)
			case "full":
				u := Update{Full: true, End: Revision{Next: int64(end)}}
				for _, id := range []string{"i-1", "i-2", "i-3"} {
					if e := h.at(id, end); e != nil {
						u.Changes = append(u.Changes, Change{ID: id, Endpoint: e, Revision: e.Revision})
					}
					learn(id, end)
				}
				f.Update(u)
				complete = max(complete, end)
			}
			for id, end := range known {
				if got, want := f.Find(id), h.at(id, end); got != want {
					t.Fatalf("after %s up to %d of %+v: %s is %+v, not %+v", kind, end, h, id, got, want)
				}
			}
		}
	})
}

// Guards against an endpoint that is brought back because its removal is no longer remembered.
func TestForgottenRemovalIsKept(t *testing.T) {
	is := is.New(t)
	f := New()
	registration := func(i int, next int64) Change {
		r := Revision{Next: next}
		return Change{ID: fmt.Sprint("i-", i), Endpoint: &Endpoint{ID: fmt.Sprint("i-", i), Revision: r}, Revision: r}
	}
	const n = maxRemoved + 10
	for i := range n {
		f.Apply([]Change{registration(i, int64(2*i+1)), {ID: fmt.Sprint("i-", i), Revision: Revision{Next: int64(2*i + 2)}}}, false)
	}
	f.Apply([]Change{registration(0, 1)}, false)
	is.True(f.Find("i-0") == nil)
	f.Apply([]Change{registration(0, 2*n+1)}, false)
	is.True(f.Find("i-0") != nil) // it has registered again
}

// The store came back from an older copy. Guards against registrations of an earlier era that replace what is known in
// this one, and against ones of this era that are refused because their revisions are lower.
func TestRevisionsOfEarlierErasAreOlder(t *testing.T) {
	is := is.New(t)
	f := New()
	change := func(era, next, sequence int64) Change {
		r := Revision{Era: era, Next: next}
		return Change{ID: "i-1", Endpoint: &Endpoint{ID: "i-1", Sequence: sequence, Revision: r}, Revision: r}
	}
	f.Apply([]Change{change(1, 9, 5)}, false)
	f.Apply([]Change{change(2, 3, 6)}, false)
	is.Equal(f.Find("i-1").Sequence, int64(6))
	f.Apply([]Change{change(1, 10, 7)}, false)
	is.Equal(f.Find("i-1").Sequence, int64(6))
	f.Apply([]Change{{ID: "i-1", Revision: Revision{Era: 2, Next: 4}}}, false)
	f.Apply([]Change{change(1, 11, 8)}, false)
	is.True(f.Find("i-1") == nil)
	f.Apply([]Change{change(3, 2, 9)}, false)
	is.True(f.Find("i-1") != nil)
}
