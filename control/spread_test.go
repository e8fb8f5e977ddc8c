package control

import (
	"fmt"
	"os"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/datadriven"
	"github.com/parsleydeal/parsleydeal/clock"
)

const (
	settle   = 8 * clock.Second
	window   = 24 * clock.Second
	nodeRate = 16 << 10
)

// An operator publishes a change and some process works on the old tables for
// long: most cannot read the log, peers are lost, or a region is parted. The
// script holds, to the digit, the most time until the change was in force in all
// processes that can be reached, the bytes a second of a process, and the
// staleness at the end.
func TestTimeInForce(t *testing.T) { timeInForce(t, "testdata/spread") }

// The same with the two-year target's 380 entries and 1,000 endpoints.
func TestBaselineTimeInForce(t *testing.T) {
	if testing.Short() || os.Getenv("BENCH_CHECK") == "" {
		t.Skip("make bench-check runs this")
	}
	timeInForce(t, "testdata/spread-large")
}

func timeInForce(t *testing.T, script string) {
	datadriven.RunTest(t, script, func(t *testing.T, d *datadriven.TestData) string {
		var n, zones int
		d.ScanArgs(t, "processes", &n)
		d.ScanArgs(t, "zones", &zones)
		c := newCluster(n, zones)
		c.publish()
		c.run(settle, nil)
		which := disturb(c, d.Cmd)
		c.run(settle, nil)
		return measure(t, c, which)
	})
}

// disturb causes the failure and returns who can be reached.
func disturb(c *cluster, how string) (which func(*proc) bool) {
	switch how {
	case "all-read":
	case "one-zone-reads":
		c.readable = func(p *proc) bool { return p.vm.Zone == "zone-0" }
	case "peers-lost":
		for _, p := range c.procs {
			p.dead = xxhash.Sum64String("lost/"+p.vm.ID)%10 == 0
		}
	case "region-parted":
		c.readable = func(p *proc) bool { return p.vm.Region == "region-0" }
		c.parted = func(from, to *proc) bool { return (from.vm.Region == "region-3") != (to.vm.Region == "region-3") }
		return func(p *proc) bool { return p.vm.Region != "region-3" }
	}
	return nil
}

func measure(t *testing.T, c *cluster, which func(*proc) bool) string {
	t.Helper()
	const changes = 4
	c.mostBytes()
	worst := clock.Millis(0)
	begin := c.now
	for range changes {
		c.publish()
		spent := c.run(window/changes, c.inForce(which))
		worst = max(worst, spent)
		c.run(window/changes-spent, nil)
	}
	most, mean := c.mostBytes()
	seconds := int((c.now - begin) / clock.Second)
	stale := clock.Millis(0)
	for _, p := range c.procs {
		if !p.dead && (which == nil || which(p)) {
			stale = max(stale, c.at(p)-p.state.spread.ConfirmedAt())
		}
	}
	if worst > 6*clock.Second || most/seconds > nodeRate {
		t.Errorf("in force after %v, %d bytes/s; at most 6 s and %d are allowed", worst, most/seconds, nodeRate)
	}
	out := fmt.Sprintf("in force everywhere after at most %d ms\nbytes a second: mean %d, most %d\nstaleness at most %d ms\n", worst, mean/seconds, most/seconds, stale)
	if which == nil {
		return out
	}
	c.parted = func(_, _ *proc) bool { return false }
	healed := c.run(window, c.inForce(nil))
	return out + fmt.Sprintf("in force everywhere %d ms after the regions met again\n", healed)
}
