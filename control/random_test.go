package control

import (
	"testing"

	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/provider"
	"pgregory.net/rapid"
)

// Operators publish changes while processes fail, restart and pause, zones are partitioned,
// and the log is unavailable, returns, or ends earlier than before, in any order. An accepted
// configuration must be in force everywhere once the failures end, and must never revert. If
// a process reverts, the cluster panics at the event that caused it.
func TestConfigurationUnderAnyFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxProcesses = 20
		n := rapid.IntRange(2, maxProcesses).Draw(t, "processes")
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		c := newCluster(n, zones)
		c.publish()
		c.run(settleTime, nil)
		epoch := uint64(1000)
		current := func(i int) *proc { return c.byVM[c.listed[i].ID] }
		anyProcess := func(t *rapid.T) int { return rapid.IntRange(0, n-1).Draw(t, "process") }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) {
				if c.hiddenRecords == 0 {
					c.publish()
				}
			},
			"vanish": func(t *rapid.T) { current(anyProcess(t)).dead = true },
			"restart": func(t *rapid.T) {
				epoch++
				c.start(anyProcess(t), epoch)
			},
			"pause": func(t *rapid.T) {
				p := current(anyProcess(t))
				p.paused = !p.paused
			},
			"log-out":  func(*rapid.T) { c.readable = func(*proc) bool { return false } },
			"log-back": func(*rapid.T) { c.readable = func(*proc) bool { return true } },
			"log-of-one-zone": func(*rapid.T) {
				c.readable = func(p *proc) bool { return p.vm.Zone == "zone-0" }
			},
			"log-cut": func(t *rapid.T) { c.hiddenRecords = min(rapid.IntRange(0, 3).Draw(t, "records"), len(c.log)-1) },
			"part-zone": func(*rapid.T) {
				c.partitioned = func(a, b *proc) bool { return (a.vm.Zone == "zone-0") != (b.vm.Zone == "zone-0") }
			},
			"meet":    func(*rapid.T) { c.partitioned = func(_, _ *proc) bool { return false } },
			"swallow": func(*rapid.T) { c.dropCalls = !c.dropCalls },
			"reread":  func(t *rapid.T) { c.rereadLog(current(anyProcess(t))) },
			"wait":    func(t *rapid.T) { c.run(clock.Millis(rapid.IntRange(1, 8000).Draw(t, "span")), nil) },
			"":        func(t *rapid.T) { c.checkInvariants(t) },
		})
		c.repair(n, &epoch)
		c.publish()
		c.run(40*clock.Second, nil)
		if !c.inForce(func(p *proc) bool { return p.state.View().Ready() })() {
			t.Fatal("a ready process does not have the latest tables")
		}
		for i := range n {
			if !current(i).state.View().Ready() {
				t.Fatalf("%s is not ready", c.listed[i].ID)
			}
		}
	})
}

// checkInvariants checks what must hold at any time: no process has a revision that the log
// never had, is ready without tables, or has confirmed its tables at a future time.
func (c *cluster) checkInvariants(t *rapid.T) {
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
			t.Fatalf("%s has confirmed its tables at a future time", p.vm.ID)
		}
	}
}

// rereadLog sends a process the log from its beginning again, as after a reconnect.
func (c *cluster) rereadLog(p *proc) {
	page := provider.Page{Head: int64(len(c.log))}
	for o, data := range c.log {
		page.Records = append(page.Records, provider.Record{Offset: int64(o), Data: data})
	}
	c.reduce(p, event.LogRead{Now: c.at(p), Stream: provider.ConfigStream, Page: page})
}

// repair ends all failures and starts a process on each VM that has none running.
func (c *cluster) repair(n int, epoch *uint64) {
	c.hiddenRecords = 0
	c.dropCalls = false
	c.readable = func(*proc) bool { return true }
	c.partitioned = func(_, _ *proc) bool { return false }
	for i := range n {
		p := c.byVM[c.listed[i].ID]
		p.paused = false
		if p.dead {
			*epoch++
			c.start(i, *epoch)
		}
	}
}
