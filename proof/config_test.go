package proof

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/parsleydeal/parsleydeal/checkpoint"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
	"github.com/parsleydeal/parsleydeal/table"
	"pgregory.net/rapid"
)

// reader is one process's configuration: the real table and checkpoint
// reducers, and the point up to which it has read.
type reader struct {
	name     string
	tables   table.State
	saves    checkpoint.State
	next     int64
	revision int64
}

// configs is the state machine over a configuration stream with retention.
type configs struct {
	t       *rapid.T
	now     clock.Millis
	records [][]byte
	written []clock.Millis
	// first is the lowest offset that the log still keeps.
	first   int64
	readers []*reader
	starts  int
	changes int
	// sent holds changes whose answer was lost: operators send them again.
	sent [][]byte
	// accepted holds the revision at which each change took effect.
	accepted map[string]int64
	// bases holds the revision on which each change was made.
	bases map[string]int64
	// quiet is true once operators publish nothing more.
	quiet bool
}

const retention = 3 * checkpoint.Interval

func (c *configs) start() {
	c.starts++
	name := fmt.Sprintf("entry-%d", c.starts)
	r := &reader{name: name, saves: checkpoint.NewState(name), revision: -1}
	c.readers = append(c.readers, r)
	if len(c.readers) > 4 {
		c.readers = c.readers[1:]
	}
}

func (c *configs) append(data []byte) {
	c.records = append(c.records, data)
	c.written = append(c.written, c.now)
}

// publish sends a change made on a reader's revision, which may be old.
func (c *configs) publish() {
	r := c.pick()
	c.changes++
	base := r.tables.Revision()
	c.bases[fmt.Sprintf("c%d", c.changes)] = base
	zone := rapid.IntRange(0, 3).Draw(c.t, "zone")
	state := rapid.SampledFrom([]string{"in", "out"}).Draw(c.t, "state")
	change := fmt.Sprintf("id = \"c%d\"\nauthor = \"ops\"\nkind = \"patch\"\nbase = %d\n", c.changes, base)
	switch rapid.IntRange(0, 5).Draw(c.t, "shape") {
	case 0:
		change += fmt.Sprintf("remove = [\"zones.z.%d\"]\n", zone)
	case 1:
		change = strings.Replace(change, "patch", "whole", 1) + fmt.Sprintf("[tables.organisations.\"o.%d\"]\nweight = %d\n", zone, zone)
	case 2:
		change += fmt.Sprintf("[tables.versions.\"m@1.%d\"]\ninput-cost = %d\nquality = 0.%d\n", zone, zone, zone)
	default:
		change += fmt.Sprintf("[tables.zones.\"z.%d\"]\nstate = %q\n", zone, state)
	}
	c.append([]byte(change))
	c.sent = append(c.sent, []byte(change))
}

// again repeats a change whose answer was lost.
func (c *configs) again() {
	if len(c.sent) == 0 {
		c.t.Skip("nothing was sent")
	}
	c.append(c.sent[rapid.IntRange(0, len(c.sent)-1).Draw(c.t, "again")])
}

func (c *configs) junk() {
	c.append([]byte(rapid.SampledFrom([]string{
		"", "\x00\xff", "id = 3", "kind = \"patch\"\nbase = 0\n", "id = \"x\"\nkind = \"other\"\n",
		"kind = \"checkpoint\"\n", "kind = \"checkpoint\"\n[saved]\noffset = 9\nrevision = 99\n", strings.Repeat("#", table.MaxCheckpointBytes+1),
	}).Draw(c.t, "junk")))
}

func (c *configs) pick() *reader {
	return c.readers[rapid.IntRange(0, len(c.readers)-1).Draw(c.t, "reader")]
}

func (c *configs) read(r *reader, most int) {
	r.next = max(r.next, c.first)
	for range most {
		if r.next >= int64(len(c.records)) {
			return
		}
		o, ok := r.tables.Apply(r.next, c.records[r.next])
		r.next++
		if ok {
			c.verdict(r, o)
		}
	}
}

// verdict is invariants never-reverts and accepted-once.
func (c *configs) verdict(r *reader, o table.Outcome) {
	if r.tables.Revision() < r.revision {
		c.t.Fatalf("never-reverts: %s went from revision %d to %d", r.name, r.revision, r.tables.Revision())
	}
	if o.Checkpoint && !o.Restored && r.tables.Revision() != r.revision {
		c.t.Fatalf("checkpoint-moves-no-revision: %s went from %d to %d", r.name, r.revision, r.tables.Revision())
	}
	before := r.revision
	r.revision = r.tables.Revision()
	if !o.Accepted || o.Checkpoint {
		return
	}
	if at, ok := c.accepted[o.ID]; ok && at != o.Revision {
		c.t.Fatalf("accepted-once: change %s took effect at %d and at %d", o.ID, at, o.Revision)
	}
	c.accepted[o.ID] = o.Revision
	if base, made := c.bases[o.ID]; made && before != r.revision && base != before {
		c.t.Fatalf("racing-changes-have-one-winner: %s was made on %d and accepted on %d", o.ID, base, before)
	}
}

func (c *configs) readSome() { c.read(c.pick(), rapid.IntRange(1, 20).Draw(c.t, "records")) }

// ask lets one process import a peer's state, as it does when it cannot read.
func (c *configs) ask() {
	from, to := c.pick(), c.pick()
	if saved, ok := from.tables.Checkpoint(); ok {
		data, err := saved.Encode()
		if err != nil {
			c.t.Fatal(err)
		}
		got, err := table.ParseCheckpoint(data)
		if err != nil {
			c.t.Fatalf("import: %v", err)
		}
		to.tables.Import(got)
		c.verdict(to, table.Outcome{})
	}
}

// pass lets time go by in the minutes of the checkpoint reducers, with all
// processes reading, and expires what is too old.
func (c *configs) pass(minutes int) {
	var vms []provider.VM
	for _, r := range c.readers {
		vms = append(vms, provider.VM{ID: r.name, Role: provider.EntryRole})
	}
	for range minutes {
		c.now += clock.Minute
		for _, r := range c.readers {
			c.read(r, 1000)
			r.saves.Reduce(event.VMsListed{VMs: vms}, &r.tables)
			r.saves.Reduce(event.LogRead{Stream: provider.ConfigStream, Page: provider.Page{First: c.first}}, &r.tables)
			for _, e := range r.saves.Reduce(event.Tick{Now: c.now}, &r.tables) {
				// A change may land between a process's last read and its checkpoint.
				if !c.quiet && rapid.IntRange(0, 2).Draw(c.t, "race") == 0 {
					c.publish()
				}
				c.append(e.(event.Append).Data)
			}
		}
		for c.first < int64(len(c.records)) && c.now-c.written[c.first] > retention {
			c.first++
		}
	}
}

// agree is invariant all-agree: processes that have read as far say the same.
func (c *configs) agree() {
	for i, a := range c.readers {
		for _, b := range c.readers[:i] {
			if a.tables.Offset() == b.tables.Offset() && !bytes.Equal(c.text(a), c.text(b)) {
				c.t.Fatalf("all-agree: %s and %s differ at offset %d:\n%s\n---\n%s", a.name, b.name, a.tables.Offset(), c.text(a), c.text(b))
			}
		}
	}
}

func (c *configs) text(r *reader) []byte {
	saved, ok := r.tables.Checkpoint()
	if !ok {
		return nil
	}
	data, err := saved.Encode()
	if err != nil {
		c.t.Fatal(err)
	}
	return data
}

// settle is invariant in-force-everywhere: a process that starts at the end has
// the revision of those that were there all along.
func (c *configs) settle() {
	c.quiet = true
	c.pass(5)
	newest := int64(-1)
	for _, r := range c.readers {
		newest = max(newest, r.tables.Revision())
	}
	c.start()
	c.pass(1)
	for _, r := range c.readers {
		if r.tables.Revision() != newest {
			c.t.Fatalf("in-force-everywhere: %s has revision %d, the newest is %d (first kept %d)", r.name, r.tables.Revision(), newest, c.first)
		}
	}
	c.agree()
}

// Operators race, lose answers and send again; records are damaged; processes
// come, go and read at their own pace; the log drops what is older than its
// retention. A process must never go back, and all must say the same.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &configs{t: t, accepted: make(map[string]int64), bases: make(map[string]int64)}
		for range 3 {
			c.start()
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish":  func(*rapid.T) { c.publish() },
			"publish2": func(*rapid.T) { c.publish() },
			"again":    func(*rapid.T) { c.again() },
			"junk":     func(*rapid.T) { c.junk() },
			"read":     func(*rapid.T) { c.readSome() },
			"ask":      func(*rapid.T) { c.ask() },
			"pass":     func(*rapid.T) { c.pass(rapid.IntRange(1, 150).Draw(t, "minutes")) },
			"start":    func(*rapid.T) { c.start() },
			"":         func(*rapid.T) { c.agree() },
		})
		c.settle()
	})
}
