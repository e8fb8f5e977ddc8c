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
	settleTime  = 8 * clock.Second
	measureTime = 24 * clock.Second
	maxNodeRate = 16 << 10 // bytes per second
)

// An operator publishes a change, but some processes keep the old tables for a long time because
// most cannot read the log, peers are unreachable, or a region is partitioned. The script records
// the exact maximum time until the change was in force in all reachable processes, the bytes per
// second of a process, and the staleness at the end.
func TestTimeInForce(t *testing.T) { runSpreadScript(t, "testdata/spread") }

// The same test with the 380 entries and 1,000 endpoints that the system must support.
func TestBaselineTimeInForce(t *testing.T) {
	if testing.Short() || os.Getenv("BENCH_CHECK") == "" {
		t.Skip("make bench-check runs this")
	}
	runSpreadScript(t, "testdata/spread-large")
}

func runSpreadScript(t *testing.T, script string) {
	datadriven.RunTest(t, script, func(t *testing.T, d *datadriven.TestData) string {
		var n, zones int
		d.ScanArgs(t, "processes", &n)
		d.ScanArgs(t, "zones", &zones)
		c := newCluster(n, zones)
		c.publish()
		c.run(settleTime, nil)
		reachable := injectFailure(c, d.Cmd)
		c.run(settleTime, nil)
		return measure(t, c, reachable)
	})
}

// injectFailure causes a failure and returns which processes stay reachable; nil means all.
func injectFailure(c *cluster, failure string) (reachable func(*proc) bool) {
	switch failure {
	case "all-read":
	case "one-zone-reads":
		c.readable = func(p *proc) bool { return p.vm.Zone == "zone-0" }
	case "peers-lost":
		for _, p := range c.procs {
			p.dead = xxhash.Sum64String("lost/"+p.vm.ID)%10 == 0
		}
	case "region-parted":
		c.readable = func(p *proc) bool { return p.vm.Region == "region-0" }
		c.partitioned = func(from, to *proc) bool { return (from.vm.Region == "region-3") != (to.vm.Region == "region-3") }
		return func(p *proc) bool { return p.vm.Region != "region-3" }
	}
	return nil
}

func measure(t *testing.T, c *cluster, reachable func(*proc) bool) string {
	t.Helper()
	const changes = 4
	c.maxBytes()
	slowest := clock.Millis(0)
	startedAt := c.now
	for range changes {
		c.publish()
		spent := c.run(measureTime/changes, c.inForce(reachable))
		slowest = max(slowest, spent)
		c.run(measureTime/changes-spent, nil)
	}
	highest, mean := c.maxBytes()
	seconds := int((c.now - startedAt) / clock.Second)
	stale := clock.Millis(0)
	for _, p := range c.procs {
		if !p.dead && (reachable == nil || reachable(p)) {
			stale = max(stale, c.at(p)-p.state.spread.ConfirmedAt())
		}
	}
	if slowest > 6*clock.Second || highest/seconds > maxNodeRate {
		t.Errorf("in force after %v, %d bytes/s; at most 6 s and %d are allowed", slowest, highest/seconds, maxNodeRate)
	}
	out := fmt.Sprintf("in force everywhere after at most %d ms\nbytes a second: mean %d, most %d\nstaleness at most %d ms\n", slowest, mean/seconds, highest/seconds, stale)
	if reachable == nil {
		return out
	}
	c.partitioned = func(_, _ *proc) bool { return false }
	healed := c.run(measureTime, c.inForce(nil))
	return out + fmt.Sprintf("in force everywhere %d ms after the regions met again\n", healed)
}
