package control

import (
	"testing"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
	"pgregory.net/rapid"
)

// Operators publish while processes vanish, restart and pause, zones part, the
// log goes out, comes back, or shows less than before, in any order. A process
// that went back, or stayed on old tables once all is well, would break the
// promise that an accepted configuration is in force everywhere and never
// reverts. Going back makes the cluster panic at the event that did it.
func TestConfigurationUnderAnyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 20
		n := rapid.IntRange(2, most).Draw(t, "processes")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		c := newCluster(n, zones)
		c.publish()
		c.run(settle, nil)
		epoch := uint64(1000)
		current := func(i int) *proc { return c.byVM[c.listed[i].ID] }
		one := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "process") }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) {
				if c.cut == 0 {
					c.publish()
				}
			},
			"vanish": func(t *rapid.T) { current(one(t)).dead = true },
			"restart": func(t *rapid.T) {
				epoch++
				c.start(one(t), epoch)
			},
			"pause": func(t *rapid.T) {
				p := current(one(t))
				p.paused = !p.paused
			},
			"log-out":  func(*rapid.T) { c.readable = func(*proc) bool { return false } },
			"log-back": func(*rapid.T) { c.readable = func(*proc) bool { return true } },
			"log-of-one-zone": func(*rapid.T) {
				c.readable = func(p *proc) bool { return p.vm.Zone == "zone-0" }
			},
			"log-cut": func(t *rapid.T) { c.cut = min(rapid.IntRange(0, 3).Draw(t, "records"), len(c.log)-1) },
			"part-zone": func(*rapid.T) {
				c.parted = func(a, b *proc) bool { return (a.vm.Zone == "zone-0") != (b.vm.Zone == "zone-0") }
			},
			"meet":    func(*rapid.T) { c.parted = func(_, _ *proc) bool { return false } },
			"swallow": func(*rapid.T) { c.swallow = !c.swallow },
			"reread":  func(t *rapid.T) { c.reread(current(one(t))) },
			"wait":    func(t *rapid.T) { c.run(clock.Millis(rapid.IntRange(1, 8000).Draw(t, "span")), nil) },
			"":        func(t *rapid.T) { c.check(t) },
		})
		c.mend(n, &epoch)
		c.publish()
		c.run(40*clock.Second, nil)
		if !c.inForce(func(p *proc) bool { return p.state.View().Ready() })() {
			t.Fatal("a process that is well has not the newest tables")
		}
		for i := range n {
			if !current(i).state.View().Ready() {
				t.Fatalf("%s is not ready", c.listed[i].ID)
			}
		}
	})
}

// check states what holds at any time: nobody knows more than the log ever had,
// and nobody is ready without tables or sure of more than it has read.
func (c *cluster) check(t *rapid.T) {
	for _, p := range c.procs {
		if p.dead {
			continue
		}
		if p.revision >= int64(len(c.log)) {
			t.Fatalf("%s has revision %d of a log with %d records", p.vm.ID, p.revision, len(c.log))
		}
		if p.state.View().Ready() && p.state.View().Tables() == nil {
			t.Fatalf("%s is ready without tables", p.vm.ID)
		}
		if p.state.spread.ConfirmedAt() > c.at(p) {
			t.Fatalf("%s is sure of the future", p.vm.ID)
		}
	}
}

// reread hands a process the log from its beginning once more, as after a
// connection that was made anew.
func (c *cluster) reread(p *proc) {
	page := provider.Page{Head: int64(len(c.log))}
	for o, data := range c.log {
		page.Records = append(page.Records, provider.Record{Offset: int64(o), Data: data})
	}
	c.reduce(p, event.LogRead{Now: c.at(p), Stream: provider.ConfigStream, Page: page})
}

// mend ends all failures and starts a process on each VM that has none.
func (c *cluster) mend(n int, epoch *uint64) {
	c.cut = 0
	c.swallow = false
	c.readable = func(*proc) bool { return true }
	c.parted = func(_, _ *proc) bool { return false }
	for i := range n {
		p := c.byVM[c.listed[i].ID]
		p.paused = false
		if p.dead {
			*epoch++
			c.start(i, *epoch)
		}
	}
}
