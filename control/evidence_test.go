package control

import (
	"fmt"
	"os"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/clock"
	"github.com/parsleydeal/parsleydeal/event"
	"github.com/parsleydeal/parsleydeal/evidence"
)

const (
	requestGap = 200 * clock.Millis(1)
	newShare   = 5 // in a hundred requests
)

// A new version is bad, and every process alone sees too few of its requests to
// tell. The script holds, to the digit, when a judge knew of 100 requests to the
// new version in all, how many had been made by then, and what a judge's network
// carried.
func TestEvidenceReachesJudges(t *testing.T) { evidenceScript(t, "testdata/evidence") }

// The same at the two-year target's 380 entries.
func TestBaselineEvidenceReachesJudges(t *testing.T) {
	if testing.Short() || os.Getenv("BENCH_CHECK") == "" {
		t.Skip("make bench-check runs this")
	}
	evidenceScript(t, "testdata/evidence-large")
}

func evidenceScript(t *testing.T, script string) {
	datadriven.RunTest(t, script, func(t *testing.T, d *datadriven.TestData) string {
		var n int
		d.ScanArgs(t, "entries", &n)
		c := newClusterOf(n, 3, 1)
		c.run(settle, nil)
		c.mostBytes()
		begin := c.now
		made := new(int)
		for i, p := range c.procs {
			c.after(requestGap*clock.Millis(i)/clock.Millis(n), func() { c.request(p, 0, made) })
		}
		judge := c.byVM[evidence.Judges(c.listed, "m@2")[0]]
		known, at := 0, clock.Millis(-1)
		for c.now < begin+window {
			c.run(100, nil)
			if known = judge.known("m@2"); known >= 100 && at < 0 {
				at = c.now - begin
				break
			}
		}
		exposed := *made
		c.run(begin+window-c.now, nil)
		most, mean := c.mostBytes()
		seconds := int(window / clock.Second)
		if most/seconds > nodeRate {
			t.Errorf("a judge carries %d bytes/s, at most %d are allowed", most/seconds, nodeRate)
		}
		return fmt.Sprintf("100 requests known after %d ms, when %d had been made\nbytes a second: mean %d, most %d\n", at, exposed, mean/seconds, most/seconds)
	})
}

// request makes one request and the next one after a while.
func (c *cluster) request(p *proc, number uint64, made *int) {
	h := xxhash.Sum64String(fmt.Sprint(p.vm.ID, "/", number))
	version := "m@1"
	if h%100 < newShare {
		version = "m@2"
		*made++
	}
	route, org := fmt.Sprint("route-", h/100%3), fmt.Sprint("org-", h/1000%10)
	c.reduce(p, event.Begun{Now: c.at(p), Route: route, Version: version, Organisation: org})
	c.reduce(p, event.Observed{Now: c.at(p), Route: route, Version: version, Organisation: org})
	c.after(requestGap, func() { c.request(p, number+1, made) })
}

// known returns the requests to a version that a process knows of.
func (p *proc) known(version string) (n int) {
	for k, t := range p.state.evidence.Totals() {
		if k.Version == version {
			n += int(t.Started)
		}
	}
	return n
}

// Reports to a judge are lost, repeated and come late, and a process restarts in
// between. A judge that added them up as they come would hold a good version for
// errors counted twice.
func TestEvidenceIsCountedOnce(t *testing.T) {
	is := is.New(t)
	c := newClusterOf(6, 3, 1)
	c.run(settle, nil)
	lost := 0
	c.parted = func(_, _ *proc) bool { lost++; return xxhash.Sum64String(fmt.Sprint(lost))%3 == 0 }
	for i := range 40 {
		p := c.byVM[c.listed[i%6].ID]
		c.reduce(p, event.Begun{Now: c.at(p), Route: "r", Version: "m@2", Organisation: "o"})
		c.run(300, nil)
	}
	c.run(20*clock.Second, nil)
	judge := c.byVM[evidence.Judges(c.listed, "m@2")[0]]
	is.Equal(judge.known("m@2"), 40)
	other := 0
	for c.listed[other].ID == judge.vm.ID {
		other++
	}
	p := c.start(other, 700)
	c.run(settle, nil)
	c.reduce(p, event.Begun{Now: c.at(p), Route: "r", Version: "m@2", Organisation: "o"})
	c.run(20*clock.Second, nil)
	is.Equal(judge.known("m@2"), 41) // the former life's counts stay
}
