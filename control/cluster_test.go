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
	// callOverhead is the number of bytes that one message takes on an open connection in
	// addition to its own: drpc's frames and the TCP and IP headers, acknowledgements
	// included. TestExchangeBytes of package node checks it.
	callOverhead = 160
)

// cluster runs many production reducers in virtual time with fakes of the log, the VM list and the
// network.
type cluster struct {
	now   clock.Millis
	procs []*proc
	byVM  map[string]*proc
	queue calls
	seq   int
	log   [][]byte
	holds [][]byte
	// hiddenRecords is the number of records at the end of the log that reads do not see.
	hiddenRecords int
	// readable reports whether a process can read the log.
	readable func(*proc) bool
	// partitioned reports whether messages between two processes are lost.
	partitioned func(from, to *proc) bool
	listed      []provider.VM
	// dropCalls drops one call in four without a failure event, like a node with too many calls in
	// progress.
	dropCalls bool
	// revisionChanged is true if a revision has changed since run last called done.
	revisionChanged bool
}

// proc is one process. Its clock differs from the cluster's by skew.
type proc struct {
	vm        provider.VM
	state     *State
	skew      clock.Millis
	dead      bool
	paused    bool
	following bool
	bytes     int
	// revision is the last revision seen, which must never decrease.
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

// newCluster returns n processes distributed over zones, with three zones per region. One
// process in four is an entry.
func newCluster(n, zones int) *cluster { return newClusterWithEntries(n, zones, 4) }

// newClusterWithEntries is newCluster with one entry in entryEvery processes; the others are
// endpoints.
func newClusterWithEntries(n, zones, entryEvery int) *cluster {
	c := &cluster{
		byVM:        make(map[string]*proc),
		readable:    func(*proc) bool { return true },
		partitioned: func(_, _ *proc) bool { return false },
	}
	for i := range n {
		role := provider.EndpointRole
		if i%entryEvery == 0 {
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

// start starts a process on the VM at index i. It replaces the VM's previous process.
func (c *cluster) start(i int, epoch uint64) *proc {
	vm := c.listed[i]
	p := &proc{vm: vm, state: NewStateAt(vm.ID, vm.Zone, epoch), skew: clock.Millis(epoch*7919) - c.now, revision: -1}
	// No test here uses the subsets, and computing them for so many states takes long.
	p.state.subsetsOf = func(string, []provider.VM) map[string][]provider.VM { return nil }
	if old := c.byVM[vm.ID]; old != nil {
		old.dead = true
	}
	c.byVM[vm.ID] = p
	c.procs = append(c.procs, p)
	offset := clock.Millis(xxhash.Sum64String(vm.ID) % uint64(testTick))
	c.after(offset, func() {
		c.reduce(p, event.VMsListed{Now: c.at(p), VMs: c.listed})
		c.tick(p)
	})
	return p
}

func (c *cluster) at(p *proc) clock.Millis { return c.now + p.skew }

func (c *cluster) after(d clock.Millis, run func()) {
	c.seq++
	heap.Push(&c.queue, call{at: c.now + d, seq: c.seq, run: run})
}

func (c *cluster) tick(p *proc) {
	if p.dead {
		return
	}
	c.reduce(p, event.Tick{Now: c.at(p)})
	c.after(testTick, func() { c.tick(p) })
}

// run runs the cluster for d, or until done reports true, and returns the time taken.
func (c *cluster) run(d clock.Millis, done func() bool) clock.Millis {
	startedAt := c.now
	for len(c.queue) > 0 && c.queue[0].at <= startedAt+d {
		x := heap.Pop(&c.queue).(call)
		c.now = x.at
		x.run()
		if !c.revisionChanged || done == nil {
			continue
		}
		c.revisionChanged = false
		if done() {
			return c.now - startedAt
		}
	}
	c.now = startedAt + d
	return d
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
	c.revisionChanged = c.revisionChanged || p.revision != next.tables.Revision()
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

// call delivers a message and its reply, or reports a failed peer after a timeout.
func (c *cluster) call(p *proc, vm string, in proto.Message, serve func(*proc) proto.Message, receive func(proto.Message)) {
	to := c.byVM[vm]
	p.bytes += proto.Size(in) + callOverhead
	if c.dropCalls && xxhash.Sum64String(fmt.Sprint(c.seq))%4 == 0 {
		return
	}
	if to == nil || to.dead || to.paused || c.partitioned(p, to) {
		c.after(clock.Second, func() { c.reduce(p, event.PeerFailed{Now: c.at(p), VM: vm}) })
		return
	}
	latency := clock.Millis(1)
	if p.vm.Region != to.vm.Region {
		latency = 75
	}
	c.after(latency, func() {
		if to.dead || to.paused {
			c.after(clock.Second, func() { c.reduce(p, event.PeerFailed{Now: c.at(p), VM: vm}) })
			return
		}
		out := serve(to)
		size := proto.Size(out) + callOverhead
		to.bytes += proto.Size(in) + size + callOverhead
		p.bytes += size
		c.after(latency, func() { receive(out) })
	})
}

// poll reads the log as a node does: at once if there is a record, else with an empty page
// every testLogPoll.
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
	head := len(c.log) - c.hiddenRecords
	page := provider.Page{Head: int64(head)}
	for o := int(p.state.tail.End()); o < head; o++ {
		page.Records = append(page.Records, provider.Record{Offset: int64(o), Data: c.log[o]})
	}
	c.reduce(p, event.LogRead{Now: c.at(p), Stream: provider.ConfigStream, Page: page})
}

// publish appends a change. Processes that follow the log read it 20 ms later.
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

// inForce returns a condition that is met once all running processes have the latest change. If
// include is not nil, only the processes for which it returns true are checked.
func (c *cluster) inForce(include func(*proc) bool) func() bool {
	return func() bool {
		want := int64(len(c.log)) - 1
		for _, p := range c.procs {
			if !p.dead && !p.paused && (include == nil || include(p)) && p.state.tables.Revision() != want {
				return false
			}
		}
		return true
	}
}

// maxBytes returns the maximum and the mean of the bytes per process, and resets the counts.
func (c *cluster) maxBytes() (highest, mean int) {
	sum, n := 0, 0
	for _, p := range c.procs {
		if !p.dead {
			highest = max(highest, p.bytes)
			sum += p.bytes
			n++
		}
		p.bytes = 0
	}
	return highest, sum / max(n, 1)
}
