package bootstrap

import (
	"container/heap"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/site"
)

// startSite simulates entries that start within 300 ms, three of which are seeds. Every message
// takes a millisecond, a read of the store 400 ms, and a transfer 15 ms for each one that its
// sender has in progress. Seeds in down never start.
type startSite struct {
	t       *testing.T
	now     clock.Millis
	nodes   map[string]*startNode
	pending startQueue
	// reads counts the entries that read the store, transfers and asks the messages of the busiest
	// entry.
	reads     int
	transfers int
	asks      int
	lastAt    clock.Millis
}

type startNode struct {
	site.EntryAddress
	search    *Search
	desk      *Desk
	upAt      clock.Millis
	startedAt clock.Millis
	given     bool
	waiting   []site.EntryAddress
	sending   int
	transfers int
	asks      int
}

type startEvent struct {
	at clock.Millis
	do func()
}

type startQueue []startEvent

func (q startQueue) Len() int           { return len(q) }
func (q startQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q startQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *startQueue) Push(x any)        { *q = append(*q, x.(startEvent)) }
func (q *startQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (s *startSite) after(d clock.Millis, do func()) {
	heap.Push(&s.pending, startEvent{s.now + d, do})
}

// runStart simulates the start of n entries; all but first are already running.
func runStart(t *testing.T, n, starting int, down ...string) *startSite {
	s := &startSite{t: t, nodes: make(map[string]*startNode)}
	seeds := []site.EntryAddress{{Address: "e-0"}, {Address: "e-1"}, {Address: "e-2"}}
	for i := range n {
		name := fmt.Sprint("e-", i)
		x := &startNode{EntryAddress: site.EntryAddress{Name: name, Address: name, Zone: fmt.Sprint("zone-", i%6)}}
		s.nodes[name] = x
		hash := xxhash.Sum64String(name)
		x.upAt = clock.Millis(hash % 300)
		if i < n-starting {
			x.upAt, x.startedAt, x.desk = 0, 1, NewDesk(0)
			continue
		}
		s.after(x.upAt, func() {
			x.search, x.desk = NewSearch(x.EntryAddress, seeds, Unlimited, hash, s.now), NewDesk(s.now)
			s.step(x)
		})
	}
	for _, name := range down {
		s.nodes[name].upAt = clock.Hour
		s.nodes[name].startedAt = 0
	}
	for len(s.pending) > 0 {
		e := heap.Pop(&s.pending).(startEvent)
		s.now = e.at
		e.do()
	}
	for _, x := range s.nodes {
		s.transfers, s.asks = max(s.transfers, x.transfers), max(s.asks, x.asks)
		if x.upAt < clock.Hour {
			s.lastAt = max(s.lastAt, x.startedAt)
		}
	}
	return s
}

// step carries out the next decision of an entry's search.
func (s *startSite) step(x *startNode) {
	if x.startedAt > 0 || x.given || x.upAt == clock.Hour {
		return
	}
	e, wait, ok := x.search.Next(s.now)
	switch {
	case !ok:
		x.given = true
		s.reads++
		s.after(400, func() { s.started(x) })
	case e.Address == "":
		s.after(max(wait, 1), func() { s.step(x) })
	default:
		s.after(1, func() { s.ask(x, s.nodes[e.Address]) })
		s.step(x)
	}
}

func (s *startSite) ask(x, y *startNode) {
	y.asks++
	switch {
	case y.upAt == clock.Hour:
		s.after(connectTimeout, func() { x.search.Failed(y.Address, false, s.now); s.step(x) })
	case s.now < y.upAt:
		s.after(1, func() { x.search.Failed(y.Address, true, s.now); s.step(x) })
	case y.startedAt > 0:
		s.answer(x, y)
	case x.search.Seed():
		s.refer(x, y)
	case len(y.waiting) >= maxHeld:
		s.refer(x, y)
	default:
		x.search.Reached()
		y.waiting = append(y.waiting, x.EntryAddress)
	}
}

func (s *startSite) answer(x, y *startNode) {
	if !y.desk.Admit(x.EntryAddress, s.now) {
		s.refer(x, y)
		return
	}
	y.transfers++
	y.sending++
	s.after(clock.Millis(15*y.sending), func() { y.sending--; s.started(x) })
}

func (s *startSite) refer(x, y *startNode) {
	others := y.desk.Refer(x.Zone)
	s.after(1, func() { x.search.Referred(y.Address, others, s.now); s.step(x) })
}

func (s *startSite) started(x *startNode) {
	if x.startedAt > 0 {
		return
	}
	x.startedAt = s.now
	for _, e := range x.waiting {
		s.answer(s.nodes[e.Address], x)
	}
	x.waiting = nil
}

// Guards against calls to the store that grow with the number of starts. When all entries start at
// once, only the seeds may read the store, all entries must have the state soon after them, and no
// entry may send the state to more than a few others: all of that at any number of entries.
func TestSimultaneousStartsReadStoreOnce(t *testing.T) {
	for _, n := range []int{6, 30, 100, 355, 710} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			s := runStart(t, n, n)
			t.Logf("%d reads, all started at %d ms, busiest sent %d states and was asked %d times", s.reads, s.lastAt, s.transfers, s.asks)
			is.True(s.reads <= 3)
			is.True(s.lastAt <= 2*clock.Second)
			is.True(s.transfers <= 24)
		})
	}
}

// A single entry that starts on a running site must not read the store.
func TestSingleStartDoesNotReadStore(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{2, 30, 355, 710} {
		s := runStart(t, n, 1)
		is.Equal(s.reads, 0)
	}
}

// Guards against a start that hangs because all seeds are gone for good: entries must read the
// store within a bounded time.
func TestStartWithoutSeedsReadsStore(t *testing.T) {
	is := is.New(t)
	s := runStart(t, 30, 30, "e-0", "e-1", "e-2")
	is.Equal(s.reads, 27)
	is.True(s.lastAt <= 300+silentPatience+patienceSpread+400+10)
}

// Two of the three seeds are gone: the third one is enough, also where it cannot hold the requests
// of all others.
func TestOneSeedIsEnough(t *testing.T) {
	for _, n := range []int{355, 710} {
		is := is.New(t)
		s := runStart(t, n, n, "e-0", "e-2")
		t.Logf("%d entries: %d reads, all started at %d ms, busiest was asked %d times", n, s.reads, s.lastAt, s.asks)
		is.True(s.reads <= 3)
		is.True(s.lastAt <= 2500)
	}
}

// An entry that has fallen behind asks only a few others: in an outage of the store none of them
// has a newer state.
func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewSearch(site.EntryAddress{Address: "x"}, []site.EntryAddress{{Address: "a"}, {Address: "b"}}, 3, 1, 0)
	asked := 0
	for now := clock.Millis(0); now < clock.Minute; now += 10 {
		e, _, ok := s.Next(now)
		if !ok {
			break
		}
		if e.Address != "" {
			asked++
			s.Failed(e.Address, false, now)
		}
	}
	is.Equal(asked, 3)
}
