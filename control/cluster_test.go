package control

import (
	"container/heap"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"github.com/parsleydeal/parsleydeal/provider"
	"google.golang.org/protobuf/proto"
)

const (
	testTick    = 200 * clock.Millis(1)
	testLogPoll = 2 * clock.Second
	// callOverhead is what one message costs on a warm connection beside its
	// own bytes: drpc's frames and the TCP and IP headers with the acknowledgements; see
	// TestExchangeBytes of package node.
	callOverhead = 160
)

// cluster drives many real reducers in virtual time over fakes of the log, the
// list and the network.
type cluster struct {
	now   clock.Millis
	procs []*proc
	byVM  map[string]*proc
	queue calls
	seq   int
	log   [][]byte
	holds [][]byte
	// first and cut are the ends of the log that reads see; cut 0 shows all.
	cut int
	// readable says who can read the log.
	readable func(*proc) bool
	// parted says whose messages are lost.
	parted func(from, to *proc) bool
	listed []provider.VM
	// swallow drops one call in four without a word, as a shell does that has too
	// many under way.
	swallow bool
	// moved is true when a revision has changed since done was last asked.
	moved bool
}

// proc is one process. Its clock runs on its own zero.
type proc struct {
	vm        provider.VM
	state     *State
	skew      clock.Millis
	dead      bool
	paused    bool
	following bool
	bytes     int
	// lowest notes the revision, which must never fall.
	revision int64
}

type call struct {
	at  clock.Millis
	seq int
	run func()
}

type calls []call

func (q calls) Len() int { return len(q) }
func (q calls) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q calls) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *calls) Push(x any)   { *q = append(*q, x.(call)) }
func (q *calls) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// newCluster makes n processes over so many zones, three zones a region.
func newCluster(n, zones int) *cluster { return newClusterOf(n, zones, 4) }

// newClusterOf makes one entry out of so many processes; the rest are endpoints.
func newClusterOf(n, zones, entryOf int) *cluster {
	c := &cluster{
		byVM:     make(map[string]*proc),
		readable: func(*proc) bool { return true },
		parted:   func(_, _ *proc) bool { return false },
	}
	for i := range n {
		role := provider.EndpointRole
		if i%entryOf == 0 {
			role = provider.EntryRole
		}
		zone := i % zones
		c.listed = append(c.listed, provider.VM{
			ID: fmt.Sprintf("vm-%04d", i), Role: role, Pool: fmt.Sprintf("pool-%d", i%13),
			Zone: fmt.Sprintf("zone-%d", zone), Region: fmt.Sprintf("region-%d", zone/3), Address: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250),
		})
	}
	for i := range c.listed {
		c.start(i, uint64(i+1))
	}
	return c
}

// start begins a process on a VM, in place of the one before.
func (c *cluster) start(i int, epoch uint64) *proc {
	vm := c.listed[i]
	p := &proc{vm: vm, state: NewStateAt(vm.ID, vm.Zone, epoch), skew: clock.Millis(epoch*7919) - c.now, revision: -1}
	// Nothing here sends requests, and subsets of so many states take long.
	p.state.subsetsOf = func(string, []provider.VM) map[string][]provider.VM { return nil }
	if old := c.byVM[vm.ID]; old != nil {
		old.dead = true
	}
	c.byVM[vm.ID] = p
	c.procs = append(c.procs, p)
	phase := clock.Millis(xxhash.Sum64String(vm.ID) % uint64(testTick))
	c.after(phase, func() {
		c.reduce(p, event.VMsListed{Now: c.at(p), VMs: c.listed})
		c.tick(p)
	})
	return p
}

func (c *cluster) at(p *proc) clock.Millis { return c.now + p.skew }

func (c *cluster) after(span clock.Millis, run func()) {
	c.seq++
	heap.Push(&c.queue, call{at: c.now + span, seq: c.seq, run: run})
}

func (c *cluster) tick(p *proc) {
	if p.dead {
		return
	}
	c.reduce(p, event.Tick{Now: c.at(p)})
	c.after(testTick, func() { c.tick(p) })
}

// run goes on until an instant, or until done says so, and returns the span.
func (c *cluster) run(span clock.Millis, done func() bool) clock.Millis {
	begin := c.now
	for len(c.queue) > 0 && c.queue[0].at <= begin+span {
		x := heap.Pop(&c.queue).(call)
		c.now = x.at
		x.run()
		if !c.moved || done == nil {
			continue
		}
		c.moved = false
		if done() {
			return c.now - begin
		}
	}
	c.now = begin + span
	return span
}

func (c *cluster) reduce(p *proc, e event.Event) {
	if p.dead || p.paused {
		return
	}
	next, effects := Reduce(p.state, e)
	p.state = next
	if r := next.tables.Revision(); r < p.revision {
		panic(fmt.Sprintf("%s went back from revision %d to %d", p.vm.ID, p.revision, r))
	}
	c.moved = c.moved || p.revision != next.tables.Revision()
	p.revision = next.tables.Revision()
	for _, f := range effects {
		c.perform(p, f)
	}
}

func (c *cluster) perform(p *proc, f event.Effect) {
	switch f := f.(type) {
	case event.Exchange:
		digest := p.state.View().Digest(c.at(p))
		digest.Counts = f.Digest.GetCounts()
		sent := c.at(p)
		c.call(p, f.VM, digest, func(to *proc) proto.Message {
			reply := to.state.View().Digest(c.at(to))
			c.reduce(to, event.DigestReceived{Now: c.at(to), Digest: digest})
			return reply
		}, func(m proto.Message) {
			c.reduce(p, event.DigestReceived{Now: c.at(p), Digest: m.(*wire.Digest), Reply: true, Sent: sent})
		})
	case event.FetchRecords:
		in := &wire.RecordsRequest{From: f.From}
		c.call(p, f.VM, in, func(to *proc) proto.Message {
			return to.state.View().Tail().Reply(in.GetFrom())
		}, func(m proto.Message) {
			c.reduce(p, event.RecordsReceived{Now: c.at(p), From: f.VM, Reply: m.(*wire.RecordsReply)})
		})
	case event.Follow:
		p.following = f.On
		if f.On {
			c.poll(p)
		}
	}
}

// call carries a message there and the answer back, or times out.
func (c *cluster) call(p *proc, vm string, in proto.Message, serve func(*proc) proto.Message, answer func(proto.Message)) {
	to := c.byVM[vm]
	p.bytes += proto.Size(in) + callOverhead
	if c.swallow && xxhash.Sum64String(fmt.Sprint(c.seq))%4 == 0 {
		return
	}
	if to == nil || to.dead || to.paused || c.parted(p, to) {
		c.after(clock.Second, func() { c.reduce(p, event.PeerFailed{Now: c.at(p), VM: vm}) })
		return
	}
	way := clock.Millis(1)
	if p.vm.Region != to.vm.Region {
		way = 75
	}
	c.after(way, func() {
		if to.dead || to.paused {
			c.after(clock.Second, func() { c.reduce(p, event.PeerFailed{Now: c.at(p), VM: vm}) })
			return
		}
		out := serve(to)
		size := proto.Size(out) + callOverhead
		to.bytes += proto.Size(in) + size + callOverhead
		p.bytes += size
		c.after(way, func() { answer(out) })
	})
}

// poll reads the log as the shell does: at once when there is a record, with an
// empty page every testLogPoll.
func (c *cluster) poll(p *proc) {
	if p.dead || !p.following {
		return
	}
	c.read(p)
	c.after(testLogPoll, func() { c.poll(p) })
}

func (c *cluster) read(p *proc) {
	if p.dead || p.paused || !p.following || !c.readable(p) {
		return
	}
	holds := provider.Page{Head: int64(len(c.holds))}
	for o, data := range c.holds {
		holds.Records = append(holds.Records, provider.Record{Offset: int64(o), Data: data})
	}
	c.reduce(p, event.LogRead{Now: c.at(p), Stream: provider.HoldStream, Page: holds})
	head := len(c.log) - c.cut
	page := provider.Page{Head: int64(head)}
	for o := int(p.state.tail.End()); o < head; o++ {
		page.Records = append(page.Records, provider.Record{Offset: int64(o), Data: c.log[o]})
	}
	c.reduce(p, event.LogRead{Now: c.at(p), Stream: provider.ConfigStream, Page: page})
}

// publish appends a change; those that wait on the log get it 20 ms later.
func (c *cluster) publish() {
	base := int64(len(c.log)) - 1
	kind := "patch"
	if base < 0 {
		kind = "whole"
	}
	c.log = append(c.log, fmt.Appendf(nil, "id = \"c-%d\"\nauthor = \"t\"\nkind = %q\nbase = %d\n[tables.zones.z-%d]\nstate = \"out\"\n", len(c.log), kind, base, len(c.log)%12))
	for _, p := range c.procs {
		if p.following {
			c.after(20, func() { c.read(p) })
		}
	}
}

// inForce reports whether all processes that run have the newest change.
func (c *cluster) inForce(which func(*proc) bool) func() bool {
	return func() bool {
		want := int64(len(c.log)) - 1
		for _, p := range c.procs {
			if !p.dead && !p.paused && (which == nil || which(p)) && p.state.tables.Revision() != want {
				return false
			}
		}
		return true
	}
}

// mostBytes returns the most and the mean bytes of a process, and forgets them.
func (c *cluster) mostBytes() (most, mean int) {
	sum, n := 0, 0
	for _, p := range c.procs {
		if !p.dead {
			most = max(most, p.bytes)
			sum += p.bytes
			n++
		}
		p.bytes = 0
	}
	return most, sum / max(n, 1)
}
