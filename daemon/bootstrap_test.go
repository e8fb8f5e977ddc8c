package daemon

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/parsleydeal/parsleydeal/platform/standin"
	address "github.com/parsleydeal/parsleydeal/standin"
)

// neighbourSite returns a site whose entries ask the first one for its state.
func neighbourSite(t *testing.T) *testSite {
	ts := newTestSite(t)
	_, ts.peerPort, _ = net.SplitHostPort(address.FreeAddress())
	ts.neighbours = []string{"127.0.1.1:9", "127.0.1.99:9"}
	ts.publish()
	ts.endpoint("i-1", "app", "v1", nil)
	return ts
}

// Guards against calls to the store by every entry that starts: an entry must take the state of a
// running one, and serve callers from it.
func TestStartedEntryTakesStateOfNeighbour(t *testing.T) {
	is := is.New(t)
	ts := neighbourSite(t)
	first := ts.entry("e-1")
	ts.eventually(time.Second, "the first entry knows the register", func() bool { return first.loop.View().Entries() == 1 })
	ts.eventually(time.Second, "each stream is read", func() bool { return strings.Count(first.log.String(), "Store was read in full") >= 4 })
	time.Sleep(100 * time.Millisecond)
	is.Equal(strings.Count(first.log.String(), "Store was read in full"), 4) // each stream once
	for i := range 5 {
		e := ts.entry(fmt.Sprint("f-", i))
		ts.eventuallyLogs(e, "State of another entry was taken")
		is.Equal(e.do(e.request("GET", "/read/x", "")).status, 200)
		time.Sleep(100 * time.Millisecond)
		is.True(!strings.Contains(e.log.String(), "Store was read in full"))
	}
}

// Guards against entries that never start because the store is down while their neighbours know the
// site.
func TestEntryStartsFromNeighbourInOutage(t *testing.T) {
	is := is.New(t)
	ts := neighbourSite(t)
	first := ts.entry("e-1")
	e := ts.startEntry("f-1")
	e.storeHandler.SetFault(standin.Down)
	ts.eventually(3*time.Second, "entry is ready without the store", func() bool { ready, _ := e.ready(); return ready })
	is.Equal(e.do(e.request("GET", "/read/x", "")).status, 200)
	ts.eventuallyLogs(first, "Site is known")
}

// An entry whose neighbours are all gone must read the store.
func TestEntryWithoutNeighboursReadsStore(t *testing.T) {
	is := is.New(t)
	ts := neighbourSite(t)
	ts.neighbours = []string{"127.0.1.98:9", "127.0.1.99:9"}
	e := ts.entry("f-1")
	ts.eventuallyLogs(e, "State of the site is read from the store")
	is.Equal(e.do(e.request("GET", "/read/x", "")).status, 200)
}

// An entry is cut off from the store and starts before its neighbours. Guards against it waiting for
// the store while they have the state.
func TestEntryCutOffFromStoreStartsWithNeighbours(t *testing.T) {
	ts := neighbourSite(t)
	ts.started++ // the first address is left for the neighbour
	e := ts.startEntry("f-1")
	e.storeHandler.SetFault(standin.Down)
	time.Sleep(2500 * time.Millisecond)
	ts.started = 0
	ts.entry("e-1")
	ts.eventually(2*time.Second, "entry is ready without the store", func() bool { ready, _ := e.ready(); return ready })
}

// The settings name no neighbours. An entry that starts must find some among the registered entries
// and not read the whole store.
func TestStartedEntryFindsNeighboursInRegister(t *testing.T) {
	is := is.New(t)
	ts := newTestSite(t)
	ts.publish()
	ts.endpoint("i-1", "app", "v1", nil)
	first := ts.entry("e-1")
	ts.eventually(time.Second, "the first entry knows the register", func() bool { return first.loop.View().Entries() == 1 })
	for i := range 5 {
		before := ts.store.Calls()
		e := ts.startEntry(fmt.Sprint("f-", i))
		ts.eventually(3*time.Second, "entry is ready", func() bool { ready, _ := e.ready(); return ready })
		ts.eventuallyLogs(e, "State of another entry was taken")
		is.True(ts.store.Calls()-before <= 6) // two of its own, the rest of the readers
	}
}

// eventuallyLogs waits for a text in the log of an entry, which is written in the background.
func (ts *testSite) eventuallyLogs(e *testEntry, text string) {
	ts.t.Helper()
	ts.eventually(time.Second, "log line "+text, func() bool { return strings.Contains(e.log.String(), text) })
}
