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
	requestInterval   = 200 * clock.Millis(1)
	newVersionPercent = 5 // of all requests
)

// A new version is bad, but each process alone sees too few of its requests to detect it. Judges
// are the processes that sum the outcome counts of a version and decide whether to put it on hold.
// The script records the exact time until the counts of a judge include 100 requests to the new
// version, how many had been made by then, and the network traffic of a judge.
func TestEvidenceReachesJudges(t *testing.T) { runEvidenceScript(t, "testdata/evidence") }

// The same test with the 380 entries that the system must support.
func TestBaselineEvidenceReachesJudges(t *testing.T) {
	if testing.Short() || os.Getenv("BENCH_CHECK") == "" {
		t.Skip("make bench-check runs this")
	}
	runEvidenceScript(t, "testdata/evidence-large")
}

func runEvidenceScript(t *testing.T, script string) {
	datadriven.RunTest(t, script, func(t *testing.T, d *datadriven.TestData) string {
		var n int
		d.ScanArgs(t, "entries", &n)
		c := newClusterWithEntries(n, 3, 1)
		c.run(settleTime, nil)
		c.maxBytes()
		startedAt := c.now
		newVersionRequests := new(int)
		for i, p := range c.procs {
			c.after(requestInterval*clock.Millis(i)/clock.Millis(n), func() { c.request(p, 0, newVersionRequests) })
		}
		judge := c.byVM[evidence.Judges(c.listed, "m@2")[0]]
		known, knownAfter := 0, clock.Millis(-1)
		for c.now < startedAt+measureTime {
			c.run(100, nil)
			if known = judge.knownRequests("m@2"); known >= 100 && knownAfter < 0 {
				knownAfter = c.now - startedAt
				break
			}
		}
		requestsUntilKnown := *newVersionRequests
		c.run(startedAt+measureTime-c.now, nil)
		highest, mean := c.maxBytes()
		seconds := int(measureTime / clock.Second)
		if highest/seconds > maxNodeRate {
			t.Errorf("a process carries %d bytes/s, at most %d are allowed", highest/seconds, maxNodeRate)
		}
		return fmt.Sprintf("100 requests known after %d ms, when %d had been made\nbytes a second: mean %d, most %d\n", knownAfter, requestsUntilKnown, mean/seconds, highest/seconds)
	})
}

// request sends one request and schedules the next after requestInterval. It counts the requests to
// the new version in newVersionRequests.
func (c *cluster) request(p *proc, number uint64, newVersionRequests *int) {
	h := xxhash.Sum64String(fmt.Sprint(p.vm.ID, "/", number))
	version := "m@1"
	if h%100 < newVersionPercent {
		version = "m@2"
		*newVersionRequests++
	}
	route, org := fmt.Sprint("route-", h/100%3), fmt.Sprint("org-", h/1000%10)
	c.reduce(p, event.AnswerStarted{Now: c.at(p), Route: route, Version: version, Organisation: org})
	c.reduce(p, event.AttemptEnded{Now: c.at(p), Route: route, Version: version, Organisation: org})
	c.after(requestInterval, func() { c.request(p, number+1, newVersionRequests) })
}

// knownRequests returns the number of requests to a version in the counts of a process.
func (p *proc) knownRequests(version string) (n int) {
	for k, t := range p.state.evidence.Totals() {
		if k.Version == version {
			n += int(t.Started)
		}
	}
	return n
}

// Reports to a judge are lost, repeated and late, and a process restarts in between. A judge that
// added up every report would count errors twice and put a good version on hold.
func TestEvidenceIsCountedOnce(t *testing.T) {
	is := is.New(t)
	c := newClusterWithEntries(6, 3, 1)
	c.run(settleTime, nil)
	messages := 0
	c.partitioned = func(_, _ *proc) bool { messages++; return xxhash.Sum64String(fmt.Sprint(messages))%3 == 0 }
	for i := range 40 {
		p := c.byVM[c.listed[i%6].ID]
		c.reduce(p, event.AnswerStarted{Now: c.at(p), Route: "r", Version: "m@2", Organisation: "o"})
		c.run(300, nil)
	}
	c.run(20*clock.Second, nil)
	judge := c.byVM[evidence.Judges(c.listed, "m@2")[0]]
	is.Equal(judge.knownRequests("m@2"), 40)
	other := 0
	for c.listed[other].ID == judge.vm.ID {
		other++
	}
	p := c.start(other, 700)
	c.run(settleTime, nil)
	c.reduce(p, event.AnswerStarted{Now: c.at(p), Route: "r", Version: "m@2", Organisation: "o"})
	c.run(20*clock.Second, nil)
	is.Equal(judge.knownRequests("m@2"), 41) // the counts of the previous incarnation remain
}
