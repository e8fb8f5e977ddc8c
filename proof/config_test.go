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

// reader is one process that reads the configuration stream, with the production reducers for
// tables and checkpoints, and the offset of the record to read next.
type reader struct {
	name        string
	tables      table.State
	checkpoints checkpoint.State
	next        int64
	revision    int64
}

// configMachine is the state machine for a configuration stream with limited retention.
type configMachine struct {
	t         *rapid.T
	now       clock.Millis
	records   [][]byte
	writtenAt []clock.Millis
	// firstOffset is the offset of the oldest record that the log retains.
	firstOffset int64
	readers     []*reader
	starts      int
	changes     int
	// sent holds all published changes; operators may resend any of them.
	sent [][]byte
	// accepted maps the ID of a change to the revision at which it took effect.
	accepted map[string]int64
	// bases maps the ID of a change to the revision that it is based on.
	bases map[string]int64
	// publishingEnded is true once operators publish no more changes.
	publishingEnded bool
}

const retention = 3 * checkpoint.Interval

func (c *configMachine) start() {
	c.starts++
	name := fmt.Sprintf("entry-%d", c.starts)
	r := &reader{name: name, checkpoints: checkpoint.NewState(name), revision: -1}
	c.readers = append(c.readers, r)
	if len(c.readers) > 4 {
		c.readers = c.readers[1:]
	}
}

func (c *configMachine) append(data []byte) {
	c.records = append(c.records, data)
	c.writtenAt = append(c.writtenAt, c.now)
}

// publish appends a change that is based on the revision of a random process, which may be
// outdated.
func (c *configMachine) publish() {
	r := c.anyReader()
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

// resend appends an earlier change again, as an operator does when the reply was lost.
func (c *configMachine) resend() {
	if len(c.sent) == 0 {
		c.t.Skip("nothing was sent")
	}
	c.append(c.sent[rapid.IntRange(0, len(c.sent)-1).Draw(c.t, "again")])
}

// appendJunk appends a record that is damaged or invalid.
func (c *configMachine) appendJunk() {
	c.append([]byte(rapid.SampledFrom([]string{
		"", "\x00\xff", "id = 3", "kind = \"patch\"\nbase = 0\n", "id = \"x\"\nkind = \"other\"\n",
		"kind = \"checkpoint\"\n", "kind = \"checkpoint\"\n[saved]\noffset = 9\nrevision = 99\n", strings.Repeat("#", table.MaxCheckpointBytes+1),
	}).Draw(c.t, "junk")))
}

func (c *configMachine) anyReader() *reader {
	return c.readers[rapid.IntRange(0, len(c.readers)-1).Draw(c.t, "reader")]
}

func (c *configMachine) read(r *reader, maxRecords int) {
	r.next = max(r.next, c.firstOffset)
	for range maxRecords {
		if r.next >= int64(len(c.records)) {
			return
		}
		o, ok := r.tables.Apply(r.next, c.records[r.next])
		r.next++
		if ok {
			c.checkOutcome(r, o)
		}
	}
}

// checkOutcome checks, after a process has applied a record, the invariants never-reverts,
// checkpoint-moves-no-revision, accepted-once and racing-changes-have-one-winner.
func (c *configMachine) checkOutcome(r *reader, o table.Outcome) {
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

func (c *configMachine) readSome() { c.read(c.anyReader(), rapid.IntRange(1, 20).Draw(c.t, "records")) }

// importState makes one process import the state of another, as a process does when it cannot read
// the log.
func (c *configMachine) importState() {
	from, to := c.anyReader(), c.anyReader()
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
		c.checkOutcome(to, table.Outcome{})
	}
}

// advance advances the time by the given number of minutes. In each minute all processes read the
// stream and run their checkpoint reducers, and the log drops the records that are older than the
// retention.
func (c *configMachine) advance(minutes int) {
	var vms []provider.VM
	for _, r := range c.readers {
		vms = append(vms, provider.VM{ID: r.name, Role: provider.EntryRole})
	}
	for range minutes {
		c.now += clock.Minute
		for _, r := range c.readers {
			c.read(r, 1000)
			r.checkpoints.Reduce(event.VMsListed{VMs: vms}, &r.tables)
			r.checkpoints.Reduce(event.LogRead{Stream: provider.ConfigStream, Page: provider.Page{First: c.firstOffset}}, &r.tables)
			for _, e := range r.checkpoints.Reduce(event.Tick{Now: c.now}, &r.tables) {
				// Appends a change after the process has last read the log and before its
				// checkpoint.
				if !c.publishingEnded && rapid.IntRange(0, 2).Draw(c.t, "race") == 0 {
					c.publish()
				}
				c.append(e.(event.Append).Data)
			}
		}
		for c.firstOffset < int64(len(c.records)) && c.now-c.writtenAt[c.firstOffset] > retention {
			c.firstOffset++
		}
	}
}

// checkAgreement checks the invariant all-agree: processes that have read up to the same offset have
// the same state.
func (c *configMachine) checkAgreement() {
	for i, a := range c.readers {
		for _, b := range c.readers[:i] {
			if a.tables.Offset() == b.tables.Offset() && !bytes.Equal(c.encode(a), c.encode(b)) {
				c.t.Fatalf("all-agree: %s and %s differ at offset %d:\n%s\n---\n%s", a.name, b.name, a.tables.Offset(), c.encode(a), c.encode(b))
			}
		}
	}
}

func (c *configMachine) encode(r *reader) []byte {
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

// settle ends the publishing and checks the invariant in-force-everywhere: a process that starts
// now reaches the same revision as those that have been running.
func (c *configMachine) settle() {
	c.publishingEnded = true
	c.advance(5)
	newest := int64(-1)
	for _, r := range c.readers {
		newest = max(newest, r.tables.Revision())
	}
	c.start()
	c.advance(1)
	for _, r := range c.readers {
		if r.tables.Revision() != newest {
			c.t.Fatalf("in-force-everywhere: %s has revision %d, the newest is %d (first offset on the log %d)", r.name, r.tables.Revision(), newest, c.firstOffset)
		}
	}
	c.checkAgreement()
}

// Guards against a process that returns to an older revision, and against processes that disagree.
// Operators publish concurrently and resend changes, some records are damaged, processes start,
// stop and lag behind, and the log drops records older than its retention.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &configMachine{t: t, accepted: make(map[string]int64), bases: make(map[string]int64)}
		for range 3 {
			c.start()
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish":  func(*rapid.T) { c.publish() },
			"publish2": func(*rapid.T) { c.publish() },
			"again":    func(*rapid.T) { c.resend() },
			"junk":     func(*rapid.T) { c.appendJunk() },
			"read":     func(*rapid.T) { c.readSome() },
			"ask":      func(*rapid.T) { c.importState() },
			"pass":     func(*rapid.T) { c.advance(rapid.IntRange(1, 150).Draw(t, "minutes")) },
			"start":    func(*rapid.T) { c.start() },
			"":         func(*rapid.T) { c.checkAgreement() },
		})
		c.settle()
	})
}
