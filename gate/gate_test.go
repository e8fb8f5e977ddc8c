package gate

import (
	"testing"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"pgregory.net/rapid"
)

// A large organisation keeps the endpoint busy, and its requests are ahead of a small
// organisation's in the queue. In order of arrival, the small one would get no slot. The next free
// slot must go to the small one, as it uses the fewest slots relative to its weight.
func TestLargeOrganisationCannotStarveSmallOne(t *testing.T) {
	is := is.New(t)
	g := New(Limits{Cold: 2, Full: 2, Queue: 4})
	large := Request{Organisation: "large", Weight: 1}
	first := g.Submit(0, large)
	g.Submit(0, large)
	for range 4 {
		g.Submit(0, large)
	}
	small := g.Submit(1, Request{Organisation: "small", Weight: 1})
	is.Equal(g.State(small), Waiting) // the request of the largest organisation was refused
	is.Equal(g.Load().Waiting, 4)
	g.Finish(2, first, Served)
	is.Equal(g.State(small), Admitted)
}

// A high-priority request is refused while low-priority ones wait in a full queue. The queue
// must refuse the lowest priority first.
func TestFullQueueRefusesLowestPriority(t *testing.T) {
	is := is.New(t)
	g := New(Limits{Cold: 1, Full: 1, Queue: 1})
	held := g.Submit(0, Request{Organisation: "a"})
	low := g.Submit(0, Request{Organisation: "b", Priority: -1})
	high := g.Submit(0, Request{Organisation: "a", Priority: 1})
	is.Equal(g.State(low), Refused)
	g.Finish(1, held, Served)
	is.Equal(g.State(high), Admitted)
}

// An engine stalls and produces no more tokens, so no first-token time shows that it turned
// cold. When requests wait for their first token for more than four times the typical time, the
// window must return to its cold size.
func TestStalledEngineClosesWindow(t *testing.T) {
	is := is.New(t)
	g := New(Limits{Cold: 1, Full: 8})
	now := clock.Millis(0)
	for range 40 {
		tickets := []*Ticket{g.Submit(now, Request{}), g.Submit(now, Request{}), g.Submit(now, Request{})}
		now += 100
		for _, x := range tickets {
			g.RecordFirstToken(now, x)
			g.Finish(now, x, Served)
		}
	}
	is.True(g.Load().Window > 1)
	for range 3 {
		g.Submit(now, Request{})
	}
	g.Tick(now + 300)
	is.Equal(g.Load().Closed, 0)
	g.Tick(now + 500)
	is.Equal(g.Load().Closed, 1)
	is.Equal(g.Load().Window, 1)
}

// An endpoint that serves one request at a time has not shown that it has capacity for more,
// so its window must not grow.
func TestLightLoadDoesNotOpenWindow(t *testing.T) {
	is := is.New(t)
	g := New(Limits{Cold: 4, Full: 32})
	for now := clock.Millis(0); now < 100; now++ {
		x := g.Submit(now, Request{})
		g.RecordFirstToken(now, x)
		g.Finish(now, x, Served)
	}
	is.Equal(g.Load().Window, 4)
}

// In any order of events, an endpoint must get no more requests than its window admits, no
// slot may leak, and every wait must end.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cold := rapid.IntRange(1, 4).Draw(t, "cold")
		l := Limits{Cold: cold, Full: cold + rapid.IntRange(0, 8).Draw(t, "more"), Queue: rapid.IntRange(0, 6).Draw(t, "queue")}
		g := New(l)
		now := clock.Millis(0)
		var tickets []*Ticket
		anyTicket := func(t *rapid.T) *Ticket {
			if len(tickets) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(tickets).Draw(t, "ticket")
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				before := g.Load()
				x := g.Submit(now, Request{
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Weight:       rapid.IntRange(1, 3).Draw(t, "weight"), Priority: int32(rapid.IntRange(-1, 1).Draw(t, "priority")),
				})
				tickets = append(tickets, x)
				if g.State(x) == Admitted && before.Held >= before.Window {
					t.Fatal("admitted beyond the window")
				}
			},
			"first":      func(t *rapid.T) { g.RecordFirstToken(now, anyTicket(t)) },
			"finish":     func(t *rapid.T) { g.Finish(now, anyTicket(t), Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))) },
			"withdraw":   func(t *rapid.T) { g.Withdraw(anyTicket(t)) },
			"generation": func(t *rapid.T) { g.SetGeneration(rapid.Uint64Range(1, 3).Draw(t, "generation")) },
			"time":       func(t *rapid.T) { now += clock.Millis(rapid.IntRange(1, 1000).Draw(t, "span")); g.Tick(now) },
			"": func(t *rapid.T) {
				held, waiting := 0, 0
				for _, x := range tickets {
					switch g.State(x) {
					case Admitted:
						held++
					case Waiting:
						waiting++
					}
				}
				load := g.Load()
				if load.Held != held || load.Waiting != waiting || load.Waiting > l.Queue {
					t.Fatalf("load %+v, but %d held and %d waiting", load, held, waiting)
				}
				if load.Window < l.Cold || load.Window > l.Full || (waiting > 0 && held < load.Window) {
					t.Fatalf("load %+v with limits %+v", load, l)
				}
			},
		})
		for _, x := range tickets {
			g.Withdraw(x)
			g.Finish(now, x, Dropped)
		}
		if load := g.Load(); load.Held != 0 || len(g.byOrganisation) != 0 {
			t.Fatalf("slots leaked: %+v %v", load, g.byOrganisation)
		}
	})
}

// BenchmarkAdmission measures the admission of one request at a busy gate: 64 slots in use
// and 64 requests of eight organisations waiting.
func BenchmarkAdmission(b *testing.B) {
	g := New(Limits{Cold: 64, Full: 64, Queue: 64})
	var held []*Ticket
	for i := range 128 {
		held = append(held, g.Submit(0, Request{Organisation: string(rune('a' + i%8)), Weight: 1}))
	}
	b.ReportAllocs()
	for i := range b.N {
		now := clock.Millis(i)
		first := held[0]
		g.RecordFirstToken(now, first)
		g.Finish(now, first, Served)
		held = append(held[1:], g.Submit(now, Request{Organisation: string(rune('a' + i%8)), Weight: 1}))
	}
}
